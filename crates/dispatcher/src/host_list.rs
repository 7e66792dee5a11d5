//! The host list in force. A faulty entry is logged once and interpreted so that no host counts as warmer, or
//! gets more load, than a correct entry would give it (docs/sockets.md, "Bad entries of the list").
use crate::change_clock::ChangeClock;
use crate::inbox::ListedHost;
use cherrypass::calls::{Listing, Phase};
use cherrypass::ids::HostId;
use cherrypass::time::{Span, Time, UnixTime};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Corrections of a start by less than this are ignored.
const MIN_START_CORRECTION: Span = Span::millis(20);
/// Substitute for an unusable weight, unless a listed host of the kind has a lower one.
const FALLBACK_WEIGHT: f64 = 1.0;

/// Why an entry is not taken as listed, and how it is interpreted. Starts are Unix milliseconds.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum EntryFault {
    #[error("start {listed} is before the previously listed start {known}, which stays in effect")]
    EarlierStart { listed: u64, known: u64 },
    #[error("start {0} is in the future: the host is cold until then and ramps up from there")]
    FutureStart(u64),
    #[error("invalid weight {listed}, using {effective} instead")]
    UnusableWeight { listed: f64, effective: f64 },
    #[error(
        "{address} is now the address of {holder}: the host is treated as gone until it is listed elsewhere"
    )]
    AddressTaken { address: SocketAddr, holder: String },
}

/// The clocks by which starts are dated.
pub struct Clocks<'a> {
    pub now: Time,
    pub wall: UnixTime,
    pub change_clock: &'a ChangeClock,
}

/// The effect of an update of the list.
pub struct AppliedUpdate {
    /// The update's entries in their order, as they are interpreted.
    pub hosts: Vec<ListedHost>,
    /// Hosts that lost their address to another one; they count as gone.
    pub displaced: Vec<Listing>,
    /// Faulty entries, each with the host's name.
    pub faults: Vec<(String, EntryFault)>,
}

/// A listed host that is not gone.
struct Entry {
    listing: Listing,
    started: Option<UnixTime>,
    name: String,
    address: SocketAddr,
    /// Increases with each entry.
    sequence: u64,
}

impl Entry {
    /// Of several hosts at an address, the one with the greatest value holds it: the one that started last,
    /// then one that does not drain, then the one listed last.
    fn address_claim(&self) -> (Option<UnixTime>, bool, u64) {
        (self.started, self.listing.phase == Phase::Ready, self.sequence)
    }
}

/// A start as listed, and its time on this process's clock. That time only ever becomes earlier.
#[derive(Clone, Copy)]
struct Start {
    listed: UnixTime,
    at: Time,
}

/// The listed hosts and their starts.
pub struct HostList {
    entries: BTreeMap<HostId, Entry>,
    /// The latest listed start of each host; for a host that is gone, until it would be warm.
    starts: BTreeMap<HostId, Start>,
    /// Hosts that are not warm yet.
    warming: BTreeSet<HostId>,
    last_sequence: u64,
    /// The longest time from a start until a host is warm.
    ramp: Span,
    uses_weights: bool,
}

impl HostList {
    pub fn new(ramp: Span, uses_weights: bool) -> HostList {
        let (entries, starts, warming) = Default::default();
        HostList { entries, starts, warming, last_sequence: 0, ramp, uses_weights }
    }

    /// Applies an update whose stamps the change clock has observed already. With `is_full`, hosts missing
    /// from it are gone.
    pub fn apply(&mut self, clocks: &Clocks, mut hosts: Vec<ListedHost>, is_full: bool) -> AppliedUpdate {
        if is_full {
            let listed: BTreeSet<HostId> = hosts.iter().map(|host| host.listing.host).collect();
            self.entries.retain(|id, _| listed.contains(id));
        }
        let mut faults = Vec::new();
        for place in 0..hosts.len() {
            let weight = self.effective_weight(&hosts[place].listing, &hosts);
            let host = &mut hosts[place];
            faults
                .extend(self.apply_weight(&mut host.listing, weight).map(|fault| (host.name.clone(), fault)));
            faults.extend(self.apply_start(clocks, host).map(|fault| (host.name.clone(), fault)));
        }
        hosts.iter().for_each(|host| self.insert(host));
        let displaced = self.resolve_addresses(&hosts, &mut faults);
        hosts.retain(|host| displaced.iter().all(|displaced| displaced.host != host.listing.host));
        let (entries, ramp) = (&self.entries, self.ramp);
        self.starts.retain(|id, start| entries.contains_key(id) || clocks.now < start.at + ramp);
        AppliedUpdate { hosts, displaced, faults }
    }

