//! All decisions of a dispatcher.
//!
//! The caller calls `new` once, then `update_hosts`, `visit_arrived`, `hand_off_ended`, `close_visit`,
//! `record_purge`, `probe_answered` and `tick` as events happen; these only update state. After each batch of
//! events it pulls decisions with `next_decision` until there is none. The values are in `calls`, the
//! settings in `settings`. The ordinary path is the semi-hashing rule of Ni et al.; docs/design.md lists
//! every exception to it.
use crate::calls::*;
use crate::circuit_breaker::{OpenBreaker, TrialIntervals, TRIALS_TO_RECOVER};
use crate::containers::MovingAverage;
use crate::fill_limiter::FillLimiter;
use crate::hand_off_stats::HealthResult;
use crate::host::{Host, HOST_RESULT_WEIGHT, OWN_SUCCESS_VALIDITY, SOURCE_RESULT_WEIGHT};
use crate::ids::*;
use crate::load_report::LoadReport;
use crate::peer_reports::{IncomingReport, ReportEffect};
use crate::settings::{Effect::*, Group, Settings};
pub use crate::state::DecisionEngine;
use crate::state::{Timer, STATS_RETENTION};
use crate::time::{Span, Time};
use crate::visits::{OpenVisit, SentHandOff};
use rand::Rng;

// Popularity.
const COUNT_HALF_LIFE: Span = Span::millis(10_000);
/// Copy priority of objects that are not popular.
const FILL_RANK: u8 = 1;
const POPULAR_FILL_RANK: u8 = 3;
// Timers, deadlines and retries.
const TICK_INTERVAL: Span = Span::millis(10);
const SECOND: Span = Span::millis(1_000);
/// Time kept before a visit's deadline for sending the final answer.
const ANSWER_MARGIN: Span = Span::millis(25);
/// Retries that each new visit adds to the budget.
const RETRIES_PER_VISIT: f64 = 0.25;
const RETRY_BURST: f64 = 12.0;
/// Retry-after times are drawn between this and twice this.
const RETRY_AFTER_MIN: Span = Span::millis(50);
// Host health.
const SILENCE_PHI_THRESHOLD: f64 = 8.0;
const SILENCE_MIN: Span = Span::millis(400);
/// Lower bound of the mean answer gap.
const ANSWER_GAP_MIN_SECONDS: f64 = 0.02;
/// Lower bound of the mean answer gap, divided by the number of gaps seen.
const FIRST_ANSWER_GAP_MIN_SECONDS: f64 = 0.6;
/// A longer time between two ticks is a pause of this process.
const OWN_PAUSE_MIN: Span = Span::millis(100);
const FAILURE_RATE_MIN: f64 = 0.35;
/// A host is ejected only if its failure rate exceeds its peers' mean by this factor.
const FAILURE_RATIO_TO_PEERS: f64 = 5.0;
const FAILURE_RATE_MIN_ALONE: f64 = 0.75;
/// Results after which a failure rate counts.
const FAILURE_RATE_SAMPLES_MIN: u32 = 4;
/// If this many other hosts failed a visit fast as well, the visit is at fault.
const UNBLAMED_ERROR_HOSTS: usize = 2;
const TRIAL_INTERVALS: TrialIntervals =
    TrialIntervals { first: Span::millis(500), longest: Span::millis(4_000) };
/// For hosts that others report as bad too: lower bound of the first trial's random delay, as a share of the
/// longest interval.
const REPORTED_TRIAL_DELAY_MIN: f64 = 0.3;
/// For hosts that others report as bad too: the largest factor by which the longest interval grows.
const REPORTED_TRIAL_GROWTH_MAX: f64 = 3.0;
// Cold starts.
/// Largest burst, in windows of the budget.
const COLD_BURST_WINDOWS: f64 = 0.2;
/// Largest burst for a single attempt that exceeds `COLD_BURST_WINDOWS`.
const COLD_SINGLE_BURST_WINDOWS: f64 = 0.8;
// Fills. Latency ratios are relative to the class's target latency.
const FILLS_PER_TRANSFER: f64 = 1.75;
/// Limit on fills where the capacity of the link is not configured.
const FILL_LIMIT_START: f64 = 12.0;
const FILL_LATENCY_RATIO_MAX: f64 = 0.4;
const ORIGIN_LATENCY_RATIO_MAX: f64 = 0.8;
/// Largest share of the fill limit at a single parent.
const PARENT_FILL_SHARE_MAX: f64 = 0.5;
const PARENT_LATENCY_RATIO_MAX: f64 = 0.3;
/// Fill latency of a parent relative to its best one up to which it gets all its fills.
const PARENT_SLOWDOWN_MAX: f64 = 1.3;
/// Share of the target latency for which a visit waits for another one's fill.
const FILL_WAIT_FRACTION: f64 = 0.5;
// Reported loads and probes.
/// Reported link load above which caches are asked for cached copies only.
const LINK_LOAD_MAX: f64 = 3.0;
const LINK_REPORT_VALIDITY: Span = Span::millis(1_500);
const LOAD_TARGET: f64 = 0.8;
const LOAD_REPORT_VALIDITY: Span = Span::millis(4_000);
/// Load assumed for a host that does not answer a probe.
const LOAD_IF_SILENT: f64 = 4.0;
const FILL_ADMISSION_GROWTH_MAX: f64 = 1.25;
const FILL_ADMISSION_MIN: f64 = 0.02;
const PROBES_PER_VISIT: f64 = 0.75;
const PROBE_BURST: f64 = 12.0;

