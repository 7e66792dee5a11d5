//! State of the decision module: hosts, objects, classes, visits and hand-offs, and the basic updates to it.
use crate::calls::{Decision, EjectionCause, Fill, Listing, Outcome, Phase, SharedLimit, Visit};
use crate::containers::{rendezvous, LatencyGradient, MovingAverage, TimerQueue, TokenBucket};
use crate::decision_engine::{RESULT_WEIGHT, STATS_RETENTION};
use crate::ids::{ClassId, GroupId, HandOffNumber, HostId, ObjectId, VisitId};
use crate::popularity::Popularity;
use crate::purges::Purges;
use crate::settings::{ClassSettings, Effect, Settings};
use crate::shared::{Allotment, PeerReport, Usage};
use crate::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// An open circuit breaker: its host is ejected and gets trial hand-offs only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenBreaker {
    pub opened_at: Time,
    pub next_trial_at: Time,
    pub trial_interval: Span,
    /// Successful trials in a row.
    pub trials_passed: u32,
    pub cause: EjectionCause,
    /// Number of own hand-offs that support it.
    pub evidence_count: u32,
    /// Time of the last hand-off that supports it.
    pub last_evidence_at: Time,
}

impl OpenBreaker {
    /// Shortens the trial interval to at most `interval`, also for the next trial.
    pub fn cap_trial_interval(&mut self, now: Time, interval: Span) {
        self.trial_interval = self.trial_interval.min(interval);
        self.next_trial_at = self.next_trial_at.min(now + self.trial_interval);
    }

    /// Records the end of a trial. A failure doubles the trial interval, within the bounds `[first,
    /// longest]`.
    pub fn record_trial(&mut self, now: Time, failed: bool, bounds: [Span; 2]) {
        self.trials_passed = if failed { 0 } else { self.trials_passed + 1 };
        self.trial_interval =
            if failed { (self.trial_interval + self.trial_interval).min(bounds[1]) } else { bounds[0] };
        self.next_trial_at = if failed { now + self.trial_interval } else { now };
        if failed {
            (self.cause, self.evidence_count, self.last_evidence_at) =
                (EjectionCause::Failing, self.evidence_count.saturating_add(1), now);
        }
    }
}

/// What is known of a listed host.
#[derive(Debug)]
pub struct Host {
    pub entry: Listing,
    pub in_flight: u32,
    /// Load that it last reported, and when.
    pub reported_load: Option<(Time, f64)>,
    /// Share of a source's fills that it is given, adjusted by the load it reports.
    pub fill_admission: f64,
    /// Time of its last answer; also reset after a pause of this process.
    pub last_answer_at: Time,
    /// When a connection to it was last reset.
    pub last_reset_at: Time,
    /// A connection to it broke or was refused, and since then it answered nothing or trials only.
    pub is_connection_broken: bool,
    /// Since when hand-offs have been in flight without interruption.
    pub waiting_since: Time,
    pub answer_gap: MovingAverage,
    pub failure_rate: MovingAverage,
    /// The open circuit breaker, if the host is ejected.
    pub breaker: Option<OpenBreaker>,
    /// When a hand-off to it, or a fill by it, last succeeded.
    pub last_success_at: Option<Time>,
    pub peer_report: Option<PeerReport>,
    /// Start of its process as listed; `entry.since` may be later.
    pub listed_start: Option<Time>,
    /// When it recovered as what is most likely a new process.
    pub restart_detected_at: Option<Time>,
    /// Other dispatchers report it as restarted, and the list does not show the start yet.
    pub is_reported_restarted: bool,
    /// When it reset its connections or refused one, if it has not answered since: a new process may answer
    /// next.
    pub connection_lost_at: Option<Time>,
    /// Seconds of work it may be sent while it is cold.
    pub cold_bucket: TokenBucket,
    pub cold_usage: Usage,
    /// Average seconds of work it completes a second.
    pub completed_work_rate: MovingAverage,
    /// Seconds of work completed since the last update of the average.
    pub completed_work: f64,
    pub latency_gradient: LatencyGradient,
    /// Average logarithm of the ratio of answer time to target latency: of hits, or of fills by a source.
    pub log_latency_ratio: MovingAverage,
    /// Sum of the fill probabilities of hand-offs in flight that name this source.
    pub expected_fills: f64,
    /// Share of misses: for parts not known to be cached there, and for those known to be.
    pub miss_rates: [MovingAverage; 2],
}

