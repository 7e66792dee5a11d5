//! All decisions of a dispatcher. The host calls `start` once, then `listed`, `arrived`, `ended`, `left`,
//! `purged`, `probed` and `woken` as things happen; these only update what is known. After each round it
//! pulls decisions with `next` until there is none. The values are in `calls`, the settings in `settings`.
//! The ordinary path is the semi-hashing rule of Ni et al.; docs/design.md lists every exception to it.
use crate::calls::*;
use crate::containers::Mean;
use crate::ids::*;
use crate::settings::{Effect::*, Group, Settings};
pub use crate::state::Brain;
use crate::state::{Choice, Due, Gate, Host, Open, Sent, Shut};
use crate::time::{Span, Time};
use rand::Rng;

// The design's open values.
const ALPHA: f64 = 1.0;
const HALVING: Span = Span::millis(10_000);
pub(crate) const FORGET: Span = Span::millis(30_000);
const RANKS: [u8; 2] = [1, 3];
const TOP_SHARE: f64 = 0.05;
// Timer, final answers and further hand-offs.
const ROUND: Span = Span::millis(10);
const SECOND: Span = Span::millis(1_000);
const ANSWER_MARGIN: Span = Span::millis(25);
const RETRY_SHARE: f64 = 0.25;
const RETRY_BURST: f64 = 12.0;
const RETRY_AFTER: Span = Span::millis(50);
// Health.
const PHI_SILENT: f64 = 8.0;
const SILENT_LEAST: Span = Span::millis(400);
const GAP: [f64; 2] = [0.02, 0.6];
const PAUSED: Span = Span::millis(100);
const BAD_LEAST: f64 = 0.35;
const BAD_OVER_PEERS: f64 = 5.0;
const BAD_ALONE: f64 = 0.75;
pub(crate) const BAD_WEIGHT: [f64; 2] = [0.12, 0.15];
const ERRORS_ALIKE: usize = 2;
pub(crate) const TRIALS_TO_OPEN: u32 = 3;
// So long a good answer of its own is worth more than others' word, and says nothing of what ends later.
const OWN_WORD: Span = Span::millis(300);
pub(crate) const UNANSWERED: Span = OWN_WORD;
const REST: [Span; 2] = [Span::millis(500), Span::millis(4_000)];
const TOLD_REST: [f64; 2] = [0.3, 3.0];
// Cold starts: the part of the permitted budget that is spent; how much of a window's at once, and up to one
// attempt; how long an attempt may wait to go out.
const COLD_SPEND: f64 = 0.75;
const COLD_BURST: f64 = 0.2;
const COLD_HELD: f64 = 0.8;
const COLD_WAIT: f64 = 0.1;
const SMALLER: f64 = 0.6;
// Limits on what is in flight at a host.
const LIMIT_START: f64 = 12.0;
const LIMIT_A_TRANSFER: f64 = 2.0;
const LIMIT_SLACK: f64 = 0.7;
const LIMIT_LEAST: f64 = 2.0;
const SLOWER_BORNE: f64 = 1.1;
const LATE_BORNE: f64 = 0.45;
// Fills: how many likely ones may be out for each transfer of the location's link, and at one parent of them;
// what part of the quoted time they may take, and how full a link may be reported.
const FILLS_A_TRANSFER: f64 = 1.75;
const FILLS_START: f64 = 12.0;
const FILLS_LATE: f64 = 0.4;
const FILLS_AT_ONE: f64 = 0.5;
const PARENT_LATE: f64 = 0.3;
const SLOWER_ALONE: f64 = 1.3;
pub(crate) const ONWARD_START: f64 = 0.3;
const GATE_LEAST: f64 = 0.1;
const LEARNED_IN: f64 = 4.0;
const ORIGIN_LATE: f64 = 0.8;
const LINK_FULL: f64 = 3.0;
const BUSY_FULL: f64 = 0.8;
const BUSY_HOLDS: Span = Span::millis(4_000);
const BUSY_LEAST: f64 = 0.2;
const BUSY_SILENT: f64 = 4.0;
const PART_GROWS: f64 = 1.25;
const PART_LEAST: f64 = 0.02;
const PROBE_SHARE: f64 = 0.75;
const PROBE_BURST: f64 = 12.0;
const REPORT_HOLDS: Span = Span::millis(1_500);
const MISSES_START: [f64; 2] = [0.7, 0.1];
const PATIENCE: f64 = 0.5;
const FAILED_AS: f64 = 10.0;
// Where notes are untold: a turn-away that took longer was the source's; what a likely hit says of it.
const AT_ONCE: Span = Span::millis(60);
const MAYBE_HIT: f64 = 0.1;

impl Brain {
    pub fn start(set: Settings, seed: u64, now: Time) -> Brain {
        let mut brain = Brain::empty(set, seed);
        brain.further.level = RETRY_BURST;
        let link = brain.set.link_transfers();
        let fills = link.map_or(FILLS_START, |transfers| FILLS_A_TRANSFER * transfers);
        brain.gate.limit = fills / brain.set.sharers();
        brain.gate.most = link.map_or(f64::INFINITY, |_| brain.gate.limit);
        (brain.origin.limit, brain.origin.most) = (brain.gate.limit, f64::INFINITY);
        (brain.gate.borne, brain.origin.borne) = (FILLS_LATE, ORIGIN_LATE);
        (brain.gate.late.value, brain.origin.late.value) = (FILLS_LATE.ln(), ORIGIN_LATE.ln());
        brain.due.put(now + HALVING, Due::Halve);
        brain.due.put(now + SECOND, Due::Second);
        brain.ready.push_back(Decision::Wake { after: ROUND });
        brain
    }

