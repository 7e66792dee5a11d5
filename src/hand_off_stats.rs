//! Updates of averages by the end of a hand-off: of its host and of its source.
use crate::calls::{HandOffEnd, Note, Outcome, FAST_FAILURE_MAX};
use crate::fill_limits::{FillSample, PathShares};
use crate::gradient::next_limit;
use crate::host::{Host, HOST_RESULT_WEIGHT, SOURCE_RESULT_WEIGHT};
use crate::ids::HostId;
use crate::load_report::LoadReport;
use crate::state::DecisionEngine;
use crate::time::{Span, Time};
use crate::visits::SentHandOff;

const HOST_LIMIT_MIN: f64 = 2.0;
/// Latency relative to the best one up to which a limit may grow.
const SLOWDOWN_MAX: f64 = 1.1;
/// Latency relative to the class's target latency up to which a limit may grow.
const HIT_LATENCY_RATIO_MAX: f64 = 0.45;
/// Latency ratio that a failed fill counts as.
const FAILURE_LATENCY_RATIO: f64 = 10.0;
/// Weight of an answer for its source where it is unknown whether it was a fill.
const UNCERTAIN_FILL_WEIGHT: f64 = 0.1;
const DEFAULT_TARGET_LATENCY: Span = Span::millis(1_000);

/// A result that counts for or against a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthResult {
    pub host: HostId,
    /// It counts as a trial of a circuit breaker that opened no later than this.
    pub trial_sent_at: Time,
    pub has_failed: bool,
    pub weight: f64,
}

impl HealthResult {
    pub fn of_host(sent: &SentHandOff, has_failed: bool) -> HealthResult {
        let (host, trial_sent_at) = (sent.host, sent.trial_sent_at);
        HealthResult { host, trial_sent_at, has_failed, weight: HOST_RESULT_WEIGHT }
    }
}

/// What the end of a hand-off says about its source.
pub(crate) struct SourceUpdate {
    pub health: Option<HealthResult>,
    pub sample: Option<FillSample>,
    /// Whether the sample counts even if the source fails more often than its peers.
    pub is_sample_certain: bool,
}

/// How far the end of a hand-off concerns its source.
struct SourceEvidence {
    has_failed: bool,
    /// Whether it is known that the source was asked.
    is_certain: bool,
    /// Whether it is known that the source was not asked.
    is_unused: bool,
    /// Probability that the fill reached the origin.
    origin_share: f64,
    is_origin_share_known: bool,
    /// Whether there was no capacity behind the source, or for another fill.
    is_congested: bool,
    /// Logarithm of the ratio of fill latency to target latency.
    log_latency: Option<f64>,
}

fn is_fill(end: &HandOffEnd) -> bool {
    matches!(end.note, Note::Filled | Note::FilledByOrigin | Note::Joined)
}

impl Host {
    /// Whether a failure was counted before, or is counted once the visit has ended. A broken connection
    /// counts once, however many hand-offs were in flight on it.
    fn is_counted_elsewhere(&mut self, now: Time, end: &HandOffEnd) -> bool {
        let is_same_reset =
            end.outcome == Outcome::Reset && std::mem::replace(&mut self.last_reset_at, now) == now;
        is_same_reset || end.is_fast_error() && self.breaker.is_none()
    }

    fn update_connection(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let is_refused = end.outcome == Outcome::ConnectFailed && end.duration <= FAST_FAILURE_MAX;
        let has_answered =
            matches!(end.outcome, Outcome::Served | Outcome::Error | Outcome::Full | Outcome::Miss);
        self.is_connection_broken = end.outcome == Outcome::Reset
            || is_refused
            || self.is_connection_broken && (self.breaker.is_some() || !has_answered);
        if has_answered {
            self.answer_gap.push(self.time_since_answer(now).as_seconds(), 0.05);
            self.record_answer(now, sent.sent_at);
        }
    }

    /// Without notes only hand-offs that ask for cached copies are counted: served ones are hits, and
    /// counting misses alone would make all answers seem fills.
    fn update_miss_rate(&mut self, sent: &SentHandOff, end: &HandOffEnd) {
        let has_missed = end.outcome == Outcome::Miss;
        let is_known_answer =
            end.outcome == Outcome::Served && (end.note != Note::Unspecified || sent.source.is_none());
        if is_known_answer || has_missed {
            self.miss_rates.push(sent.was_cached, is_fill(end) || has_missed);
        }
    }

