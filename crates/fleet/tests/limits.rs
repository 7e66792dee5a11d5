//! Limits that hold in sum: seeded schedules on the made network, and every order of small cases.
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::limits::{Effect, Guard, Key, Limits, Part, Said, Set};
use cherrypass_fleet::made::{Link, Network, Node};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const WHOLE: f64 = 1.0;
const COLD: Key = Key::Cold(HostId(7));
const GUARDS: [Guard; 5] =
    [Guard::Start, Guard::FromTheAsk, Guard::LowerFirst, Guard::Drain, Guard::EachStep];

fn set() -> Set {
    Set {
        origin: Some(WHOLE),
        further_per_s: Some(WHOLE),
        cold: true,
        lease: Span::millis(1000),
        drain: Span::millis(300),
        window: Span::millis(300),
        ..Set::default()
    }
}

/// A part a run was allowed, in true time.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    from: Time,
    part: Part,
    end: Option<Time>,
}

/// What each run may have out: a part counts for as long as what was begun under it may be out.
#[derive(Clone, Debug, Default)]
struct Uses(BTreeMap<(MemberId, Incarnation, Key), Vec<Allowed>>);

impl Uses {
    /// `part.until` in true time.
    fn put(&mut self, who: (MemberId, Incarnation, Key), from: Time, part: Part) {
        let allowed = self.0.entry(who).or_default();
        if let Some(last) = allowed.last_mut() {
            last.end = Some(from);
        }
        allowed.push(Allowed { from, part, end: None });
    }

    fn killed(&mut self, who: MemberId, at: Time) {
        let of_it = self.0.iter_mut().filter(|(key, _)| key.0 == who).filter_map(|(_, all)| all.last_mut());
        of_it.filter(|last| last.end.is_none()).for_each(|last| last.end = Some(at));
    }

    /// The most that may be out now: of each run the highest it was allowed within the drain.
    fn sum(&mut self, now: Time, drain: Span, key: Key) -> f64 {
        let since = now - drain;
        self.0.retain(|_, all| {
            all.retain(|one| one.end.is_none_or(|end| end > since));
            !all.is_empty()
        });
        let most = |one: &Allowed| {
            let (first, last) = (one.from.max(since), one.end.unwrap_or(now));
            let early = if first < one.part.until { one.part.amount } else { 0.0 };
            early.max(if last >= one.part.until { one.part.after } else { 0.0 })
        };
        let of_key = self.0.iter().filter(|(who, _)| who.2 == key);
        of_key.map(|(_, all)| all.iter().map(most).fold(0.0, f64::max)).sum()
    }
}

type Noted = Rc<RefCell<Vec<(MemberId, Incarnation, Key, Part, Time)>>>;

/// A member and its dispatcher, which takes a part at once, or only at the next round.
struct Member {
    limits: Limits,
    id: MemberId,
    incarnation: Incarnation,
    needs: BTreeMap<Key, f64>,
    late: bool,
    to_take: Vec<(Key, Part)>,
    noted: Noted,
}

impl Member {
    fn take(&mut self, now: Time) {
        for (key, part) in std::mem::take(&mut self.to_take) {
            self.noted.borrow_mut().push((self.id, self.incarnation, key, part, now));
            self.limits.taken(now, key);
        }
    }
}

impl Node for Member {
    type Said = Said;
    fn heard(&mut self, now: Time, from: MemberId, said: Said) {
        self.limits.heard(now, from, said);
    }
    fn woken(&mut self, now: Time) {
        self.take(now);
        for (key, need) in &self.needs {
            self.limits.wants(now, *key, *need);
        }
        self.limits.woken(now);
    }
    fn next(&mut self, now: Time) -> Option<(MemberId, Said)> {
        while let Some(effect) = self.limits.next() {
            match effect {
                Effect::Tell { to, said } => return Some((to, said)),
                Effect::Part { key, amount, until, after } => {
                    self.to_take.push((key, Part { amount, until, after }));
                    if !self.late {
                        self.take(now);
                    }
                }
                Effect::Log(_) => {}
            }
        }
        None
    }
}

struct Play {
    network: Network<Member>,
    members: Vec<MemberId>,
    rates: BTreeMap<MemberId, f64>,
    uses: Uses,
    noted: Noted,
    guard: Option<Guard>,
    starts: u64,
    keys: Vec<Key>,
    most: f64,
    late: bool,
}