    pub fn arrived(&mut self, now: Time, visit: Visit) {
        let popular = self.is_popular(now, &visit);
        self.further.level = (self.further.level + RETRY_SHARE).min(RETRY_BURST);
        self.probes.level = (self.probes.level + PROBE_SHARE).min(PROBE_BURST);
        let told = self.bands.get_mut(usize::from(visit.band.0)).zip(visit.kilobytes);
        told.into_iter().for_each(|(seen, kb)| seen.kilobytes.push(kb, 0.01));
        self.visits.insert(visit.id, Open::new(visit, popular, now));
        self.due.put(visit.deadline - ANSWER_MARGIN, Due::Deadline(visit.id));
        self.waiting.push_back(visit.id);
    }

    pub fn ended(&mut self, now: Time, end: Ended) {
        let Some(sent) = self.sent.remove(&(end.visit, end.number)) else { return };
        let by_cache = self.hosts.get(&sent.host).is_some_and(|h| self.is_cache(h));
        self.gate.link = end.report.link_full.filter(|_| by_cache).map(|full| (now, full)).or(self.gate.link);
        self.learn(now, &sent, &end);
        self.weigh_errors(now, &sent, &end);
        if end.outcome == Outcome::Settled && sent.host == sent.copy.2 {
            self.copies.entry(sent.copy).or_default().settled = Some(now);
        }
        if end.last {
            return self.left(end.visit);
        }
        let Some(open) = self.visits.get_mut(&end.visit) else { return };
        open.out = open.out.saturating_sub(1);
        if !end.outcome.never_ran() && open.may_have_run.is_none_or(|(at, _)| sent.at < at) {
            open.may_have_run = Some((sent.at, sent.host));
        }
        open.lacks = end.outcome == Outcome::Miss && sent.held;
        open.looked = open.lacks || end.outcome == Outcome::Miss && sent.source.is_none();
        if !open.looked && end.outcome != Outcome::Unsent {
            let source = sent.source.filter(|_| source_at_fault(&end));
            open.avoid.push(source.unwrap_or(sent.host));
        }
        self.waiting.extend((open.out == 0).then_some(end.visit));
    }

    /// An error at once is held against its host when the visit goes well elsewhere. Guards against visits
    /// that no host can serve: a third host's error ends them, none is blamed, and further hand-offs are
    /// given back. Harms where three hosts fail alike: that is found out late.
    fn weigh_errors(&mut self, now: Time, sent: &Sent, end: &Ended) {
        let shut = self.hosts.get(&sent.host).is_some_and(|h| h.shut.is_some());
        let Some(open) = self.visits.get_mut(&end.visit).filter(|_| !shut) else { return };
        if is_hasty(end) {
            let others = open.errors.iter().filter(|other| other.host != sent.host).count();
            open.errors.push(Sent { source: sent.source.filter(|_| end.note == Note::Untold), ..*sent });
            open.hand_offs = if others >= ERRORS_ALIKE { u8::MAX } else { open.hand_offs };
        } else if matches!(end.outcome, Outcome::Settled | Outcome::Miss) {
            for sent in std::mem::take(&mut open.errors) {
                self.judge(now, sent.at, sent.host, true, BAD_WEIGHT[0]);
                sent.source.into_iter().for_each(|id| self.judge(now, sent.at, id, true, BAD_WEIGHT[1]));
            }
        }
    }

