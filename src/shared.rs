//! Limits shared by several dispatchers, and their reports on hosts. Without allotments and reports none of
//! this is in force, and a dispatcher decides on its own.
use crate::calls::{EjectionCause, Finding, HostCondition, LimitUsage, ReportedCondition, SharedLimit};
use crate::containers::TokenBucket;
use crate::decision_engine::{DecisionEngine, ORIGIN_RATE_START, TRIALS_TO_RECOVER, UNREACHED_MIN};
use crate::ids::HostId;
use crate::state::{Host, OpenBreaker, SentHandOff, Timer};
use crate::time::Time;

/// Larger amounts are cut to this, which no dispatcher can use up.
const MAX_ALLOTMENT: f64 = 1e9;

/// A report of other dispatchers that a host is bad.
#[derive(Clone, Copy, Debug)]
pub struct PeerReport {
    pub(crate) expires_at: Time,
    /// When the timer that checks its expiry fires.
    pub(crate) timer_at: Time,
    /// Own successful hand-offs in a row since it came into force.
    pub(crate) own_successes: u32,
}

impl PeerReport {
    pub(crate) fn is_refuted(&self, now: Time) -> bool {
        now < self.expires_at && self.own_successes >= TRIALS_TO_RECOVER
    }
}

/// This dispatcher's part of a shared limit: `amount` until `until`, then `amount_after`.
#[derive(Debug)]
pub struct Allotment {
    pub(crate) amount: f64,
    pub(crate) until: Time,
    amount_after: f64,
    /// Tokens of a limit by the second; for other limits, used only if the amount is below one.
    bucket: TokenBucket,
}

impl Allotment {
    fn amount_at(&self, now: Time) -> f64 {
        if now < self.until {
            self.amount
        } else {
            self.amount_after
        }
    }
}

/// Use of a shared limit, and what was refused because of it, since the last query.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub(crate) used: f64,
    pub refused: f64,
    measured_since: Time,
}

impl DecisionEngine {
    /// Counts a hand-off in the use of shared limits, if there are any.
    pub(crate) fn record_usage(&mut self, sent: &SentHandOff, is_start: bool) {
        if self.allotments.is_empty() || !is_start {
            return;
        }
        let work = self.cold_cost(sent.class);
        for id in [Some(sent.host), sent.source].into_iter().flatten() {
            self.hosts.get_mut(&id).into_iter().for_each(|host| host.cold_usage.used += work);
        }
        self.origin_usage.used = self.origin_usage.used.max(self.origin_in_flight());
        if sent.is_cached_only {
            self.origin_usage.refused +=
                sent.fill_probability * self.origin_limiter.origin_rate.value_or(ORIGIN_RATE_START);
        }
    }

    /// Expected fills at the origin plus the hand-offs that go there directly.
    fn origin_in_flight(&self) -> f64 {
        let itself = self.hosts.values().filter(|host| self.is_origin(host));
        self.origin_limiter.expected_fills + itself.map(|host| f64::from(host.in_flight)).sum::<f64>()
    }

    /// Sets this dispatcher's part of a shared limit: `amount` until `until`, then `after` without a further
    /// call. Amounts that are negative, infinite or not a number are ignored.
    pub fn set_allotment(&mut self, shared: SharedLimit, amount: f64, until: Time, after: f64) {
        if [amount, after].iter().any(|amount| !(0.0..=f64::MAX).contains(amount)) {
            return;
        }
        let hosts = &self.hosts;
        // Drops parts of hosts that are gone. The part of a host that is not listed yet is kept.
        self.allotments
            .retain(|known, _| !matches!(known, SharedLimit::ColdStart(id) if !hosts.contains_key(id)));
        let bucket = self
            .allotments
            .get(&shared)
            .map_or(TokenBucket::empty(self.last_tick_at), |allotment| allotment.bucket);
        let (amount, after) = (amount.min(MAX_ALLOTMENT), after.min(MAX_ALLOTMENT));
        self.allotments.insert(shared, Allotment { amount, until, amount_after: after, bucket });
    }

    /// This dispatcher's part of a cold host's budget: its allotment, else an equal share.
    pub(crate) fn cold_allotment(&self, now: Time, id: HostId, total: f64) -> f64 {
        let parent = self.hosts.get(&id).is_some_and(|host| self.is_parent(host));
        let senders = if parent { self.settings.dispatchers } else { self.settings.location_dispatchers };
        let allotment = self.allotments.get(&SharedLimit::ColdStart(id));
        allotment.map_or(total / f64::from(senders.max(1)), |allotment| total * allotment.amount_at(now))
    }

