//! All decisions of a dispatcher. The host calls `start` once, then `listed`, `arrived`, `ended`, `left`,
//! `purged` and `woken` as things happen; these only update what is known. After each round it pulls
//! decisions with `next` until there is none. The values are in `calls`, the settings in `settings`.
//! The ordinary path is the semi-hashing rule of Ni et al.; docs/design.md lists every exception to it.
use crate::calls::*;
use crate::containers::{rendezvous, Bucket, DueTimes, Mean};
use crate::ids::*;
use crate::settings::{ColdStart, Effect, Group, Settings};
use crate::state::{Asked, BandSeen, Breaker, Host, Open, Sent};
use crate::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

// The design's open values.
const ALPHA: f64 = 1.0;
const HALVING: Span = Span::millis(10_000);
const FORGET: Span = Span::millis(30_000);
const TOP_RANK: u8 = 3;
const LOWEST_RANK: u8 = 1;
const TOP_SHARE: f64 = 0.15;
// Timer, final answers and further hand-offs.
const ROUND: Span = Span::millis(10);
const ANSWER_MARGIN: Span = Span::millis(25);
const RETRY_SHARE: f64 = 0.25;
const RETRY_BURST: f64 = 12.0;
// Health.
const PHI_SILENT: f64 = 8.0;
const SILENT_LEAST: Span = Span::millis(400);
const BAD_SHARE: f64 = 0.35;
const BAD_OVER_PEERS: f64 = 2.5;
const TRIALS_TO_CLOSE: u32 = 3;
const REST_FIRST: Span = Span::millis(600);
const REST_MOST: Span = Span::millis(4_000);
// Cold starts: the part of the permitted budget that is spent, and how much of a window at once.
const COLD_SPEND: f64 = 0.5;
const COLD_BURST: f64 = 0.2;
// Limits on what is in flight.
const LIMIT_START: f64 = 24.0;
const LIMIT_LEAST: f64 = 4.0;
const SLOWER_BORNE: f64 = 2.5;

#[derive(Clone, Copy, Debug)]
enum Due {
    HardLimit(VisitId),
    Halve,
    Second,
}

pub struct Brain {
    set: Settings,
    chance: Pcg64Mcg,
    hosts: BTreeMap<HostId, Host>,
    visits: BTreeMap<VisitId, Open>,
    sent: BTreeMap<(VisitId, HandOffNo), Sent>,
    asked: BTreeMap<ObjectId, Asked>,
    bytes_asked: f64,
    admitted: u32,
    admitted_count: f64,
    admitted_bytes: f64,
    purged_objects: BTreeMap<ObjectId, Time>,
    purged_groups: BTreeMap<GroupId, Time>,
    bands: Vec<BandSeen>,
    due: DueTimes<Due>,
    waiting: VecDeque<VisitId>,
    ready: VecDeque<Decision>,
    further: Bucket,
}

impl Brain {
    pub fn start(set: Settings, seed: u64, now: Time) -> Brain {
        let bands = set.bands.iter().map(|_| BandSeen::default()).collect();
        let mut brain = Brain {
            set,
            chance: Pcg64Mcg::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            visits: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            bytes_asked: 0.0,
            admitted: 0,
            admitted_count: 0.0,
            admitted_bytes: 0.0,
            purged_objects: BTreeMap::new(),
            purged_groups: BTreeMap::new(),
            bands,
            due: DueTimes::default(),
            waiting: VecDeque::new(),
            ready: VecDeque::new(),
            further: Bucket::default(),
        };
        brain.further.level = RETRY_BURST;
        brain.due.put(now + HALVING, Due::Halve);
        brain.due.put(now + Span::millis(1_000), Due::Second);
        brain.ready.push_back(Decision::Wake { after: ROUND });
        brain
    }

    // ---- inputs ----

