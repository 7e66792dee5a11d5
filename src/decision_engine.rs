//! All decisions of a dispatcher.
//!
//! The caller calls `new` once, then `update_hosts`, `visit_arrived`, `hand_off_ended`, `close_visit`,
//! `record_purge`, `probe_answered` and `tick` as events happen; these only update state. After each batch of
//! events it pulls decisions with `next_decision` until there is none. The values are in `calls`, the settings in `settings`. The ordinary path is the
//! semi-hashing rule of Ni et al.; docs/design.md lists every exception to it.
use crate::calls::*;
use crate::containers::MovingAverage;
use crate::ids::*;
use crate::settings::{Effect::*, Group, Settings};
pub use crate::state::DecisionEngine;
use crate::state::{Choice, FillLimiter, Host, OpenBreaker, OpenVisit, SentHandOff, Timer};
use crate::time::{Span, Time};
use rand::Rng;

// Popularity.
/// α: an object is popular if its count is above α·r_ave.
const POPULARITY_ALPHA: f64 = 1.0;
const COUNT_HALF_LIFE: Span = Span::millis(10_000);
pub(crate) const STATS_RETENTION: Span = Span::millis(30_000);
/// Copy priority of objects that are not popular, and of popular ones.
const FILL_RANKS: [u8; 2] = [1, 3];
/// Largest share of all known bytes that the admitted set may have.
const ADMITTED_BYTES_SHARE: f64 = 0.05;
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
/// Lower bounds of the mean answer gap: in general, and divided by the number of gaps seen.
const ANSWER_GAP_MIN_SECONDS: [f64; 2] = [0.02, 0.6];
/// A longer time between two ticks is a pause of this process.
const OWN_PAUSE_MIN: Span = Span::millis(100);
const FAILURE_RATE_MIN: f64 = 0.35;
/// A host is ejected only if its failure rate exceeds its peers' mean by this factor.
const FAILURE_RATIO_TO_PEERS: f64 = 5.0;
const FAILURE_RATE_MIN_ALONE: f64 = 0.75;
/// Weight of one result in a failure rate: of a host, and of a source.
pub(crate) const RESULT_WEIGHT: [f64; 2] = [0.12, 0.15];
/// If this many other hosts failed a visit fast as well, the visit is at fault.
const UNBLAMED_ERROR_HOSTS: usize = 2;
pub(crate) const TRIALS_TO_RECOVER: u32 = 3;
/// How long an own success outweighs reports of other dispatchers.
const OWN_SUCCESS_VALIDITY: Span = Span::millis(300);
/// A host counts as unreachable if it answered nothing for this long before the last evidence.
pub(crate) const UNREACHED_MIN: Span = OWN_SUCCESS_VALIDITY;
/// Shortest and longest interval between trials of an ejected host.
const TRIAL_INTERVALS: [Span; 2] = [Span::millis(500), Span::millis(4_000)];
/// For hosts that others report as bad too: lower bound of the first trial's random delay, as a share of the
/// longest interval, and the largest factor by which that interval grows.
const REPORTED_TRIAL_FACTORS: [f64; 2] = [0.3, 3.0];
// Cold starts.
/// Share of the permitted cold budget that is used.
const COLD_BUDGET_FRACTION: f64 = 0.75;
/// Largest burst, in windows of the budget.
const COLD_BURST_WINDOWS: f64 = 0.2;
/// Largest burst for a single attempt that exceeds `COLD_BURST_WINDOWS`.
const COLD_SINGLE_BURST_WINDOWS: f64 = 0.8;
/// Share of a window within which an attempt to a cold host has to be sent.
const COLD_SEND_WINDOW_FRACTION: f64 = 0.1;
const UNKNOWN_LOAD_MARGIN: f64 = 0.6;
// Concurrency limits of hosts. Latency ratios are relative to the class's target latency.
const HOST_LIMIT_START: f64 = 12.0;
const HOST_LIMIT_PER_TRANSFER: f64 = 2.0;
/// Factor of the square root of a limit that is added to it.
const HOST_LIMIT_SLACK: f64 = 0.7;
const HOST_LIMIT_MIN: f64 = 2.0;
/// Latency relative to the best one up to which a limit may grow.
const SLOWDOWN_MAX: f64 = 1.1;
const HIT_LATENCY_RATIO_MAX: f64 = 0.45;
// Fills. Latency ratios are relative to the class's target latency.
const FILLS_PER_TRANSFER: f64 = 1.75;
/// Limit on fills where the capacity of the link is not configured.
const FILL_LIMIT_START: f64 = 12.0;
const FILL_LATENCY_RATIO_MAX: f64 = 0.4;
/// Largest share of the fill limit at a single parent.
const PARENT_FILL_SHARE_MAX: f64 = 0.5;
const PARENT_LATENCY_RATIO_MAX: f64 = 0.3;
/// Fill latency of a parent relative to its best one up to which it gets all its fills.
const PARENT_SLOWDOWN_MAX: f64 = 1.3;
/// Assumed share of fills that reach the origin, before any is known.
pub(crate) const ORIGIN_RATE_START: f64 = 0.3;
const FILL_LIMIT_MIN: f64 = 0.1;
/// A latency sample's weight is the time since the previous one over this, within bounds.
const FULL_WEIGHT_SECONDS: f64 = 4.0;
const ORIGIN_LATENCY_RATIO_MAX: f64 = 0.8;
/// Reported link load above which caches are asked for cached copies only.
const LINK_LOAD_MAX: f64 = 3.0;
const LOAD_TARGET: f64 = 0.8;
const LOAD_REPORT_VALIDITY: Span = Span::millis(4_000);
const LOAD_ESTIMATE_MIN: f64 = 0.2;
/// Load assumed for a host that does not answer a probe.
const LOAD_IF_SILENT: f64 = 4.0;
const FILL_ADMISSION_GROWTH_MAX: f64 = 1.25;
const FILL_ADMISSION_MIN: f64 = 0.02;
const PROBES_PER_VISIT: f64 = 0.75;
const PROBE_BURST: f64 = 12.0;
const LINK_REPORT_VALIDITY: Span = Span::millis(1_500);
/// Assumed miss rates: of parts not known to be cached, and of those known to be.
const MISS_RATES_START: [f64; 2] = [0.7, 0.1];
/// Share of the target latency for which a visit waits for another one's fill.
const FILL_WAIT_FRACTION: f64 = 0.5;
/// Latency ratio that a failed fill counts as.
const FAILURE_LATENCY_RATIO: f64 = 10.0;
/// Failures within this time are the host's own or the visit's; later ones may be the source's.
const FAST_FAILURE_MAX: Span = Span::millis(60);
/// Weight of an answer for its source where it is unknown whether it was a fill.
const UNCERTAIN_FILL_WEIGHT: f64 = 0.1;