    /// Whether a retry fits into this dispatcher's own retry budget and into its part of the shared one.
    pub(crate) fn may_retry(&mut self, now: Time) -> bool {
        if !self.retry_budget.try_take(1.0) {
            return false;
        }
        let Some(allotment) = self.allotments.get_mut(&SharedLimit::Retries) else { return true };
        let amount = allotment.amount_at(now);
        allotment.bucket.refill(now, amount, amount);
        let is_admitted = self.take_token(SharedLimit::Retries, amount);
        let counted = if is_admitted { &mut self.retry_usage.used } else { &mut self.retry_usage.refused };
        *counted += 1.0;
        is_admitted
    }

    /// Whether one more hand-off may go to the origin, where that limit is shared; `probability` says how
    /// likely this one reaches it.
    pub(crate) fn admits_to_origin(&mut self, now: Time, probability: f64) -> bool {
        let Some(allotment) = self.allotments.get_mut(&SharedLimit::Origin) else { return true };
        let amount = allotment.amount_at(now);
        allotment.bucket.refill(now, amount, amount);
        let in_flight = self.origin_in_flight();
        let is_admitted = if amount < 1.0 {
            in_flight < amount && self.take_token(SharedLimit::Origin, amount)
        } else {
            in_flight + 1.0 <= amount
        };
        self.origin_usage.refused += if is_admitted { 0.0 } else { probability };
        is_admitted
    }

    /// Takes a token from a part's bucket. A level below one is a probability, spent whether or not it
    /// admits: guards against many small parts that each round up to one.
    fn take_token(&mut self, shared: SharedLimit, amount: f64) -> bool {
        let Some(allotment) = self.allotments.get_mut(&shared) else { return true };
        if amount >= 1.0 {
            return allotment.bucket.try_take(1.0);
        }
        let probability = std::mem::take(&mut allotment.bucket.level);
        self.admits(probability)
    }

    /// Records a report on a listed host, and returns the host if the report is in force. Reports on another
    /// process than the present one are ignored, and so are bad reports on a host without peers.
    pub(crate) fn record_peer_report(
        &mut self,
        now: Time,
        word: ReportedCondition,
        of: (HostId, Option<Time>, Time),
    ) -> Option<&mut Host> {
        let (id, since, until) = of;
        let known = self.hosts.get(&id).filter(|h| !h.is_gone() && (self.is_cache(h) || self.is_parent(h)));
        let is_present_process = known.filter(|h| h.listed_start == since)?.entry.started_at == since;
        if now >= until {
            // The report is retracted, also if the process is known to be new by now.
            let before = self.hosts.get(&id)?.peer_report?.expires_at;
            if now < before {
                self.retract_peer_report(now, id);
            }
            let report = self.hosts.get_mut(&id)?.peer_report.as_mut()?;
            (report.expires_at, report.timer_at) = (until, until);
            self.timers.push(until, Timer::PeerReport(id));
            return None;
        }
        Some(()).filter(|()| is_present_process)?;
        if word == ReportedCondition::Restarted {
            let host = self.hosts.get_mut(&id)?;
            host.is_reported_restarted = true;
            host.breaker
                .iter_mut()
                .for_each(|breaker| breaker.next_trial_at = breaker.next_trial_at.min(now));
            return Some(host);
        }
        self.peers(id).next()?;
        let host = self.hosts.get_mut(&id)?;
        let own_successes = host
            .peer_report
            .filter(|report| now < report.expires_at)
            .map_or(0, |report| report.own_successes);
        let timer_at = host.peer_report.map(|report| report.timer_at).filter(|timer_at| *timer_at <= until);
        if timer_at.is_none() {
            self.timers.push(until, Timer::PeerReport(id));
        }
        host.peer_report =
            Some(PeerReport { expires_at: until, timer_at: timer_at.unwrap_or(until), own_successes });
        Some(host)
    }

    /// Removes the report on a host if it has expired, and returns whether it did.
    pub(crate) fn expire_peer_report(&mut self, now: Time, id: HostId) -> bool {
        let Some(host) = self.hosts.get_mut(&id) else { return false };
        let Some(report) = host.peer_report.as_mut().filter(|report| report.timer_at <= now) else {
            return false;
        };
        if now < report.expires_at {
            report.timer_at = report.expires_at;
            self.timers.push(report.expires_at, Timer::PeerReport(id));
            return false;
        }
        host.peer_report = None;
        true
    }

