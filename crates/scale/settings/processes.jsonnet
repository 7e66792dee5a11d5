// Delivery between processes with faults: three real carriers, 300 followers in ten processes.
local between(process, more={}) = { process: process } + more;
{
  seed: 1,
  topology: {
    regions: ['region-1'],
    zones: [{ name: 'zone-1', region: 'region-1' }],
    sites: [{ name: 'site-1', zone: 'zone-1' }],
  },
  processes: [{
    carriers: 3,
    processes: 10,
    followers: 300,
    followers_a_carrier: 250,
    fallback_ms: 5000,
    purges_per_s: 76,
    seconds: 60,
    faults: [
      { at_s: 5, for_s: 6, what: { kill: 'c0' } },
      { at_s: 7, for_s: 6, what: { lose: { part: 0.3, between: between('p0') } } },
      { at_s: 8, for_s: 4, what: { kill: 'p1' } },
      { at_s: 14, for_s: 3, what: { stop: 'c1' } },
      { at_s: 15, for_s: 3, what: { stop: 'p2' } },
      { at_s: 18, for_s: 4, what: { lose: { part: 1, between: between('p3') } } },
      { at_s: 18, for_s: 4, what: { lose: { part: 1, between: between('p4', { way: 'to_carriers' }) } } },
      { at_s: 18, for_s: 4, what: { lose: { part: 1, between: between('p5', { way: 'from_carriers' }) } } },
      { at_s: 24, for_s: 4, what: { delay: { least_ms: 20, most_ms: 400, between: between('p6') } } },
      { at_s: 24, for_s: 3, what: { stall: between('p7') } },
      { at_s: 30, for_s: 4, what: 'log_lost' },
      { at_s: 32, for_s: 3, what: { kill: 'c2' } },
      // Longer than `fallback_ms`, so that its followers read the log themselves.
      { at_s: 37, for_s: 14, what: { lose: { part: 1, between: between('p8') } } },
      { at_s: 40, for_s: 2, what: { kill: 'p9' } },
      { at_s: 41, for_s: 0.2, what: { kill: 'p1' } },
      { at_s: 44, for_s: 2, what: { stop: 'c0' } },
      { at_s: 45, for_s: 2, what: { stop: 'c2' } },
    ],
  }],
}