    /// Updates the latency averages by a hit, and returns the excess of the latency over the permitted one.
    fn update_hit_latency(&mut self, slowdown: f64, latency_ratio: f64) -> f64 {
        self.latency_gradient.push(slowdown, 0.05, 10, 0.0002);
        self.log_latency_ratio.push(latency_ratio.max(0.001).ln(), 0.05);
        (self.latency_gradient.slowdown() / SLOWDOWN_MAX)
            .max(self.log_latency_ratio.value.exp() / HIT_LATENCY_RATIO_MAX)
    }
}

impl DecisionEngine {
    /// Updates what is known of the host by the end of a hand-off, and returns whether its failure is counted
    /// elsewhere.
    pub(crate) fn update_host_stats(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) -> bool {
        let slowdown = self.record_hit(sent, end);
        let (work, sharers) = (self.transfer_seconds(sent.class), self.settings.location_share_count());
        let target = self.class_settings(sent.class).map(|class| class.target_latency);
        let latency_ratio = end.duration.as_seconds() / target.unwrap_or(DEFAULT_TARGET_LATENCY).as_seconds();
        let limit = self.hosts.get(&sent.host).map_or(HOST_LIMIT_MIN, |h| self.limit(h));
        let Some(host) = self.hosts.get_mut(&sent.host) else { return false };
        let is_counted_elsewhere = host.is_counted_elsewhere(now, end);
        host.update_connection(now, sent, end);
        let reported_load = end.report.load.map(|load| LoadReport { reported_at: now, load });
        host.reported_load = reported_load.or(host.reported_load);
        host.completed_work += if end.outcome == Outcome::Served { work } else { 0.0 };
        host.update_miss_rate(sent, end);
        if let Some(slowdown) = slowdown {
            let excess = host.update_hit_latency(slowdown, latency_ratio);
            let in_flight = f64::from(host.in_flight);
            host.latency_gradient.limit =
                next_limit(limit, excess, in_flight, sharers, 0.05).max(HOST_LIMIT_MIN / sharers);
        }
        is_counted_elsewhere
    }

    /// Records the answer time of a hit, and returns its ratio to the object's shortest one.
    fn record_hit(&mut self, sent: &SentHandOff, end: &HandOffEnd) -> Option<f64> {
        if end.outcome != Outcome::Served || is_fill(end) {
            return None;
        }
        if let Some(stats) = self.class_stats.get_mut(usize::from(sent.class.0)) {
            stats.transfer_seconds.push(end.duration.as_seconds(), 0.02);
        }
        self.popularity.slowdown(sent.copy.object, end.duration)
    }

    /// Updates what is known of the source by the end of a hand-off.
    pub(crate) fn update_source_stats(
        &mut self,
        sent: &SentHandOff,
        end: &HandOffEnd,
    ) -> Option<SourceUpdate> {
        let (work, cost) = (self.transfer_seconds(sent.class), self.cold_cost(sent.class));
        let evidence = self.source_evidence(sent, end);
        let source = sent.source.and_then(|id| self.hosts.get_mut(&id))?;
        let (is_served, has_no_note) = (end.outcome == Outcome::Served, end.note == Note::Unspecified);
        source.refund_cold_budget(sent.sent_at, f64::from(evidence.is_unused) * cost);
        let work_share = if is_fill(end) { 1.0 } else { sent.fill_probability * f64::from(has_no_note) };
        source.completed_work += if is_served { work_share * work } else { 0.0 };
        if evidence.is_origin_share_known {
            self.origin_limiter.origin_rate.push(evidence.origin_share, 0.05);
        }
        let weight = if evidence.is_certain { 1.0 } else { UNCERTAIN_FILL_WEIGHT };
        // Where notes do not tell the way of a fill, it counts for both limits; fills restricted to cached
        // copies are known to count for the parents.
        let shares = PathShares {
            parents: f64::from(sent.is_cached_only || evidence.origin_share < 1.0),
            origin: f64::from(!sent.is_cached_only && evidence.origin_share > 0.0),
        };
        if let Some(log_latency) =
            evidence.log_latency.filter(|_| !evidence.is_congested && shares.parents > 0.0)
        {
            source.log_latency_ratio.push(log_latency, 0.3 * weight);
            source.latency_gradient.push(log_latency.exp(), 0.05 * weight, 10, 0.002);
        }
        // A hit says nothing about a source on trial: only parts not known to be cached count for it.
        let counts =
            evidence.is_certain || is_served && has_no_note && !(source.breaker.is_some() && sent.was_cached);
        let health = counts.then_some(HealthResult {
            host: source.entry.host,
            trial_sent_at: sent.sent_at,
            has_failed: end.is_source_at_fault() || evidence.has_failed,
            weight: SOURCE_RESULT_WEIGHT * weight,
        });
        let sample = evidence.log_latency.map(|log_latency| FillSample { log_latency, weight, shares });
        Some(SourceUpdate { health, sample, is_sample_certain: evidence.is_congested || is_served })
    }

