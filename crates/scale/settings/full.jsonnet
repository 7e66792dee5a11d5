// The largest fleet that one machine can run (docs/CAPACITY.md): 610 sites in 98 zones of 29 regions.
local regions = ['region-%d' % r for r in std.range(1, 29)];
local zones = [{ name: 'zone-%d' % z, region: regions[z % 29] } for z in std.range(0, 97)];
local sites = [{ name: 'site-%d' % s, zone: 'zone-%d' % (s % 98) } for s in std.range(0, 609)];
// Delivery of changes through phases with faults.
local delivery(followers, carriers) = {
  carriers: carriers,
  followers: followers,
  followers_a_carrier: 1024,
  purges_per_s: 76,
  configurations_per_day: 12000,
  configuration_bytes: 300,
  lost: 0.001,
  delay_ms: [1, 40],
  [if followers <= 3000 then 'on_sockets_s']: 10,
  phases: [
    { name: 'all start', seconds: 10 },
    { name: 'quiet', seconds: 10 },
    { name: 'one carrier lost', seconds: 10, carriers_lost: 1 / carriers },
    { name: 'it is back', seconds: 5 },
    { name: 'a region cut off', seconds: 30, followers_cut: 1 / 29 },
    { name: 'healed', seconds: 30 },
    { name: 'a tenth restarted', seconds: 10, restarted: 0.1 },
    { name: 'log lost', seconds: 4, log_lost: true },
    { name: 'log back', seconds: 5 },
    { name: 'all carriers lost', seconds: 12, carriers_lost: 1 },
    { name: 'all carriers back', seconds: 20 },
  ],
};
{
  seed: 1,
  topology: { regions: regions, zones: zones, sites: sites },
  sockets: {
    // The feed takes at most 512 members, so lines are fitted to smaller sizes; 500 and 1,000 check the fit.
    sizes: [100, 200, 300, 500, 1000],
    fit_to: 300,
    real: 8,
    threads: 4,
    followers: 0.3,
    load: {
      purges_per_s: 76,
      configurations_per_day: 12000,
      configuration_bytes: 300,
      list_changes_per_day: 3600,
      hosts: 40,
    },
    phases: [
      { name: 'settling', seconds: 20, settling: true },
      { name: 'quiet', seconds: 15 },
      { name: 'findings', seconds: 6, findings_per_s: 2 },
      { name: 'wanting', seconds: 6, wanting: 0.5 },
      { name: 'cut', seconds: 6, cut: 'region-2' },
      { name: 'healed', seconds: 6 },
      { name: 'log lost', seconds: 4, log_lost: true },
      { name: 'log back', seconds: 4 },
    ],
  },
  // Settles until membership news of all starts has spread (docs/CAPACITY.md), except at 1,000 and 3,000.
  virtual: [
    { size: 100, settle_s: 40, seconds: 10, feed_sources: 4096 },
    { size: 300, settle_s: 70, seconds: 10, feed_sources: 4096 },
    { size: 1000, settle_s: 14, seconds: 6, feed_sources: 4096 },
    { size: 3000, settle_s: 12, seconds: 3, feed_sources: 4096 },
  ],
  // Lines are fitted to the first three sizes and checked at the others.
  delivery: [delivery(n, std.max(3, std.round(n / 455))) for n in [100, 300, 1000, 3000, 10000]],
  state: [100, 300, 1000],
  decisions: { hosts: [10, 100, 400, 1500], locations: [1, 98], visits: 20000 },
}
