//! Between the module and the fleet: parts of limits and what others found go into the module; what it finds,
//! wants and uses goes out. It decides nothing. What the fleet tells holds until an `Instant`, and the module
//! is told anew all the time how much of that is left: guards against a system clock that steps and leaves a
//! part in force.
use crate::carried::Delivery;
use crate::clock;
use crate::config::Config;
use crate::inbox::Input;
use cherrypass::brain::Brain;
use cherrypass::calls::{Bad, Found, Listing, Phase, Shared, Wanted, Word};
use cherrypass::ids::{BandId, HostId, LocationId};
use cherrypass::settings::Settings;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_fleet::{house, limits, members, rollout, verdicts};
use cherrypass_operator::fleet::{self as operator, Fleet, UnprovenCopies};
use cherrypass_operator::rules::{self, Rules};
use cherrypass_peers as peers;
use cherrypass_peers::delivery::{self, Delivered};
use cherrypass_peers::{ChangeNumber, Figures, Finding, FromFleet, Key, Kind, LogId, Peers, ToFleet, UsedBy};
use cherrypass_store::store::Store;
use crossbeam_channel::{unbounded, Sender};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often all is told both ways.
const EVERY: Duration = Duration::from_millis(250);
/// What is wanted is looked at over so many times that.
const A_SECOND: usize = 4;
/// The longest drain that a limit may have.
const DRAIN_MOST: Span = Span::millis(600_000);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(
        "the operators' file: fleet.members[{0}].location: '{1}' is none of the configuration's zones {2:?}"
    )]
    Location(usize, String, Vec<String>),
    #[error(transparent)]
    Peers(#[from] peers::Error),
}

impl Error {
    pub fn code(&self) -> &'static str {
        match self {
            Error::Location(..) => "fleet-location",
            Error::Peers(error) => error.code(),
        }
    }
}

/// The section as the fleet's crates take it.
pub fn set(fleet: &Fleet, config: &Config) -> Result<peers::Set, Error> {
    let zones = &config.names.locations;
    let place = |name: &String| zones.iter().position(|zone| zone == name).map(|at| LocationId(at as u16));
    let mut set = peers::Set::of(&fleet.name, &fleet.me, fleet.listen);
    for (at, operator::Member { name, address, location }) in fleet.members.iter().enumerate() {
        let known = place(location);
        let location = known.ok_or_else(|| Error::Location(at, location.clone(), zones.clone()))?;
        set.members.push(peers::Member { name: name.clone(), address: *address, location });
    }
    let follower =
        |one: &operator::Follower| peers::Follower { name: one.name.clone(), address: one.address };
    set.followers = fleet.followers.iter().map(follower).collect();
    set.locations = zones.iter().filter_map(|zone| Some((zone.clone(), place(zone)?))).collect();
    (set.events, set.control, set.form) = (fleet.events.clone(), fleet.control, fleet.message_version);
    (set.every, set.seed) = (fleet.timer_period, config.seed);
    let drain = config.longest().min(DRAIN_MOST);
    set.rooms = house::Set {
        members: members::Set { round: fleet.probe_interval, ..members::Set::default() },
        limits: fleet.limits.as_ref().map(|told| limits::Set {
            origin: told.origin,
            further_per_s: told.retries_per_s,
            cold: told.shares_cold_budgets,
            lease: told.lease,
            floor: told.floor,
            drain,
            ..limits::Set::default()
        }),
        verdicts: fleet.verdicts.as_ref().map(|told| verdicts::Set {
            hold: told.max_finding_age,
            tellers: told.min_reporters as u8,
            part: told.min_reporting_fraction,
        }),
        rollout: fleet
            .rollout
            .as_ref()
            .map(|told| rollout::Set { window: told.comparison_window, ..rollout::Set::default() }),
        ..house::Set::default()
    };
    set.delivery = fleet.delivery.as_ref().map(|told| delivery::Set {
        carriers: told.carriers.clone(),
        last: ChangeNumber::default(),
        room: cherrypass_fleet::delivery::Set {
            log: LogId::of(&told.log),
            followers: told.followers_per_carrier as usize,
            fallback: told.fallback_after,
            ..cherrypass_fleet::delivery::Set::default()
        },
    });
    set.check()?;
    Ok(set)
}