impl Host {
    pub fn new(entry: Listing, now: Time) -> Host {
        Host {
            entry,
            in_flight: 0,
            reported_load: None,
            fill_admission: 1.0,
            last_answer_at: now,
            last_reset_at: Time::default(),
            is_connection_broken: false,
            waiting_since: now,
            answer_gap: MovingAverage::default(),
            failure_rate: MovingAverage::default(),
            breaker: None,
            last_success_at: None,
            peer_report: None,
            listed_start: entry.started_at,
            restart_detected_at: None,
            is_reported_restarted: false,
            connection_lost_at: None,
            cold_bucket: TokenBucket::empty(now),
            cold_usage: Usage::default(),
            completed_work_rate: MovingAverage::default(),
            completed_work: 0.0,
            latency_gradient: LatencyGradient::default(),
            log_latency_ratio: MovingAverage::default(),
            expected_fills: 0.0,
            miss_rates: Default::default(),
        }
    }

    pub fn is_ready(&self) -> bool {
        self.entry.phase == Phase::Ready
    }

    pub fn is_gone(&self) -> bool {
        self.entry.phase == Phase::Gone
    }

    /// Phi accrual failure detector: how unlikely the present silence is, if answer gaps are distributed
    /// exponentially.
    pub fn phi(&self, now: Time, least_gap: f64) -> f64 {
        let gap = self.answer_gap.value_or(1.0).max(least_gap);
        self.time_since_answer(now).as_seconds() / gap * std::f64::consts::LOG10_E
    }

    /// Time without an answer while hand-offs are in flight.
    pub fn time_since_answer(&self, now: Time) -> Span {
        now - self.last_answer_at.max(self.waiting_since)
    }

    /// Records the result of a hand-off that counts for or against the host.
    pub fn record_result(&mut self, now: Time, failed: bool, weight: f64) {
        self.failure_rate.push(f64::from(failed), weight);
        self.last_success_at = Some(now).filter(|_| !failed).or(self.last_success_at);
        self.peer_report.iter_mut().for_each(|report| {
            report.own_successes = if failed { 0 } else { report.own_successes.saturating_add(1) }
        });
    }

    /// Opens the circuit breaker. Evidence for silence are the hand-offs in flight, for failures the recent
    /// ones that failed.
    pub fn open_breaker(&mut self, now: Time, trial_interval: Span, cause: EjectionCause) {
        let failed =
            self.failure_rate.value * f64::from(self.failure_rate.sample_count).min(1.0 / RESULT_WEIGHT[0]);
        let evidence_count = match cause {
            EjectionCause::Silent => self.in_flight,
            EjectionCause::Failing => failed.ceil() as u32,
            EjectionCause::Reported => 0,
        };
        let next_trial = now + trial_interval;
        self.breaker = Some(OpenBreaker {
            opened_at: now,
            next_trial_at: next_trial,
            trial_interval,
            trials_passed: 0,
            cause,
            evidence_count,
            last_evidence_at: now,
        });
    }

    /// Whether a report of other dispatchers that it is bad is in force.
    pub fn is_reported_bad(&self, now: Time) -> bool {
        self.peer_report.is_some_and(|report| now < report.expires_at)
    }