    pub fn woken(&mut self, now: Time) {
        while let Some(due) = self.due.pop(now) {
            match due {
                Due::Deadline(id) => self.give_up(id),
                Due::Halve => {
                    self.popularity.halve(now - FORGET);
                    self.copies.retain(|_, c| c.leads > 0 || c.settled.is_some_and(|at| now < at + FORGET));
                    self.due.put(now + HALVING, Due::Halve);
                }
                Due::Second => self.each_second(now),
                Due::Told(id) => self.untold(now, id),
            }
        }
        // After a pause of this dispatcher itself the hosts' silence means nothing: it is counted anew.
        if now > self.last_woken + PAUSED {
            self.hosts.values_mut().for_each(|host| host.heard = now);
        }
        self.last_woken = now;
        self.watch_silence(now);
        self.waiting.extend(self.parked.drain(..));
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

    /// Counts r_i and tells whether the object is popular: r_i > α·r_ave over the admitted set, or the set
    /// is empty. The set's bytes are held to a share of all that is remembered.
    fn is_popular(&mut self, now: Time, visit: &Visit) -> bool {
        let bytes = visit.kilobytes.unwrap_or_else(|| self.sending(visit.band) * self.set.pace);
        let known = &mut self.popularity;
        known.count(now, visit.object, visit.part, bytes);
        let Some(asked) = known.asked.get(&visit.object) else { return false };
        if known.admitted > 0 && asked.count <= ALPHA * known.mean() {
            return false;
        }
        let room = known.admitted_bytes + asked.bytes <= TOP_SHARE * known.bytes;
        let admitted = asked.admitted || known.admitted == 0 || room;
        if admitted {
            known.admit(visit.object);
        }
        admitted
    }

    fn decide(&mut self, now: Time, id: VisitId) {
        let Some(open) = self.visits.get(&id).filter(|open| open.out == 0) else { return };
        let (visit, again) = (open.visit, open.hand_offs > 0 && !open.looked);
        let late = now >= self.may_go_until(open);
        let used_up = open.hand_offs >= self.set.max_hand_offs || (again && !self.may_repeat(now));
        if late || used_up {
            return self.give_up(id);
        }
        let writes = self.band(visit.band).is_some_and(|band| band.writes);
        let choice = if writes { self.choose_for_write(now, visit) } else { self.choose(now, visit) };
        match choice {
            Choice::HandOff(host, fill) => self.hand_off(now, id, host, fill),
            Choice::Wait => self.parked.push(id),
            Choice::GiveUp => self.give_up(id),
        }
    }

    /// The one place that says until when a visit may be handed off (again), by what is known of its effects.
    fn may_go_until(&self, open: &Open) -> Time {
        let last = open.visit.deadline - ANSWER_MARGIN;
        let Some((first, _)) = open.may_have_run else { return last };
        match self.band(open.visit.band).map(|band| band.effect) {
            Some(Idempotent) => last,
            Some(Deduplicated { memory, .. }) => last.min(first + memory - ANSWER_MARGIN),
            _ => Time::default(),
        }
    }

    /// Whether a host has not failed the visit yet and drops its repeats, where it may have run.
    fn fits(&self, open: &Open, host: HostId) -> bool {
        if open.avoid.contains(&host) {
            return false;
        }
        let Some((_, first)) = open.may_have_run else { return true };
        let both = self.hosts.get(&first).zip(self.hosts.get(&host));
        let alike = |same: fn(&Host, &Host) -> bool| both.is_some_and(|(a, b)| same(a, b));
        match self.band(open.visit.band).map(|band| band.effect) {
            Some(Deduplicated { group: Group::Location, .. }) => {
                alike(|a, b| a.entry.location == b.entry.location)
            }
            Some(Deduplicated { group: Group::Cell, .. }) => alike(|a, b| a.entry.cell == b.entry.cell),
            _ => true,
        }
    }

    /// The final answer where none came by itself: turned back where that is harmless, else written off.
    pub fn give_up(&mut self, id: VisitId) {
        let Some(open) = self.visits.get(&id) else { return };
        let may_have_run = open.may_have_run.is_some() || open.out > 0;
        let harmless = match self.band(open.visit.band).map(|band| band.effect) {
            Some(Idempotent | Deduplicated { group: Group::All, .. }) => true,
            _ => !may_have_run,
        };
        self.further.level += open.errors.len().saturating_sub(1) as f64;
        self.left(id);
        self.ready.push_back(if harmless {
            let retry_after = RETRY_AFTER.times(self.chance.gen_range(1.0..2.0));
            Decision::TurnBack { visit: id, retry_after: retry_after.min(self.set.retry_after_most) }
        } else {
            Decision::WriteOff { visit: id }
        });
    }

    /// A host that was asked tells how busy it is, or nothing in the time for that. Guards against sources
    /// that are full, slow or silent and show it in too few fills of this dispatcher's own; harms one whose
    /// probes get lost on the way, which has a smaller part for some seconds.
    pub fn probed(&mut self, now: Time, id: HostId, report: Report) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let busy = report.busy.unwrap_or(BUSY_SILENT);
        host.busy = Some((now, busy));
        host.part = (host.part * (BUSY_FULL / busy.max(0.1)).min(PART_GROWS)).clamp(PART_LEAST, 1.0);
    }

    /// The ordinary path: the designated cache, or for a popular object the less busy of that and the next
    /// one by object and part; filled from the parent hashed over all listed ones.
    fn choose(&mut self, now: Time, visit: Visit) -> Choice {
        let Some(open) = self.visits.get(&visit.id) else { return Choice::GiveUp };
        let (popular, looked, lacks, since) = (open.popular, open.looked, open.lacks, open.since);
        let fits = |host: &HostId| self.fits(open, *host);
        // Past the designated cache parts go apart: a large object doesn't take the next cache down as well.
        let home = self.by_hash(visit.object.0, |h| self.is_cache(h)).first().copied();
        let mut caches =
            self.by_hash(visit.object.0 ^ (u64::from(visit.part) + 1) << 52, |h| self.is_cache(h));
        let second = caches.iter().copied().find(|c| Some(*c) != home);
        let second = second.filter(|own| popular && home.is_some_and(|h| self.busy(*own) < self.busy(h)));
        caches.sort_by_key(|cache| (Some(*cache) != second, Some(*cache) != home));
        caches.retain(fits);
        let mut sources = self.by_hash(self.parent_key(&visit), |h| self.is_parent(h));
        sources.retain(fits);
        let origin = self.by_hash(visit.object.0, |h| self.is_origin(h)).into_iter().find(fits);
        // Guards against an origin that is slow, full or fallen: with no room there the parent is asked for
        // what it holds, so that its hits go on and the origin keeps its places for writes and recovery.
        let shared = self.origin_takes(now, f64::from(lacks));
        let deep = shared && (!self.origin.is_late() || self.has_part(self.origin.limit - self.origin.fills));
        sources.extend(origin.filter(|_| deep));
        let work = self.cold_cost(visit.band);
        let (rank, join) = (RANKS[usize::from(popular)], self.set.joins);
        let renew = self.band(visit.band).is_some_and(|band| band.fresh > Span::ZERO);
        let no_caches = caches.is_empty();
        let mut cache = caches.iter().copied().find(|c| self.has_room(now, *c) && self.able(now, *c, work));
        // A cache that fails now and then is better than none: it goes on where no other takes the visit.
        if cache.is_none() {
            let fails = |b: &Brain, c| b.hosts[&c].bad.value > BAD_LEAST && b.cold_budget(now, c).is_none();
            cache = caches.into_iter().find(|c| fails(self, *c) && self.has_room(now, *c));
        }
        if !no_caches && cache.is_none() {
            return Choice::GiveUp;
        }
        // An own fill under way is joined or waited for: guards against the same bytes coming in twice.
        let led = cache.is_some_and(|cache| self.is_led(now, &visit, cache));
        let patience = self.band(visit.band).map_or(Span::ZERO, |band| band.quoted.times(PATIENCE));
        if led && !join && now < since + patience {
            return Choice::Wait;
        }
        // Guards against any jam behind the caches (a full link, crowded parents, no places for fills): with
        // no room a cache is asked without a fill, so that hits go on. Costs a short hand-off a miss then.
        let crowded = self.gate.link.is_some_and(|(at, full)| now < at + REPORT_HOLDS && full > LINK_FULL);
        let through =
            (deep || !lacks) && (led && join || !crowded && self.has_part(self.gate.limit - self.gate.fills));
        let source = sources.into_iter().find(|s| through && self.takes_part(*s) && self.able(now, *s, work));
        let held = source.is_some() && !deep;
        let oldest = self.oldest(now, &visit, source.is_some() && deep);
        match (cache, source) {
            (_, None) if looked => Choice::GiveUp,
            (Some(cache), source) => {
                self.gate.looks += u32::from(source.is_none());
                self.origin.looks += u32::from(held);
                let source = source.unwrap_or(cache);
                Choice::HandOff(cache, Some(Fill { source, rank, oldest, join, renew, held }))
            }
            (None, Some(host)) if self.set.direct && no_caches && shared => {
                let source = origin.unwrap_or(host);
                Choice::HandOff(host, Some(Fill { source, rank: 0, oldest, join, renew: false, held: false }))
            }
            _ => Choice::GiveUp,
        }
    }