    fn source_evidence(&self, sent: &SentHandOff, end: &HandOffEnd) -> SourceEvidence {
        let (is_served, has_no_note) = (end.outcome == Outcome::Served, end.note == Note::Unspecified);
        let (is_fill, is_fast_error) = (is_fill(end), end.is_fast_error());
        let is_source_at_fault = end.is_source_at_fault();
        let has_missed = sent.is_cached_only && end.outcome == Outcome::Miss;
        let has_failed =
            matches!(end.outcome, Outcome::Error | Outcome::TimedOut) && has_no_note && !is_fast_error;
        let is_certain_fill =
            sent.fill_probability == 1.0 && end.outcome != Outcome::Cancelled && !is_fast_error;
        let is_source_known = self.settings.reports_fill_source || sent.is_cached_only;
        SourceEvidence {
            has_failed,
            is_certain: is_fill || is_source_at_fault || has_failed || is_certain_fill,
            // A stale copy is refreshed in the background, by a fill that reaches the source.
            is_unused: !(has_no_note
                || is_fill
                || is_source_at_fault
                || has_missed
                || end.note == Note::Stale),
            origin_share: self.origin_share(sent, end, is_source_known),
            is_origin_share_known: is_fill && is_source_known
                || end.note == Note::OriginFailed
                || has_missed
                || sent.is_cached_only && is_served && has_no_note,
            is_congested: matches!(end.note, Note::NoCapacity | Note::OriginFailed),
            log_latency: self.fill_latency(sent, end),
        }
    }

    /// Probability that a fill reached the origin, by how it ended.
    fn origin_share(&self, sent: &SentHandOff, end: &HandOffEnd, is_source_known: bool) -> f64 {
        match end.note {
            Note::FilledByOrigin | Note::OriginFailed => 1.0,
            Note::Filled | Note::Joined if is_source_known => 0.0,
            _ if sent.is_cached_only => f64::from(end.outcome == Outcome::Miss),
            _ if end.outcome == Outcome::TimedOut => self.origin_blame(sent),
            _ => sent.origin_probability,
        }
    }

    /// Logarithm of the ratio of a fill's latency to the target latency, `None` where it was no fill.
    fn fill_latency(&self, sent: &SentHandOff, end: &HandOffEnd) -> Option<f64> {
        let is_congested = matches!(end.note, Note::NoCapacity | Note::OriginFailed);
        if is_congested || end.is_source_at_fault() || end.outcome == Outcome::TimedOut {
            return Some(FAILURE_LATENCY_RATIO.ln());
        }
        let is_answer = end.outcome == Outcome::Served && (is_fill(end) || end.note == Note::Unspecified);
        let latency_ratio = end.duration.as_seconds() / self.target_seconds(sent.class);
        is_answer.then(|| latency_ratio.max(0.001).ln())
    }

    pub(crate) fn record_link_load(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let is_by_cache = self.hosts.get(&sent.host).is_some_and(|h| self.is_cache(h));
        if let Some(load) = end.report.link_load.filter(|_| is_by_cache) {
            self.fill_limiter.reported_link_load = Some(LoadReport { reported_at: now, load });
        }
    }
}