    /// Applies a new list entry. A start later than the one listed before means another process with an empty
    /// cache: all that was known of the host is discarded. Otherwise the latest known start stays, listed or
    /// detected. Guards against treating a host as warm because the list gives an earlier start or none.
    pub fn update_listing(&mut self, now: Time, entry: Listing) {
        let started_at = self.entry.started_at.max(entry.started_at);
        if entry.started_at > self.listed_start {
            // If the restart was detected earlier, its cold budget began then.
            let is_detected = self.connection_lost_at.is_some() || self.entry.started_at >= entry.started_at;
            let cold_bucket = if is_detected { self.cold_bucket } else { TokenBucket::empty(now) };
            *self = Host { in_flight: self.in_flight, cold_bucket, ..Host::new(entry, now) };
        }
        (self.entry, self.listed_start) =
            (Listing { started_at, ..entry }, self.listed_start.max(entry.started_at));
    }

    /// Age of its process; `None` if it started long ago. A host that may run a new process counts as just
    /// started.
    pub fn process_age(&self, now: Time) -> Option<Span> {
        if self.connection_lost_at.is_some() {
            return Some(Span::ZERO);
        }
        self.entry.started_at.map(|since| now - since)
    }

    /// Records an answer to an attempt sent at `sent`. The first answer after a lost connection may come from
    /// a new process: its age counts from now until the list shows its start.
    pub fn record_answer(&mut self, now: Time, sent: Time) {
        self.last_answer_at = now;
        if self.connection_lost_at.take_if(|cut| *cut <= sent).is_some() {
            self.entry.started_at = self.entry.started_at.max(Some(now));
        }
    }

    /// Treats the host as just started, and charges the hand-offs it has had since to its new cold budget.
    pub fn restart_cold_budget(&mut self, now: Time, sent: u32, work: f64) {
        (self.entry.started_at, self.cold_bucket) =
            (self.entry.started_at.max(Some(now)), TokenBucket::empty(now));
        self.cold_bucket.level -= f64::from(sent) * work;
    }

    /// Returns work that was charged at `sent` but not needed. Guards against crediting a new process with
    /// work that was charged to the one before it.
    pub fn refund_cold_budget(&mut self, sent: Time, work: f64) {
        if sent >= self.cold_bucket.started_at {
            self.cold_bucket.level += work;
            self.cold_usage.used -= work;
        }
    }
}

/// What is known of one part of an object at one cache.
#[derive(Debug, Default)]
pub struct CachedCopy {
    /// When the cache last served the part.
    pub confirmed_at: Option<Time>,
    /// Hand-offs in flight that likely fill it.
    pub fills_in_flight: u32,
}

/// Object, part and cache.
pub type CachedCopyId = (ObjectId, u32, HostId);

/// Averages over the visits of a class.
#[derive(Debug, Default)]
pub struct ClassStats {
    pub transfer_seconds: MovingAverage,
    /// Size of answers, where visits tell it.
    pub kilobytes: MovingAverage,
}

/// A visit without a final answer.
#[derive(Debug)]
pub struct OpenVisit {
    pub visit: Visit,
    pub hand_offs: u8,
    pub in_flight: u32,
    pub is_popular: bool,
    pub arrived_at: Time,
    /// The last hand-off asked for a cached copy only, and the cache has none.
    pub has_cache_missed: bool,
    /// The parent was asked for a cached copy only and has none either.
    pub has_parent_missed: bool,
    /// The first hand-off that may have been executed: when it was sent, and to which host.
    pub first_possible_run: Option<(Time, HostId)>,
    /// Hosts and sources that failed this visit, which it is not sent to again.
    pub failed_hosts: Vec<HostId>,
    /// Hand-offs that ended in a fast error, held until it is known whether hosts or the visit are at fault.
    pub unattributed_errors: Vec<SentHandOff>,
}

impl OpenVisit {
    pub fn new(visit: Visit, popular: bool, since: Time) -> OpenVisit {
        OpenVisit {
            visit,
            hand_offs: 0,
            in_flight: 0,
            is_popular: popular,
            arrived_at: since,
            has_cache_missed: false,
            has_parent_missed: false,
            first_possible_run: None,
            failed_hosts: Vec::new(),
            unattributed_errors: Vec::new(),
        }
    }
}