    /// What a fill's parent is hashed by: the object. Guards against an object that all caches want at once
    /// and no parent can send to all: where they outnumber a parent's transfers each part has a parent of its
    /// own, the same one for all. Harms a viewing when one parent is lost: a few parts of it are, instead of
    /// all or none.
    fn parent_key(&self, visit: &Visit) -> u64 {
        let ready = || self.hosts.values().filter(|h| h.is_ready() && !self.is_origin(h));
        let parents = ready().filter(|h| self.is_parent(h));
        let (count, carried) = parents.fold((0.0, 0.0), |(n, sum), h| (n + 1.0, sum + h.entry.weight));
        let apart = self.set.weights_told && (ready().count() as f64 - count) * count > carried;
        visit.object.0 ^ if apart { u64::from(visit.part) << 52 } else { 0 }
    }

    /// Writes run at the origin: straight where that is allowed, else through a cache.
    fn choose_for_write(&mut self, now: Time, visit: Visit) -> Choice {
        let origin = self.by_hash(visit.object.0, |h| self.is_origin(h)).first().copied();
        let origin = origin.filter(|_| self.origin_takes(now, 1.0));
        let (Some(source), Some(open)) = (origin, self.visits.get(&visit.id)) else { return Choice::GiveUp };
        if self.set.direct {
            return Choice::HandOff(source, None);
        }
        let mut caches = self.by_hash(visit.object.0, |h| self.is_cache(h));
        caches.retain(|host| self.fits(open, *host));
        let fill = Fill { source, rank: 0, oldest: Span::ZERO, join: false, renew: false, held: false };
        let work = self.cold_cost(visit.band);
        let cache = caches.into_iter().find(|cache| self.able(now, *cache, work));
        cache.map_or(Choice::GiveUp, |cache| Choice::HandOff(cache, Some(fill)))
    }

    fn hand_off(&mut self, now: Time, id: VisitId, host: HostId, fill: Option<Fill>) {
        let Some(open) = self.visits.get(&id) else { return };
        let (visit, latest) = (open.visit, self.may_go_until(open));
        let (copy, until) = ((visit.object, visit.part, host), visit.deadline - ANSWER_MARGIN);
        let known = self.knows(now, &visit, host);
        let start = MISSES_START[usize::from(known)];
        let misses = self.hosts.get(&host).map_or(start, |h| h.misses[usize::from(known)].or(start));
        let source = fill.map(|fill| fill.source).filter(|source| *source != host);
        let to_origin = source.and_then(|id| self.hosts.get(&id)).is_some_and(|h| self.is_origin(h));
        let joins = self.set.joins && self.is_led(now, &visit, host);
        let work = self.cold_cost(visit.band);
        let Some(open) = self.visits.get_mut(&id) else { return };
        let number = HandOffNo(open.hand_offs);
        open.hand_offs += 1;
        open.out += 1;
        let sure = std::mem::take(&mut open.looked) || fill.is_some_and(|fill| fill.rank == 0);
        let lacks = std::mem::take(&mut open.lacks);
        let share = if sure { 1.0 } else { misses };
        let fill_share = if source.is_none() || joins { 0.0 } else { share };
        let due = self.hosts.get(&host).and_then(|h| h.shut).is_none_or(|shut| now >= shut.next_trial);
        let tried = if due { now } else { Time::default() };
        for part in [Some(host), source].into_iter().flatten() {
            let Some(known) = self.hosts.get_mut(&part) else { continue };
            known.cold.level -= work;
            known.shut.iter_mut().filter(|s| now >= s.next_trial).for_each(|s| s.next_trial = now + s.rest);
        }
        // Guards against attempts decided over a second that wait for connections and come within one window.
        let waits = [Some(host), source].into_iter().flatten().filter_map(|part| self.cold_whole(now, part));
        let latest = waits.fold(latest, |at, (_, window)| at.min(now + Span::seconds(COLD_WAIT * window)));
        let held = fill.is_some_and(|fill| fill.held);
        let onward = if lacks || to_origin { 1.0 } else { self.origin.onward.or(ONWARD_START) };
        let origin_share = if held { 0.0 } else { fill_share * onward };
        let (leads, band) = (!known && fill_share > 0.0, visit.band);
        let sent =
            Sent { at: now, tried, host, source, band, copy, known, leads, fill_share, origin_share, held };
        self.count(&sent, 1);
        self.sent.insert((id, number), sent);
        self.ready.push_back(Decision::HandOff { visit: id, host, until, latest, fill });
    }