#[derive(Clone, Copy)]
struct Part {
    amount: f64,
    until: Instant,
    after: f64,
}

struct Told {
    since: Option<UnixTime>,
    until: Instant,
    /// The fleet has heard that own hand-offs went well.
    refuted: bool,
}

pub struct Sharing {
    tell: Box<dyn Fn(ToFleet)>,
    /// For the thread that follows the change log, until that has taken it.
    delivery: Option<Delivery>,
    /// All changes that the log had then are known, where the delivery is on.
    known: Option<Instant>,
    unproven: bool,
    /// Leaves the fleet in order when it is dropped.
    _peers: Option<Peers>,
    settings: Settings,
    fleet: Fleet,
    rules: Rules,
    /// The part of the whole that is this member's whatever the others do.
    floor: f64,
    parts: BTreeMap<Key, Part>,
    told: BTreeMap<HostId, Told>,
    /// Hosts that others found to be new, and which start of theirs the list told then.
    new: BTreeMap<HostId, Option<UnixTime>>,
    found: BTreeMap<(HostId, bool), (Kind, u32, Option<UnixTime>)>,
    /// The start that the list tells of a host, by which members name its process, and as the module knows it.
    starts: BTreeMap<HostId, (Option<UnixTime>, Option<Time>)>,
    shut: BTreeMap<HostId, bool>,
    recent: BTreeMap<Key, VecDeque<Wanted>>,
    next: Instant,
    rounds: usize,
    counted: Figures,
}

fn shared(key: Key) -> Shared {
    match key {
        Key::Origin => Shared::Origin,
        Key::Further => Shared::Further,
        Key::Cold(host) => Shared::Cold(host),
    }
}

/// A point in the module's time that is as far ahead as that is.
fn at(instant: Instant) -> Time {
    clock::now() + Span(instant.saturating_duration_since(Instant::now()).as_micros() as u64)
}

impl Sharing {
    /// Joins the fleet; what it tells goes to the router's mailbox.
    pub fn start(
        fleet: &Fleet,
        set: peers::Set,
        settings: &Settings,
        store: Option<Arc<Store>>,
        own: Sender<Input>,
    ) -> Result<Sharing, Error> {
        let (to_log, from_fleet) = unbounded();
        let tell = move |from| {
            let _ = match from {
                // What is known is told by that thread, after the changes that it has taken.
                FromFleet::Delivered(delivered) => to_log.send(delivered).is_ok(),
                from => own.send(Input::Fleet(from)).is_ok(),
            };
        };
        let peers = Peers::start(set, store, tell, |line| tracing::info!("{line}"))?;
        let to = peers.sender();
        let delivery = fleet.delivery.as_ref().map(|delivery| Delivery {
            from_fleet,
            to_fleet: Box::new({
                let to = to.clone();
                move |what| to.send(what)
            }),
            is_carrier: delivery.carriers.contains(&fleet.me),
        });
        let tell = Box::new(move |what| to.send(what));
        Ok(Sharing { _peers: Some(peers), delivery, ..Sharing::with(fleet, settings, tell) })
    }

    /// The change log's part of it, once.
    pub fn delivery(&mut self) -> Option<Delivery> {
        self.delivery.take()
    }

    fn with(fleet: &Fleet, settings: &Settings, tell: Box<dyn Fn(ToFleet)>) -> Sharing {
        let floor = fleet.limits.as_ref().map_or(0.0, |limits| limits.floor);
        Sharing {
            tell,
            delivery: None,
            known: fleet.delivery.is_some().then(Instant::now),
            unproven: false,
            _peers: None,
            settings: settings.clone(),
            fleet: fleet.clone(),
            rules: Rules::default(),
            floor: floor / fleet.members.len().max(1) as f64,
            parts: BTreeMap::new(),
            told: BTreeMap::new(),
            new: BTreeMap::new(),
            found: BTreeMap::new(),
            starts: BTreeMap::new(),
            shut: BTreeMap::new(),
            recent: BTreeMap::new(),
            next: Instant::now(),
            rounds: 0,
            counted: Figures::default(),
        }
    }

    /// How long until `round` is due.
    pub fn wait(&self) -> Duration {
        self.next.saturating_duration_since(Instant::now())
    }