/// A hand-off in flight.
#[derive(Clone, Copy, Debug)]
pub struct SentHandOff {
    pub sent_at: Time,
    /// `sent_at` if the hand-off counts as a trial of an open breaker, else the earliest time: hand-offs sent
    /// for want of another host are no trials.
    pub trial_sent_at: Time,
    pub host: HostId,
    pub source: Option<HostId>,
    pub class: ClassId,
    pub copy: CachedCopyId,
    /// Whether the part was known to be cached at the host.
    pub was_cached: bool,
    /// Whether it likely fills a part that is not known to be cached.
    pub is_first_fill: bool,
    /// Estimated probability that it needs a fill.
    pub fill_probability: f64,
    /// Estimated probability that it reaches the origin.
    pub origin_probability: f64,
    /// Whether the source was asked for a cached copy only.
    pub is_cached_only: bool,
}

/// Limits concurrent fills by the latency of the path behind the caches: the location's link and the parents,
/// or the origin.
#[derive(Debug, Default)]
pub struct FillLimiter {
    /// Sum of the fill probabilities of hand-offs in flight.
    pub expected_fills: f64,
    /// Average of `expected_fills` while latency is within `max_latency_ratio`.
    pub typical_fills: MovingAverage,
    pub max_limit: f64,
    pub limit: f64,
    /// Permitted ratio of fill latency to the class's target latency.
    pub max_latency_ratio: f64,
    /// Average logarithm of the ratio of fill latency to the class's target latency.
    pub log_latency_ratio: MovingAverage,
    /// Time of the last latency sample.
    pub updated_at: Time,
    /// Share of fills that reach the origin.
    pub origin_rate: MovingAverage,
    /// Load of the location's link that a cache last reported, and when.
    pub reported_link_load: Option<(Time, f64)>,
    /// Hand-offs since the last update that were restricted to cached copies.
    pub restricted_count: u32,
    pub is_restricting: bool,
}

impl FillLimiter {
    pub fn exceeds_max_latency(&self) -> bool {
        self.log_latency_ratio.value > self.max_latency_ratio.ln()
    }

    /// Log line for a change of `is_restricting`.
    pub fn state_line(&self, subject: &str) -> String {
        let state = if self.is_restricting { "restricted" } else { "no longer restricted" };
        let (limit, latency, link) = (
            self.limit,
            self.log_latency_ratio.value.exp(),
            self.reported_link_load.map_or(0.0, |(_, full)| full),
        );
        format!(
            "{subject} {state}: limit {limit:.1}, {latency:.1} of the target latency, link load {link:.1}"
        )
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    Deadline(VisitId),
    DecayCounts,
    EverySecond,
    /// The report of other dispatchers on a host may have expired.
    PeerReport(HostId),
}

/// The next step for a visit.
pub enum Choice {
    HandOff(HostId, Option<Fill>),
    Wait,
    GiveUp,
}

/// The decision module of one dispatcher.
pub struct DecisionEngine {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) visits: BTreeMap<VisitId, OpenVisit>,
    pub(crate) in_flight: BTreeMap<(VisitId, HandOffNumber), SentHandOff>,
    pub(crate) popularity: Popularity,
    pub(crate) purges: Purges,
    /// Maximum age of copies while purges may have been missed: the time in which a purge has to be obeyed.
    pub(crate) unverified_max_age: Option<Span>,
    /// Maximum age of copies while the change log is silent: the time after which its purges have to be
    /// obeyed whether or not they arrived.
    pub(crate) log_silence_max_age: Option<Span>,
    pub(crate) cached_copies: BTreeMap<CachedCopyId, CachedCopy>,
    pub(crate) class_stats: Vec<ClassStats>,
    /// Average seconds of work of a hand-off to a cache.
    pub(crate) mean_cache_work: MovingAverage,
    pub(crate) timers: TimerQueue<Timer>,
    pub(crate) undecided: VecDeque<VisitId>,
    pub(crate) decisions: VecDeque<Decision>,
    /// Visits that wait until the next tick for a fill of this dispatcher.
    pub(crate) awaiting_fill: Vec<VisitId>,
    pub(crate) retry_budget: TokenBucket,
    pub(crate) probe_budget: TokenBucket,
    pub(crate) last_tick_at: Time,
    pub(crate) fill_limiter: FillLimiter,
    pub(crate) origin_limiter: FillLimiter,
    /// This dispatcher's parts of shared limits.
    pub(crate) allotments: BTreeMap<SharedLimit, Allotment>,
    pub(crate) origin_usage: Usage,
    pub(crate) retry_usage: Usage,
}

