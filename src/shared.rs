//! What holds for several dispatchers in sum, and what they tell each other of hosts. With nothing told,
//! nothing of it is in force, and all is decided as by one that is alone.
use crate::brain::{Brain, ONWARD_START, TRIALS_TO_OPEN, UNANSWERED};
use crate::calls::{Bad, Finding, Found, Shared, Wanted, Word};
use crate::containers::Bucket;
use crate::ids::HostId;
use crate::state::{Due, Host, Sent, Shut};
use crate::time::Time;

/// An amount past it is none that could be used up.
const AMOUNT_MOST: f64 = 1e9;

/// What others told of a host: until when that holds, when it is looked after next, and how many own hand-
/// offs in a row went well since it began to.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub(crate) until: Time,
    pub(crate) due: Time,
    pub(crate) passed: u32,
}

impl Told {
    pub(crate) fn is_refuted(&self, now: Time) -> bool {
        now < self.until && self.passed >= TRIALS_TO_OPEN
    }
}

/// What this dispatcher may use of a shared limit: so much until then, and so much after.
#[derive(Debug)]
pub struct Part {
    pub(crate) amount: f64,
    pub(crate) until: Time,
    after: f64,
    /// Of a limit a second; of another for an amount below one.
    bucket: Bucket,
}

impl Part {
    fn amount(&self, now: Time) -> f64 {
        if now < self.until {
            self.amount
        } else {
            self.after
        }
    }
}

/// What was used of a shared limit, and refused for it, since that was last asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Use {
    pub(crate) used: f64,
    pub refused: f64,
    asked: Time,
}

impl Brain {
    /// What is told of the use of shared limits, where any is shared.
    pub(crate) fn count_use(&mut self, sent: &Sent, begins: bool) {
        if self.parts.is_empty() || !begins {
            return;
        }
        let work = self.cold_cost(sent.band);
        for id in [Some(sent.host), sent.source].into_iter().flatten() {
            self.hosts.get_mut(&id).into_iter().for_each(|host| host.cold_use.used += work);
        }
        self.origin_use.used = self.origin_use.used.max(self.out_at_origin());
        if sent.held {
            self.origin_use.refused += sent.fill_share * self.origin.onward.or(ONWARD_START);
        }
    }

    /// Likely fills by the origin, and what goes there itself.
    fn out_at_origin(&self) -> f64 {
        let itself = self.hosts.values().filter(|host| self.is_origin(host));
        self.origin.fills + itself.map(|host| f64::from(host.in_flight)).sum::<f64>()
    }

    /// From now on this dispatcher may use `amount` of what several may use in sum, and `after` once `until`
    /// has come, without a further call. What is no amount changes nothing.
    pub fn allotted(&mut self, shared: Shared, amount: f64, until: Time, after: f64) {
        if [amount, after].iter().any(|amount| !(0.0..=f64::MAX).contains(amount)) {
            return;
        }
        let hosts = &self.hosts;
        // Parts of hosts that are gone are not kept; that of one that is not listed yet waits for the list.
        self.parts.retain(|known, _| !matches!(known, Shared::Cold(id) if !hosts.contains_key(id)));
        let bucket = self.parts.get(&shared).map_or(Bucket::empty(self.last_woken), |part| part.bucket);
        let (amount, after) = (amount.min(AMOUNT_MOST), after.min(AMOUNT_MOST));
        self.parts.insert(shared, Part { amount, until, after, bucket });
    }

    /// What of a cold host's whole budget is this dispatcher's: an equal part, or what was allotted.
    pub(crate) fn cold_part(&self, now: Time, id: HostId, whole: f64) -> f64 {
        let parent = self.hosts.get(&id).is_some_and(|host| self.is_parent(host));
        let senders = if parent { self.set.dispatchers } else { self.set.location_dispatchers };
        let part = self.parts.get(&Shared::Cold(id));
        part.map_or(whole / f64::from(senders.max(1)), |part| whole * part.amount(now))
    }

    /// Whether one more hand-off of a visit is paid for: by what fresh visits left, and by what is shared.
    pub(crate) fn may_repeat(&mut self, now: Time) -> bool {
        if !self.further.take(1.0) {
            return false;
        }
        let Some(part) = self.parts.get_mut(&Shared::Further) else { return true };
        let most = part.amount(now);
        part.bucket.refill(now, most, most);
        let gives = self.gives(Shared::Further, most);
        let counted = if gives { &mut self.further_use.used } else { &mut self.further_use.refused };
        *counted += 1.0;
        gives
    }

    /// Whether one more may go to the origin, where that is shared; `sure` is how likely this one would.
    pub(crate) fn origin_takes(&mut self, now: Time, sure: f64) -> bool {
        let Some(part) = self.parts.get_mut(&Shared::Origin) else { return true };
        let most = part.amount(now);
        part.bucket.refill(now, most, most);
        let out = self.out_at_origin();
        let takes =
            if most < 1.0 { out < most && self.gives(Shared::Origin, most) } else { out + 1.0 <= most };
        self.origin_use.refused += if takes { 0.0 } else { sure };
        takes
    }

    /// One from a part's bucket. Less than one is a chance, spent whether it comes or not: guards against
    /// many small parts that would each give one, far more than all in sum.
    fn gives(&mut self, shared: Shared, most: f64) -> bool {
        let Some(part) = self.parts.get_mut(&shared) else { return true };
        if most >= 1.0 {
            return part.bucket.take(1.0);
        }
        let chance = std::mem::take(&mut part.bucket.level);
        self.has_part(chance)
    }

