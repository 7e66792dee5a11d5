// The operators' own file (docs/keeping.md, docs/fleet-file.md). A section that is absent is off; on the platform all sections are, since
// there is no persistent disk: `run` in balancer.toml names no operators' file.
local mb = 1e6;
{
  // store: {
  //   dir: '/var/lib/cherrypass',
  //   hand_offs: 'written',
  //   background: { bytes_per_s: 8 * mb },
  // },

  // The fleet that this dispatcher belongs to. All members have the same file except for `me`, `listen`, `events` and
  // `control`; limits hold for all of them in sum.
  // fleet: {
  //   name: 'shop',
  //   me: 'd1',
  //   listen: '127.0.0.1:7001',
  //   members: [{ name: 'd%d' % n, address: '127.0.0.1:%d' % (7000 + n), location: 'edge' } for n in std.range(1, 3)],
  //   limits: { origin: 40, further_per_s: 20, cold: true, lease_ms: 2000, floor: 0.04 },
  //   verdicts: { hold_ms: 10000, tellers: 2 },
  //   // Two of them deliver the change log; a process that only follows need not be in `members` (docs/fleet-delivery.md).
  //   delivery: { log: 'main', carriers: ['d1', 'd2'], fallback_ms: 5000, proof_ms: 1100, unproven: 'strict' },
  //   rollout: { order: ['edge'], first: 0.25, hold_s: 60, visits: 1000, after_halt: 'back' },
  // },
}
