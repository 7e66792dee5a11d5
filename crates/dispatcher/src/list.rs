//! The list of hosts in force. An entry that can't stand as it is told has one log line and a meaning by which no
//! host is warmer, or is given more, than by a sound one (docs/sockets.md, "Bad entries of the list").
use crate::change_clock::ChangeClock;
use crate::inbox::Listed;
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time, UnixTime};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A start that turns out to be earlier by less is left as it is.
const REDATED_LEAST: Span = Span::millis(20);
/// What a weight that can't be used counts as, where no listed host of the kind has less.
const WEIGHT: f64 = 1.0;

/// Why an entry does not stand as it was told, and as what it counts. Starts are Unix milliseconds.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    #[error("its start {told} is earlier than {known}, which was told before and stays")]
    EarlierStart { told: u64, known: u64 },
    #[error("its start {0} is in the future: cold until then, and through its ramp from then on")]
    FutureStart(u64),
    #[error("weight {told} can't be used, it counts as {taken}")]
    Weight { told: f64, taken: f64 },
    #[error("{address} is the address of {holder} now: as gone, until it is listed at another one")]
    AddressTaken { address: SocketAddr, holder: String },
}

/// By what starts are dated.
pub struct Clocks<'a> {
    pub now: Time,
    pub wall: UnixTime,
    pub change_clock: &'a ChangeClock,
}

/// What of an event is in force.
pub struct Applied {
    /// The event's entries in their order, as they count.
    pub hosts: Vec<Listed>,
    /// Hosts whose address another one has: as gone.
    pub lost: Vec<Listing>,
    /// What did not stand as it was told, each with the host's name.
    pub faults: Vec<(String, Fault)>,
}

/// A host that is listed and not gone.
struct Row {
    listing: Listing,
    started: Option<UnixTime>,
    name: String,
    address: SocketAddr,
    /// Counts up with each entry.
    told: u64,
}

impl Row {
    /// Who has an address is one process: the one that started last. Where the list tells of no difference it is
    /// one that does not drain, then the one told last.
    fn claim(&self) -> (Option<UnixTime>, bool, u64) {
        (self.started, self.listing.phase == Phase::Ready, self.told)
    }
}

/// A start as it was told, and as it is dated: of the same start that only ever becomes earlier, until its host is warm.
#[derive(Clone, Copy)]
struct Start {
    told: UnixTime,
    at: Time,
}

pub struct List {
    rows: BTreeMap<HostId, Row>,
    /// The latest start told of each name; of one that has gone, until it would be warm.
    starts: BTreeMap<HostId, Start>,
    /// Those that are not warm yet.
    warming: BTreeSet<HostId>,
    told: u64,
    /// The longest time from a start until a host is warm.
    ramp: Span,
    weights_told: bool,
}

impl List {
    pub fn new(ramp: Span, weights_told: bool) -> List {
        let (rows, starts, warming) = Default::default();
        List { rows, starts, warming, told: 0, ramp, weights_told }
    }

    /// Takes an event's entries in, whose starts the clock has heard; hosts missing from a whole list are gone.
    pub fn apply(&mut self, clocks: &Clocks, mut hosts: Vec<Listed>, whole: bool) -> Applied {
        if whole {
            let kept: BTreeSet<HostId> = hosts.iter().map(|host| host.listing.host).collect();
            self.rows.retain(|id, _| kept.contains(id));
        }
        let mut faults = Vec::new();
        for place in 0..hosts.len() {
            let weight = self.weight(&hosts[place].listing, &hosts);
            let host = &mut hosts[place];
            faults.extend(self.weigh(&mut host.listing, weight).map(|fault| (host.name.clone(), fault)));
            faults.extend(self.date(clocks, host).map(|fault| (host.name.clone(), fault)));
        }
        hosts.iter().for_each(|host| self.put(host));
        let lost = self.settle(&hosts, &mut faults);
        hosts.retain(|host| lost.iter().all(|lost| lost.host != host.listing.host));
        let (rows, ramp) = (&self.rows, self.ramp);
        self.starts.retain(|id, start| rows.contains_key(id) || clocks.now < start.at + ramp);
        Applied { hosts, lost, faults }
    }

