//! What an instance remembers of hosts, objects, bands, visits and hand-offs: plain fields only.
use crate::brain::{BAD_WEIGHT, FORGET};
use crate::calls::{Bad, Decision, Fill, Listing, Outcome, Phase, Shared, Visit};
use crate::containers::{rendezvous, Bucket, DueTimes, Gradient, Mean};
use crate::ids::{BandId, GroupId, HandOffNo, HostId, ObjectId, VisitId};
use crate::popularity::Popularity;
use crate::purges::Purges;
use crate::settings::{Band, Effect, Settings};
use crate::shared::{Part, Told, Use};
use crate::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// An open circuit breaker: when the next trial visit may go, and how many trials in a row went well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shut {
    pub since: Time,
    pub next_trial: Time,
    pub rest: Span,
    pub passed: u32,
    pub why: Bad,
    pub evidence: u32,
    /// When a hand-off last spoke for it.
    pub at: Time,
}

impl Shut {
    /// Its next trial is no later than after so long.
    pub fn rests_at_most(&mut self, now: Time, rest: Span) {
        self.rest = self.rest.min(rest);
        self.next_trial = self.next_trial.min(now + self.rest);
    }

    /// One more trial has ended; after a bad one it rests for longer, within these bounds.
    pub fn tried(&mut self, now: Time, failed: bool, rest: [Span; 2]) {
        self.passed = if failed { 0 } else { self.passed + 1 };
        self.rest = if failed { (self.rest + self.rest).min(rest[1]) } else { rest[0] };
        self.next_trial = if failed { now + self.rest } else { now };
        if failed {
            (self.why, self.evidence, self.at) = (Bad::Fails, self.evidence.saturating_add(1), now);
        }
    }
}

#[derive(Debug)]
pub struct Host {
    pub entry: Listing,
    pub in_flight: u32,
    /// How busy it last told that it is.
    pub busy: Option<(Time, f64)>,
    /// What part of its fills a source is given, by what it tells.
    pub part: f64,
    pub heard: Time,
    /// When a connection to it last broke.
    pub reset: Time,
    /// A connection to it broke or was refused, and nothing was answered since, or only trials were.
    pub broke: bool,
    pub waiting_since: Time,
    pub gap: Mean,
    pub bad: Mean,
    pub shut: Option<Shut>,
    /// When a hand-off to it, or a fill by it, last went well.
    pub good: Option<Time>,
    pub told: Option<Told>,
    /// Its start as listed, and when it came back anew since.
    pub listed: Option<Time>,
    pub anew: Option<Time>,
    /// It counts as just started by others' word alone, until the list tells when it was.
    pub told_new: bool,
    /// Then it reset its connections or refused one: another process may answer next.
    pub cut: Option<Time>,
    pub cold: Bucket,
    pub cold_use: Use,
    pub carried: Mean,
    pub settled_work: f64,
    pub load: Gradient,
    /// Logarithm of what part of the quoted time hits take.
    pub late: Mean,
    /// Fills that are likely out at this source.
    pub fills: f64,
    /// Share of fills among answers: for parts it was not seen to hold, and for those it was.
    pub misses: [Mean; 2],
}

impl Host {
    pub fn new(entry: Listing, now: Time) -> Host {
        Host {
            entry,
            in_flight: 0,
            busy: None,
            part: 1.0,
            heard: now,
            reset: Time::default(),
            broke: false,
            waiting_since: now,
            gap: Mean::default(),
            bad: Mean::default(),
            shut: None,
            good: None,
            told: None,
            listed: entry.since,
            anew: None,
            told_new: false,
            cut: None,
            cold: Bucket::empty(now),
            cold_use: Use::default(),
            carried: Mean::default(),
            settled_work: 0.0,
            load: Gradient::default(),
            late: Mean::default(),
            fills: 0.0,
            misses: Default::default(),
        }
    }

    pub fn is_ready(&self) -> bool {
        self.entry.phase == Phase::Ready
    }

    pub fn is_gone(&self) -> bool {
        self.entry.phase == Phase::Gone
    }

    /// How unlikely the present silence is, given the gaps before (as if they were exponential).
    pub fn phi(&self, now: Time, least_gap: f64) -> f64 {
        let gap = self.gap.or(1.0).max(least_gap);
        self.silence(now).as_seconds() / gap * std::f64::consts::LOG10_E
    }

    pub fn silence(&self, now: Time) -> Span {
        now - self.heard.max(self.waiting_since)
    }