    /// The oldest copy that will do. After a purge it is the time since, never zero (the default), from then on: a
    /// host that stood still has not dropped older ones. Where purges may be unheard, the time in which one
    /// counts: a copy that young is older than none that binds. Guards rule 5.
    fn oldest(&self, now: Time, visit: &Visit, filled: bool) -> Span {
        let Some(band) = self.band(visit.band) else { return Span::ZERO };
        let most = if filled { band.fresh } else { band.fresh + band.grace };
        let most = Some(most).filter(|_| band.fresh > Span::ZERO);
        let purge = self.purges.last(visit.group, visit.object);
        let since = purge.map(|at| (now - at).max(Span(1)));
        let unknown = self.unproven.into_iter().chain(self.unheard);
        since.into_iter().chain(most).chain(unknown).min().unwrap_or(Span::ZERO)
    }

    /// Whether a host may be sent one more visit now: not shut out, and within its budget while it is cold.
    fn able(&mut self, now: Time, id: HostId, work: f64) -> bool {
        if let Some((rate, window)) = self.cold_budget(now, id) {
            // Less than one attempt is a chance, spent whether it comes or not: many parts hold in sum.
            let most = (rate * window * COLD_BURST).max((rate * window * COLD_HELD).min(work));
            let level = self.hosts.get_mut(&id).map_or(0.0, |h| h.cold.refill(now, rate, most));
            let comes = self.has_part(level / work);
            if let Some(host) = self.hosts.get_mut(&id).filter(|_| level < work) {
                host.cold.level = if comes { work } else { level.min(0.0) };
                host.cold_use.refused += if comes { 0.0 } else { work };
            }
            if !comes {
                return false;
            }
        }
        self.hosts.get(&id).is_some_and(|h| h.shut.is_none_or(|shut| now >= shut.next_trial))
    }

    /// Guards rule 4. What this dispatcher may send a cold host each second, in seconds of sending time: its
    /// part of multiple x present capacity, which rises in a line from the cold share; and a window.
    pub(crate) fn cold_budget(&self, now: Time, id: HostId) -> Option<(f64, f64)> {
        let (whole, window) = self.cold_whole(now, id)?;
        Some((self.cold_part(now, id, whole), window))
    }

    /// What all may send it a second, by its age half a window ago (the bound is of a window's begin).
    pub(crate) fn cold_whole(&self, now: Time, id: HostId) -> Option<(f64, f64)> {
        let host = self.hosts.get(&id)?;
        let rules = if self.is_parent(host) { self.set.cold_parent } else { self.set.cold_cache };
        let age = host.age(now).filter(|age| *age < rules.ramp)?;
        let (window, ramp) = (rules.window.as_seconds(), rules.ramp.as_seconds());
        let warm = rules.share + (1.0 - rules.share) * (age.as_seconds() - window / 2.0).max(0.0) / ramp;
        Some((COLD_SPEND * rules.multiple * warm * self.capacity(host), window))
    }

    /// Guards against slow parents (ageing, crowded, cold, half broken, one or all): one whose fills take too
    /// much of the quoted time, and more than at its best, is named for a part in proportion, and the next
    /// source for the rest. Harms where the next one is no better: it starts empty for the object.
    fn takes_part(&mut self, id: HostId) -> bool {
        let known = self.hosts.get(&id);
        let part = known.map_or(1.0, |h| h.part);
        let slower =
            known.map_or(0.0, |h| h.late.value.exp() / PARENT_LATE.max(SLOWER_ALONE * h.load.best()));
        let crowded = known.is_some_and(|h| h.fills >= 1.0 && h.fills > FILLS_AT_ONE * self.gate.limit);
        !crowded && self.has_part(part / slower.max(1.0))
    }

    /// Whether a cache takes one more: it tells that it has room, for all that ask it, or the limit leaves
    /// some. Guards against visits that leave their designated cache since this dispatcher's share of its
    /// limit is below one; harms a cache that fills up within the seconds for which its word holds.
    fn has_room(&mut self, now: Time, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        let free = host.busy.is_some_and(|(at, busy)| now < at + BUSY_HOLDS && busy < BUSY_FULL);
        let room = self.limit(host).max(1.0) - f64::from(host.in_flight);
        free || self.has_part(room)
    }

    /// The limit on what is in flight at a host, held to what its listed size can serve in time: the gradient
    /// alone can't tell where all it ever saw was overload.
    pub(crate) fn limit(&self, host: &Host) -> f64 {
        let told = self.set.weights_told;
        let whole = if told { LIMIT_A_TRANSFER * host.entry.weight } else { LIMIT_START };
        let share = whole / self.set.sharers();
        let start = if told { share + LIMIT_SLACK * share.sqrt() } else { share };
        let most = if told { start } else { f64::INFINITY };
        Some(host.load.limit).filter(|limit| *limit > 0.0).map_or(start, |limit| limit.min(most))
    }

    /// A host's capacity in transfers: as listed, else what its peers carry, less a margin.
    fn capacity(&self, host: &Host) -> f64 {
        if self.set.weights_told {
            return host.entry.weight;
        }
        let peers = || self.peers(host.entry.host);
        if let (true, Some(transfers)) = (self.is_parent(host), self.set.all_links_transfers()) {
            return transfers / (peers().count() + 1) as f64;
        }
        let senders = if self.is_parent(host) { f64::from(self.set.dispatchers) } else { self.set.sharers() };
        let carried = peers().map(|h| h.carried.value).sum::<f64>();
        // What a part of which is in use is told; else what is carried is less than all, and by how much is
        // not known.
        let busy = |h: &Host| h.busy.map_or(1.0 / SMALLER, |(_, busy)| busy.clamp(BUSY_LEAST, 1.0));
        let busy = peers().map(busy).sum::<f64>();
        (carried * senders / busy.max(BUSY_LEAST)).max(1.0)
    }