impl Play {
    fn new(seed: u64, n: usize, keys: &[Key], guard: Option<Guard>) -> Play {
        let members: Vec<MemberId> = (0..n).map(|i| MemberId::of(&format!("d{i}"))).collect();
        let mut play = Play {
            network: Network::new(seed, set().round),
            rates: BTreeMap::new(),
            members: members.clone(),
            uses: Uses::default(),
            noted: Noted::default(),
            guard,
            starts: 0,
            keys: keys.to_vec(),
            most: 0.0,
            late: seed % 2 == 1,
        };
        for id in members {
            let rates = [0.99, 1.01, play.network.chance.gen_range(0.99..=1.01)];
            play.rates.insert(id, rates[play.network.chance.gen_range(0..3)]);
            play.start(id);
        }
        play
    }

    fn start(&mut self, id: MemberId) {
        self.uses.killed(id, self.network.now);
        self.starts += 1;
        let (incarnation, seed) = (Incarnation(self.starts), self.network.chance.gen());
        let (members, guard, noted, late) = (self.members.clone(), self.guard, self.noted.clone(), self.late);
        self.network.start(id, self.rates[&id], |now| {
            let limits = Limits::new(set(), id, incarnation, &members, seed, now).without(guard);
            Member { limits, id, incarnation, needs: BTreeMap::new(), late, to_take: Vec::new(), noted }
        });
    }

    fn need(&mut self, id: MemberId, key: Key, need: f64) {
        self.network.call(id, |member, _| member.needs.insert(key, need));
    }

    fn play(&mut self, span: Span) {
        let Play { network, uses, noted, rates, keys, most, .. } = self;
        network.play(span, |network| {
            let changed = !noted.borrow().is_empty();
            for (id, incarnation, key, part, clock) in noted.borrow_mut().drain(..) {
                let until = network.now + (part.until - clock).times(1.0 / rates[&id]);
                uses.put((id, incarnation, key), network.now, Part { until, ..part });
            }
            if changed {
                for key in keys.iter() {
                    *most = most.max(uses.sum(network.now, set().drain, *key));
                }
            }
        });
    }
}

/// Loss, repeats, reorder, delays of seconds, one-way cuts, stops longer than a lease, restarts at once.
fn schedule(seed: u64, guard: Option<Guard>) -> f64 {
    let n = 2 + seed as usize % 5;
    let keys = [Key::Origin, Key::Further, COLD];
    let mut play = Play::new(seed, n, &keys[..1 + seed as usize % 3], guard);
    let mut chance = Pcg64Mcg::seed_from_u64(!seed);
    for _ in 0..25 {
        let id = play.members[chance.gen_range(0..n)];
        let other = play.members[chance.gen_range(0..n)];
        match chance.gen_range(0..10) {
            0..=3 => {
                let key = play.keys[chance.gen_range(0..play.keys.len())];
                let need = [0.0, 0.1, 1.0 / n as f64, 0.6, 1.0, 9.0][chance.gen_range(0..6)];
                play.need(id, key, need);
            }
            4 => drop(play.network.cut.insert((id, other))),
            5 => play.network.cut.clear(),
            6 => play.network.stop(id, Span::millis(chance.gen_range(100..3000))),
            7 => play.start(id),
            _ => {
                let most = [5, 100, 3000][chance.gen_range(0..3)];
                let delay = [Span::millis(1), Span::millis(most)];
                let part = chance.gen_range(0.0..0.3);
                play.network.link = Link { lost: part, twice: part, delay };
            }
        }
        play.play(Span::millis(chance.gen_range(50..1000)));
    }
    play.most
}

#[test]
fn the_sum_holds_on_seeded_schedules() {
    let most = (0..2000).map(|seed| (schedule(seed, None), seed)).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap();
    assert!(most.0 <= WHOLE + 1e-9, "seed {}: {} in sum", most.1, most.0);
    assert!(most.0 > 0.95, "the limit is hardly used");
}

#[test]
fn each_guard_is_needed() {
    for guard in GUARDS {
        let found = (0..2000).find(|seed| schedule(*seed, Some(guard)) > WHOLE + 1e-6);
        println!("{guard:?} out: seed {found:?}");
        assert!(found.is_some(), "{guard:?}");
    }
}