    /// Hosts' conditions by this dispatcher's own evidence. Reports of others are left out, and so are hosts
    /// whose last trials succeeded.
    pub fn findings(&self, now: Time) -> impl Iterator<Item = Finding> + '_ {
        self.hosts.values().filter(|host| !host.is_gone()).filter_map(move |host| {
            let id = host.entry.host;
            let is_restarted =
                host.restart_detected_at.is_some() && host.restart_detected_at == host.entry.started_at;
            let (condition, evidence_count, last_evidence_at) = match host.breaker.filter(|breaker| {
                breaker.cause != EjectionCause::Reported && breaker.trials_passed + 1 < TRIALS_TO_RECOVER
            }) {
                Some(OpenBreaker { cause, evidence_count, last_evidence_at, .. }) => (
                    HostCondition::Ejected {
                        cause,
                        is_unreachable: host.is_connection_broken
                            || host.last_answer_at + UNREACHED_MIN < last_evidence_at,
                    },
                    evidence_count,
                    last_evidence_at,
                ),
                None if is_restarted && self.cold_budget(now, id).is_some() => {
                    (HostCondition::Restarted, TRIALS_TO_RECOVER, host.restart_detected_at?)
                }
                None => return None,
            };
            Some(Finding {
                host: id,
                since: host.listed_start,
                condition,
                evidence_count: evidence_count.max(1),
                last_evidence_at,
            })
        })
    }

    /// Hosts reported as bad with which enough own hand-offs in a row have succeeded since.
    pub fn refuted_reports(&self, now: Time) -> impl Iterator<Item = HostId> + '_ {
        let refuted = move |host: &&Host| host.peer_report.is_some_and(|report| report.is_refuted(now));
        self.hosts.values().filter(refuted).map(|host| host.entry.host)
    }

    /// Whether the host is in the list and not gone.
    pub fn is_listed(&self, id: HostId) -> bool {
        self.hosts.get(&id).is_some_and(|host| !host.is_gone())
    }

    /// Hosts that are ejected, and why.
    pub fn ejected_hosts(&self) -> impl Iterator<Item = (HostId, EjectionCause)> + '_ {
        self.hosts.values().filter_map(|host| Some((host.entry.host, host.breaker?.cause)))
    }

    /// Hosts that are cold.
    pub fn cold_hosts(&self, now: Time) -> impl Iterator<Item = HostId> + '_ {
        self.hosts.keys().copied().filter(move |id| self.cold_budget(now, *id).is_some())
    }

    /// The use of a shared limit since the last query, and the use there would have been had nothing been
    /// refused. Counted from the first allotment on.
    pub fn take_limit_usage(&mut self, now: Time, shared: SharedLimit) -> LimitUsage {
        let total_target =
            self.settings.classes.iter().map(|class| class.target_latency.as_seconds()).sum::<f64>();
        let fill_seconds = self.origin_limiter.log_latency_ratio.value.exp() * total_target
            / self.settings.classes.len().max(1) as f64;
        let in_flight = self.origin_in_flight();
        let total = match shared {
            SharedLimit::ColdStart(id) => {
                self.total_cold_budget(now, id).map_or(f64::INFINITY, |(total, _)| total)
            }
            _ => 1.0,
        };
        let counted = match shared {
            SharedLimit::Origin => &mut self.origin_usage,
            SharedLimit::Retries => &mut self.retry_usage,
            SharedLimit::ColdStart(id) => match self.hosts.get_mut(&id) {
                Some(host) => &mut host.cold_usage,
                None => return LimitUsage::default(),
            },
        };
        let seconds = (now - counted.measured_since).as_seconds().max(0.001);
        let Usage { used, refused, .. } =
            std::mem::replace(counted, Usage { measured_since: now, ..Usage::default() });
        if shared == SharedLimit::Origin {
            // Each refused hand-off would have been in flight for as long as a fill by the origin takes.
            self.origin_usage.used = in_flight;
            return LimitUsage { used, demanded: used + refused / seconds * fill_seconds };
        }
        let used = (used / seconds / total).max(0.0);
        LimitUsage { used, demanded: used + refused / seconds / total }
    }
}