    /// A list of hosts, whole or only what changed. Hosts missing from a whole list are gone.
    pub fn listed(&mut self, now: Time, entries: &[Listing], whole: bool) {
        if whole {
            for host in self.hosts.values_mut() {
                host.entry.phase = Phase::Gone;
            }
        }
        for entry in entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host::new(*entry, now));
            let restarted = entry.since > host.entry.since;
            host.entry = *entry;
            if restarted {
                // A process that started anew has lost what it held and what was known of it.
                host.cold_since = entry.since;
                host.breaker = Breaker::Closed;
                host.bad = Mean::default();
                host.cold = Bucket::default();
            }
        }
    }

    pub fn arrived(&mut self, now: Time, visit: Visit) {
        let popular = self.count(now, &visit);
        self.further.level = (self.further.level + RETRY_SHARE).min(RETRY_BURST);
        if let (Some(kb), Some(seen)) = (visit.kilobytes, self.bands.get_mut(usize::from(visit.band.0))) {
            seen.kilobytes.push(kb, 0.01);
        }
        let open = Open { visit, hand_offs: 0, out: 0, popular, may_have_run: None, avoid: Vec::new() };
        self.visits.insert(visit.id, open);
        self.due.put(visit.hard_limit - ANSWER_MARGIN, Due::HardLimit(visit.id));
        self.waiting.push_back(visit.id);
    }

    pub fn left(&mut self, id: VisitId) {
        self.finish(id);
    }

    pub fn ended(&mut self, now: Time, end: Ended) {
        let Some(sent) = self.sent.remove(&(end.visit, end.number)) else {
            return;
        };
        self.learn(now, &sent, &end);
        if end.last {
            self.finish(end.visit);
            return;
        }
        let Some(open) = self.visits.get_mut(&end.visit) else {
            return;
        };
        open.out = open.out.saturating_sub(1);
        if !end.outcome.never_ran() && open.may_have_run.is_none_or(|(at, _)| sent.at < at) {
            open.may_have_run = Some((sent.at, sent.host));
        }
        let blamed = if source_at_fault(&end) { sent.source } else { Some(sent.host) };
        open.avoid.extend(blamed);
        if open.out == 0 {
            self.waiting.push_back(end.visit);
        }
    }

    /// A purge of one object, or of a whole group, that happened so long ago.
    pub fn purged(&mut self, now: Time, group: GroupId, object: Option<ObjectId>, ago: Span) {
        let at = now - ago;
        let known = match object {
            Some(object) => self.purged_objects.entry(object).or_insert(at),
            None => self.purged_groups.entry(group).or_insert(at),
        };
        *known = (*known).max(at);
    }

    pub fn woken(&mut self, now: Time) {
        while let Some(due) = self.due.pop(now) {
            match due {
                Due::HardLimit(id) => self.give_up(id),
                Due::Halve => self.halve(now),
                Due::Second => self.each_second(now),
            }
        }
        self.watch_silence(now);
        self.ready.push_back(Decision::Wake { after: ROUND });
    }

    /// The next decision, or none until something more is known.
    pub fn next(&mut self, now: Time) -> Option<Decision> {
        while self.ready.is_empty() {
            let id = self.waiting.pop_front()?;
            self.decide(now, id);
        }
        self.ready.pop_front()
    }

    // ---- the design: popularity ----

    /// Counts r_i and tells whether the object is popular: r_i > α·r_ave over the admitted set, or the set
    /// is empty. The set's bytes are held to a share of all that is remembered.
    fn count(&mut self, now: Time, visit: &Visit) -> bool {
        let bytes = visit.kilobytes.unwrap_or_else(|| self.sending(visit.band) * self.set.pace);
        let asked = self.asked.entry(visit.object).or_default();
        asked.count += 1.0;
        asked.last = now;
        let part = 1u64 << visit.part.min(63);
        let fresh_bytes = if asked.parts & part == 0 { bytes } else { 0.0 };
        asked.parts |= part;
        asked.bytes += fresh_bytes;
        self.bytes_asked += fresh_bytes;
        if asked.admitted {
            self.admitted_count += 1.0;
            self.admitted_bytes += fresh_bytes;
        }
        let mean = self.admitted_count / f64::from(self.admitted.max(1));
        if self.admitted > 0 && asked.count <= ALPHA * mean {
            return false;
        }
        let room = self.admitted == 0 || self.admitted_bytes + asked.bytes <= TOP_SHARE * self.bytes_asked;
        if !asked.admitted && room {
            asked.admitted = true;
            self.admitted += 1;
            self.admitted_count += asked.count;
            self.admitted_bytes += asked.bytes;
        }
        asked.admitted
    }

    fn halve(&mut self, now: Time) {
        self.asked.retain(|_, asked| now - asked.last < FORGET);
        for asked in self.asked.values_mut() {
            asked.count /= 2.0;
        }
        let kept = || self.asked.values().filter(|asked| asked.admitted);
        let (admitted, count) = (kept().count() as u32, kept().map(|a| a.count).sum());
        let bytes = kept().map(|a| a.bytes).sum();
        (self.admitted, self.admitted_count, self.admitted_bytes) = (admitted, count, bytes);
        self.bytes_asked = self.asked.values().map(|a| a.bytes).sum();
        self.due.put(now + HALVING, Due::Halve);
    }

    // ---- deciding a visit ----

    fn decide(&mut self, now: Time, id: VisitId) {
        let Some(open) = self.visits.get(&id) else {
            return;
        };
        if open.out > 0 {
            return;
        }
        let (visit, again) = (open.visit, open.hand_offs > 0);
        let late = now + ANSWER_MARGIN >= visit.hard_limit;
        let used_up = open.hand_offs >= self.set.max_hand_offs || (again && !self.further.take(1.0));
        if late || used_up || !self.may_go_again(now, id) {
            self.give_up(id);
            return;
        }
        let writes = self.band(visit.band).is_some_and(|band| band.writes);
        let choice = if writes { self.choose_for_write(now, id) } else { self.choose(now, id) };
        match choice {
            Some((host, fill)) => self.hand_off(now, id, host, fill),
            None => self.give_up(id),
        }
    }

    /// The one place that says whether a visit may be handed off again after what is known of its effects.
    fn may_go_again(&self, now: Time, id: VisitId) -> bool {
        let Some(open) = self.visits.get(&id) else {
            return false;
        };
        let Some((first, _)) = open.may_have_run else {
            return true;
        };
        match self.band(open.visit.band).map(|band| band.effect) {
            Some(Effect::Idempotent) => true,
            Some(Effect::Deduplicated { memory, .. }) => now + ANSWER_MARGIN < first + memory,
            _ => false,
        }
    }

    /// A deduplicated visit that may have run goes only to hosts that drop its repeats.
    fn same_group(&self, open: &Open, host: HostId) -> bool {
        let Some((_, first)) = open.may_have_run else {
            return true;
        };
        let (Some(a), Some(b)) = (self.hosts.get(&first), self.hosts.get(&host)) else {
            return false;
        };
        match self.band(open.visit.band).map(|band| band.effect) {
            Some(Effect::Deduplicated { group: Group::Location, .. }) => a.entry.location == b.entry.location,
            Some(Effect::Deduplicated { group: Group::Cell, .. }) => a.entry.cell == b.entry.cell,
            _ => true,
        }
    }

    /// The final answer where none came by itself: turned back where that is harmless, else written off.
    fn give_up(&mut self, id: VisitId) {
        let Some(open) = self.visits.get(&id) else {
            return;
        };
        let may_have_run = open.may_have_run.is_some() || open.out > 0;
        let harmless = match self.band(open.visit.band).map(|band| band.effect) {
            Some(Effect::Idempotent) => true,
            Some(Effect::Deduplicated { group: Group::All, .. }) => true,
            _ => !may_have_run,
        };
        self.finish(id);
        self.ready.push_back(if harmless {
            let come_back = Span::millis(200 + self.chance.gen_range(0..300));
            Decision::TurnBack { visit: id, come_back: come_back.min(self.set.come_back_most) }
        } else {
            Decision::WriteOff { visit: id }
        });
    }

    /// Forgets a visit that has its final answer and calls off what is still out for it.
    fn finish(&mut self, id: VisitId) {
        if self.visits.remove(&id).is_none() || !self.set.cancel {
            return;
        }
        let out = self.sent.range((id, HandOffNo(0))..=(id, HandOffNo(u8::MAX)));
        let calls_off = out.map(|(&(visit, number), _)| Decision::Cancel { visit, number });
        self.ready.extend(calls_off);
    }

    /// The ordinary path: the designated cache, or for a popular object the less busy of that and the
    /// dispatcher's own second one; filled from the parent hashed over all listed ones.
    fn choose(&mut self, now: Time, id: VisitId) -> Option<(HostId, Option<Fill>)> {
        let open = self.visits.get(&id)?;
        let (visit, popular) = (open.visit, open.popular);
        let fits = |host: &HostId| !open.avoid.contains(host) && self.same_group(open, *host);
        let mut caches: Vec<HostId> = self.by_hash(visit.object, |h| self.is_cache(h));
        if popular {
            let second = self.own_cache();
            let busy = |id: &HostId| {
                self.hosts.get(id).map_or(f64::MAX, |h| f64::from(h.in_flight) / h.weight(&self.set))
            };
            if let (Some(second), Some(first)) = (second, caches.first().copied()) {
                if second != first && busy(&second) < busy(&first) {
                    caches.retain(|host| *host != second);
                    caches.insert(0, second);
                }
            }
        }
        caches.retain(fits);
        let mut sources: Vec<HostId> = self.by_hash(visit.object, |h| self.is_parent(h));
        sources.retain(fits);
        let origins: Vec<HostId> = self.by_hash(visit.object, |h| self.is_origin(h));
        let origin = origins.into_iter().find(|host| fits(host));
        let oldest = self.oldest(now, &visit);
        let work = self.sending(visit.band);
        let rank = if popular { TOP_RANK } else { LOWEST_RANK };
        let renew = self.band(visit.band).is_some_and(|band| band.fresh > Span::ZERO);
        let join = self.set.joins;
        let source = self.first_open(now, &sources, work).or(origin.filter(|o| self.takes(now, *o, work)));
        if let Some(cache) = self.first_open(now, &caches, work) {
            // With no source in reach a cache may still hold the object; it is asked without a fill.
            let source = source.unwrap_or(cache);
            return Some((cache, Some(Fill { source, rank, oldest, join, renew })));
        }
        if !self.set.direct {
            return None;
        }
        let host = source?;
        let behind = origin.unwrap_or(host);
        Some((host, Some(Fill { source: behind, rank: 0, oldest, join, renew: false })))
    }

    /// Writes run at the origin: straight where that is allowed, else through a cache.
    fn choose_for_write(&mut self, now: Time, id: VisitId) -> Option<(HostId, Option<Fill>)> {
        let object = self.visits.get(&id)?.visit.object;
        let origin = self.by_hash(object, |h| self.is_origin(h)).first().copied()?;
        if self.set.direct {
            return Some((origin, None));
        }
        let open = self.visits.get(&id)?;
        let mut caches = self.by_hash(object, |h| self.is_cache(h));
        caches.retain(|host| !open.avoid.contains(host) && self.same_group(open, *host));
        let cache = self.first_open(now, &caches, self.sending(self.visits.get(&id)?.visit.band))?;
        Some((cache, Some(Fill { source: origin, rank: 0, oldest: Span::ZERO, join: false, renew: false })))
    }

    fn hand_off(&mut self, now: Time, id: VisitId, host: HostId, fill: Option<Fill>) {
        let Some(open) = self.visits.get_mut(&id) else {
            return;
        };
        let number = HandOffNo(open.hand_offs);
        open.hand_offs += 1;
        open.out += 1;
        let (band, until) = (open.visit.band, open.visit.hard_limit - ANSWER_MARGIN);
        let work = self.sending(band);
        let source = fill.map(|fill| fill.source).filter(|source| *source != host);
        for part in [Some(host), source].into_iter().flatten() {
            let multiple = self.cold_rules(part);
            if let Some(known) = self.hosts.get_mut(&part) {
                if known.is_cold(now, multiple.ramp) {
                    known.cold.level -= work;
                }
            }
        }
        let mut trial = false;
        if let Some(known) = self.hosts.get_mut(&host) {
            if known.in_flight == 0 {
                known.waiting_since = now;
            }
            known.in_flight += 1;
            if let Breaker::Trial { out, .. } = &mut known.breaker {
                (*out, trial) = (true, true);
            }
        }
        self.sent.insert((id, number), Sent { at: now, host, source, band, work, trial });
        self.ready.push_back(Decision::HandOff { visit: id, host, until, fill });
    }

    /// The oldest copy that will do. After a purge it is the time since, until no older copy is left
    /// anywhere; zero would mean any age, so it is never given then.
    fn oldest(&self, now: Time, visit: &Visit) -> Span {
        let object = self.purged_objects.get(&visit.object);
        let purge = object.max(self.purged_groups.get(&visit.group)).copied();
        let Some(purge) = purge.filter(|at| now < *at + self.purge_memory()) else {
            return Span::ZERO;
        };
        let since = (now - purge).max(Span(1));
        match self.band(visit.band).map(|band| band.fresh) {
            Some(fresh) if fresh > Span::ZERO => since.min(fresh),
            _ => since,
        }
    }

    fn purge_memory(&self) -> Span {
        self.set.purge_done + self.set.purge_grace
    }

    // ---- hosts ----

    fn is_cache(&self, host: &Host) -> bool {
        !self.is_parent(host) && !self.is_origin(host) && host.entry.location == self.set.location
    }

    fn is_parent(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.set.parent_kind
    }

    fn is_origin(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.set.origin_kind
    }

    /// The listed ready hosts of one sort in the rendezvous order of an object.
    fn by_hash(&self, object: ObjectId, sort: impl Fn(&Host) -> bool) -> Vec<HostId> {
        let listed = self.hosts.values().filter(|h| h.entry.phase == Phase::Ready && sort(h));
        let value = |h: &Host| rendezvous(object, h.entry.host, h.weight(&self.set));
        let mut order: Vec<(f64, HostId)> = listed.map(|h| (value(h), h.entry.host)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, host)| host).collect()
    }

    /// The second cache of popular objects, by the dispatcher's own number.
    fn own_cache(&self) -> Option<HostId> {
        let caches: Vec<&Host> =
            self.hosts.values().filter(|h| h.entry.phase == Phase::Ready && self.is_cache(h)).collect();
        let place = (self.set.me as usize).checked_rem(caches.len())?;
        caches.get(place).map(|h| h.entry.host)
    }

    fn first_open(&mut self, now: Time, order: &[HostId], work: f64) -> Option<HostId> {
        order.iter().copied().find(|host| self.takes(now, *host, work))
    }

    /// Whether a host is fit for one more visit now; else it is stepped over for this visit only.
    fn takes(&mut self, now: Time, id: HostId, work: f64) -> bool {
        let rules = self.cold_rules(id);
        let rate = self.cold_rate(now, id);
        let Some(host) = self.hosts.get_mut(&id) else {
            return false;
        };
        if let Breaker::Open { until, rest } = host.breaker {
            if now >= until {
                host.breaker = Breaker::Trial { passed: 0, out: false, rest };
            }
        }
        let breaker = match host.breaker {
            Breaker::Closed => true,
            Breaker::Open { .. } => false,
            Breaker::Trial { out, .. } => !out,
        };
        if host.is_cold(now, rules.ramp) {
            host.cold.refill(now, rate, rate * rules.window.as_seconds() * COLD_BURST);
            if host.cold.level < work {
                return false;
            }
        }
        breaker && f64::from(host.in_flight) < host.limit
    }

    fn cold_rules(&self, id: HostId) -> ColdStart {
        let parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        if parent {
            self.set.cold_parent
        } else {
            self.set.cold_cache
        }
    }

    /// Guards rule 4. What this dispatcher may send a cold host each second, in seconds of sending time:
    /// its part of multiple x present capacity, where capacity rises in a line from the cold share.
    fn cold_rate(&self, now: Time, id: HostId) -> f64 {
        let Some(host) = self.hosts.get(&id) else {
            return 0.0;
        };
        let Some(since) = host.cold_since else {
            return f64::INFINITY;
        };
        let rules = self.cold_rules(id);
        let part = ((now - since).as_seconds() / rules.ramp.as_seconds().max(0.001)).min(1.0);
        let warm = rules.share + (1.0 - rules.share) * part;
        let senders = if self.is_parent(host) { self.set.dispatchers } else { self.set.location_dispatchers };
        COLD_SPEND * rules.multiple * warm * self.capacity(host) / f64::from(senders.max(1))
    }

    /// A host's full capacity in transfers at full pace: as listed, else what its peers were seen to carry.
    fn capacity(&self, host: &Host) -> f64 {
        if self.set.weights_told {
            return host.entry.weight;
        }
        let parent = self.is_parent(host);
        let links: f64 = self.set.links.iter().sum();
        let ready = self.hosts.values().filter(|h| h.entry.phase == Phase::Ready);
        if parent && links > 0.0 && self.set.pace > 0.0 {
            let parents = ready.filter(|h| self.is_parent(h)).count();
            return links / self.set.pace / parents.max(1) as f64;
        }
        let peers = ready.filter(|h| self.is_parent(h) == parent && self.is_cache(h) != parent);
        let carried = peers.map(|h| h.carried.value).fold(0.0, f64::max);
        (carried * f64::from(self.set.location_dispatchers)).max(1.0)
    }

    fn band(&self, id: BandId) -> Option<&crate::settings::Band> {
        self.set.bands.get(usize::from(id.0))
    }

    /// The band's mean sending time in seconds: by size where that is told, else by answers; before any is
    /// known the quoted time stands for it, which is more.
    fn sending(&self, id: BandId) -> f64 {
        let (Some(band), Some(seen)) = (self.band(id), self.bands.get(usize::from(id.0))) else {
            return 1.0;
        };
        if seen.kilobytes.seen > 0 && self.set.pace > 0.0 {
            return seen.kilobytes.value / self.set.pace;
        }
        seen.sending.or(band.quoted.as_seconds())
    }

    // ---- learning ----

    fn learn(&mut self, now: Time, sent: &Sent, end: &Ended) {
        use Outcome::*;
        let answered = matches!(end.outcome, Settled | Error | Full | Miss);
        let failed = matches!(end.outcome, Error | TimedOut | ConnectFailed | Reset);
        if end.outcome == Settled && end.note != Note::Filled && end.note != Note::FilledByOrigin {
            if let Some(seen) = self.bands.get_mut(usize::from(sent.band.0)) {
                seen.sending.push(end.took.as_seconds(), 0.02);
            }
        }
        let by_source = source_at_fault(end);
        if let Some(source) = sent.source.and_then(|source| self.hosts.get_mut(&source)) {
            let untold = failed && end.note == Note::Untold;
            source.bad.push(f64::from(by_source || untold), 0.08);
        }
        let sending = self.sending(sent.band);
        let Some(host) = self.hosts.get_mut(&sent.host) else {
            return;
        };
        host.in_flight = host.in_flight.saturating_sub(1);
        if matches!(end.outcome, Cancelled | Moot) {
            if let (Breaker::Trial { out, .. }, true) = (&mut host.breaker, sent.trial) {
                *out = false;
            }
            return;
        }
        if answered {
            host.gap.push((now - host.heard.max(host.waiting_since)).as_seconds(), 0.05);
            host.heard = now;
        }
        let at_fault = failed && !by_source;
        host.bad.push(f64::from(at_fault), 0.12);
        if end.outcome == Settled {
            host.settled_work += sending;
            host.follow(end.took.as_seconds() / sending.max(0.001));
        }
        match &mut host.breaker {
            Breaker::Trial { passed, out, rest } if sent.trial => {
                *out = false;
                *passed += 1;
                if at_fault {
                    let rest = (*rest + *rest).min(REST_MOST);
                    host.breaker = Breaker::Open { until: now + rest, rest };
                } else if *passed >= TRIALS_TO_CLOSE {
                    host.breaker = Breaker::Closed;
                    host.bad = Mean::default();
                    self.log(format!("host {:x} back after {TRIALS_TO_CLOSE} good trials", sent.host.0));
                }
            }
            Breaker::Closed => {
                let gone = matches!(end.outcome, ConnectFailed | Reset);
                self.judge(now, sent.host, gone);
                if let (true, Some(source)) = (by_source || failed, sent.source) {
                    self.judge(now, source, false);
                }
            }
            _ => {}
        }
    }

    /// Opens a host's breaker when it fails far more often than its peers. Guards against fast errors,
    /// closed ports and broken paths to one host. When most peers fail alike the common part behind them
    /// is at fault, and the plain hash goes on.
    fn judge(&mut self, now: Time, id: HostId, gone: bool) {
        let Some(host) = self.hosts.get(&id) else {
            return;
        };
        let enough = host.bad.seen >= 4 || gone;
        let peers: Vec<f64> = self.peers(id).map(|h| h.bad.value).collect();
        let peers_bad = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        if enough && host.bad.value > BAD_SHARE && host.bad.value > BAD_OVER_PEERS * peers_bad {
            let why = format!("failing {:.2}, peers {:.2}", host.bad.value, peers_bad);
            self.open(now, id, why);
        }
    }

    fn peers(&self, id: HostId) -> impl Iterator<Item = &Host> {
        let parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let alike = move |h: &Host| if parent { self.is_parent(h) } else { self.is_cache(h) };
        self.hosts.values().filter(move |h| h.entry.host != id && h.entry.phase == Phase::Ready && alike(h))
    }

    fn open(&mut self, now: Time, id: HostId, why: String) {
        let (all, shut) = self
            .peers(id)
            .fold((1, 1), |(all, shut), h| (all + 1, shut + u32::from(h.breaker != Breaker::Closed)));
        if all > 1 && shut * 2 > all {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&id) {
            host.breaker = Breaker::Open { until: now + REST_FIRST, rest: REST_FIRST };
            self.log(format!("host {:x} shut: {why}", id.0));
        }
    }

    /// Phi accrual: a host is silent when its present silence is very unlikely given the gaps before.
    fn watch_silence(&mut self, now: Time) {
        let silent = |h: &&Host| {
            let silence = now - h.heard.max(h.waiting_since);
            let mean = h.gap.or(1.0).max(0.02);
            let phi = silence.as_seconds() / mean * std::f64::consts::LOG10_E;
            h.in_flight > 0 && h.breaker == Breaker::Closed && phi > PHI_SILENT && silence > SILENT_LEAST
        };
        let found: Vec<HostId> = self.hosts.values().filter(silent).map(|h| h.entry.host).collect();
        for id in found {
            self.open(now, id, "silent".to_string());
            let shut = self.hosts.get(&id).is_some_and(|h| h.breaker != Breaker::Closed);
            if shut && self.set.cancel {
                let out = self.sent.iter().filter(|(_, sent)| sent.host == id);
                let calls_off = out.map(|(&(visit, number), _)| Decision::Cancel { visit, number });
                self.ready.extend(calls_off);
            }
        }
    }

    fn each_second(&mut self, now: Time) {
        let memory = self.purge_memory();
        self.purged_objects.retain(|_, at| now < *at + memory);
        self.purged_groups.retain(|_, at| now < *at + memory);
        for host in self.hosts.values_mut() {
            host.carried.push(host.settled_work, 0.2);
            host.settled_work = 0.0;
        }
        self.due.put(now + Span::millis(1_000), Due::Second);
    }

    fn log(&mut self, line: String) {
        self.ready.push_back(Decision::Log(line));
    }
}

