// A small run for CI: 200 simulated dispatchers, three real ones, and a partitioned region.
{
  seed: 1,
  topology: {
    regions: ['north', 'south', 'east', 'west'],
    zones: [
      { name: 'n1', region: 'north' },
      { name: 's1', region: 'south' },
      { name: 'e1', region: 'east' },
      { name: 'w1', region: 'west' },
    ],
    sites: [{ name: 'site-%d' % s, zone: ['n1', 's1', 'e1', 'w1'][s % 4] } for s in std.range(0, 11)],
  },
  sockets: {
    sizes: [203],
    fit_to: 203,
    real: 3,
    threads: 4,
    followers: 0.1,
    load: {
      purges_per_s: 76,
      configurations_per_day: 12000,
      configuration_bytes: 300,
      list_changes_per_day: 3600,
      hosts: 8,
    },
    phases: [
      { name: 'start', seconds: 10 },
      { name: 'quiet', seconds: 5 },
      { name: 'cut', seconds: 4, cut: 'south' },
      { name: 'healed', seconds: 3 },
    ],
  },
}