    fn learn(&mut self, now: Time, sent: &Sent, end: &Ended) {
        use Outcome::*;
        let failed = matches!(end.outcome, Error | TimedOut | ConnectFailed | Reset);
        let (settled, untold) = (end.outcome == Settled, end.note == Note::Untold);
        let filled = matches!(end.note, Note::Filled | Note::FilledByOrigin | Note::Joined);
        let took = end.took.as_seconds();
        let late = took / self.band(sent.band).map_or(SECOND, |band| band.quoted).as_seconds();
        let mut slower = None;
        if settled && !filled {
            let seen = self.bands.get_mut(usize::from(sent.band.0));
            seen.into_iter().for_each(|seen| seen.sending.push(took, 0.02));
            slower = self.popularity.slower(sent.copy.0, end.took);
        }
        let (work, sharers) = (self.sending(sent.band), self.set.sharers());
        let limit = self.hosts.get(&sent.host).map_or(LIMIT_LEAST, |h| self.limit(h));
        let mut again = false;
        if let Some(host) = self.hosts.get_mut(&sent.host) {
            // One connection's end speaks once, whatever was out on it.
            again = end.outcome == Reset && std::mem::replace(&mut host.reset, now) == now;
            again |= is_hasty(end) && host.shut.is_none();
            let refused = end.outcome == ConnectFailed && end.took <= AT_ONCE;
            let answered = matches!(end.outcome, Settled | Error | Full | Miss);
            host.broke = end.outcome == Reset || refused || host.broke && (host.shut.is_some() || !answered);
            if answered {
                host.gap.push(host.silence(now).as_seconds(), 0.05);
                host.answered(now, sent.at);
            }
            host.busy = end.report.busy.map(|busy| (now, busy)).or(host.busy);
            host.settled_work += if settled { work } else { 0.0 };
            // Untold, only a look tells: settled it was a hit. Its misses alone would make all seem fills.
            if settled && (!untold || sent.source.is_none()) || end.outcome == Miss {
                host.misses[usize::from(sent.known)].push(f64::from(filled || end.outcome == Miss), 0.05);
            }
            if let Some(slower) = slower {
                host.load.push(slower, 0.05, 10, 0.0002);
                host.late.push(late.max(0.001).ln(), 0.05);
                let worse = (host.load.slower() / SLOWER_BORNE).max(host.late.value.exp() / LATE_BORNE);
                let out = f64::from(host.in_flight);
                host.load.limit = follow_limit(limit, worse, out, sharers, 0.05).max(LIMIT_LEAST / sharers);
            }
        }
        self.learn_of_source(now, sent, end, filled);
        self.count(sent, -1);
        self.refund(sent, end.outcome);
        if !matches!(end.outcome, Cancelled | Moot | Unsent) && !again {
            self.judge(now, sent.tried, sent.host, failed && !source_at_fault(end), BAD_WEIGHT[0]);
        }
    }

    fn learn_of_source(&mut self, now: Time, sent: &Sent, end: &Ended, filled: bool) {
        use {Note::*, Outcome::*};
        let (work, cost) = (self.sending(sent.band), self.cold_cost(sent.band));
        let (quoted, blame) = (self.quoted(sent.band), self.blame(sent));
        let Some(source) = sent.source.and_then(|id| self.hosts.get_mut(&id)) else { return };
        let (untold, by_source) = (end.note == Untold, source_at_fault(end));
        let (settled, lacks) = (end.outcome == Settled, sent.held && end.outcome == Miss);
        let lost = matches!(end.outcome, Error | TimedOut) && untold && !is_hasty(end);
        // A copy past its fresh time is renewed behind, by a fill that reaches the source.
        let unasked = !(untold || filled || by_source || lacks || end.note == Aged);
        source.unused(sent.at, f64::from(unasked) * cost);
        let by_it = if filled { 1.0 } else { sent.fill_share * f64::from(untold) };
        source.settled_work += if settled { by_it * work } else { 0.0 };
        let sure = filled
            || by_source
            || lost
            || sent.fill_share == 1.0 && end.outcome != Cancelled && !is_hasty(end);
        let part = if sure { 1.0 } else { MAYBE_HIT };
        let way_told = self.set.ways_told || sent.held;
        let onward = match end.note {
            FilledByOrigin | OriginFailed => 1.0,
            Filled | Joined if way_told => 0.0,
            _ if sent.held => f64::from(lacks),
            _ if end.outcome == TimedOut => blame,
            _ => sent.origin_share,
        };
        if filled && way_told || end.note == OriginFailed || lacks || sent.held && settled && untold {
            self.origin.onward.push(onward, 0.05);
        }
        let jammed = matches!(end.note, NoPlace | OriginFailed);
        let late = match end.note {
            _ if jammed || by_source || end.outcome == TimedOut => Some(FAILED_AS.ln()),
            _ if settled && (filled || untold) => Some((end.took.as_seconds() / quoted).max(0.001).ln()),
            _ => None,
        };
        // Where it is not told which way a fill took, it speaks for both; those asked for alone tell then.
        let by_parent = f64::from(sent.held || onward < 1.0);
        let by_origin = f64::from(!sent.held && onward > 0.0);
        if let Some(late) = late.filter(|_| !jammed && by_parent > 0.0) {
            source.late.push(late, 0.3 * part);
            source.load.push(late.exp(), 0.05 * part, 10, 0.002);
        }
        // A hit says nothing of a source on trial: only a part that was not seen at the cache counts there.
        let (id, bad, trial) = (source.entry.host, source.bad.value, source.shut.is_some());
        if sure || settled && untold && !(trial && sent.known) {
            self.judge(now, sent.at, id, by_source || lost, BAD_WEIGHT[1] * part);
        }
        // One source that fails alone is the breaker's matter.
        let peers_bad = || self.peers(id).map(|h| h.bad.value).fold(0.0, f64::max);
        if let Some(late) = late.filter(|_| jammed || settled || bad <= BAD_OVER_PEERS * peers_bad()) {
            self.learn_of_fill(now, late, part, (by_parent, by_origin));
        }
    }