    /// Dates the starts of hosts that are not warm yet anew; those that were earlier than was known. Guards against a host
    /// that is held cold for longer since it was told of before much was known of the change log's clock.
    pub fn redate(&mut self, clocks: &Clocks) -> Vec<(HostId, Time)> {
        let (starts, rows, ramp) = (&mut self.starts, &mut self.rows, self.ramp);
        let mut found = Vec::new();
        self.warming.retain(|id| {
            let Some(start) = starts.get_mut(id).filter(|start| clocks.now < start.at + ramp) else {
                return false;
            };
            let at = clocks.change_clock.time(clocks.now, clocks.wall, start.told);
            if at + REDATED_LEAST < start.at {
                start.at = at;
                rows.get_mut(id).into_iter().for_each(|row| row.listing.since = Some(at));
                found.push((*id, at));
            }
            true
        });
        found
    }

    /// What an entry's weight counts as: one that can't be used never as more than any that is listed.
    fn weight(&self, entry: &Listing, hosts: &[Listed]) -> f64 {
        if is_usable(entry.weight) {
            return entry.weight;
        }
        let listed = self.rows.values().map(|row| &row.listing).chain(hosts.iter().map(|host| &host.listing));
        let alike = listed.filter(|other| other.kind == entry.kind && is_usable(other.weight));
        alike.map(|other| other.weight).fold(WEIGHT, f64::min)
    }

    /// Where weights are told, one that can't be used is a fault, unless the host is to get nothing anyhow.
    fn weigh(&self, listing: &mut Listing, taken: f64) -> Option<Fault> {
        let told = std::mem::replace(&mut listing.weight, taken);
        let counts = self.weights_told && listing.phase == Phase::Ready;
        (counts && !is_usable(told)).then_some(Fault::Weight { told, taken })
    }

    /// A start earlier than one known, or none, changes nothing of that.
    fn date(&mut self, clocks: &Clocks, host: &mut Listed) -> Option<Fault> {
        let id = host.listing.host;
        let (told, known) = (host.started, self.starts.get(&id).map(|start| start.told));
        let later = told.filter(|told| Some(*told) > known);
        if let Some(told) = later {
            let at = clocks.change_clock.time(clocks.now, clocks.wall, told);
            self.starts.insert(id, Start { told, at });
            self.warming.insert(id);
        }
        let start = self.starts.get(&id);
        (host.started, host.listing.since) = (start.map(|start| start.told), start.map(|start| start.at));
        let ms = |start: Option<UnixTime>| start.map_or(0, UnixTime::as_millis);
        let fault = if told < known {
            Fault::EarlierStart { told: ms(told), known: ms(known) }
        } else if later.is_some() && host.listing.since > Some(clocks.now) {
            Fault::FutureStart(ms(told))
        } else {
            return None;
        };
        (host.listing.phase == Phase::Ready).then_some(fault)
    }

    fn put(&mut self, host: &Listed) {
        self.told += 1;
        let Listed { listing, started, name, address } = host;
        match address.filter(|_| listing.phase != Phase::Gone) {
            Some(address) => {
                let (listing, started, name) = (*listing, *started, name.clone());
                let row = Row { listing, started, name, address, told: self.told };
                self.rows.insert(host.listing.host, row);
            }
            None => drop(self.rows.remove(&listing.host)),
        }
    }

    /// Of hosts at one address all but one are as gone. Guards against an old name that leads to a new process past
    /// that one's cold budget.
    fn settle(&mut self, hosts: &[Listed], faults: &mut Vec<(String, Fault)>) -> Vec<Listing> {
        let told: BTreeSet<SocketAddr> = hosts.iter().filter_map(|host| host.address).collect();
        let mut holders: BTreeMap<SocketAddr, &Row> = BTreeMap::new();
        let mut lost = Vec::new();
        for row in self.rows.values().filter(|row| told.contains(&row.address)) {
            let Some(other) = holders.insert(row.address, row) else { continue };
            let (holder, loser) = if other.claim() > row.claim() { (other, row) } else { (row, other) };
            holders.insert(row.address, holder);
            lost.push(loser);
        }
        for row in &lost {
            let (address, holder) = (row.address, holders[&row.address].name.clone());
            faults.push((row.name.clone(), Fault::AddressTaken { address, holder }));
        }
        let lost: Vec<Listing> =
            lost.into_iter().map(|row| Listing { phase: Phase::Gone, ..row.listing }).collect();
        lost.iter().for_each(|lost| drop(self.rows.remove(&lost.host)));
        lost
    }
}

fn is_usable(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}