    /// Before anything is served: nothing of a limit until the fleet has told more, which it does at its
    /// start. Guards against a start whose share an earlier run has lent, or used up, still.
    pub fn begin(&mut self, brain: &mut Brain) {
        let Some(limits) = &self.fleet.limits else { return };
        let wholes = [(Key::Origin, limits.origin), (Key::Further, limits.retries_per_s)];
        let shared = wholes.into_iter().filter(|(_, whole)| whole.is_some());
        shared.for_each(|(key, _)| self.until_told(brain, key, 0.0));
    }

    fn until_told(&mut self, brain: &mut Brain, key: Key, amount: f64) {
        self.parts.entry(key).or_insert(Part { amount, until: Instant::now(), after: amount });
        self.allot(brain, key);
    }

    fn allot(&self, brain: &mut Brain, key: Key) {
        if let Some(Part { amount, until, after }) = self.parts.get(&key) {
            let scale = self.scale(key);
            brain.allotted(shared(key), scale * amount, at(*until), scale * after);
        }
    }

    /// A whole by the rules in force over that by the file, which the fleet shares out.
    fn scale(&self, key: Key) -> f64 {
        let (Some(file), rules) = (&self.fleet.limits, &self.rules.fleet.limits) else { return 1.0 };
        let (new, old) = match key {
            Key::Origin => (rules.origin, file.origin),
            Key::Further => (rules.retries_per_s, file.retries_per_s),
            Key::Cold(_) => (None, None),
        };
        new.zip(old).map_or(1.0, |(new, old)| new / old)
    }

    /// Other rules are in force from now on.
    fn rule(&mut self, brain: &mut Brain, rules: Rules) {
        self.rules = rules;
        self.parts.keys().copied().collect::<Vec<_>>().into_iter().for_each(|key| self.allot(brain, key));
        if let Some(file) = &self.fleet.verdicts {
            let rules = &self.rules.fleet.verdicts;
            let tellers = rules.min_reporters.unwrap_or(file.min_reporters) as u8;
            (self.tell)(ToFleet::Weighed {
                tellers,
                part: rules.min_reporting_fraction.unwrap_or(file.min_reporting_fraction),
            });
        }
        if !self.rules.fleet.verdicts.uses_findings {
            let hosts: Vec<HostId> = self.told.keys().copied().collect();
            hosts.into_iter().for_each(|host| self.withdraw(brain, host));
        }
    }

    /// The module's name of the process that members name by this start; of one that the list does not tell here, a start
    /// that no host has.
    fn start_of(&self, host: HostId, since: Option<UnixTime>) -> Option<Time> {
        let known = self.starts.get(&host).filter(|known| known.0 == since);
        known.map_or(Some(Time::default()), |known| known.1)
    }

    fn withdraw(&mut self, brain: &mut Brain, host: HostId) {
        if let Some(told) = self.told.remove(&host) {
            let now = clock::now();
            brain.hearsay(now, host, self.start_of(host, told.since), Word::Bad, now);
        }
    }

    pub fn take(&mut self, brain: &mut Brain, what: FromFleet) {
        match what {
            FromFleet::Part { key, number, amount, until, after } => {
                // Of a host that is gone nothing is kept.
                if matches!(key, Key::Cold(host) if !brain.is_listed(host)) {
                    return;
                }
                self.parts.insert(key, Part { amount, until, after });
                self.allot(brain, key);
                (self.tell)(ToFleet::Taken { key, number });
            }
            FromFleet::Hearsay { kind: Kind::Slow, .. } => {}
            FromFleet::Hearsay { .. } if !self.rules.fleet.verdicts.uses_findings => {}
            FromFleet::Hearsay { host, since, kind: Kind::JustStarted, until, .. } => {
                // Once for a start: the list's next word on it stands, whatever is told of the time before.
                if self.new.insert(host, since) != Some(since) {
                    let start = self.start_of(host, since);
                    brain.hearsay(clock::now(), host, start, Word::Anew, at(until));
                }
            }
            FromFleet::Hearsay { host, since, until, .. } => {
                let refuted = self.told.get(&host).is_some_and(|told| told.refuted && told.since == since);
                self.told.insert(host, Told { since, until, refuted });
                brain.hearsay(clock::now(), host, self.start_of(host, since), Word::Bad, at(until));
            }
            FromFleet::Withdraw { host } => self.withdraw(brain, host),
            FromFleet::Delivered(Delivered::KnownUpTo(at)) => {
                self.known = self.known.max(Some(at));
                self.prove(brain);
            }
            FromFleet::Delivered(Delivered::Changes { .. } | Delivered::ReadLog(_)) => {}
            FromFleet::Rules { number: 0, .. } => self.rule(brain, Rules::default()),
            FromFleet::Rules { number, text } => match rules::decode(&text, &self.fleet) {
                Ok(rules) => self.rule(brain, rules),
                Err(error) => {
                    tracing::warn!("rules {number} can't be taken ({}): {error}", error.code());
                    (self.tell)(ToFleet::NotTaken { number, why: error.to_string() });
                }
            },
        }
    }