/// The next step for a visit.
enum Choice {
    HandOff(HostId, Option<Fill>),
    Wait,
    GiveUp,
}

/// Hosts that a visit may be sent to or filled from, in order of preference.
struct Candidates {
    caches: Vec<HostId>,
    parents: Vec<HostId>,
    origin: Option<HostId>,
}

impl DecisionEngine {
    /// A decision module with an empty list of hosts.
    pub fn new(settings: Settings, seed: u64, now: Time) -> DecisionEngine {
        let mut engine = DecisionEngine::with_settings(settings, seed);
        engine.retry_budget.level = RETRY_BURST;
        let link = engine.settings.location_link_transfers();
        let fills = link.map_or(FILL_LIMIT_START, |transfers| FILLS_PER_TRANSFER * transfers);
        let limit = fills / engine.settings.location_share_count();
        let max_limit = link.map_or(f64::INFINITY, |_| limit);
        engine.fill_limiter = FillLimiter::new(limit, max_limit, FILL_LATENCY_RATIO_MAX);
        engine.origin_limiter = FillLimiter::new(limit, f64::INFINITY, ORIGIN_LATENCY_RATIO_MAX);
        engine.timers.push(now + COUNT_HALF_LIFE, Timer::DecayCounts);
        engine.timers.push(now + SECOND, Timer::EverySecond);
        engine.decisions.push_back(Decision::Wake { after: TICK_INTERVAL });
        engine
    }

    /// A visit has arrived.
    pub fn visit_arrived(&mut self, now: Time, visit: Visit) {
        let is_popular = self.count_visit(now, &visit);
        self.retry_budget.level = (self.retry_budget.level + RETRIES_PER_VISIT).min(RETRY_BURST);
        self.probe_budget.level = (self.probe_budget.level + PROBES_PER_VISIT).min(PROBE_BURST);
        let stats_and_size = self.class_stats.get_mut(usize::from(visit.class.0)).zip(visit.kilobytes);
        if let Some((stats, kilobytes)) = stats_and_size {
            stats.kilobytes.push(kilobytes, 0.01);
        }
        let deadline_timer = self.timers.push(visit.deadline - ANSWER_MARGIN, Timer::Deadline(visit.id));
        self.visits.insert(visit.id, OpenVisit::new(visit, is_popular, now, deadline_timer));
        self.undecided.push_back(visit.id);
    }

    /// A hand-off has ended.
    pub fn hand_off_ended(&mut self, now: Time, end: HandOffEnd) {
        let Some(sent) = self.in_flight.remove(&(end.visit, end.number)) else { return };
        self.record_link_load(now, &sent, &end);
        self.record_end(now, &sent, &end);
        self.attribute_errors(now, &sent, &end);
        let is_by_cache = sent.host == sent.copy.cache && self.is_of_current_process(&sent);
        if end.outcome == Outcome::Served && is_by_cache {
            self.cached_copies.confirm(now, sent.copy);
        }
        if end.is_final {
            return self.close_visit(end.visit);
        }
        let Some(open) = self.visits.get_mut(&end.visit) else { return };
        open.record_end(&sent, &end);
        self.undecided.extend((open.in_flight == 0).then_some(end.visit));
    }

    /// Whether a hand-off was sent to the process that runs at the host now. A late answer of the one before says
    /// nothing of what the new one holds.
    fn is_of_current_process(&self, sent: &SentHandOff) -> bool {
        let started_at = self.hosts.get(&sent.host).and_then(|host| host.entry.started_at);
        started_at.is_none_or(|started_at| started_at <= sent.sent_at)
    }

    /// Updates what is known of the host and of the source by the end of a hand-off.
    fn record_end(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let is_counted_elsewhere = self.update_host_stats(now, sent, end);
        self.record_end_at_source(now, sent, end);
        self.count_in_flight(sent, -1);
        self.refund_unsent(sent, end.outcome);
        let says_nothing = matches!(end.outcome, Outcome::Cancelled | Outcome::Expired | Outcome::NotSent);
        if !says_nothing && !is_counted_elsewhere {
            let has_failed = matches!(
                end.outcome,
                Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset
            );
            let has_failed = has_failed && !end.is_source_at_fault();
            self.record_health(now, HealthResult::of_host(sent, has_failed));
        }
    }

    fn record_end_at_source(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let Some(update) = self.update_source_stats(sent, end) else { return };
        // A source that fails alone is handled by its circuit breaker.
        let counts_for_limits =
            update.is_sample_certain || sent.source.is_some_and(|id| !self.fails_alone(id));
        if let Some(result) = update.health {
            self.record_health(now, result);
        }
        if let Some(sample) = update.sample.filter(|_| counts_for_limits) {
            self.update_fill_limits(now, sample);
        }
    }