    /// Notes others' word on a host as it is listed; word on another process than the present one says
    /// nothing, nor that a host is bad where there is no other.
    pub(crate) fn told(
        &mut self,
        now: Time,
        word: Word,
        of: (HostId, Option<Time>, Time),
    ) -> Option<&mut Host> {
        let (id, since, until) = of;
        let known = self.hosts.get(&id).filter(|h| !h.is_gone() && (self.is_cache(h) || self.is_parent(h)));
        let present = known.filter(|h| h.listed == since)?.entry.since == since;
        if now >= until {
            // It is taken back, also where the process is known to be new by now.
            let before = self.hosts.get(&id)?.told?.until;
            if now < before {
                self.went_well_there(now, id);
            }
            let told = self.hosts.get_mut(&id)?.told.as_mut()?;
            (told.until, told.due) = (until, until);
            self.due.put(until, Due::Told(id));
            return None;
        }
        Some(()).filter(|()| present)?;
        if word == Word::Anew {
            let host = self.hosts.get_mut(&id)?;
            host.told_new = true;
            host.shut.iter_mut().for_each(|shut| shut.next_trial = shut.next_trial.min(now));
            return Some(host);
        }
        self.peers(id).next()?;
        let host = self.hosts.get_mut(&id)?;
        let passed = host.told.filter(|told| now < told.until).map_or(0, |told| told.passed);
        let due = host.told.map(|told| told.due).filter(|due| *due <= until);
        if due.is_none() {
            self.due.put(until, Due::Told(id));
        }
        host.told = Some(Told { until, due: due.unwrap_or(until), passed });
        Some(host)
    }

    /// Whether what others told of a host has come to its end.
    pub(crate) fn is_told_out(&mut self, now: Time, id: HostId) -> bool {
        let Some(host) = self.hosts.get_mut(&id) else { return false };
        let Some(told) = host.told.as_mut().filter(|told| told.due <= now) else { return false };
        if now < told.until {
            told.due = told.until;
            self.due.put(told.until, Due::Told(id));
            return false;
        }
        host.told = None;
        true
    }

    /// What this dispatcher finds of hosts now by what it saw itself; nothing that it was only told, nor of
    /// one whose last trials went well.
    pub fn findings(&self, now: Time) -> impl Iterator<Item = Finding> + '_ {
        self.hosts.values().filter(|host| !host.is_gone()).filter_map(move |host| {
            let id = host.entry.host;
            let anew = host.anew.is_some() && host.anew == host.entry.since;
            let (what, evidence, at) = match host
                .shut
                .filter(|shut| shut.why != Bad::Told && shut.passed + 1 < TRIALS_TO_OPEN)
            {
                Some(Shut { why, evidence, at, .. }) => {
                    (Found::Shut { why, unreached: host.broke || host.heard + UNANSWERED < at }, evidence, at)
                }
                None if anew && self.cold_budget(now, id).is_some() => {
                    (Found::Anew, TRIALS_TO_OPEN, host.anew?)
                }
                None => return None,
            };
            Some(Finding { host: id, since: host.listed, what, evidence: evidence.max(1), at })
        })
    }

    /// Hosts of which others told that they are bad, and three own hand-offs in a row went well since.
    pub fn refuted(&self, now: Time) -> impl Iterator<Item = HostId> + '_ {
        let refuted = move |host: &&Host| host.told.is_some_and(|told| told.is_refuted(now));
        self.hosts.values().filter(refuted).map(|host| host.entry.host)
    }

    pub fn is_listed(&self, id: HostId) -> bool {
        self.hosts.get(&id).is_some_and(|host| !host.is_gone())
    }

    /// Hosts that are shut out now, and why.
    pub fn shut_out_now(&self) -> impl Iterator<Item = (HostId, Bad)> + '_ {
        self.hosts.values().filter_map(|host| Some((host.entry.host, host.shut?.why)))
    }

    /// Hosts that are cold now.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = HostId> + '_ {
        self.hosts.keys().copied().filter(move |id| self.cold_budget(now, *id).is_some())
    }

    /// What was used of a shared limit since this was last asked for it, and what would have been used had
    /// all that was refused for it gone. Counted from the first allotment on.
    pub fn wanted(&mut self, now: Time, shared: Shared) -> Wanted {
        let quoted = self.set.bands.iter().map(|band| band.quoted.as_seconds()).sum::<f64>();
        let a_fill = self.origin.late.value.exp() * quoted / self.set.bands.len().max(1) as f64;
        let out = self.out_at_origin();
        let whole = match shared {
            Shared::Cold(id) => self.cold_whole(now, id).map_or(f64::INFINITY, |(whole, _)| whole),
            _ => 1.0,
        };
        let counted = match shared {
            Shared::Origin => &mut self.origin_use,
            Shared::Further => &mut self.further_use,
            Shared::Cold(id) => match self.hosts.get_mut(&id) {
                Some(host) => &mut host.cold_use,
                None => return Wanted::default(),
            },
        };
        let seconds = (now - counted.asked).as_seconds().max(0.001);
        let Use { used, refused, .. } = std::mem::replace(counted, Use { asked: now, ..Use::default() });
        if shared == Shared::Origin {
            // What was refused would have been out for as long as fills by the origin take.
            self.origin_use.used = out;
            return Wanted { used, wanted: used + refused / seconds * a_fill };
        }
        let used = (used / seconds / whole).max(0.0);
        Wanted { used, wanted: used + refused / seconds / whole }
    }
}