impl Host {
    fn new(entry: Listing, now: Time) -> Host {
        Host {
            entry,
            in_flight: 0,
            heard: now,
            waiting_since: now,
            gap: Mean::default(),
            bad: Mean::default(),
            breaker: Breaker::Closed,
            cold_since: entry.since,
            cold: Bucket::default(),
            carried: Mean::default(),
            settled_work: 0.0,
            limit: LIMIT_START,
            slowness: Mean::default(),
            slowness_best: f64::MAX,
        }
    }

    fn weight(&self, set: &Settings) -> f64 {
        if set.weights_steady && self.entry.weight > 0.0 {
            f64::from(self.entry.weight as f32)
        } else {
            1.0
        }
    }

    fn is_cold(&self, now: Time, ramp: Span) -> bool {
        self.cold_since.is_some_and(|since| now < since + ramp)
    }

    /// The gradient: the limit follows shortest answer time / present one, both against the band's mean.
    fn follow(&mut self, slowness: f64) {
        self.slowness.push(slowness, 0.05);
        if self.slowness.seen >= 20 {
            self.slowness_best = (self.slowness_best * 1.0005).min(self.slowness.value);
        }
        let gradient = (SLOWER_BORNE * self.slowness_best / self.slowness.value).clamp(0.5, 1.0);
        if gradient < 1.0 || f64::from(self.in_flight) > self.limit / 2.0 {
            let wanted = gradient * self.limit + self.limit.sqrt();
            self.limit = (self.limit + 0.1 * (wanted - self.limit)).max(LIMIT_LEAST);
        }
    }
}

/// Whether the notes lay a failure on the source of the fill rather than on the host that was asked.
fn source_at_fault(end: &Ended) -> bool {
    use Note::*;
    matches!(end.note, SourceRefused | SourceUnreached | SourceLacks | OriginFailed)
}