    /// Dates the starts of hosts that are not warm yet again, and returns those that were earlier than known.
    /// Otherwise a host that was listed before the change log's clock was well known would count as cold for
    /// too long.
    pub fn redate(&mut self, clocks: &Clocks) -> Vec<(HostId, Time)> {
        let (starts, entries, ramp) = (&mut self.starts, &mut self.entries, self.ramp);
        let mut redated = Vec::new();
        self.warming.retain(|id| {
            let Some(start) = starts.get_mut(id).filter(|start| clocks.now < start.at + ramp) else {
                return false;
            };
            let at = clocks.change_clock.local_time(clocks.now, clocks.wall, start.listed);
            if at + MIN_START_CORRECTION < start.at {
                start.at = at;
                entries.get_mut(id).into_iter().for_each(|entry| entry.listing.started_at = Some(at));
                redated.push((*id, at));
            }
            true
        });
        redated
    }

    /// The weight that an entry is given. An unusable one never counts as more than a listed weight of the
    /// same kind.
    fn effective_weight(&self, entry: &Listing, hosts: &[ListedHost]) -> f64 {
        if is_usable(entry.weight) {
            return entry.weight;
        }
        let listed =
            self.entries.values().map(|entry| &entry.listing).chain(hosts.iter().map(|host| &host.listing));
        let same_kind = listed.filter(|other| other.kind == entry.kind && is_usable(other.weight));
        same_kind.map(|other| other.weight).fold(FALLBACK_WEIGHT, f64::min)
    }

    /// An unusable weight is a fault if weights are used and the host is to get load.
    fn apply_weight(&self, listing: &mut Listing, effective: f64) -> Option<EntryFault> {
        let listed = std::mem::replace(&mut listing.weight, effective);
        let counts = self.uses_weights && listing.phase == Phase::Ready;
        (counts && !is_usable(listed)).then_some(EntryFault::UnusableWeight { listed, effective })
    }

    /// Dates the start of an entry. A missing start, or one earlier than the known one, leaves that
    /// unchanged.
    fn apply_start(&mut self, clocks: &Clocks, host: &mut ListedHost) -> Option<EntryFault> {
        let id = host.listing.host;
        let (listed, known) = (host.started, self.starts.get(&id).map(|start| start.listed));
        let later = listed.filter(|listed| Some(*listed) > known);
        if let Some(listed) = later {
            let at = clocks.change_clock.local_time(clocks.now, clocks.wall, listed);
            self.starts.insert(id, Start { listed, at });
            self.warming.insert(id);
        }
        let start = self.starts.get(&id);
        (host.started, host.listing.started_at) =
            (start.map(|start| start.listed), start.map(|start| start.at));
        let ms = |start: Option<UnixTime>| start.map_or(0, UnixTime::as_millis);
        let fault = if listed < known {
            EntryFault::EarlierStart { listed: ms(listed), known: ms(known) }
        } else if later.is_some() && host.listing.started_at > Some(clocks.now) {
            EntryFault::FutureStart(ms(listed))
        } else {
            return None;
        };
        (host.listing.phase == Phase::Ready).then_some(fault)
    }

    fn insert(&mut self, host: &ListedHost) {
        self.last_sequence += 1;
        let ListedHost { listing, started, name, address } = host;
        match address.filter(|_| listing.phase != Phase::Gone) {
            Some(address) => {
                let (listing, started, name) = (*listing, *started, name.clone());
                let entry = Entry { listing, started, name, address, sequence: self.last_sequence };
                self.entries.insert(host.listing.host, entry);
            }
            None => drop(self.entries.remove(&listing.host)),
        }
    }

    /// Removes all but one of the hosts at each address. Otherwise load sent to an old name would reach a new
    /// process beyond its cold budget.
    fn resolve_addresses(
        &mut self,
        hosts: &[ListedHost],
        faults: &mut Vec<(String, EntryFault)>,
    ) -> Vec<Listing> {
        let updated: BTreeSet<SocketAddr> = hosts.iter().filter_map(|host| host.address).collect();
        let mut holders: BTreeMap<SocketAddr, &Entry> = BTreeMap::new();
        let mut lost = Vec::new();
        for entry in self.entries.values().filter(|entry| updated.contains(&entry.address)) {
            let Some(other) = holders.insert(entry.address, entry) else { continue };
            let (holder, loser) =
                if other.address_claim() > entry.address_claim() { (other, entry) } else { (entry, other) };
            holders.insert(entry.address, holder);
            lost.push(loser);
        }
        for entry in &lost {
            let (address, holder) = (entry.address, holders[&entry.address].name.clone());
            faults.push((entry.name.clone(), EntryFault::AddressTaken { address, holder }));
        }
        let lost: Vec<Listing> =
            lost.into_iter().map(|entry| Listing { phase: Phase::Gone, ..entry.listing }).collect();
        lost.iter().for_each(|lost| drop(self.entries.remove(&lost.host)));
        lost
    }
}

fn is_usable(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}