    fn fails_alone(&self, id: HostId) -> bool {
        let peers_failure_rate = self.peers(id).map(|h| h.failure_rate.value).fold(0.0, f64::max);
        let failure_rate = self.hosts.get(&id).map_or(0.0, |h| h.failure_rate.value);
        failure_rate > FAILURE_RATIO_TO_PEERS * peers_failure_rate
    }

    /// Counts a fast error against its host only once the visit succeeds elsewhere. Guards against visits
    /// that no host can serve: after the third host's error they end, no host is blamed, and the retries are
    /// returned to the budget. The cost: if three hosts are at fault it is detected late.
    fn attribute_errors(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let is_ejected = self.hosts.get(&sent.host).is_some_and(|h| h.breaker.is_some());
        let Some(open) = self.visits.get_mut(&end.visit).filter(|_| !is_ejected) else { return };
        if end.is_fast_error() {
            let others = open.unattributed_errors.iter().filter(|other| other.host != sent.host).count();
            open.unattributed_errors
                .push(SentHandOff { source: sent.source.filter(|_| end.note == Note::Unspecified), ..*sent });
            open.hand_offs = if others >= UNBLAMED_ERROR_HOSTS { u8::MAX } else { open.hand_offs };
        } else if matches!(end.outcome, Outcome::Served | Outcome::Miss) {
            for failed in std::mem::take(&mut open.unattributed_errors) {
                self.record_attributed_error(now, &failed);
            }
        }
    }

    fn record_attributed_error(&mut self, now: Time, failed: &SentHandOff) {
        let result =
            |host, weight| HealthResult { host, trial_sent_at: failed.sent_at, has_failed: true, weight };
        self.record_health(now, result(failed.host, HOST_RESULT_WEIGHT));
        if let Some(source) = failed.source {
            self.record_health(now, result(source, SOURCE_RESULT_WEIGHT));
        }
    }