    /// One more fill that took, or has taken by now, such a part of the quoted time (as a logarithm): the
    /// limits follow. Few answers weigh more each, so that dispatchers of all sizes take about the same time.
    fn learn_of_fill(&mut self, now: Time, late: f64, part: f64, shares: (f64, f64)) {
        let gates = [(&mut self.gate, shares.0), (&mut self.origin, shares.1)];
        for (gate, share) in gates.into_iter().filter(|(_, share)| *share > 0.0) {
            let weight = ((now - gate.at).as_seconds() / LEARNED_IN).clamp(0.05, 0.1);
            gate.at = now;
            gate.late.push(late, weight * share * part);
            follow(gate, gate.fills, self.set.sharers(), weight * share);
        }
    }

    /// What failed, or takes long, without a word is laid on the slower part.
    fn blame(&self, sent: &Sent) -> f64 {
        f64::from(!sent.held && sent.origin_share > 0.0 && self.origin.late.value > self.gate.late.value)
    }

    /// Shuts a host out when it fails far more often than its peers, and lets it back after some good
    /// trials. Guards against fast errors, closed ports and broken paths to one host. When most peers fail
    /// alike the part behind them is at fault, or this dispatcher's own view, and the plain hash goes on.
    fn judge(&mut self, now: Time, sent: Time, id: HostId, failed: bool, weight: f64) {
        let peers: Vec<f64> = self.peers(id).filter(|h| h.shut.is_none()).map(|h| h.bad.value).collect();
        let peers_bad = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        let least = if peers.is_empty() { BAD_ALONE } else { BAD_LEAST };
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.judged(now, failed, weight);
        let (bad, told) = (host.bad.value, host.is_told(now));
        let Some(shut) = host.shut.as_mut().filter(|shut| sent >= shut.since) else {
            let often = host.bad.seen >= 4 && bad > least && bad > BAD_OVER_PEERS * peers_bad;
            if failed && (often || told) {
                self.shut_out(now, id, Bad::Fails, format!("fails {bad:.2}, its peers {peers_bad:.2}"));
            }
            return;
        };
        shut.tried(now, failed, if told { told_rests(self.set.sharers()) } else { REST });
        if shut.passed >= TRIALS_TO_OPEN {
            (host.shut, host.bad) = (None, Mean::default());
            host.told.iter_mut().for_each(|told| told.passed = told.passed.max(TRIALS_TO_OPEN));
            // Guards against a process that is new, and cold, before the list tells so: its connections broke
            // or were refused. Harms a host that only lost its connections: it has a cold one's part until it
            // would be warm.
            let anew = std::mem::take(&mut host.broke);
            host.anew = Some(now).filter(|_| anew);
            host.anew.into_iter().for_each(|now| host.begins(now, TRIALS_TO_OPEN, self.mean_work.value));
            let how = if anew { "anew " } else { "" };
            self.log(format!("host {:x} back {how}after {TRIALS_TO_OPEN} good trials", id.0));
        }
    }

    /// Never more than half of the caches are shut out. Parents may all be, since the origin stands in.
    fn shut_out(&mut self, now: Time, id: HostId, why: Bad, line: String) {
        let shut = self.peers(id).filter(|h| h.shut.is_some()).count() + 1;
        let all = self.peers(id).count() + 1;
        let parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let Some(host) = self.hosts.get_mut(&id).filter(|h| h.shut.is_none()) else { return };
        if parent || all == 1 || shut * 2 <= all {
            host.shut(now, REST[0], why);
            self.log(format!("host {:x} shut out: {line}", id.0));
            self.call_off(id);
        }
    }

    /// Others find a host, started then, bad or new; at `until` that is over. Guards against visits lost to
    /// it before this dispatcher has tried it often enough itself, and against a cold one that all come back
    /// to at once. Harms a good host of which wrong is told: it has trials alone until three went well or
    /// that is over, or a cold one's part.
    pub fn hearsay(&mut self, now: Time, id: HostId, since: Option<Time>, word: Word, until: Time) {
        let Some(host) = self.told(now, word, (id, since, until)) else { return };
        let own = host.good.is_some_and(|at| now < at + OWN_WORD);
        if word == Word::Anew {
            host.begins(now, 0, 0.0);
        } else if !own && !host.told.is_some_and(|told| told.is_refuted(now)) {
            self.shut_out(now, id, Bad::Told, "told by others".into());
        }
        self.spread(now, id);
    }