impl DecisionEngine {
    pub(crate) fn with_settings(settings: Settings, seed: u64) -> DecisionEngine {
        DecisionEngine {
            class_stats: settings.classes.iter().map(|_| ClassStats::default()).collect(),
            settings,
            mean_cache_work: Default::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: Default::default(),
            visits: Default::default(),
            in_flight: Default::default(),
            popularity: Default::default(),
            purges: Default::default(),
            unverified_max_age: None,
            log_silence_max_age: None,
            cached_copies: Default::default(),
            timers: Default::default(),
            undecided: Default::default(),
            decisions: Default::default(),
            awaiting_fill: Default::default(),
            retry_budget: Default::default(),
            probe_budget: Default::default(),
            last_tick_at: Default::default(),
            fill_limiter: Default::default(),
            origin_limiter: Default::default(),
            allotments: Default::default(),
            origin_usage: Default::default(),
            retry_usage: Default::default(),
        }
    }

    /// Applies a list of hosts. If it `is_complete`, hosts missing from it are gone; else it holds changes only.
    pub fn update_hosts(&mut self, now: Time, entries: &[Listing], is_complete: bool) {
        self.hosts.values_mut().filter(|_| is_complete).for_each(|host| host.entry.phase = Phase::Gone);
        for entry in entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host::new(*entry, now));
            host.update_listing(now, *entry);
        }
        let gone = self.hosts.values().filter(|h| h.is_gone() && h.in_flight > 0);
        let gone: Vec<HostId> = gone.map(|h| h.entry.host).collect();
        gone.into_iter().for_each(|host| self.cancel_in_flight(host));
    }

    /// Corrects the listed start of a host's process to an earlier time. A later restart that was detected
    /// stays.
    pub fn correct_start(&mut self, id: HostId, since: Time) {
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.listed_start > Some(since)) else {
            return;
        };
        if host.entry.started_at == host.listed_start {
            host.entry.started_at = Some(since);
        }
        host.listed_start = Some(since);
    }

    /// Drops a visit whose client has left or has its final answer, and cancels its hand-offs in flight.
    pub fn close_visit(&mut self, id: VisitId) {
        if self.visits.remove(&id).is_none() || !self.settings.can_cancel {
            return;
        }
        let out = self.in_flight.range((id, HandOffNumber(0))..=(id, HandOffNumber(u8::MAX)));
        self.decisions.extend(out.map(|(&(visit, number), _)| Decision::Cancel { visit, number }));
    }

    /// Cancels the idempotent hand-offs in flight at a host that is not expected to answer.
    pub(crate) fn cancel_in_flight(&mut self, id: HostId) {
        let is_idempotent =
            |class: ClassId| self.class_settings(class).is_some_and(|b| b.effect == Effect::Idempotent);
        let out = self
            .in_flight
            .iter()
            .filter(|(_, s)| self.settings.can_cancel && s.host == id && is_idempotent(s.class));
        let out: Vec<_> = out.map(|(&(visit, number), _)| Decision::Cancel { visit, number }).collect();
        self.decisions.extend(out);
    }

    /// A host reset its connections or refused a new one, so a new process may answer next. Guards against
    /// overloading a new, cold process before the list shows it. A host that closed its connections for
    /// another reason gets a cold host's budget meanwhile.
    pub fn connection_lost(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.connection_lost_at.is_none() {
            host.cold_bucket = TokenBucket::empty(now);
        }
        host.connection_lost_at = Some(now);
    }

    /// Returns the work charged to cold hosts for an attempt that was never sent.
    pub(crate) fn refund_unsent(&mut self, sent: &SentHandOff, outcome: Outcome) {
        if !matches!(outcome, Outcome::Expired | Outcome::NotSent) {
            return;
        }
        let work = self.cold_cost(sent.class);
        for id in [Some(sent.host), sent.source].into_iter().flatten() {
            self.hosts.get_mut(&id).into_iter().for_each(|host| host.refund_cold_budget(sent.sent_at, work));
        }
    }

    /// Notes that an earlier attempt of a visit that has just arrived was sent to `host` at `at` and may have
    /// been executed. Guards against a repeat outside the group that deduplicates it, after a restart of the
    /// dispatcher.
    pub fn note_earlier_attempt(&mut self, id: VisitId, at: Time, host: HostId) {
        self.visits.get_mut(&id).into_iter().for_each(|open| open.first_possible_run = Some((at, host)));
    }

    /// Records a purge of an object, or of its whole group if no object is given, made `ago` before now.
    pub fn record_purge(&mut self, now: Time, group: GroupId, object: Option<ObjectId>, ago: Span) {
        self.purges.record(group, object, now - ago);
    }

    /// Sets whether purges may have been missed.
    pub fn set_purges_unverified(&mut self, is_unverified: bool) {
        self.unverified_max_age = is_unverified.then_some(self.settings.purge_obey_time.max(Span(1)));
    }

    /// The change log has been silent for so long that its purges count as known within `known_within` whether
    /// or not they arrived; `None` once it answers again.
    pub fn set_log_silent(&mut self, known_within: Option<Span>) {
        self.log_silence_max_age = known_within.map(|span| span + self.settings.purge_obey_time);
    }

    /// Adds (1) or removes (-1) a hand-off in the counts of its host, and its expected fill in those of its
    /// source, its part and both fill limits.
    pub(crate) fn count_in_flight(&mut self, sent: &SentHandOff, change: i32) {
        if let Some(host) = self.hosts.get_mut(&sent.host) {
            if host.in_flight == 0 {
                host.waiting_since = sent.sent_at;
            }
            host.in_flight = host.in_flight.saturating_add_signed(change);
        }
        if sent.is_first_fill {
            let copy = self.cached_copies.entry(sent.copy).or_default();
            copy.fills_in_flight = copy.fills_in_flight.saturating_add_signed(change);
        }
        let change = f64::from(change);
        self.fill_limiter.expected_fills =
            (self.fill_limiter.expected_fills + change * sent.fill_probability).max(0.0);
        self.origin_limiter.expected_fills =
            (self.origin_limiter.expected_fills + change * sent.origin_probability).max(0.0);
        if let Some(source) = sent.source.and_then(|id| self.hosts.get_mut(&id)) {
            source.expected_fills = (source.expected_fills + change * sent.fill_probability).max(0.0);
        }
        self.record_usage(sent, change > 0.0);
        let by_cache = change > 0.0 && self.hosts.get(&sent.host).is_some_and(|host| self.is_cache(host));
        let work = Some(self.transfer_seconds(sent.class)).filter(|_| by_cache);
        work.into_iter().for_each(|work| self.mean_cache_work.push(work, 0.01));
    }

    pub(crate) fn is_cache(&self, host: &Host) -> bool {
        !self.is_parent(host) && !self.is_origin(host) && host.entry.location == self.settings.location
    }

    pub(crate) fn is_parent(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.settings.parent_kind
    }

    pub(crate) fn is_origin(&self, host: &Host) -> bool {
        Some(host.entry.kind) == self.settings.origin_kind
    }

    /// Ready hosts that satisfy `predicate`, in rendezvous order for a key.
    pub(crate) fn hosts_by_hash(&self, key: u64, predicate: impl Fn(&Host) -> bool) -> Vec<HostId> {
        let listed = self.hosts.values().filter(|h| h.is_ready() && predicate(h));
        let value = |h: &Host| rendezvous(key, h.entry.host, self.hash_weight(h));
        let mut order: Vec<(f64, HostId)> = listed.map(|h| (value(h), h.entry.host)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, host)| host).collect()
    }

    pub(crate) fn class_settings(&self, id: ClassId) -> Option<&ClassSettings> {
        self.settings.classes.get(usize::from(id.0))
    }

    /// Mean transfer time of a class in seconds: by size where visits tell it, else by answer times. Before
    /// any is known the target latency is used, which is longer.
    pub(crate) fn transfer_seconds(&self, id: ClassId) -> f64 {
        let (Some(class), Some(stats)) = (self.class_settings(id), self.class_stats.get(usize::from(id.0)))
        else {
            return 1.0;
        };
        if stats.kilobytes.sample_count > 0 && self.settings.transfer_kb_per_s > 0.0 {
            return stats.kilobytes.value / self.settings.transfer_kb_per_s;
        }
        stats.transfer_seconds.value_or(class.target_latency.as_seconds())
    }

    /// Work charged for a hand-off to a cold host: its own, or that of the mean hand-off to a cache if that
    /// is more. Guards against overload by the mere number of small requests.
    pub(crate) fn cold_cost(&self, id: ClassId) -> f64 {
        self.transfer_seconds(id).max(self.mean_cache_work.value)
    }

    /// Target latency of a class's mean visit, in seconds.
    pub fn target_seconds(&self, id: ClassId) -> f64 {
        self.class_settings(id).map_or(1.0, |class| {
            class.target_latency.as_seconds() + class.target_stretch * self.transfer_seconds(id)
        })
    }

    /// Other ready hosts of the same role: parents for a parent, else this location's caches.
    pub(crate) fn peers(&self, id: HostId) -> impl Iterator<Item = &Host> {
        let parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let is_peer = move |h: &Host| if parent { self.is_parent(h) } else { self.is_cache(h) };
        self.hosts.values().filter(move |h| h.entry.host != id && h.is_ready() && is_peer(h))
    }

    /// Whether another hand-off of this dispatcher is likely filling the part at that cache.
    pub(crate) fn is_fill_in_flight(&self, now: Time, visit: &Visit, cache: HostId) -> bool {
        let copy = self.cached_copies.get(&(visit.object, visit.part, cache));
        copy.is_some_and(|copy| copy.fills_in_flight > 0) && !self.is_known_cached(now, visit, cache)
    }

    pub(crate) fn hash_weight(&self, host: &Host) -> f64 {
        Some(host.entry.weight)
            .filter(|weight| self.settings.has_stable_weights && *weight > 0.0)
            .unwrap_or(1.0)
    }

    /// Hand-offs in flight at a host over its limit.
    pub(crate) fn utilization(&self, id: HostId) -> f64 {
        self.hosts.get(&id).map_or(f64::MAX, |h| f64::from(h.in_flight) / self.limit(h))
    }

    /// Whether one more fits into the remaining capacity `room`. Fractions below one admit with that
    /// probability, so that the shares of many dispatchers hold in total.
    pub(crate) fn admits(&mut self, room: f64) -> bool {
        room >= 1.0 || room > 0.0 && self.rng.gen_bool(room)
    }

    /// Whether a cache recently served a part, after its own start and after the part's last purge.
    pub(crate) fn is_known_cached(&self, now: Time, visit: &Visit, cache: HostId) -> bool {
        let copy = self.cached_copies.get(&(visit.object, visit.part, cache));
        let invalid_until = self.purges.latest(visit.group, visit.object);
        let invalid_until = invalid_until.max(self.hosts.get(&cache).and_then(|h| h.entry.started_at));
        copy.and_then(|c| c.confirmed_at)
            .is_some_and(|at| now < at + STATS_RETENTION && Some(at) > invalid_until)
    }

    pub(crate) fn log(&mut self, line: String) {
        self.decisions.push_back(Decision::Log(line));
    }
}