    /// One more hand-off that speaks for or against it.
    pub fn judged(&mut self, now: Time, failed: bool, weight: f64) {
        self.bad.push(f64::from(failed), weight);
        self.good = Some(now).filter(|_| !failed).or(self.good);
        self.told
            .iter_mut()
            .for_each(|told| told.passed = if failed { 0 } else { told.passed.saturating_add(1) });
    }

    /// Opens its breaker. It stands on what is out there, or on what failed of those last counted.
    pub fn shut(&mut self, now: Time, rest: Span, why: Bad) {
        let failed = self.bad.value * f64::from(self.bad.seen).min(1.0 / BAD_WEIGHT[0]);
        let evidence = match why {
            Bad::Silent => self.in_flight,
            Bad::Fails => failed.ceil() as u32,
            Bad::Told => 0,
        };
        let next_trial = now + rest;
        self.shut = Some(Shut { since: now, next_trial, rest, passed: 0, why, evidence, at: now });
    }

    /// Whether others' word on it holds.
    pub fn is_told(&self, now: Time) -> bool {
        self.told.is_some_and(|told| now < told.until)
    }

    /// The list's word on it. A start later than the one listed before is another process, which has lost what that
    /// one held: what was known of it is void. Otherwise the latest start known stays, listed or found. Guards
    /// against a host that counts as warmer by an earlier start, or by none.
    pub fn relisted(&mut self, now: Time, entry: Listing) {
        let since = self.entry.since.max(entry.since);
        if entry.since > self.listed {
            // Where it was found before that it may be new, its budget began then.
            let found = self.cut.is_some() || self.entry.since >= entry.since;
            let cold = if found { self.cold } else { Bucket::empty(now) };
            *self = Host { in_flight: self.in_flight, cold, ..Host::new(entry, now) };
        }
        (self.entry, self.listed) = (Listing { since, ..entry }, self.listed.max(entry.since));
    }

    /// For how long its process has run, as far as is known; none where it began long ago. One that may be
    /// another process than the one that was known counts as just started.
    pub fn age(&self, now: Time) -> Option<Span> {
        if self.cut.is_some() {
            return Some(Span::ZERO);
        }
        self.entry.since.map(|since| now - since)
    }

    /// It answered an attempt that was sent then. After a cut that is the first word of a process that may be
    /// new: its age counts from here, until the list tells its start.
    pub fn answered(&mut self, now: Time, sent: Time) {
        self.heard = now;
        if self.cut.take_if(|cut| *cut <= sent).is_some() {
            self.entry.since = self.entry.since.max(Some(now));
        }
    }

    /// It counts as just started, and has had so many hand-offs of such a work: they are of its budget.
    pub fn begins(&mut self, now: Time, sent: u32, work: f64) {
        (self.entry.since, self.cold) = (self.entry.since.max(Some(now)), Bucket::empty(now));
        self.cold.level -= f64::from(sent) * work;
    }

    /// So much of what it was counted for then was not needed. Guards against a new process that is given what was
    /// counted for the one before it.
    pub fn unused(&mut self, sent: Time, work: f64) {
        if sent >= self.cold.begun {
            self.cold.level += work;
            self.cold_use.used -= work;
        }
    }
}

/// What this dispatcher knows of one part of an object at one cache.
#[derive(Debug, Default)]
pub struct Copy {
    pub settled: Option<Time>,
    /// Hand-offs out that likely fill it.
    pub leads: u32,
}

pub type CopyId = (ObjectId, u32, HostId);

#[derive(Debug, Default)]
pub struct BandSeen {
    pub sending: Mean,
    pub kilobytes: Mean,
}

#[derive(Debug)]
pub struct Open {
    pub visit: Visit,
    pub hand_offs: u8,
    pub out: u32,
    pub popular: bool,
    pub since: Time,
    /// The last hand-off only looked, and the cache lacks the object.
    pub looked: bool,
    /// So does the parent that was asked for what it holds.
    pub lacks: bool,
    /// The first hand-off that may have run: when it was sent and where to.
    pub may_have_run: Option<(Time, HostId)>,
    pub avoid: Vec<HostId>,
    /// Hand-offs that ended in an error, and none in an answer since.
    pub errors: Vec<Sent>,
}