    /// Tells the module whether purges may have been told that are not known here.
    fn prove(&mut self, brain: &mut Brain) {
        let (Some(delivery), Some(known)) = (&self.fleet.delivery, self.known) else { return };
        let is_unproven = known.elapsed() > clock::duration(delivery.max_proof_age);
        brain.unproven(is_unproven && delivery.unproven == UnprovenCopies::Strict);
        if std::mem::replace(&mut self.unproven, is_unproven) != is_unproven {
            let age_ms = known.elapsed().as_millis();
            match is_unproven {
                true => tracing::warn!("delivery: purges of the last {age_ms} ms may be unknown here"),
                false => tracing::info!("delivery: all purges are known up to {age_ms} ms ago"),
            }
        }
    }

    /// Whether changes come by carriers, which prove what is known.
    pub fn has_carriers(&self) -> bool {
        self.fleet.delivery.is_some()
    }

    /// The list's word on a host.
    pub fn listed(&mut self, brain: &mut Brain, entry: &Listing, started: Option<UnixTime>) {
        self.starts.insert(entry.host, (started, entry.since));
        if entry.phase != Phase::Ready {
            return self.unlisted(entry.host, entry.phase == Phase::Gone);
        }
        let kind = Some(entry.kind);
        let for_all = kind == self.settings.parent_kind || kind == self.settings.origin_kind;
        let used_by = if for_all { UsedBy::All } else { UsedBy::Location(entry.location) };
        (self.tell)(ToFleet::Listed { host: entry.host, since: started, used_by });
        if entry.since.is_some() {
            self.new_cold(brain, entry.host);
        }
    }

    /// A host's listed start was earlier than it was dated at first.
    pub fn redated(&mut self, host: HostId, since: Time) {
        self.starts.get_mut(&host).into_iter().for_each(|known| known.1 = Some(since));
    }

    pub fn unlisted(&mut self, host: HostId, gone: bool) {
        (self.tell)(ToFleet::Unlisted(host));
        self.told.remove(&host);
        if gone {
            self.starts.remove(&host);
            self.parts.remove(&Key::Cold(host));
            self.new.remove(&host);
        }
    }

    /// A cold host of which the fleet has not told a part yet: what nobody else can have, for it may know too
    /// many to tell of this one.
    fn new_cold(&mut self, brain: &mut Brain, host: HostId) {
        let key = Key::Cold(host);
        let shares = self.fleet.limits.as_ref().is_some_and(|limits| limits.shares_cold_budgets);
        if shares && !self.parts.contains_key(&key) {
            self.until_told(brain, key, self.floor);
        }
    }

    /// Both ways, all that holds now.
    pub fn round(&mut self, brain: &mut Brain) {
        let (now, instant) = (clock::now(), Instant::now());
        self.next = instant + EVERY;
        self.rounds += 1;
        self.prove(brain);
        self.parts.keys().copied().collect::<Vec<_>>().into_iter().for_each(|key| self.allot(brain, key));
        self.told.retain(|_, told| instant < told.until);
        for (host, told) in &self.told {
            brain.hearsay(now, *host, self.start_of(*host, told.since), Word::Bad, at(told.until));
        }
        if self.fleet.verdicts.is_some() {
            self.tell_found(brain, now);
        }
        self.tell_shut(brain);
        self.tell_wanted(brain, now);
        if self.rounds.is_multiple_of(A_SECOND) {
            (self.tell)(ToFleet::Counted(std::mem::take(&mut self.counted)));
        }
    }