impl DecisionEngine {
    /// A decision module with an empty list of hosts.
    pub fn new(settings: Settings, seed: u64, now: Time) -> DecisionEngine {
        let mut engine = DecisionEngine::with_settings(settings, seed);
        engine.retry_budget.level = RETRY_BURST;
        let link = engine.settings.location_link_transfers();
        let fills = link.map_or(FILL_LIMIT_START, |transfers| FILLS_PER_TRANSFER * transfers);
        engine.fill_limiter.limit = fills / engine.settings.location_share_count();
        engine.fill_limiter.max_limit = link.map_or(f64::INFINITY, |_| engine.fill_limiter.limit);
        (engine.origin_limiter.limit, engine.origin_limiter.max_limit) =
            (engine.fill_limiter.limit, f64::INFINITY);
        (engine.fill_limiter.max_latency_ratio, engine.origin_limiter.max_latency_ratio) =
            (FILL_LATENCY_RATIO_MAX, ORIGIN_LATENCY_RATIO_MAX);
        (engine.fill_limiter.log_latency_ratio.value, engine.origin_limiter.log_latency_ratio.value) =
            (FILL_LATENCY_RATIO_MAX.ln(), ORIGIN_LATENCY_RATIO_MAX.ln());
        engine.timers.push(now + COUNT_HALF_LIFE, Timer::DecayCounts);
        engine.timers.push(now + SECOND, Timer::EverySecond);
        engine.decisions.push_back(Decision::Wake { after: TICK_INTERVAL });
        engine
    }

    /// A visit has arrived.
    pub fn visit_arrived(&mut self, now: Time, visit: Visit) {
        let is_popular = self.is_popular(now, &visit);
        self.retry_budget.level = (self.retry_budget.level + RETRIES_PER_VISIT).min(RETRY_BURST);
        self.probe_budget.level = (self.probe_budget.level + PROBES_PER_VISIT).min(PROBE_BURST);
        let stats_and_size = self.class_stats.get_mut(usize::from(visit.class.0)).zip(visit.kilobytes);
        stats_and_size.into_iter().for_each(|(seen, kb)| seen.kilobytes.push(kb, 0.01));
        self.visits.insert(visit.id, OpenVisit::new(visit, is_popular, now));
        self.timers.push(visit.deadline - ANSWER_MARGIN, Timer::Deadline(visit.id));
        self.undecided.push_back(visit.id);
    }

    /// A hand-off has ended.
    pub fn hand_off_ended(&mut self, now: Time, end: HandOffEnd) {
        let Some(sent) = self.in_flight.remove(&(end.visit, end.number)) else { return };
        let by_cache = self.hosts.get(&sent.host).is_some_and(|h| self.is_cache(h));
        self.fill_limiter.reported_link_load = end
            .report
            .link_load
            .filter(|_| by_cache)
            .map(|full| (now, full))
            .or(self.fill_limiter.reported_link_load);
        self.update_host_stats(now, &sent, &end);
        self.attribute_errors(now, &sent, &end);
        if end.outcome == Outcome::Served && sent.host == sent.copy.2 {
            self.cached_copies.entry(sent.copy).or_default().confirmed_at = Some(now);
        }
        if end.is_final {
            return self.close_visit(end.visit);
        }
        let Some(open) = self.visits.get_mut(&end.visit) else { return };
        open.in_flight = open.in_flight.saturating_sub(1);
        if !end.outcome.is_not_executed() && open.first_possible_run.is_none_or(|(at, _)| sent.sent_at < at) {
            open.first_possible_run = Some((sent.sent_at, sent.host));
        }
        open.has_parent_missed = end.outcome == Outcome::Miss && sent.is_cached_only;
        open.has_cache_missed =
            open.has_parent_missed || end.outcome == Outcome::Miss && sent.source.is_none();
        if !open.has_cache_missed && end.outcome != Outcome::NotSent {
            let source = sent.source.filter(|_| is_source_at_fault(&end));
            open.failed_hosts.push(source.unwrap_or(sent.host));
        }
        self.undecided.extend((open.in_flight == 0).then_some(end.visit));
    }

    /// Counts a fast error against its host only once the visit succeeds elsewhere. Guards against visits
    /// that no host can serve: after the third host's error they end, no host is blamed, and the retries are
    /// returned to the budget. The cost: if three hosts are at fault it is detected late.
    fn attribute_errors(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let is_ejected = self.hosts.get(&sent.host).is_some_and(|h| h.breaker.is_some());
        let Some(open) = self.visits.get_mut(&end.visit).filter(|_| !is_ejected) else { return };
        if is_fast_error(end) {
            let others = open.unattributed_errors.iter().filter(|other| other.host != sent.host).count();
            open.unattributed_errors
                .push(SentHandOff { source: sent.source.filter(|_| end.note == Note::Unspecified), ..*sent });
            open.hand_offs = if others >= UNBLAMED_ERROR_HOSTS { u8::MAX } else { open.hand_offs };
        } else if matches!(end.outcome, Outcome::Served | Outcome::Miss) {
            for sent in std::mem::take(&mut open.unattributed_errors) {
                self.record_health(now, sent.sent_at, sent.host, true, RESULT_WEIGHT[0]);
                sent.source
                    .into_iter()
                    .for_each(|id| self.record_health(now, sent.sent_at, id, true, RESULT_WEIGHT[1]));
            }
        }
    }

    /// Runs due timers; called when the time of `Decision::Wake` has passed.
    pub fn tick(&mut self, now: Time) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Timer::Deadline(id) => self.finish_unserved(id),
                Timer::DecayCounts => {
                    self.popularity.decay(now - STATS_RETENTION);
                    self.cached_copies.retain(|_, c| {
                        c.fills_in_flight > 0 || c.confirmed_at.is_some_and(|at| now < at + STATS_RETENTION)
                    });
                    self.timers.push(now + COUNT_HALF_LIFE, Timer::DecayCounts);
                }
                Timer::EverySecond => self.each_second(now),
                Timer::PeerReport(id) => self.expire_report(now, id),
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