impl Open {
    pub fn new(visit: Visit, popular: bool, since: Time) -> Open {
        Open {
            visit,
            hand_offs: 0,
            out: 0,
            popular,
            since,
            looked: false,
            lacks: false,
            may_have_run: None,
            avoid: Vec::new(),
            errors: Vec::new(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Time,
    /// The same for a breaker that is open, or long ago: what goes to a host for want of another is no trial.
    pub tried: Time,
    pub host: HostId,
    pub source: Option<HostId>,
    pub band: BandId,
    pub copy: CopyId,
    pub known: bool,
    pub leads: bool,
    /// How likely the hand-off was held to need a fill.
    pub fill_share: f64,
    /// And to need the origin.
    pub origin_share: f64,
    pub held: bool,
}

/// What all fills of this dispatcher have in common: its location's link and the parents; or, for those
/// that go on to the origin, that.
#[derive(Debug, Default)]
pub struct Gate {
    pub fills: f64,
    pub usual: Mean,
    pub most: f64,
    pub limit: f64,
    /// What part of the quoted time is borne.
    pub borne: f64,
    /// Logarithm of what part of the quoted time fills take.
    pub late: Mean,
    /// When answers last told of it.
    pub at: Time,
    /// Share of fills that go on to the origin.
    pub onward: Mean,
    /// How full the location's link was last reported.
    pub link: Option<(Time, f64)>,
    pub looks: u32,
    pub holds_back: bool,
}

impl Gate {
    pub fn is_late(&self) -> bool {
        self.late.value > self.borne.ln()
    }

    pub fn line(&self, what: &str) -> String {
        let word = if self.holds_back { "held back" } else { "flow again" };
        let (limit, late, link) =
            (self.limit, self.late.value.exp(), self.link.map_or(0.0, |(_, full)| full));
        format!("{what} {word}: limit {limit:.1}, at {late:.1} of the quoted time, link {link:.1}")
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Due {
    Deadline(VisitId),
    Halve,
    Second,
    /// What others told of a host may be over.
    Told(HostId),
}

/// What is to become of a visit now.
pub enum Choice {
    HandOff(HostId, Option<Fill>),
    Wait,
    GiveUp,
}

pub struct Brain {
    pub(crate) set: Settings,
    pub(crate) chance: Pcg64Mcg,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) visits: BTreeMap<VisitId, Open>,
    pub(crate) sent: BTreeMap<(VisitId, HandOffNo), Sent>,
    pub(crate) popularity: Popularity,
    pub(crate) purges: Purges,
    /// While purges may have been told that are not known here: the time in which any has to be obeyed.
    pub(crate) unproven: Option<Span>,
    /// While the change log is not heard: the time after which what it has to tell binds all the same.
    pub(crate) unheard: Option<Span>,
    pub(crate) copies: BTreeMap<CopyId, Copy>,
    pub(crate) bands: Vec<BandSeen>,
    /// Seconds of work of a hand-off to a cache.
    pub(crate) mean_work: Mean,
    pub(crate) due: DueTimes<Due>,
    pub(crate) waiting: VecDeque<VisitId>,
    pub(crate) ready: VecDeque<Decision>,
    /// Visits that wait behind an own fill, until the next round.
    pub(crate) parked: Vec<VisitId>,
    pub(crate) further: Bucket,
    pub(crate) probes: Bucket,
    pub(crate) last_woken: Time,
    pub(crate) gate: Gate,
    pub(crate) origin: Gate,
    /// What of limits that several share is this dispatcher's.
    pub(crate) parts: BTreeMap<Shared, Part>,
    pub(crate) origin_use: Use,
    pub(crate) further_use: Use,
}

impl Brain {
    pub(crate) fn empty(set: Settings, seed: u64) -> Brain {
        Brain {
            bands: set.bands.iter().map(|_| BandSeen::default()).collect(),
            set,
            mean_work: Default::default(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            hosts: Default::default(),
            visits: Default::default(),
            sent: Default::default(),
            popularity: Default::default(),
            purges: Default::default(),
            unproven: None,
            unheard: None,
            copies: Default::default(),
            due: Default::default(),
            waiting: Default::default(),
            ready: Default::default(),
            parked: Default::default(),
            further: Default::default(),
            probes: Default::default(),
            last_woken: Default::default(),
            gate: Default::default(),
            origin: Default::default(),
            parts: Default::default(),
            origin_use: Default::default(),
            further_use: Default::default(),
        }
    }

    /// A list of hosts, whole or only what changed. Hosts missing from a whole list are gone.
    pub fn listed(&mut self, now: Time, entries: &[Listing], whole: bool) {
        self.hosts.values_mut().filter(|_| whole).for_each(|host| host.entry.phase = Phase::Gone);
        for entry in entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host::new(*entry, now));
            host.relisted(now, *entry);
        }
        let gone = self.hosts.values().filter(|h| h.is_gone() && h.in_flight > 0);
        let gone: Vec<HostId> = gone.map(|h| h.entry.host).collect();
        gone.into_iter().for_each(|host| self.call_off(host));
    }

    /// The listed start of a host's process is known to have been earlier than it was dated at first. What was found since
    /// of a later one stays.
    pub fn redated(&mut self, id: HostId, since: Time) {
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.listed > Some(since)) else { return };
        if host.entry.since == host.listed {
            host.entry.since = Some(since);
        }
        host.listed = Some(since);
    }

    /// Forgets a visit whose client has left or has its final answer, and calls off what is still out for it.
    pub fn left(&mut self, id: VisitId) {
        if self.visits.remove(&id).is_none() || !self.set.cancel {
            return;
        }
        let out = self.sent.range((id, HandOffNo(0))..=(id, HandOffNo(u8::MAX)));
        self.ready.extend(out.map(|(&(visit, number), _)| Decision::Cancel { visit, number }));
    }

    /// Calls off what is out at a host that is not expected to answer, where a repeat does no harm.
    pub(crate) fn call_off(&mut self, id: HostId) {
        let harmless = |band: BandId| self.band(band).is_some_and(|b| b.effect == Effect::Idempotent);
        let out = self.sent.iter().filter(|(_, s)| self.set.cancel && s.host == id && harmless(s.band));
        let out: Vec<_> = out.map(|(&(visit, number), _)| Decision::Cancel { visit, number }).collect();
        self.ready.extend(out);
    }

    /// A host reset its connections or refused a new one: another process may answer next.
    /// Guards against one that is new, and cold, before the list tells so; harms one that did so for another
    /// reason, which has a cold one's part until it would be warm.
    pub fn cut(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.cut.is_none() {
            host.cold = Bucket::empty(now);
        }
        host.cut = Some(now);
    }

    /// Gives back what an attempt was counted for at cold hosts, where its end says that it never went out.
    pub(crate) fn refund(&mut self, sent: &Sent, outcome: Outcome) {
        if !matches!(outcome, Outcome::Moot | Outcome::Unsent) {
            return;
        }
        let work = self.cold_cost(sent.band);
        for id in [Some(sent.host), sent.source].into_iter().flatten() {
            self.hosts.get_mut(&id).into_iter().for_each(|host| host.unused(sent.at, work));
        }
    }

    /// An earlier try of a visit that has just arrived may have run, sent then and to that host. Guards
    /// against a repeat past the group that drops it, after a dispatcher's end; harms only where that try
    /// never ran.
    pub fn ran_before(&mut self, id: VisitId, at: Time, host: HostId) {
        self.visits.get_mut(&id).into_iter().for_each(|open| open.may_have_run = Some((at, host)));
    }

    pub fn purged(&mut self, now: Time, group: GroupId, object: Option<ObjectId>, ago: Span) {
        self.purges.note(group, object, now - ago);
    }

    /// Whether purges may have been told that this dispatcher has not heard of, until it is told otherwise.
    pub fn unproven(&mut self, unproven: bool) {
        self.unproven = unproven.then_some(self.set.purge_grace.max(Span(1)));
    }

    /// The change log was not heard for so long that what it has to tell counts as told within `told_within`, whether it
    /// arrived or not; none once it is heard again.
    pub fn unheard(&mut self, told_within: Option<Span>) {
        self.unheard = told_within.map(|told| told + self.set.purge_grace);
    }

    /// Counts a hand-off in (1) or out (-1): at its host; its likely fill at source, part and both limits.
    pub(crate) fn count(&mut self, sent: &Sent, by: i32) {
        if let Some(host) = self.hosts.get_mut(&sent.host) {
            if host.in_flight == 0 {
                host.waiting_since = sent.at;
            }
            host.in_flight = host.in_flight.saturating_add_signed(by);
        }
        if sent.leads {
            let copy = self.copies.entry(sent.copy).or_default();
            copy.leads = copy.leads.saturating_add_signed(by);
        }
        let by = f64::from(by);
        self.gate.fills = (self.gate.fills + by * sent.fill_share).max(0.0);
        self.origin.fills = (self.origin.fills + by * sent.origin_share).max(0.0);
        if let Some(source) = sent.source.and_then(|id| self.hosts.get_mut(&id)) {
            source.fills = (source.fills + by * sent.fill_share).max(0.0);
        }
        self.count_use(sent, by > 0.0);
        let by_cache = by > 0.0 && self.hosts.get(&sent.host).is_some_and(|host| self.is_cache(host));
        let work = Some(self.sending(sent.band)).filter(|_| by_cache);
        work.into_iter().for_each(|work| self.mean_work.push(work, 0.01));
    }

    pub(crate) fn is_cache(&self, host: &Host) -> bool {
        !self.is_parent(host) && !self.is_origin(host) && host.entry.location == self.set.location
    }

    pub(crate) fn is_parent(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.set.parent_kind
    }

    pub(crate) fn is_origin(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.set.origin_kind
    }

    /// The listed ready hosts of one sort in the rendezvous order of an object.
    pub(crate) fn by_hash(&self, key: u64, sort: impl Fn(&Host) -> bool) -> Vec<HostId> {
        let listed = self.hosts.values().filter(|h| h.is_ready() && sort(h));
        let value = |h: &Host| rendezvous(key, h.entry.host, self.hash_weight(h));
        let mut order: Vec<(f64, HostId)> = listed.map(|h| (value(h), h.entry.host)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, host)| host).collect()
    }

    pub(crate) fn band(&self, id: BandId) -> Option<&Band> {
        self.set.bands.get(usize::from(id.0))
    }

    /// The band's mean sending time in seconds: by size where that is told, else by answers; before any is
    /// known the quoted time stands for it, which is more.
    pub(crate) fn sending(&self, id: BandId) -> f64 {
        let (Some(band), Some(seen)) = (self.band(id), self.bands.get(usize::from(id.0))) else { return 1.0 };
        if seen.kilobytes.seen > 0 && self.set.pace > 0.0 {
            return seen.kilobytes.value / self.set.pace;
        }
        seen.sending.or(band.quoted.as_seconds())
    }

    /// What a hand-off is counted for at a cold host: its work, or the mean hand-off's to a cache where that
    /// is more. Guards against many small ones, where a fall is told by their number; harms them alone.
    pub(crate) fn cold_cost(&self, id: BandId) -> f64 {
        self.sending(id).max(self.mean_work.value)
    }

    /// The quoted time of a band's mean visit, in seconds.
    pub fn quoted(&self, id: BandId) -> f64 {
        self.band(id).map_or(1.0, |b| b.quoted.as_seconds() + b.stretch * self.sending(id))
    }

    pub(crate) fn peers(&self, id: HostId) -> impl Iterator<Item = &Host> {
        let parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let alike = move |h: &Host| if parent { self.is_parent(h) } else { self.is_cache(h) };
        self.hosts.values().filter(move |h| h.entry.host != id && h.is_ready() && alike(h))
    }

    /// Whether another of this dispatcher's hand-offs likely fills the part at that cache now.
    pub(crate) fn is_led(&self, now: Time, visit: &Visit, cache: HostId) -> bool {
        let copy = self.copies.get(&(visit.object, visit.part, cache));
        copy.is_some_and(|copy| copy.leads > 0) && !self.knows(now, visit, cache)
    }

    pub(crate) fn hash_weight(&self, host: &Host) -> f64 {
        Some(host.entry.weight).filter(|weight| self.set.weights_steady && *weight > 0.0).unwrap_or(1.0)
    }

    pub(crate) fn busy(&self, id: HostId) -> f64 {
        self.hosts.get(&id).map_or(f64::MAX, |h| f64::from(h.in_flight) / self.limit(h))
    }

    /// Whether a share of room takes one more: below one by chance, so that many shares hold in sum.
    pub(crate) fn has_part(&mut self, room: f64) -> bool {
        room >= 1.0 || room > 0.0 && self.chance.gen_bool(room)
    }

    /// Whether a cache was seen to hold a part since it started, since the part's last purge, and lately.
    pub(crate) fn knows(&self, now: Time, visit: &Visit, cache: HostId) -> bool {
        let copy = self.copies.get(&(visit.object, visit.part, cache));
        let void = self.purges.last(visit.group, visit.object);
        let void = void.max(self.hosts.get(&cache).and_then(|h| h.entry.since));
        copy.and_then(|c| c.settled).is_some_and(|at| now < at + FORGET && Some(at) > void)
    }

    pub(crate) fn log(&mut self, line: String) {
        self.ready.push_back(Decision::Log(line));
    }
}