    fn tell_found(&mut self, brain: &Brain, now: Time) {
        let mut found = BTreeMap::new();
        for one in brain.findings(now) {
            let kind = match one.what {
                Found::Anew => Kind::JustStarted,
                Found::Shut { why: Bad::Silent, .. } | Found::Shut { unreached: true, .. } => Kind::CutOff,
                Found::Shut { .. } => Kind::ShutOut,
            };
            let place = (one.host, kind == Kind::JustStarted);
            let since = self.starts.get(&one.host).and_then(|known| known.0);
            let holds = (kind, one.evidence, since);
            if self.found.get(&place) != Some(&holds) {
                let (host, evidence, age) = (one.host, one.evidence, now - one.at);
                (self.tell)(ToFleet::Found(Finding { host, since, kind, evidence, age }));
            }
            found.insert(place, holds);
        }
        let over = self.found.keys().filter(|place| !place.1 && !found.contains_key(place));
        over.for_each(|place| (self.tell)(ToFleet::Cleared(place.0)));
        self.found = found;
        for host in brain.refuted(now) {
            if let Some(told) = self.told.get_mut(&host).filter(|told| !told.refuted) {
                told.refuted = true;
                (self.tell)(ToFleet::Refuted(host));
            }
        }
    }

    fn tell_shut(&mut self, brain: &Brain) {
        let shut: BTreeMap<HostId, bool> =
            brain.shut_out_now().map(|(host, why)| (host, why == Bad::Told)).collect();
        for (host, told) in shut.iter().filter(|(host, told)| self.shut.get(host) != Some(told)) {
            self.counted.shut_out += u64::from(!self.shut.contains_key(host));
            (self.tell)(ToFleet::Shut { host: *host, told: *told });
        }
        for host in self.shut.keys().filter(|host| !shut.contains_key(host)) {
            (self.tell)(ToFleet::Back { host: *host });
        }
        self.shut = shut;
    }

    fn tell_wanted(&mut self, brain: &mut Brain, now: Time) {
        let Some(limits) = &self.fleet.limits else { return };
        let fixed = [(Key::Origin, limits.origin), (Key::Further, limits.retries_per_s)];
        let mut keys: BTreeSet<Key> =
            fixed.into_iter().filter(|(_, whole)| whole.is_some()).map(|(key, _)| key).collect();
        if limits.shares_cold_budgets {
            let cold: Vec<HostId> = brain.cold(now).collect();
            cold.iter().for_each(|host| self.new_cold(brain, *host));
            keys.extend(cold.into_iter().map(Key::Cold));
        }
        self.recent.retain(|key, _| keys.contains(key));
        let told = self.rounds.is_multiple_of(A_SECOND);
        for key in keys {
            let recent = self.recent.entry(key).or_default();
            recent.push_back(brain.wanted(now, shared(key)));
            if recent.len() > A_SECOND {
                recent.pop_front();
            }
            let over = |of: fn(&Wanted) -> f64| match key {
                Key::Origin => recent.iter().map(of).fold(0.0, f64::max),
                _ => recent.iter().map(of).sum::<f64>() / recent.len() as f64,
            };
            let most = if matches!(key, Key::Cold(_)) { 1.0 } else { f64::MAX };
            (self.tell)(ToFleet::Wants { key, amount: over(|one| one.wanted).min(most) });
            if told {
                (self.tell)(ToFleet::Used { key, amount: over(|one| one.used) });
            }
        }
    }

    pub fn handed_off(&mut self) {
        self.counted.hand_offs += 1;
    }

    pub fn settled(&mut self, brain: &Brain, band: BandId, took: Span) {
        self.counted.visits += 1;
        self.counted.in_time += u64::from(took.as_seconds() <= brain.quoted(band));
    }

    pub fn turned_back(&mut self) {
        self.counted.visits += 1;
        self.counted.turned_back += 1;
    }