    /// Runs due timers; called when the time of `Decision::Wake` has passed.
    pub fn tick(&mut self, now: Time) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Timer::Deadline(id) => self.finish_unserved(id),
                Timer::DecayCounts => self.decay_counts(now),
                Timer::EverySecond => self.each_second(now),
                Timer::PeerReport(id) => self.readmit_after_report(now, id),
            }
        }
        // After a pause of this process the hosts' silence means nothing, so it is measured from now.
        if now > self.last_tick_at + OWN_PAUSE_MIN {
            self.hosts.values_mut().for_each(|host| host.last_answer_at = now);
        }
        self.last_tick_at = now;
        self.detect_silent_hosts(now);
        self.undecided.extend(self.awaiting_fill.drain(..));
        self.decisions.push_back(Decision::Wake { after: TICK_INTERVAL });
    }

    fn decay_counts(&mut self, now: Time) {
        self.popularity.decay(now - STATS_RETENTION);
        self.cached_copies.forget(now - STATS_RETENTION);
        self.timers.push(now + COUNT_HALF_LIFE, Timer::DecayCounts);
    }

    /// The next decision, or `None` until there is another event.
    pub fn next_decision(&mut self, now: Time) -> Option<Decision> {
        while self.decisions.is_empty() {
            let id = self.undecided.pop_front()?;
            self.decide(now, id);
        }
        self.decisions.pop_front()
    }

    /// Counts a visit, and returns whether its object is popular.
    fn count_visit(&mut self, now: Time, visit: &Visit) -> bool {
        let bytes = visit
            .kilobytes
            .unwrap_or_else(|| self.transfer_seconds(visit.class) * self.settings.transfer_kb_per_s);
        self.popularity.record_visit(now, visit.object, visit.part, bytes);
        self.popularity.admit_if_popular(visit.object)
    }

    fn decide(&mut self, now: Time, id: VisitId) {
        let Some(open) = self.visits.get(&id).filter(|open| open.in_flight == 0) else { return };
        let (visit, is_retry) = (open.visit, open.hand_offs > 0 && !open.has_cache_missed);
        let is_late = now >= self.latest_hand_off(open);
        let has_no_hand_offs_left =
            open.hand_offs >= self.settings.max_hand_offs || (is_retry && !self.may_retry(now));
        if is_late || has_no_hand_offs_left {
            return self.finish_unserved(id);
        }
        let is_write = self.class_settings(visit.class).is_some_and(|class| class.is_write);
        let choice = if is_write { self.choose_for_write(now, visit) } else { self.choose(now, visit) };
        match choice {
            Choice::HandOff(host, fill) => self.hand_off(now, id, host, fill),
            Choice::Wait => self.awaiting_fill.push(id),
            Choice::GiveUp => self.finish_unserved(id),
        }
    }

    /// Until when a visit may be handed off, given its class's effect and what may have been executed. No
    /// other code decides this.
    fn latest_hand_off(&self, open: &OpenVisit) -> Time {
        let last = open.visit.deadline - ANSWER_MARGIN;
        let Some(first) = open.first_possible_run else { return last };
        match self.class_settings(open.visit.class).map(|class| class.effect) {
            Some(Idempotent) => last,
            Some(Deduplicated { retention, .. }) => last.min(first.sent_at + retention - ANSWER_MARGIN),
            _ => Time::default(),
        }
    }

    /// Whether a host has not failed the visit yet, and deduplicates it if it may have been executed.
    fn is_eligible(&self, open: &OpenVisit, host: HostId) -> bool {
        if open.failed_hosts.contains(&host) {
            return false;
        }
        let Some(first) = open.first_possible_run else { return true };
        let hosts = self.hosts.get(&first.host).zip(self.hosts.get(&host));
        let are_alike = |same: fn(&Host, &Host) -> bool| hosts.is_some_and(|(a, b)| same(a, b));
        match self.class_settings(open.visit.class).map(|class| class.effect) {
            Some(Deduplicated { group: Group::Location, .. }) => {
                are_alike(|a, b| a.entry.location == b.entry.location)
            }
            Some(Deduplicated { group: Group::Cell, .. }) => are_alike(|a, b| a.entry.cell == b.entry.cell),
            _ => true,
        }
    }

    /// Gives the final answer to a visit that no host served: it is refused if a repeat by the client is
    /// safe, else failed.
    pub fn finish_unserved(&mut self, id: VisitId) {
        let Some(open) = self.visits.get(&id) else { return };
        let may_have_run = open.first_possible_run.is_some() || open.in_flight > 0;
        let is_repeat_safe = match self.class_settings(open.visit.class).map(|class| class.effect) {
            Some(Idempotent | Deduplicated { group: Group::All, .. }) => true,
            _ => !may_have_run,
        };
        self.retry_budget.level += open.unattributed_errors.len().saturating_sub(1) as f64;
        self.close_visit(id);
        self.decisions.push_back(if is_repeat_safe {
            let retry_after = RETRY_AFTER_MIN.times(self.rng.gen_range(1.0..2.0));
            Decision::Refuse { visit: id, retry_after: retry_after.min(self.settings.max_retry_after) }
        } else {
            Decision::Fail { visit: id }
        });
    }

    /// A host has answered a load probe, or failed to in time. Guards against sources that are full, slow or
    /// silent and have too few fills of this dispatcher to show it. A source whose probes get lost on the way
    /// gets fewer fills for some seconds.
    pub fn probe_answered(&mut self, now: Time, id: HostId, report: Report) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let load = report.load.unwrap_or(LOAD_IF_SILENT);
        host.reported_load = Some(LoadReport { reported_at: now, load });
        host.fill_admission = (host.fill_admission
            * (LOAD_TARGET / load.max(0.1)).min(FILL_ADMISSION_GROWTH_MAX))
        .clamp(FILL_ADMISSION_MIN, 1.0);
    }

    /// The ordinary path: the designated cache, or for a popular object the less utilized of that and the
    /// next one by object and part, filled from the parent that the object hashes to.
    fn choose(&mut self, now: Time, visit: Visit) -> Choice {
        let Some(open) = self.visits.get(&visit.id) else { return Choice::GiveUp };
        let (is_popular, has_cache_missed, has_parent_missed, arrived_at) =
            (open.is_popular, open.has_cache_missed, open.has_parent_missed, open.arrived_at);
        let Candidates { caches, parents, origin } = self.candidates(open);
        let origin_admits = self.admits_to_origin(now, f64::from(has_parent_missed));
        let may_reach_origin = origin_admits && self.admits_origin_fill();
        let work = self.cold_cost(visit.class);
        let cache = self.select_cache(now, &caches, work);
        if !caches.is_empty() && cache.is_none() {
            return Choice::GiveUp;
        }
        // A fill in flight is joined or waited for. Guards against transferring the same bytes twice.
        let is_fill_in_flight = cache.is_some_and(|cache| self.is_fill_in_flight(now, &visit, cache));
        let may_join = self.settings.joins_fills;
        if is_fill_in_flight && !may_join && now < arrived_at + self.max_fill_wait(visit.class) {
            return Choice::Wait;
        }
        let may_fill = (may_reach_origin || !has_parent_missed)
            && (is_fill_in_flight && may_join || self.admits_fill_behind_caches(now));
        let sources = parents.into_iter().chain(origin.filter(|_| may_reach_origin));
        let source = self.select_source(now, sources.filter(|_| may_fill), work);
        let is_cached_only = source.is_some() && !may_reach_origin;
        let max_age = self.max_copy_age(now, &visit, source.is_some() && may_reach_origin);
        match (cache, source) {
            (_, None) if has_cache_missed => Choice::GiveUp,
            (Some(cache), source) => {
                self.fill_limiter.restricted_count += u32::from(source.is_none());
                self.origin_limiter.restricted_count += u32::from(is_cached_only);
                let rank = if is_popular { POPULAR_FILL_RANK } else { FILL_RANK };
                let refresh_stale = self.expires_copies(visit.class);
                let (source, cached_only) = (source.unwrap_or(cache), is_cached_only);
                let fill = Fill { source, rank, max_age, may_join, refresh_stale, cached_only };
                Choice::HandOff(cache, Some(fill))
            }
            (None, Some(host)) if self.settings.may_bypass_caches && origin_admits => {
                Choice::HandOff(host, Some(Fill::uncached(origin.unwrap_or(host), max_age, may_join)))
            }
            _ => Choice::GiveUp,
        }
    }

    fn candidates(&self, open: &OpenVisit) -> Candidates {
        let visit = &open.visit;
        let is_eligible = |host: &HostId| self.is_eligible(open, *host);
        let mut caches = self.caches_by_preference(visit, open.is_popular);
        caches.retain(is_eligible);
        let mut parents = self.hosts_by_hash(self.parent_key(visit), |h| self.is_parent(h));
        parents.retain(is_eligible);
        let origins = self.hosts_by_hash(visit.object.0, |h| self.is_origin(h));
        Candidates { caches, parents, origin: origins.into_iter().find(is_eligible) }
    }

    /// Beyond the designated cache parts are hashed separately, so that a large object does not overload the
    /// next cache as well.
    fn caches_by_preference(&self, visit: &Visit, is_popular: bool) -> Vec<HostId> {
        let designated = self.hosts_by_hash(visit.object.0, |h| self.is_cache(h)).first().copied();
        let mut caches =
            self.hosts_by_hash(visit.object.0 ^ (u64::from(visit.part) + 1) << 52, |h| self.is_cache(h));
        let alternative = caches.iter().copied().find(|cache| Some(*cache) != designated);
        let alternative = alternative.filter(|cache| {
            is_popular && designated.is_some_and(|id| self.utilization(*cache) < self.utilization(id))
        });
        caches.sort_by_key(|cache| (Some(*cache) != alternative, Some(*cache) != designated));
        caches
    }

    /// Guards against an origin that is slow, full or down: without capacity there the parent is asked for
    /// cached copies only, so that its hits continue and the origin keeps capacity for writes and recovery.
    fn admits_origin_fill(&mut self) -> bool {
        !self.origin_limiter.exceeds_max_latency()
            || self.admits(self.origin_limiter.limit - self.origin_limiter.expected_fills)
    }

    fn select_cache(&mut self, now: Time, caches: &[HostId], work: f64) -> Option<HostId> {
        let mut by_preference = caches.iter().copied();
        let cache = by_preference.find(|id| self.has_room(now, *id) && self.can_send(now, *id, work));
        // A cache that fails sometimes is better than none, where no other takes the visit.
        cache.or_else(|| {
            caches.iter().copied().find(|id| self.is_unreliable(now, *id) && self.has_room(now, *id))
        })
    }

    /// Whether a host that is not cold fails sometimes.
    fn is_unreliable(&self, now: Time, id: HostId) -> bool {
        self.hosts[&id].failure_rate.value > FAILURE_RATE_MIN && self.cold_budget(now, id).is_none()
    }

    fn max_fill_wait(&self, class: ClassId) -> Span {
        self.class_settings(class).map_or(Span::ZERO, |class| class.target_latency.times(FILL_WAIT_FRACTION))
    }

    /// Guards against congestion behind the caches (a full link, overloaded parents, no capacity for fills):
    /// beyond the limit a cache is asked for cached copies only, so that hits continue. The cost is one more
    /// hand-off for each miss.
    fn admits_fill_behind_caches(&mut self, now: Time) -> bool {
        let link_load = current_load(self.fill_limiter.reported_link_load, now, LINK_REPORT_VALIDITY);
        let is_link_congested = link_load.is_some_and(|load| load > LINK_LOAD_MAX);
        !is_link_congested && self.admits(self.fill_limiter.limit - self.fill_limiter.expected_fills)
    }

    fn select_source(
        &mut self,
        now: Time,
        mut sources: impl Iterator<Item = HostId>,
        work: f64,
    ) -> Option<HostId> {
        sources.find(|id| self.admits_fill(*id) && self.can_send(now, *id, work))
    }

    fn expires_copies(&self, class: ClassId) -> bool {
        self.class_settings(class).is_some_and(|class| class.fresh_for > Span::ZERO)
    }

    /// Key by which a fill's parent is chosen: the object. If there are more caches than transfers of one
    /// parent, each part has a key of its own. Guards against an object that all caches request at once and
    /// one parent cannot send to all. The cost: the loss of one parent affects some parts of many objects,
    /// not all parts of few.
    fn parent_key(&self, visit: &Visit) -> u64 {
        let ready = || self.hosts.values().filter(|h| h.is_ready() && !self.is_origin(h));
        let parents = ready().filter(|h| self.is_parent(h));
        let (count, carried) = parents.fold((0.0, 0.0), |(n, sum), h| (n + 1.0, sum + h.entry.weight));
        let has_part_keys = self.settings.has_weights && (ready().count() as f64 - count) * count > carried;
        visit.object.0 ^ if has_part_keys { u64::from(visit.part) << 52 } else { 0 }
    }

    /// Writes run at the origin: directly if that is allowed, else through a cache.
    fn choose_for_write(&mut self, now: Time, visit: Visit) -> Choice {
        let origin = self.hosts_by_hash(visit.object.0, |h| self.is_origin(h)).first().copied();
        let origin = origin.filter(|_| self.admits_to_origin(now, 1.0));
        let (Some(source), Some(open)) = (origin, self.visits.get(&visit.id)) else { return Choice::GiveUp };
        if self.settings.may_bypass_caches {
            return Choice::HandOff(source, None);
        }
        let mut caches = self.hosts_by_hash(visit.object.0, |h| self.is_cache(h));
        caches.retain(|host| self.is_eligible(open, *host));
        let fill = Fill::uncached(source, Span::ZERO, false);
        let work = self.cold_cost(visit.class);
        let cache = caches.into_iter().find(|cache| self.can_send(now, *cache, work));
        cache.map_or(Choice::GiveUp, |cache| Choice::HandOff(cache, Some(fill)))
    }

    fn hand_off(&mut self, now: Time, id: VisitId, host: HostId, fill: Option<Fill>) {
        let Some(open) = self.visits.get(&id) else { return };
        let (times_out_at, latest) = (open.visit.deadline - ANSWER_MARGIN, self.latest_hand_off(open));
        let sent = self.estimate_hand_off(now, open, host, fill);
        let send_before = self.latest_send(now, &sent, latest);
        let Some(open) = self.visits.get_mut(&id) else { return };
        let number = HandOffNumber(open.hand_offs);
        open.hand_offs += 1;
        open.in_flight += 1;
        (open.has_cache_missed, open.has_parent_missed) = (false, false);
        self.charge_hosts(now, &sent);
        self.count_in_flight(&sent, 1);
        self.in_flight.insert((id, number), sent);
        self.decisions.push_back(Decision::HandOff { visit: id, host, times_out_at, send_before, fill });
    }

    /// Whether a host may be sent one more visit now: not ejected, or due for a trial, and within its cold
    /// budget.
    fn can_send(&mut self, now: Time, id: HostId, work: f64) -> bool {
        self.admits_to_cold_host(now, id, work) && self.hosts.get(&id).is_some_and(|h| h.is_trial_due(now))
    }

    /// Whether a host is not cold, or its cold budget admits one more visit. A level below one attempt is a
    /// probability, spent whether or not it admits: so the parts of many dispatchers hold in total.
    fn admits_to_cold_host(&mut self, now: Time, id: HostId, work: f64) -> bool {
        let Some(budget) = self.cold_budget(now, id) else { return true };
        let (rate, window) = (budget.rate, budget.window_seconds);
        let max =
            (rate * window * COLD_BURST_WINDOWS).max((rate * window * COLD_SINGLE_BURST_WINDOWS).min(work));
        let level = self.hosts.get_mut(&id).map_or(0.0, |h| h.cold_bucket.refill(now, rate, max));
        let is_admitted = self.admits(level / work);
        if let Some(host) = self.hosts.get_mut(&id).filter(|_| level < work) {
            host.cold_bucket.level = if is_admitted { work } else { level.min(0.0) };
            host.cold_usage.refused += if is_admitted { 0.0 } else { work };
        }
        is_admitted
    }

    /// Whether a source gets this fill. One whose fills take too much of the target latency, and longer than
    /// its best, gets a proportional share of them, and the next source the rest. Guards against slow or
    /// overloaded parents. The cost: the next source starts without a copy of the object.
    fn admits_fill(&mut self, id: HostId) -> bool {
        let source = self.hosts.get(&id);
        let admission = source.map_or(1.0, |h| h.fill_admission);
        let slowdown = source.map_or(0.0, |h| {
            h.log_latency_ratio.value.exp()
                / PARENT_LATENCY_RATIO_MAX.max(PARENT_SLOWDOWN_MAX * h.latency_gradient.best())
        });
        let is_at_limit = source.is_some_and(|h| {
            h.expected_fills >= 1.0 && h.expected_fills > PARENT_FILL_SHARE_MAX * self.fill_limiter.limit
        });
        !is_at_limit && self.admits(admission / slowdown.max(1.0))
    }

    /// Whether a cache takes one more: it reports spare capacity, or the limit leaves some. Guards against
    /// visits that leave their designated cache because this dispatcher's share of its limit is below one.
    /// The cost: a cache may become full while its last report still counts.
    fn has_room(&mut self, now: Time, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        let load = current_load(host.reported_load, now, LOAD_REPORT_VALIDITY);
        let has_spare_capacity = load.is_some_and(|load| load < LOAD_TARGET);
        let room = self.limit(host).max(1.0) - f64::from(host.in_flight);
        has_spare_capacity || self.admits(room)
    }

    /// Records a result of a host: ejects it when it fails far more often than its peers, and readmits it
    /// after successful trials. Guards against fast errors, closed ports and broken paths to one host. When
    /// most peers fail alike, the cause is behind them or at this dispatcher, and plain hashing continues.
    fn record_health(&mut self, now: Time, result: HealthResult) {
        let reported_intervals = self.reported_trial_intervals();
        let Some(host) = self.hosts.get_mut(&result.host) else { return };
        host.record_result(now, result.has_failed, result.weight);
        let intervals = if host.is_reported_bad(now) { reported_intervals } else { TRIAL_INTERVALS };
        let breaker = host.breaker.as_mut().filter(|breaker| result.trial_sent_at >= breaker.opened_at);
        let Some(breaker) = breaker else {
            if result.has_failed {
                self.eject_if_failing(now, result.host);
            }
            return;
        };
        breaker.record_trial(now, result.has_failed, intervals);
        if breaker.trials_passed >= TRIALS_TO_RECOVER {
            self.readmit(now, result.host);
        }
    }

    /// Ejects a host that has just failed, if it fails far more often than its peers or others report it as
    /// bad.
    fn eject_if_failing(&mut self, now: Time, id: HostId) {
        let peers: Vec<f64> =
            self.peers(id).filter(|h| h.breaker.is_none()).map(|h| h.failure_rate.value).collect();
        let peers_failure_rate = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        let threshold = if peers.is_empty() { FAILURE_RATE_MIN_ALONE } else { FAILURE_RATE_MIN };
        let Some(host) = self.hosts.get(&id) else { return };
        let failure_rate = host.failure_rate.value;
        let fails_often = host.failure_rate.sample_count >= FAILURE_RATE_SAMPLES_MIN
            && failure_rate > threshold
            && failure_rate > FAILURE_RATIO_TO_PEERS * peers_failure_rate;
        if fails_often || host.is_reported_bad(now) {
            let reason = format!("failure rate {failure_rate:.2}, mean of its peers {peers_failure_rate:.2}");
            self.eject(now, id, EjectionCause::Failing, reason);
        }
    }

    /// Readmits a host after successful trials. If its connections broke or were refused, it most likely runs
    /// a new process. Guards against overloading a new, cold process before the list shows it. A host that
    /// only lost its connections gets a cold host's budget meanwhile.
    fn readmit(&mut self, now: Time, id: HostId) {
        let work = self.mean_cache_work.value;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        (host.breaker, host.failure_rate) = (None, MovingAverage::default());
        if let Some(report) = &mut host.peer_report {
            report.own_successes = report.own_successes.max(TRIALS_TO_RECOVER);
        }
        let is_restarted = std::mem::take(&mut host.is_connection_broken);
        host.restart_detected_at = Some(now).filter(|_| is_restarted);
        if is_restarted {
            host.restart_cold_budget(now, TRIALS_TO_RECOVER, work);
        }
        let how = if is_restarted { " as a new process" } else { "" };
        self.log(format!("host {:x} readmitted{how} after {TRIALS_TO_RECOVER} successful trials", id.0));
    }

    /// Ejects a host. At most half of the caches are ejected; parents all may be, since the origin replaces
    /// them.
    fn eject(&mut self, now: Time, id: HostId, cause: EjectionCause, reason: String) {
        let ejected = self.peers(id).filter(|h| h.breaker.is_some()).count() + 1;
        let total = self.peers(id).count() + 1;
        let is_parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let Some(host) = self.hosts.get_mut(&id).filter(|h| h.breaker.is_none()) else { return };
        if is_parent || total == 1 || ejected * 2 <= total {
            host.open_breaker(now, TRIAL_INTERVALS.first, cause);
            self.log(format!("host {:x} ejected: {reason}", id.0));
            self.cancel_in_flight(id);
        }
    }

    /// Other dispatchers report a host, whose process started at `since`, as bad or new, until `until`.
    /// Guards against visits lost before this dispatcher has evidence of its own, and against a cold host to
    /// which all dispatchers return at once. The cost of a wrong report: the host gets trials only, until
    /// enough of them succeed or the report expires, or a cold host's budget.
    pub fn apply_peer_report(
        &mut self,
        now: Time,
        id: HostId,
        since: Option<Time>,
        condition: ReportedCondition,
        until: Time,
    ) {
        let incoming = IncomingReport { host: id, since, condition, expires_at: until };
        match self.record_peer_report(now, incoming) {
            ReportEffect::Ignored => return,
            ReportEffect::Retracted => return self.allow_trial(now, id),
            ReportEffect::InForce => {}
        }
        match condition {
            ReportedCondition::Restarted => self.apply_reported_restart(now, id),
            ReportedCondition::Bad => self.eject_if_unproven(now, id),
        }
        self.spread_trials(now, id);
    }

    fn apply_reported_restart(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if let Some(breaker) = &mut host.breaker {
            breaker.next_trial_at = breaker.next_trial_at.min(now);
        }
        host.restart_cold_budget(now, 0, 0.0);
    }

    /// Ejects a host that others report as bad, unless own successes contradict them.
    fn eject_if_unproven(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get(&id) else { return };
        let has_own_success = host.last_success_at.is_some_and(|at| now < at + OWN_SUCCESS_VALIDITY);
        if !has_own_success && !host.peer_report.is_some_and(|report| report.is_refuted(now)) {
            let reason = "reported as bad by other dispatchers".into();
            self.eject(now, id, EjectionCause::Reported, reason);
        }
    }

    /// Spreads the first trial of a host that others report as bad over the longest interval. Guards against
    /// visits lost to trials of all dispatchers at once. The cost of a wrong report: the trial comes seconds
    /// later.
    fn spread_trials(&mut self, now: Time, id: HostId) {
        let longest = self.reported_trial_intervals().longest;
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.is_reported_bad(now)) else { return };
        let is_new = |breaker: &&mut OpenBreaker| {
            breaker.trials_passed == 0 && breaker.trial_interval < TRIAL_INTERVALS.longest
        };
        let Some(breaker) = host.breaker.as_mut().filter(is_new) else { return };
        let first = now + longest.times(self.rng.gen_range(REPORTED_TRIAL_DELAY_MIN..1.0));
        (breaker.trial_interval, breaker.next_trial_at) = (longest, breaker.next_trial_at.max(first));
    }

    /// Bounds of the interval between trials of a host that others report as bad too: longer, as they also
    /// try it.
    fn reported_trial_intervals(&self) -> TrialIntervals {
        let growth = self.settings.location_share_count().clamp(1.0, REPORTED_TRIAL_GROWTH_MAX);
        TrialIntervals { longest: TRIAL_INTERVALS.longest.times(growth), ..TRIAL_INTERVALS }
    }

    /// Other dispatchers retract a report because they succeeded: one own successful trial is enough now.
    fn allow_trial(&mut self, now: Time, id: HostId) {
        let Some(breaker) = self.hosts.get_mut(&id).and_then(|host| host.breaker.as_mut()) else { return };
        (breaker.next_trial_at, breaker.trial_interval) =
            (breaker.next_trial_at.min(now), TRIAL_INTERVALS.first);
        breaker.trials_passed = breaker.trials_passed.max(TRIALS_TO_RECOVER - 1);
    }

    /// Readmits a host that was ejected by an expired report alone. Guards against acting on outdated
    /// reports.
    fn readmit_after_report(&mut self, now: Time, id: HostId) {
        let is_expired = self.remove_expired_report(now, id);
        let Some(host) = self.hosts.get_mut(&id).filter(|_| is_expired) else { return };
        if let Some(breaker) = &mut host.breaker {
            breaker.cap_trial_interval(now, TRIAL_INTERVALS.longest);
        }
        if host.breaker.take_if(|breaker| breaker.cause == EjectionCause::Reported).is_some() {
            self.log(format!("host {:x} readmitted: the report of other dispatchers has expired", id.0));
        }
    }

    /// Ejects silent hosts. Phi accrual: a host is silent when its present silence is very unlikely given its
    /// earlier answer gaps.
    fn detect_silent_hosts(&mut self, now: Time) {
        let phi = |h: &Host| {
            let first_gap_min = FIRST_ANSWER_GAP_MIN_SECONDS / f64::from(h.answer_gap.sample_count.max(1));
            h.phi(now, ANSWER_GAP_MIN_SECONDS.max(first_gap_min))
        };
        let is_waiting =
            |h: &&Host| h.in_flight > 0 && h.breaker.is_none() && h.time_since_answer(now) > SILENCE_MIN;
        let silent = self
            .hosts
            .values()
            .filter(is_waiting)
            .filter(|h| phi(h) > SILENCE_PHI_THRESHOLD && !self.is_origin(h));
        let silent: Vec<(HostId, f64)> = silent.map(|h| (h.entry.host, phi(h))).collect();
        for (id, phi) in silent {
            self.eject(now, id, EjectionCause::Silent, format!("no answers, phi {phi:.1}"));
        }
    }

    /// Probes the load of sources, those first whose last report is oldest. Each visit pays for a part of a
    /// probe: guards against many dispatchers with little traffic that send more probes than requests.
    fn send_probes(&mut self) {
        if !self.settings.can_probe {
            return;
        }
        let sources =
            self.hosts.values().filter(|h| h.is_ready() && (self.is_parent(h) || self.is_origin(h)));
        let mut sources: Vec<_> =
            sources.map(|h| (h.reported_load.map(|report| report.reported_at), h.entry.host)).collect();
        sources.sort();
        let paid = sources.into_iter().take_while(|_| self.probe_budget.try_take(1.0));
        self.decisions.extend(paid.map(|(_, host)| Decision::Probe { host }));
    }

    /// Updates averages and limits once a second.
    fn each_second(&mut self, now: Time) {
        self.hosts.retain(|_, host| !host.is_gone() || host.in_flight > 0);
        for host in self.hosts.values_mut() {
            host.completed_work_rate.push(std::mem::take(&mut host.completed_work), 0.2);
        }
        self.record_overdue_fills(now);
        self.send_probes();
        self.update_max_origin_limit();
        self.adjust_fill_limits();
        self.timers.push(now + SECOND, Timer::EverySecond);
    }
}

/// The load last reported, if there was a report within `validity`.
fn current_load(report: Option<LoadReport>, now: Time, validity: Span) -> Option<f64> {
    report.and_then(|report| report.current(now, validity))
}
