// Delivery between processes with faults: two real carriers, 40 followers in two processes.
local between(process, more={}) = { process: process } + more;
{
  seed: 1,
  topology: {
    regions: ['region-1'],
    zones: [{ name: 'zone-1', region: 'region-1' }],
    sites: [{ name: 'site-1', zone: 'zone-1' }],
  },
  processes: [{
    carriers: 2,
    processes: 2,
    followers: 40,
    followers_a_carrier: 30,
    fallback_ms: 2000,
    purges_per_s: 76,
    seconds: 18,
    faults: [
      { at_s: 2, for_s: 2, what: { kill: 'c0' } },
      { at_s: 3, for_s: 3, what: { lose: { part: 0.3, between: between('p0') } } },
      { at_s: 5, for_s: 1, what: { kill: 'p1' } },
      { at_s: 7, for_s: 1.5, what: { stop: 'p0' } },
      { at_s: 8, for_s: 2, what: { lose: { part: 1, between: between('p1') } } },
      { at_s: 10, for_s: 2, what: 'log_lost' },
    ],
  }],
}