    /// The next decision, or `None` until there is another event.
    pub fn next_decision(&mut self, now: Time) -> Option<Decision> {
        while self.decisions.is_empty() {
            let id = self.undecided.pop_front()?;
            self.decide(now, id);
        }
        self.decisions.pop_front()
    }

    /// Counts r_i and returns whether the object is popular: r_i > α·r_ave over the admitted set, or the set
    /// is empty. The set's bytes are limited to a share of all known bytes.
    fn is_popular(&mut self, now: Time, visit: &Visit) -> bool {
        let bytes = visit
            .kilobytes
            .unwrap_or_else(|| self.transfer_seconds(visit.class) * self.settings.transfer_kb_per_s);
        let popularity = &mut self.popularity;
        popularity.record_visit(now, visit.object, visit.part, bytes);
        let Some(stats) = popularity.objects.get(&visit.object) else { return false };
        if popularity.admitted_objects > 0
            && stats.visits <= POPULARITY_ALPHA * popularity.mean_admitted_visits()
        {
            return false;
        }
        let fits =
            popularity.admitted_bytes + stats.known_bytes <= ADMITTED_BYTES_SHARE * popularity.known_bytes;
        let is_admitted = stats.is_admitted || popularity.admitted_objects == 0 || fits;
        if is_admitted {
            popularity.admit(visit.object);
        }
        is_admitted
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
        let Some((first, _)) = open.first_possible_run else { return last };
        match self.class_settings(open.visit.class).map(|class| class.effect) {
            Some(Idempotent) => last,
            Some(Deduplicated { retention, .. }) => last.min(first + retention - ANSWER_MARGIN),
            _ => Time::default(),
        }
    }

