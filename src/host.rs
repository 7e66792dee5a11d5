//! What is known of a listed host.
use crate::allowance::Usage;
use crate::calls::{EjectionCause, Listing, Phase};
use crate::circuit_breaker::{OpenBreaker, TRIALS_TO_RECOVER};
use crate::containers::{LatencyGradient, MovingAverage, TokenBucket};
use crate::load_report::LoadReport;
use crate::time::{Span, Time};

/// Weight of one result in the failure rate of a host.
pub(crate) const HOST_RESULT_WEIGHT: f64 = 0.12;
/// Weight of one result in the failure rate of a source.
pub(crate) const SOURCE_RESULT_WEIGHT: f64 = 0.15;
/// How long an own success outweighs reports of other dispatchers.
pub(crate) const OWN_SUCCESS_VALIDITY: Span = Span::millis(300);

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
    pub(crate) fn is_in_force(&self, now: Time) -> bool {
        now < self.expires_at
    }

    pub(crate) fn is_refuted(&self, now: Time) -> bool {
        self.is_in_force(now) && self.own_successes >= TRIALS_TO_RECOVER
    }
}

/// Shares of misses among hand-offs.
#[derive(Debug, Default)]
pub struct MissRates {
    /// For parts that are not known to be cached.
    pub uncached: MovingAverage,
    /// For parts that are known to be cached.
    pub cached: MovingAverage,
}

impl MissRates {
    pub fn of_parts(&self, was_cached: bool) -> &MovingAverage {
        if was_cached {
            &self.cached
        } else {
            &self.uncached
        }
    }

    pub fn push(&mut self, was_cached: bool, has_missed: bool) {
        let rate = if was_cached { &mut self.cached } else { &mut self.uncached };
        rate.push(f64::from(has_missed), 0.05);
    }
}

/// What is known of a listed host.
#[derive(Debug)]
pub struct Host {
    pub entry: Listing,
    pub in_flight: u32,
    /// Load that it last reported.
    pub reported_load: Option<LoadReport>,
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
    pub miss_rates: MissRates,
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
            connection_lost_at: None,
            cold_bucket: TokenBucket::empty(now),
            cold_usage: Usage::default(),
            completed_work_rate: MovingAverage::default(),
            completed_work: 0.0,
            latency_gradient: LatencyGradient::default(),
            log_latency_ratio: MovingAverage::default(),
            expected_fills: 0.0,
            miss_rates: MissRates::default(),
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
    pub fn phi(&self, now: Time, min_gap: f64) -> f64 {
        let gap = self.answer_gap.value_or(1.0).max(min_gap);
        self.time_since_answer(now).as_seconds() / gap * std::f64::consts::LOG10_E
    }

    /// Time without an answer while hand-offs are in flight.
    pub fn time_since_answer(&self, now: Time) -> Span {
        now - self.last_answer_at.max(self.waiting_since)
    }

    /// Records the result of a hand-off that counts for or against the host.
    pub fn record_result(&mut self, now: Time, has_failed: bool, weight: f64) {
        self.failure_rate.push(f64::from(has_failed), weight);
        self.last_success_at = Some(now).filter(|_| !has_failed).or(self.last_success_at);
        if let Some(report) = &mut self.peer_report {
            report.own_successes = if has_failed { 0 } else { report.own_successes.saturating_add(1) };
        }
    }

    /// Opens the circuit breaker. Evidence for silence are the hand-offs in flight, for failures the recent
    /// ones that failed.
    pub fn open_breaker(&mut self, now: Time, trial_interval: Span, cause: EjectionCause) {
        let failed =
            self.failure_rate.value * f64::from(self.failure_rate.sample_count).min(1.0 / HOST_RESULT_WEIGHT);
        let evidence_count = match cause {
            EjectionCause::Silent => self.in_flight,
            EjectionCause::Failing => failed.ceil() as u32,
            EjectionCause::Reported => 0,
        };
        self.breaker = Some(OpenBreaker {
            opened_at: now,
            next_trial_at: now + trial_interval,
            trial_interval,
            trials_passed: 0,
            cause,
            evidence_count,
            last_evidence_at: now,
        });
    }

    /// Whether the host is not ejected, or due for a trial.
    pub fn is_trial_due(&self, now: Time) -> bool {
        self.breaker.is_none_or(|breaker| now >= breaker.next_trial_at)
    }

    /// Whether a report of other dispatchers that it is bad is in force.
    pub fn is_reported_bad(&self, now: Time) -> bool {
        self.peer_report.is_some_and(|report| report.is_in_force(now))
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

    /// Records an answer to an attempt sent at `sent_at`. The first answer after a lost connection may come
    /// from a new process: its age counts from now until the list shows its start.
    pub fn record_answer(&mut self, now: Time, sent_at: Time) {
        self.last_answer_at = now;
        if self.connection_lost_at.take_if(|lost_at| *lost_at <= sent_at).is_some() {
            self.entry.started_at = self.entry.started_at.max(Some(now));
        }
    }

    /// Treats the host as just started, and charges the hand-offs it has had since to its new cold budget.
    pub fn restart_cold_budget(&mut self, now: Time, hand_offs: u32, work: f64) {
        (self.entry.started_at, self.cold_bucket) =
            (self.entry.started_at.max(Some(now)), TokenBucket::empty(now));
        self.cold_bucket.level -= f64::from(hand_offs) * work;
    }

    /// Returns work that was charged at `sent_at` but not needed. Guards against crediting a new process with
    /// work that was charged to the one before it.
    pub fn refund_cold_budget(&mut self, sent_at: Time, work: f64) {
        if sent_at >= self.cold_bucket.started_at {
            self.cold_bucket.level += work;
            self.cold_usage.used -= work;
        }
    }
}