    /// Spreads the first trials of a host that others find bad over the longer rest. Guards against visits
    /// lost to trials that all make at once; harms a host wrongly told of, which is tried seconds later.
    fn spread(&mut self, now: Time, id: HostId) {
        let most = told_rests(self.set.sharers())[1];
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.is_told(now)) else { return };
        let short = |shut: &&mut Shut| shut.passed == 0 && shut.rest < REST[1];
        let Some(shut) = host.shut.as_mut().filter(short) else { return };
        let first = now + most.times(self.chance.gen_range(TOLD_REST[0]..1.0));
        (shut.rest, shut.next_trial) = (most, shut.next_trial.max(first));
    }

    /// Others take back that a host is bad, since it went well there: one own good trial is enough now.
    pub(crate) fn went_well_there(&mut self, now: Time, id: HostId) {
        let Some(shut) = self.hosts.get_mut(&id).and_then(|host| host.shut.as_mut()) else { return };
        (shut.next_trial, shut.rest) = (shut.next_trial.min(now), REST[0]);
        shut.passed = shut.passed.max(TRIALS_TO_OPEN - 1);
    }

    /// What shut a host out by others' word alone does so no longer once that is over. Guards against word
    /// that is older than those who gave it would bear.
    fn untold(&mut self, now: Time, id: HostId) {
        let over = self.is_told_out(now, id);
        let Some(host) = self.hosts.get_mut(&id).filter(|_| over) else { return };
        host.shut.iter_mut().for_each(|shut| shut.rests_at_most(now, REST[1]));
        if host.shut.take_if(|shut| shut.why == Bad::Told).is_some() {
            self.log(format!("host {:x} back: others' word on it is over", id.0));
        }
    }

    /// Phi accrual: a host is silent when its present silence is very unlikely given the gaps before.
    fn watch_silence(&mut self, now: Time) {
        let phi = |h: &Host| h.phi(now, GAP[0].max(GAP[1] / f64::from(h.gap.seen.max(1))));
        let waits = |h: &&Host| h.in_flight > 0 && h.shut.is_none() && h.silence(now) > SILENT_LEAST;
        let found = self.hosts.values().filter(waits).filter(|h| phi(h) > PHI_SILENT && !self.is_origin(h));
        let found: Vec<(HostId, f64)> = found.map(|h| (h.entry.host, phi(h))).collect();
        for (id, phi) in found {
            self.shut_out(now, id, Bad::Silent, format!("silent, phi {phi:.1}"));
        }
    }

    /// Asks sources how busy they are, those first that were not heard of for longest. Each visit pays for a
    /// part of a probe: guards against fleets in which many dispatchers with few visits each ask more than
    /// they serve.
    fn probe(&mut self) {
        if !self.set.probes {
            return;
        }
        let asked = self.hosts.values().filter(|h| h.is_ready() && (self.is_parent(h) || self.is_origin(h)));
        let mut asked: Vec<_> = asked.map(|h| (h.busy.map(|(at, _)| at), h.entry.host)).collect();
        asked.sort();
        let paid = asked.into_iter().take_while(|_| self.probes.take(1.0));
        self.ready.extend(paid.map(|(_, host)| Decision::Probe { host }));
    }

    fn each_second(&mut self, now: Time) {
        self.hosts.retain(|_, host| !host.is_gone() || host.in_flight > 0);
        for host in self.hosts.values_mut() {
            host.carried.push(std::mem::take(&mut host.settled_work), 0.2);
        }
        // Guards against fills that hang: what is overdue speaks before it ends.
        let age = |s: &Sent| (now - s.at).as_seconds() / self.quoted(s.band);
        let overdue = self.sent.values().filter(|s| s.fill_share > 0.0 && age(s) > 1.0);
        let overdue: Vec<_> = overdue.map(|s| (age(s).ln(), s.fill_share, self.blame(s))).collect();
        for (late, part, onward) in overdue {
            self.learn_of_fill(now, late, part, (1.0 - onward, onward));
        }
        self.probe();
        let sharers = self.set.sharers();
        // What is usually out at the origin is the measure of what may be: a slow one is spared at once.
        let origin = &mut self.origin;
        if !origin.is_late() {
            origin.usual.push(origin.fills, 0.1);
            origin.most = 2.0 * origin.usual.value + (origin.usual.value / sharers).sqrt();
        }
        for (gate, what) in [(&mut self.gate, "fills"), (&mut self.origin, "fills by the origin")] {
            let held_back = std::mem::take(&mut gate.looks) > 0;
            // Old news fades: a gate that lets little through hears little.
            gate.late.value -= 0.1 * (gate.late.value - gate.borne.ln()).max(0.0);
            follow(gate, if held_back { gate.limit } else { gate.fills }, sharers, 0.1);
            if std::mem::replace(&mut gate.holds_back, held_back) != held_back {
                self.ready.push_back(Decision::Log(gate.line(what)));
            }
        }
        self.due.put(now + SECOND, Due::Second);
    }
}

/// Between which bounds trials of a host rest that others find bad as well: longer, as they try it too.
fn told_rests(sharers: f64) -> [Span; 2] {
    [REST[0], REST[1].times(sharers.clamp(1.0, TOLD_REST[1]))]
}

fn follow(gate: &mut Gate, out: f64, sharers: f64, weight: f64) {
    let worse = gate.late.value.exp() / gate.borne;
    gate.limit = follow_limit(gate.limit, worse, out, sharers, weight).min(gate.most).max(GATE_LEAST);
}

/// The gradient: a limit follows shortest answer time / present one, here how much worse it is than borne.
/// It is one of several dispatchers' shares of a whole, which keeps the room for growth in sum.
fn follow_limit(limit: f64, worse: f64, in_flight: f64, sharers: f64, weight: f64) -> f64 {
    let gradient = (1.0 / worse).clamp(0.5, 1.0);
    if gradient == 1.0 && in_flight <= limit / 2.0 {
        return limit;
    }
    let wanted = gradient * limit + (limit / sharers).sqrt();
    limit + weight * (wanted - limit)
}

/// An error that came at once, which may be the visit's own fault.
fn is_hasty(end: &Ended) -> bool {
    end.outcome == Outcome::Error && end.took <= AT_ONCE && !source_at_fault(end)
}

/// Whether a failure is the source's, not the host's: by the notes, or by the time a turn-away took.
fn source_at_fault(end: &Ended) -> bool {
    use Note::*;
    let late = end.outcome == Outcome::Full && end.note == Untold && end.took > AT_ONCE;
    late || matches!(end.note, SourceRefused | SourceUnreached | OriginFailed)
}