    /// Whether a host has not failed the visit yet, and deduplicates it if it may have been executed.
    fn is_eligible(&self, open: &OpenVisit, host: HostId) -> bool {
        if open.failed_hosts.contains(&host) {
            return false;
        }
        let Some((_, first)) = open.first_possible_run else { return true };
        let both = self.hosts.get(&first).zip(self.hosts.get(&host));
        let match_by = |same: fn(&Host, &Host) -> bool| both.is_some_and(|(a, b)| same(a, b));
        match self.class_settings(open.visit.class).map(|class| class.effect) {
            Some(Deduplicated { group: Group::Location, .. }) => {
                match_by(|a, b| a.entry.location == b.entry.location)
            }
            Some(Deduplicated { group: Group::Cell, .. }) => match_by(|a, b| a.entry.cell == b.entry.cell),
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
        host.reported_load = Some((now, load));
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
        let is_eligible = |host: &HostId| self.is_eligible(open, *host);
        // Beyond the designated cache parts are hashed separately, so that a large object does not overload
        // the next cache as well.
        let designated = self.hosts_by_hash(visit.object.0, |h| self.is_cache(h)).first().copied();
        let mut caches =
            self.hosts_by_hash(visit.object.0 ^ (u64::from(visit.part) + 1) << 52, |h| self.is_cache(h));
        let alternative = caches.iter().copied().find(|c| Some(*c) != designated);
        let alternative = alternative.filter(|own| {
            is_popular && designated.is_some_and(|h| self.utilization(*own) < self.utilization(h))
        });
        caches.sort_by_key(|cache| (Some(*cache) != alternative, Some(*cache) != designated));
        caches.retain(is_eligible);
        let mut sources = self.hosts_by_hash(self.parent_key(&visit), |h| self.is_parent(h));
        sources.retain(is_eligible);
        let origin = self.hosts_by_hash(visit.object.0, |h| self.is_origin(h)).into_iter().find(is_eligible);
        // Guards against an origin that is slow, full or down: without capacity there the parent is asked for
        // cached copies only, so that its hits continue and the origin keeps capacity for writes and
        // recovery.
        let origin_admits = self.admits_to_origin(now, f64::from(has_parent_missed));
        let may_reach_origin = origin_admits
            && (!self.origin_limiter.exceeds_max_latency()
                || self.admits(self.origin_limiter.limit - self.origin_limiter.expected_fills));
        sources.extend(origin.filter(|_| may_reach_origin));
        let work = self.cold_cost(visit.class);
        let (rank, may_join) = (FILL_RANKS[usize::from(is_popular)], self.settings.joins_fills);
        let refresh_stale =
            self.class_settings(visit.class).is_some_and(|class| class.fresh_for > Span::ZERO);
        let has_no_caches = caches.is_empty();
        let mut cache =
            caches.iter().copied().find(|c| self.has_room(now, *c) && self.can_send(now, *c, work));
        // A cache that fails sometimes is better than none, where no other takes the visit.
        if cache.is_none() {
            let is_unreliable = |b: &DecisionEngine, c| {
                b.hosts[&c].failure_rate.value > FAILURE_RATE_MIN && b.cold_budget(now, c).is_none()
            };
            cache = caches.into_iter().find(|c| is_unreliable(self, *c) && self.has_room(now, *c));
        }
        if !has_no_caches && cache.is_none() {
            return Choice::GiveUp;
        }
        // A fill in flight is joined or waited for. Guards against transferring the same bytes twice.
        let is_fill_in_flight = cache.is_some_and(|cache| self.is_fill_in_flight(now, &visit, cache));
        let max_wait = self
            .class_settings(visit.class)
            .map_or(Span::ZERO, |class| class.target_latency.times(FILL_WAIT_FRACTION));
        if is_fill_in_flight && !may_join && now < arrived_at + max_wait {
            return Choice::Wait;
        }
        // Guards against congestion behind the caches (a full link, overloaded parents, no capacity for
        // fills): beyond the limit a cache is asked for cached copies only, so that hits continue. The cost
        // is one more hand-off for each miss.
        let is_link_congested = self
            .fill_limiter
            .reported_link_load
            .is_some_and(|(at, full)| now < at + LINK_REPORT_VALIDITY && full > LINK_LOAD_MAX);
        let may_fill = (may_reach_origin || !has_parent_missed)
            && (is_fill_in_flight && may_join
                || !is_link_congested
                    && self.admits(self.fill_limiter.limit - self.fill_limiter.expected_fills));
        let source =
            sources.into_iter().find(|s| may_fill && self.admits_fill(*s) && self.can_send(now, *s, work));
        let is_cached_only = source.is_some() && !may_reach_origin;
        let max_age = self.max_copy_age(now, &visit, source.is_some() && may_reach_origin);
        match (cache, source) {
            (_, None) if has_cache_missed => Choice::GiveUp,
            (Some(cache), source) => {
                self.fill_limiter.restricted_count += u32::from(source.is_none());
                self.origin_limiter.restricted_count += u32::from(is_cached_only);
                let source = source.unwrap_or(cache);
                Choice::HandOff(
                    cache,
                    Some(Fill {
                        source,
                        rank,
                        max_age,
                        may_join,
                        refresh_stale,
                        cached_only: is_cached_only,
                    }),
                )
            }
            (None, Some(host)) if self.settings.may_bypass_caches && has_no_caches && origin_admits => {
                let source = origin.unwrap_or(host);
                Choice::HandOff(
                    host,
                    Some(Fill {
                        source,
                        rank: 0,
                        max_age,
                        may_join,
                        refresh_stale: false,
                        cached_only: false,
                    }),
                )
            }
            _ => Choice::GiveUp,
        }
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
        let fill = Fill {
            source,
            rank: 0,
            max_age: Span::ZERO,
            may_join: false,
            refresh_stale: false,
            cached_only: false,
        };
        let work = self.cold_cost(visit.class);
        let cache = caches.into_iter().find(|cache| self.can_send(now, *cache, work));
        cache.map_or(Choice::GiveUp, |cache| Choice::HandOff(cache, Some(fill)))
    }

    fn hand_off(&mut self, now: Time, id: VisitId, host: HostId, fill: Option<Fill>) {
        let Some(open) = self.visits.get(&id) else { return };
        let (visit, send_before) = (open.visit, self.latest_hand_off(open));
        let (copy, times_out_at) = ((visit.object, visit.part, host), visit.deadline - ANSWER_MARGIN);
        let was_cached = self.is_known_cached(now, &visit, host);
        let start = MISS_RATES_START[usize::from(was_cached)];
        let miss_rate =
            self.hosts.get(&host).map_or(start, |h| h.miss_rates[usize::from(was_cached)].value_or(start));
        let source = fill.map(|fill| fill.source).filter(|source| *source != host);
        let to_origin = source.and_then(|id| self.hosts.get(&id)).is_some_and(|h| self.is_origin(h));
        let joins_fill = self.settings.joins_fills && self.is_fill_in_flight(now, &visit, host);
        let work = self.cold_cost(visit.class);
        let Some(open) = self.visits.get_mut(&id) else { return };
        let number = HandOffNumber(open.hand_offs);
        open.hand_offs += 1;
        open.in_flight += 1;
        let is_certain =
            std::mem::take(&mut open.has_cache_missed) || fill.is_some_and(|fill| fill.rank == 0);
        let has_parent_missed = std::mem::take(&mut open.has_parent_missed);
        let miss_probability = if is_certain { 1.0 } else { miss_rate };
        let fill_probability = if source.is_none() || joins_fill { 0.0 } else { miss_probability };
        let is_trial_due =
            self.hosts.get(&host).and_then(|h| h.breaker).is_none_or(|breaker| now >= breaker.next_trial_at);
        let trial_sent_at = if is_trial_due { now } else { Time::default() };
        for id in [Some(host), source].into_iter().flatten() {
            let Some(loaded) = self.hosts.get_mut(&id) else { continue };
            loaded.cold_bucket.level -= work;
            loaded
                .breaker
                .iter_mut()
                .filter(|s| now >= s.next_trial_at)
                .for_each(|s| s.next_trial_at = now + s.trial_interval);
        }
        // Guards against attempts that wait for connections and then reach a cold host within one window.
        let waits =
            [Some(host), source].into_iter().flatten().filter_map(|id| self.total_cold_budget(now, id));
        let send_before = waits.fold(send_before, |at, (_, window)| {
            at.min(now + Span::seconds(COLD_SEND_WINDOW_FRACTION * window))
        });
        let is_cached_only = fill.is_some_and(|fill| fill.cached_only);
        let origin_rate = if has_parent_missed || to_origin {
            1.0
        } else {
            self.origin_limiter.origin_rate.value_or(ORIGIN_RATE_START)
        };
        let origin_probability = if is_cached_only { 0.0 } else { fill_probability * origin_rate };
        let (is_first_fill, class) = (!was_cached && fill_probability > 0.0, visit.class);
        let sent = SentHandOff {
            sent_at: now,
            trial_sent_at,
            host,
            source,
            class,
            copy,
            was_cached,
            is_first_fill,
            fill_probability,
            origin_probability,
            is_cached_only,
        };
        self.count_in_flight(&sent, 1);
        self.in_flight.insert((id, number), sent);
        self.decisions.push_back(Decision::HandOff { visit: id, host, times_out_at, send_before, fill });
    }

    /// Maximum age of a copy, zero for any age. Once the object was purged it is the time since then, and
    /// never zero, since a stalled host may not have dropped older copies. While purges may have been missed
    /// it is at most the time in which a purge has to be obeyed. Guards rule 5.
    fn max_copy_age(&self, now: Time, visit: &Visit, filled: bool) -> Span {
        let Some(class) = self.class_settings(visit.class) else { return Span::ZERO };
        let max_age = if filled { class.fresh_for } else { class.fresh_for + class.stale_for };
        let max_age = Some(max_age).filter(|_| class.fresh_for > Span::ZERO);
        let purge = self.purges.latest(visit.group, visit.object);
        let since_purge = purge.map(|at| (now - at).max(Span(1)));
        let while_unverified = self.unverified_max_age.into_iter().chain(self.log_silence_max_age);
        since_purge.into_iter().chain(max_age).chain(while_unverified).min().unwrap_or(Span::ZERO)
    }

    /// Whether a host may be sent one more visit now: not ejected, or due for a trial, and within its cold
    /// budget.
    fn can_send(&mut self, now: Time, id: HostId, work: f64) -> bool {
        if let Some((rate, window)) = self.cold_budget(now, id) {
            // A level below one attempt is a probability, spent whether or not it admits: so the parts of
            // many dispatchers hold in total.
            let max = (rate * window * COLD_BURST_WINDOWS)
                .max((rate * window * COLD_SINGLE_BURST_WINDOWS).min(work));
            let level = self.hosts.get_mut(&id).map_or(0.0, |h| h.cold_bucket.refill(now, rate, max));
            let is_admitted = self.admits(level / work);
            if let Some(host) = self.hosts.get_mut(&id).filter(|_| level < work) {
                host.cold_bucket.level = if is_admitted { work } else { level.min(0.0) };
                host.cold_usage.refused += if is_admitted { 0.0 } else { work };
            }
            if !is_admitted {
                return false;
            }
        }
        self.hosts.get(&id).is_some_and(|h| h.breaker.is_none_or(|breaker| now >= breaker.next_trial_at))
    }

    /// Budget of this dispatcher for a cold host, in seconds of transfer time a second, and its window in
    /// seconds: a part of `overload_factor` x present capacity, which rises linearly from the initial share. Guards
    /// rule 4.
    pub(crate) fn cold_budget(&self, now: Time, id: HostId) -> Option<(f64, f64)> {
        let (total, window) = self.total_cold_budget(now, id)?;
        Some((self.cold_allotment(now, id, total), window))
    }

    /// Budget of all dispatchers together, by the host's age half a window ago, since the bound applies to
    /// the beginning of a window.
    pub(crate) fn total_cold_budget(&self, now: Time, id: HostId) -> Option<(f64, f64)> {
        let host = self.hosts.get(&id)?;
        let rules = if self.is_parent(host) { self.settings.cold_parent } else { self.settings.cold_cache };
        let age = host.process_age(now).filter(|age| *age < rules.ramp)?;
        let (window, ramp) = (rules.overload_window.as_seconds(), rules.ramp.as_seconds());
        let capacity_share = rules.initial_share
            + (1.0 - rules.initial_share) * (age.as_seconds() - window / 2.0).max(0.0) / ramp;
        Some((COLD_BUDGET_FRACTION * rules.overload_factor * capacity_share * self.capacity(host), window))
    }

    /// Whether a source gets this fill. One whose fills take too much of the target latency, and longer than
    /// its best, gets a proportional share of them, and the next source the rest. Guards against slow or
    /// overloaded parents. The cost: the next source starts without a copy of the object.
    fn admits_fill(&mut self, id: HostId) -> bool {
        let known = self.hosts.get(&id);
        let part = known.map_or(1.0, |h| h.fill_admission);
        let slowdown = known.map_or(0.0, |h| {
            h.log_latency_ratio.value.exp()
                / PARENT_LATENCY_RATIO_MAX.max(PARENT_SLOWDOWN_MAX * h.latency_gradient.best())
        });
        let is_at_limit = known.is_some_and(|h| {
            h.expected_fills >= 1.0 && h.expected_fills > PARENT_FILL_SHARE_MAX * self.fill_limiter.limit
        });
        !is_at_limit && self.admits(part / slowdown.max(1.0))
    }

    /// Whether a cache takes one more: it reports spare capacity, or the limit leaves some. Guards against
    /// visits that leave their designated cache because this dispatcher's share of its limit is below one.
    /// The cost: a cache may become full while its last report still counts.
    fn has_room(&mut self, now: Time, id: HostId) -> bool {
        let Some(host) = self.hosts.get(&id) else { return false };
        let has_spare_capacity = host
            .reported_load
            .is_some_and(|(at, load)| now < at + LOAD_REPORT_VALIDITY && load < LOAD_TARGET);
        let room = self.limit(host).max(1.0) - f64::from(host.in_flight);
        has_spare_capacity || self.admits(room)
    }

    /// The limit on hand-offs in flight at a host. It is capped by what the listed weight can serve in time,
    /// since the gradient finds no limit for a host that was always overloaded.
    pub(crate) fn limit(&self, host: &Host) -> f64 {
        let has_weights = self.settings.has_weights;
        let whole = if has_weights { HOST_LIMIT_PER_TRANSFER * host.entry.weight } else { HOST_LIMIT_START };
        let share = whole / self.settings.location_share_count();
        let start = if has_weights { share + HOST_LIMIT_SLACK * share.sqrt() } else { share };
        let max = if has_weights { start } else { f64::INFINITY };
        Some(host.latency_gradient.limit).filter(|limit| *limit > 0.0).map_or(start, |limit| limit.min(max))
    }

    /// A host's capacity in transfers: as listed, else estimated by what its peers carry, less a margin.
    fn capacity(&self, host: &Host) -> f64 {
        if self.settings.has_weights {
            return host.entry.weight;
        }
        let peers = || self.peers(host.entry.host);
        if let (true, Some(transfers)) = (self.is_parent(host), self.settings.all_links_transfers()) {
            return transfers / (peers().count() + 1) as f64;
        }
        let senders = if self.is_parent(host) {
            f64::from(self.settings.dispatchers)
        } else {
            self.settings.location_share_count()
        };
        let carried = peers().map(|h| h.completed_work_rate.value).sum::<f64>();
        // Reported loads scale what is carried up to full capacity; for peers without a report a fixed margin
        // is assumed.
        let load = |h: &Host| {
            h.reported_load.map_or(1.0 / UNKNOWN_LOAD_MARGIN, |(_, load)| load.clamp(LOAD_ESTIMATE_MIN, 1.0))
        };
        let load = peers().map(load).sum::<f64>();
        (carried * senders / load.max(LOAD_ESTIMATE_MIN)).max(1.0)
    }

    /// Updates what is known of the host by the end of a hand-off.
    fn update_host_stats(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd) {
        let has_failed = matches!(
            end.outcome,
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset
        );
        let (is_served, has_no_note) = (end.outcome == Outcome::Served, end.note == Note::Unspecified);
        let is_fill = matches!(end.note, Note::Filled | Note::FilledByOrigin | Note::Joined);
        let took = end.duration.as_seconds();
        let latency_ratio =
            took / self.class_settings(sent.class).map_or(SECOND, |class| class.target_latency).as_seconds();
        let mut slowdown = None;
        if is_served && !is_fill {
            let seen = self.class_stats.get_mut(usize::from(sent.class.0));
            seen.into_iter().for_each(|seen| seen.transfer_seconds.push(took, 0.02));
            slowdown = self.popularity.slowdown(sent.copy.0, end.duration);
        }
        let (work, sharers) = (self.transfer_seconds(sent.class), self.settings.location_share_count());
        let limit = self.hosts.get(&sent.host).map_or(HOST_LIMIT_MIN, |h| self.limit(h));
        let mut is_repeat = false;
        if let Some(host) = self.hosts.get_mut(&sent.host) {
            // A broken connection counts once, however many hand-offs were in flight on it.
            is_repeat =
                end.outcome == Outcome::Reset && std::mem::replace(&mut host.last_reset_at, now) == now;
            is_repeat |= is_fast_error(end) && host.breaker.is_none();
            let is_refused = end.outcome == Outcome::ConnectFailed && end.duration <= FAST_FAILURE_MAX;
            let has_answered =
                matches!(end.outcome, Outcome::Served | Outcome::Error | Outcome::Full | Outcome::Miss);
            host.is_connection_broken = end.outcome == Outcome::Reset
                || is_refused
                || host.is_connection_broken && (host.breaker.is_some() || !has_answered);
            if has_answered {
                host.answer_gap.push(host.time_since_answer(now).as_seconds(), 0.05);
                host.record_answer(now, sent.sent_at);
            }
            host.reported_load = end.report.load.map(|busy| (now, busy)).or(host.reported_load);
            host.completed_work += if is_served { work } else { 0.0 };
            // Without notes only hand-offs that ask for cached copies are counted: served ones are hits, and
            // counting misses alone would make all answers seem fills.
            if is_served && (!has_no_note || sent.source.is_none()) || end.outcome == Outcome::Miss {
                host.miss_rates[usize::from(sent.was_cached)]
                    .push(f64::from(is_fill || end.outcome == Outcome::Miss), 0.05);
            }
            if let Some(slowdown) = slowdown {
                host.latency_gradient.push(slowdown, 0.05, 10, 0.0002);
                host.log_latency_ratio.push(latency_ratio.max(0.001).ln(), 0.05);
                let excess = (host.latency_gradient.slowdown() / SLOWDOWN_MAX)
                    .max(host.log_latency_ratio.value.exp() / HIT_LATENCY_RATIO_MAX);
                let in_flight = f64::from(host.in_flight);
                host.latency_gradient.limit =
                    next_limit(limit, excess, in_flight, sharers, 0.05).max(HOST_LIMIT_MIN / sharers);
            }
        }
        self.update_source_stats(now, sent, end, is_fill);
        self.count_in_flight(sent, -1);
        self.refund_unsent(sent, end.outcome);
        if !matches!(end.outcome, Outcome::Cancelled | Outcome::Expired | Outcome::NotSent) && !is_repeat {
            self.record_health(
                now,
                sent.trial_sent_at,
                sent.host,
                has_failed && !is_source_at_fault(end),
                RESULT_WEIGHT[0],
            );
        }
    }

    /// Updates what is known of the source by the end of a hand-off.
    fn update_source_stats(&mut self, now: Time, sent: &SentHandOff, end: &HandOffEnd, is_fill: bool) {
        let (work, cost) = (self.transfer_seconds(sent.class), self.cold_cost(sent.class));
        let (target_seconds, blame) = (self.target_seconds(sent.class), self.origin_blame(sent));
        let Some(source) = sent.source.and_then(|id| self.hosts.get_mut(&id)) else { return };
        let (has_no_note, is_source_at_fault) = (end.note == Note::Unspecified, is_source_at_fault(end));
        let (is_served, has_source_missed) =
            (end.outcome == Outcome::Served, sent.is_cached_only && end.outcome == Outcome::Miss);
        let has_failed =
            matches!(end.outcome, Outcome::Error | Outcome::TimedOut) && has_no_note && !is_fast_error(end);
        // A stale copy is refreshed in the background, by a fill that reaches the source.
        let is_unused =
            !(has_no_note || is_fill || is_source_at_fault || has_source_missed || end.note == Note::Stale);
        source.refund_cold_budget(sent.sent_at, f64::from(is_unused) * cost);
        let by_it = if is_fill { 1.0 } else { sent.fill_probability * f64::from(has_no_note) };
        source.completed_work += if is_served { by_it * work } else { 0.0 };
        let is_certain = is_fill
            || is_source_at_fault
            || has_failed
            || sent.fill_probability == 1.0 && end.outcome != Outcome::Cancelled && !is_fast_error(end);
        let part = if is_certain { 1.0 } else { UNCERTAIN_FILL_WEIGHT };
        let is_source_known = self.settings.reports_fill_source || sent.is_cached_only;
        let origin_share = match end.note {
            Note::FilledByOrigin | Note::OriginFailed => 1.0,
            Note::Filled | Note::Joined if is_source_known => 0.0,
            _ if sent.is_cached_only => f64::from(has_source_missed),
            _ if end.outcome == Outcome::TimedOut => blame,
            _ => sent.origin_probability,
        };
        if is_fill && is_source_known
            || end.note == Note::OriginFailed
            || has_source_missed
            || sent.is_cached_only && is_served && has_no_note
        {
            self.origin_limiter.origin_rate.push(origin_share, 0.05);
        }
        let is_congested = matches!(end.note, Note::NoCapacity | Note::OriginFailed);
        let log_latency = match end.note {
            _ if is_congested || is_source_at_fault || end.outcome == Outcome::TimedOut => {
                Some(FAILURE_LATENCY_RATIO.ln())
            }
            _ if is_served && (is_fill || has_no_note) => {
                Some((end.duration.as_seconds() / target_seconds).max(0.001).ln())
            }
            _ => None,
        };
        // Where notes do not tell the way of a fill, it counts for both limits; fills restricted to cached
        // copies are known to count for the parents.
        let by_parent = f64::from(sent.is_cached_only || origin_share < 1.0);
        let by_origin = f64::from(!sent.is_cached_only && origin_share > 0.0);
        if let Some(log_latency) = log_latency.filter(|_| !is_congested && by_parent > 0.0) {
            source.log_latency_ratio.push(log_latency, 0.3 * part);
            source.latency_gradient.push(log_latency.exp(), 0.05 * part, 10, 0.002);
        }
        // A hit says nothing about a source on trial: only parts not known to be cached count for it.
        let (id, failure_rate, is_on_trial) =
            (source.entry.host, source.failure_rate.value, source.breaker.is_some());
        if is_certain || is_served && has_no_note && !(is_on_trial && sent.was_cached) {
            self.record_health(
                now,
                sent.sent_at,
                id,
                is_source_at_fault || has_failed,
                RESULT_WEIGHT[1] * part,
            );
        }
        // A source that fails alone is handled by its circuit breaker.
        let peers_failure_rate = || self.peers(id).map(|h| h.failure_rate.value).fold(0.0, f64::max);
        if let Some(log_latency) = log_latency.filter(|_| {
            is_congested || is_served || failure_rate <= FAILURE_RATIO_TO_PEERS * peers_failure_rate()
        }) {
            self.update_fill_limits(now, log_latency, part, (by_parent, by_origin));
        }
    }

    /// Adjusts the fill limits by one fill's latency ratio, as a logarithm, finished or so far. Rare samples
    /// weigh more, so that small and large dispatchers adapt at about the same speed.
    fn update_fill_limits(&mut self, now: Time, log_latency: f64, sample_weight: f64, shares: (f64, f64)) {
        let limiters = [(&mut self.fill_limiter, shares.0), (&mut self.origin_limiter, shares.1)];
        for (limiter, share) in limiters.into_iter().filter(|(_, share)| *share > 0.0) {
            let weight = ((now - limiter.updated_at).as_seconds() / FULL_WEIGHT_SECONDS).clamp(0.05, 0.1);
            limiter.updated_at = now;
            limiter.log_latency_ratio.push(log_latency, weight * share * sample_weight);
            adjust_limit(
                limiter,
                limiter.expected_fills,
                self.settings.location_share_count(),
                weight * share,
            );
        }
    }

    /// Share of the blame that the origin has for a fill without a note: all of it if it is the slower part
    /// of the path, else none.
    fn origin_blame(&self, sent: &SentHandOff) -> f64 {
        f64::from(
            !sent.is_cached_only
                && sent.origin_probability > 0.0
                && self.origin_limiter.log_latency_ratio.value > self.fill_limiter.log_latency_ratio.value,
        )
    }

    /// Records a result of a host: ejects it when it fails far more often than its peers, and readmits it
    /// after successful trials. Guards against fast errors, closed ports and broken paths to one host. When
    /// most peers fail alike, the cause is behind them or at this dispatcher, and plain hashing continues.
    fn record_health(&mut self, now: Time, sent: Time, id: HostId, failed: bool, weight: f64) {
        let peers: Vec<f64> =
            self.peers(id).filter(|h| h.breaker.is_none()).map(|h| h.failure_rate.value).collect();
        let peers_failure_rate = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        let threshold = if peers.is_empty() { FAILURE_RATE_MIN_ALONE } else { FAILURE_RATE_MIN };
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.record_result(now, failed, weight);
        let (failure_rate, is_reported) = (host.failure_rate.value, host.is_reported_bad(now));
        let Some(breaker) = host.breaker.as_mut().filter(|breaker| sent >= breaker.opened_at) else {
            let fails_often = host.failure_rate.sample_count >= 4
                && failure_rate > threshold
                && failure_rate > FAILURE_RATIO_TO_PEERS * peers_failure_rate;
            if failed && (fails_often || is_reported) {
                self.open_breaker(
                    now,
                    id,
                    EjectionCause::Failing,
                    format!("failure rate {failure_rate:.2}, mean of its peers {peers_failure_rate:.2}"),
                );
            }
            return;
        };
        breaker.record_trial(
            now,
            failed,
            if is_reported {
                reported_trial_intervals(self.settings.location_share_count())
            } else {
                TRIAL_INTERVALS
            },
        );
        if breaker.trials_passed >= TRIALS_TO_RECOVER {
            (host.breaker, host.failure_rate) = (None, MovingAverage::default());
            host.peer_report
                .iter_mut()
                .for_each(|report| report.own_successes = report.own_successes.max(TRIALS_TO_RECOVER));
            // If its connections broke or were refused, it most likely runs a new process. Guards against
            // overloading a new, cold process before the list shows it. A host that only lost its connections
            // gets a cold host's budget meanwhile.
            let is_restarted = std::mem::take(&mut host.is_connection_broken);
            host.restart_detected_at = Some(now).filter(|_| is_restarted);
            host.restart_detected_at
                .into_iter()
                .for_each(|now| host.restart_cold_budget(now, TRIALS_TO_RECOVER, self.mean_cache_work.value));
            let how = if is_restarted { " as a new process" } else { "" };
            self.log(format!("host {:x} readmitted{how} after {TRIALS_TO_RECOVER} successful trials", id.0));
        }
    }

    /// Ejects a host. At most half of the caches are ejected; parents all may be, since the origin replaces
    /// them.
    fn open_breaker(&mut self, now: Time, id: HostId, cause: EjectionCause, reason: String) {
        let ejected = self.peers(id).filter(|h| h.breaker.is_some()).count() + 1;
        let total = self.peers(id).count() + 1;
        let is_parent = self.hosts.get(&id).is_some_and(|h| self.is_parent(h));
        let Some(host) = self.hosts.get_mut(&id).filter(|h| h.breaker.is_none()) else { return };
        if is_parent || total == 1 || ejected * 2 <= total {
            host.open_breaker(now, TRIAL_INTERVALS[0], cause);
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
        word: ReportedCondition,
        until: Time,
    ) {
        let Some(host) = self.record_peer_report(now, word, (id, since, until)) else { return };
        let has_own_success = host.last_success_at.is_some_and(|at| now < at + OWN_SUCCESS_VALIDITY);
        if word == ReportedCondition::Restarted {
            host.restart_cold_budget(now, 0, 0.0);
        } else if !has_own_success && !host.peer_report.is_some_and(|report| report.is_refuted(now)) {
            self.open_breaker(
                now,
                id,
                EjectionCause::Reported,
                "reported as bad by other dispatchers".into(),
            );
        }
        self.spread_trials(now, id);
    }

    /// Spreads the first trial of a host that others report as bad over the longest interval. Guards against
    /// visits lost to trials of all dispatchers at once. The cost of a wrong report: the trial comes seconds
    /// later.
    fn spread_trials(&mut self, now: Time, id: HostId) {
        let longest = reported_trial_intervals(self.settings.location_share_count())[1];
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.is_reported_bad(now)) else { return };
        let is_new = |breaker: &&mut OpenBreaker| {
            breaker.trials_passed == 0 && breaker.trial_interval < TRIAL_INTERVALS[1]
        };
        let Some(breaker) = host.breaker.as_mut().filter(is_new) else { return };
        let first = now + longest.times(self.rng.gen_range(REPORTED_TRIAL_FACTORS[0]..1.0));
        (breaker.trial_interval, breaker.next_trial_at) = (longest, breaker.next_trial_at.max(first));
    }

    /// Other dispatchers retract a report because they succeeded: one own successful trial is enough now.
    pub(crate) fn retract_peer_report(&mut self, now: Time, id: HostId) {
        let Some(breaker) = self.hosts.get_mut(&id).and_then(|host| host.breaker.as_mut()) else { return };
        (breaker.next_trial_at, breaker.trial_interval) =
            (breaker.next_trial_at.min(now), TRIAL_INTERVALS[0]);
        breaker.trials_passed = breaker.trials_passed.max(TRIALS_TO_RECOVER - 1);
    }

    /// Readmits a host that was ejected by an expired report alone. Guards against acting on outdated
    /// reports.
    fn expire_report(&mut self, now: Time, id: HostId) {
        let is_expired = self.expire_peer_report(now, id);
        let Some(host) = self.hosts.get_mut(&id).filter(|_| is_expired) else { return };
        host.breaker.iter_mut().for_each(|breaker| breaker.cap_trial_interval(now, TRIAL_INTERVALS[1]));
        if host.breaker.take_if(|breaker| breaker.cause == EjectionCause::Reported).is_some() {
            self.log(format!("host {:x} readmitted: the report of other dispatchers has expired", id.0));
        }
    }

    /// Ejects silent hosts. Phi accrual: a host is silent when its present silence is very unlikely given its
    /// earlier answer gaps.
    fn detect_silent_hosts(&mut self, now: Time) {
        let phi = |h: &Host| {
            h.phi(
                now,
                ANSWER_GAP_MIN_SECONDS[0]
                    .max(ANSWER_GAP_MIN_SECONDS[1] / f64::from(h.answer_gap.sample_count.max(1))),
            )
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
            self.open_breaker(now, id, EjectionCause::Silent, format!("no answers, phi {phi:.1}"));
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
            sources.map(|h| (h.reported_load.map(|(at, _)| at), h.entry.host)).collect();
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
        // Guards against fills that hang: overdue ones count before they end.
        let age = |s: &SentHandOff| (now - s.sent_at).as_seconds() / self.target_seconds(s.class);
        let overdue = self.in_flight.values().filter(|s| s.fill_probability > 0.0 && age(s) > 1.0);
        let overdue: Vec<_> =
            overdue.map(|s| (age(s).ln(), s.fill_probability, self.origin_blame(s))).collect();
        for (log_latency, weight, origin_share) in overdue {
            self.update_fill_limits(now, log_latency, weight, (1.0 - origin_share, origin_share));
        }
        self.send_probes();
        let sharers = self.settings.location_share_count();
        // The limit at the origin follows what is typically in flight there, so that load on a slow origin
        // drops at once.
        let origin = &mut self.origin_limiter;
        if !origin.exceeds_max_latency() {
            origin.typical_fills.push(origin.expected_fills, 0.1);
            origin.max_limit =
                2.0 * origin.typical_fills.value + (origin.typical_fills.value / sharers).sqrt();
        }
        for (limiter, subject) in
            [(&mut self.fill_limiter, "fills"), (&mut self.origin_limiter, "origin fills")]
        {
            let is_restricting = std::mem::take(&mut limiter.restricted_count) > 0;
            // Old samples fade, since a restrictive limit leaves few new ones.
            limiter.log_latency_ratio.value -=
                0.1 * (limiter.log_latency_ratio.value - limiter.max_latency_ratio.ln()).max(0.0);
            adjust_limit(
                limiter,
                if is_restricting { limiter.limit } else { limiter.expected_fills },
                sharers,
                0.1,
            );
            if std::mem::replace(&mut limiter.is_restricting, is_restricting) != is_restricting {
                self.decisions.push_back(Decision::Log(limiter.state_line(subject)));
            }
        }
        self.timers.push(now + SECOND, Timer::EverySecond);
    }
}

/// Bounds of the interval between trials of a host that others report as bad too: longer, as they also try
/// it.
fn reported_trial_intervals(sharers: f64) -> [Span; 2] {
    [TRIAL_INTERVALS[0], TRIAL_INTERVALS[1].times(sharers.clamp(1.0, REPORTED_TRIAL_FACTORS[1]))]
}

/// Adjusts a limiter by its average latency.
fn adjust_limit(limiter: &mut FillLimiter, in_flight: f64, sharers: f64, weight: f64) {
    let excess = limiter.log_latency_ratio.value.exp() / limiter.max_latency_ratio;
    limiter.limit = next_limit(limiter.limit, excess, in_flight, sharers, weight)
        .min(limiter.max_limit)
        .max(FILL_LIMIT_MIN);
}

/// Gradient rule: the limit is scaled by 1 / `excess`, and has room to grow. `excess` is the present latency
/// over the permitted one. The limit is one of `sharers` parts of a total, and so is its room to grow.
fn next_limit(limit: f64, excess: f64, in_flight: f64, sharers: f64, weight: f64) -> f64 {
    let gradient = (1.0 / excess).clamp(0.5, 1.0);
    if gradient == 1.0 && in_flight <= limit / 2.0 {
        return limit;
    }
    let target = gradient * limit + (limit / sharers).sqrt();
    limit + weight * (target - limit)
}

/// Whether an attempt ended with a fast error, for which the visit itself may be at fault.
fn is_fast_error(end: &HandOffEnd) -> bool {
    end.outcome == Outcome::Error && end.duration <= FAST_FAILURE_MAX && !is_source_at_fault(end)
}

/// Whether the source is at fault, not the host: by the note, or by the time that a refusal took.
fn is_source_at_fault(end: &HandOffEnd) -> bool {
    let is_slow_refusal =
        end.outcome == Outcome::Full && end.note == Note::Unspecified && end.duration > FAST_FAILURE_MAX;
    is_slow_refusal || matches!(end.note, Note::SourceRefused | Note::SourceUnreachable | Note::OriginFailed)
}