    pub fn written_off(&mut self) {
        self.counted.visits += 1;
        self.counted.written_off += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cherrypass::calls::{Decision, Ended, Note, Outcome, Report, Visit};
    use cherrypass::ids::{CellId, GroupId, HandOffNo, KindId, ObjectId, VisitId};
    use cherrypass::settings::{Band, ColdStart, Effect};
    use crossbeam_channel::{unbounded, Receiver};

    const CACHES: u64 = 4;
    const ORIGIN: HostId = HostId(9);

    fn band(writes: bool) -> Band {
        let (quoted, zero) = (Span::millis(500), Span::ZERO);
        Band { effect: Effect::Idempotent, quoted, stretch: 2.0, fresh: zero, grace: zero, writes }
    }

    /// A module with four caches, the first of them cold, and an origin; and its part of a fleet of two.
    fn start() -> (Brain, Sharing, Receiver<ToFleet>) {
        let text = r#"{"fleet": {"name": "shop", "me": "d1", "listen": "127.0.0.1:0", "verdicts": {},
            "limits": {"origin": 40, "further_per_s": 20, "cold": true, "floor": 0.1},
            "members": [{"name": "d1", "address": "127.0.0.1:1", "location": "edge"},
                        {"name": "d2", "address": "127.0.0.1:2", "location": "edge"}]}}"#;
        let fleet = cherrypass_operator::decode("test", serde_json::from_str(text).unwrap()).unwrap();
        let (share, ramp, multiple, window) = (0.2, Span::seconds(60.0), 2.0, Span::seconds(2.0));
        let settings = Settings {
            dispatchers: 2,
            location_dispatchers: 2,
            bands: vec![band(false), band(true)],
            origin_kind: Some(KindId(2)),
            weights_told: true,
            weights_steady: true,
            direct: true,
            cancel: true,
            max_hand_offs: 6,
            cold_cache: ColdStart { share, ramp, multiple, window },
            ..Settings::default()
        };
        let mut brain = Brain::start(settings.clone(), 7, clock::now());
        let (to, told) = unbounded();
        let mut sharing =
            Sharing::with(&fleet.fleet.unwrap(), &settings, Box::new(move |what| drop(to.send(what))));
        sharing.begin(&mut brain);
        let entries: Vec<Listing> = (1..=CACHES).map(HostId).chain([ORIGIN]).map(entry).collect();
        brain.listed(clock::now(), &entries, true);
        entries.iter().for_each(|entry| sharing.listed(&mut brain, entry, entry.since.map(clock::unix_at)));
        (brain, sharing, told)
    }

    fn entry(host: HostId) -> Listing {
        let (location, cell) = (LocationId(0), CellId(0));
        let kind = KindId(if host == ORIGIN { 2 } else { 0 });
        let since = Some(clock::now()).filter(|_| host == HostId(1));
        Listing { host, location, kind, cell, weight: 20.0, since, phase: Phase::Ready }
    }

    /// Where visits of a band go; those without an entry were turned back.
    fn visits(brain: &mut Brain, first: u32, count: u32, band: u16) -> BTreeMap<u32, HostId> {
        let (now, mut out) = (clock::now(), BTreeMap::new());
        for id in first..first + count {
            let (object, deadline) = (ObjectId(u64::from(id)), now + Span::seconds(6.0));
            let (band, group, visit) = (BandId(band), GroupId(0), VisitId(id));
            brain.arrived(now, Visit { id: visit, band, object, group, part: 0, kilobytes: None, deadline });
            while let Some(decision) = brain.next(now) {
                if let Decision::HandOff { visit, host, .. } = decision {
                    out.insert(visit.0, host);
                }
            }
        }
        out
    }

    fn end(brain: &mut Brain, out: &BTreeMap<u32, HostId>, fails: impl Fn(HostId) -> bool) {
        for (id, host) in out {
            let outcome = if fails(*host) { Outcome::TimedOut } else { Outcome::Settled };
            let (visit, number, note) = (VisitId(*id), HandOffNo(0), Note::Untold);
            let (took, report) = (Span::millis(100), Report::default());
            brain.ended(clock::now(), Ended { visit, number, outcome, note, took, report, last: true });
        }
        while brain.next(clock::now()).is_some() {}
    }

    #[test]
    fn parts_hold_by_instants_and_needs_are_told() {
        let (mut brain, mut sharing, told) = start();
        assert_eq!(visits(&mut brain, 0, 5, 1).len(), 0, "nothing is told yet");
        let until = Instant::now() + Duration::from_millis(60);
        let part = |key, number, amount, after| FromFleet::Part { key, number, amount, until, after };
        sharing.take(&mut brain, part(Key::Origin, 3, 6.0, 0.0));
        sharing.take(&mut brain, part(Key::Cold(HostId(77)), 4, 1.0, 1.0));
        assert_eq!(visits(&mut brain, 10, 9, 1).len(), 6);
        sharing.round(&mut brain);
        let all: Vec<ToFleet> = told.try_iter().collect();
        assert!(all.contains(&ToFleet::Taken { key: Key::Origin, number: 3 }));
        assert!(
            !all.iter().any(|what| matches!(what, ToFleet::Taken { key: Key::Cold(_), .. })),
            "not listed"
        );
        let wants = |wanted: Key| {
            let find = |what: &ToFleet| match what {
                ToFleet::Wants { key, amount } if *key == wanted => Some(*amount),
                _ => None,
            };
            all.iter().find_map(find)
        };
        assert!(wants(Key::Origin).unwrap() > 6.0, "more was wanted than the part gives");
        assert!(wants(Key::Cold(HostId(1))).is_some() && wants(Key::Cold(HostId(2))).is_none());
        std::thread::sleep(Duration::from_millis(80));
        end(&mut brain, &(0..30).map(|id| (id, ORIGIN)).collect(), |_| false);
        assert_eq!(visits(&mut brain, 30, 4, 1).len(), 0, "the part is over without a further call");
    }

    #[test]
    fn rules_change_wholes_and_bad_ones_change_nothing() {
        let (mut brain, mut sharing, told) = start();
        let until = Instant::now() + Duration::from_secs(9);
        let key = Key::Origin;
        sharing.take(&mut brain, FromFleet::Part { key, number: 1, amount: 8.0, until, after: 0.0 });
        let mut rules = |number: u64, text: &str| {
            sharing.take(&mut brain, FromFleet::Rules { number, text: text.into() });
            let before = brain.wanted(clock::now(), Shared::Origin).used as u32;
            visits(&mut brain, 100 * number as u32, 9, 1).len() as u32 + before
        };
        assert_eq!(rules(1, r#"{"fleet": {"limits": {"origin": 20}}}"#), 4);
        assert_eq!(rules(2, r#"{"fleet": {"limits": {"origin": 0}}}"#), 4);
        assert!(told.try_iter().any(|what| matches!(what, ToFleet::NotTaken { number: 2, .. })));
        assert_eq!(rules(0, ""), 8);
    }

    #[test]
    fn own_findings_are_told_and_never_what_was_only_told() {
        let (mut brain, mut sharing, told) = start();
        let bad = HostId(3);
        for first in [100, 200, 300, 400] {
            let out = visits(&mut brain, first, 60, 0);
            end(&mut brain, &out, |host| host == bad);
        }
        sharing.round(&mut brain);
        sharing.round(&mut brain);
        let all: Vec<ToFleet> = told.try_iter().collect();
        let found =
            |what: &&ToFleet| matches!(what, ToFleet::Found(one) if one.host == bad && one.evidence > 0);
        assert_eq!(all.iter().filter(found).count(), 1, "told anew without anything new");
        assert!(all.contains(&ToFleet::Shut { host: bad, told: false }));
        // The second one stands on others' word alone, and goes with it. Own good answers come first for 2 s.
        let (host, until) = (HostId(2), Instant::now() + Duration::from_secs(9));
        let (kind, weight, age, tellers) = (Kind::ShutOut, 0.5, Span::ZERO, 2);
        std::thread::sleep(Duration::from_millis(2_050));
        sharing.take(&mut brain, FromFleet::Hearsay { host, since: None, kind, weight, until, age, tellers });
        sharing.round(&mut brain);
        let all: Vec<ToFleet> = told.try_iter().collect();
        assert!(all.contains(&ToFleet::Shut { host, told: true }));
        assert!(!all.iter().any(|what| matches!(what, ToFleet::Found(one) if one.host == host)), "an echo");
        sharing.take(&mut brain, FromFleet::Withdraw { host });
        brain.woken(clock::now());
        sharing.round(&mut brain);
        assert!(told.try_iter().any(|what| what == ToFleet::Back { host }));
    }
}
