//! Classification of followers as slow or regular, by their lag compared with that of others.
use super::carried_follower::CarriedFollower;
use super::carrier::{lower_median, Carrier, OtherCarriers};
use super::log::Logs;
use super::settings::Settings;
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use std::collections::BTreeMap;

/// Regular followers from which their own median is used.
const MIN_GROUP: usize = 3;

/// The greatest lag that does not count as lagging, where `usual` is the lag of others.
pub(super) fn lag_limit(settings: &Settings, usual: Span) -> Span {
    usual.times(settings.slow_factor) + settings.slow_margin
}

/// The lags of the followers in this round, and what they are compared with.
struct Comparison<'a> {
    now: Time,
    settings: &'a Settings,
    others: &'a OtherCarriers<'a>,
    lags: BTreeMap<MemberId, Span>,
    /// Number of regular followers.
    group_size: usize,
    /// Whether this member is the likely cause, as nearly all of its followers lag.
    is_own_cause: bool,
    limit: Span,
    /// The number of members whose newer reports are needed.
    required_reports: usize,
}

impl Comparison<'_> {
    /// Notes since when a follower has been lagging or keeping up.
    fn update_times(&self, carried: &mut CarriedFollower, lag: Span, lag_ignored_until: Time) {
        if lag > self.limit && self.now >= lag_ignored_until {
            carried.keeping_up_since = None;
            carried.lagging_since = carried.lagging_since.or(Some(self.now));
            return;
        }
        carried.lagging_since = None;
        let is_heard = self.now - carried.last_heard <= Span(self.settings.heartbeat.0 * 3);
        carried.keeping_up_since = if Span(lag.0 * 2) <= self.limit && is_heard {
            carried.keeping_up_since.or(Some(self.now))
        } else {
            None
        };
    }

    /// Changes the class of a follower that has been lagging or keeping up for long enough. True if it has
    /// become slow.
    fn update_class(&self, carried: &mut CarriedFollower, lag: Span) -> bool {
        let settings = self.settings;
        let lagging_for = carried.lagging_since.map_or(Span::ZERO, |since| self.now - since);
        let keeping_up_for = carried.keeping_up_since.map_or(Span::ZERO, |since| self.now - since);
        let recovery_time =
            Span(settings.recovery_time.0 << carried.class.relapses.min(16)).min(settings.max_recovery_time);
        let is_slow = carried.class.is_slow;
        let is_lagging = !self.is_own_cause && lagging_for >= settings.slow_after;
        if !is_slow && is_lagging && self.is_confirmed(carried, lag) {
            carried.class.is_slow = true;
            carried.proposal = None;
            return true;
        }
        if is_slow && keeping_up_for >= recovery_time {
            carried.class.is_slow = false;
            carried.needs_placement = true;
            carried.class.relapses = carried.class.relapses.saturating_add(1);
            carried.proposal = None;
            carried.keeping_up_since = None;
        } else if !is_slow
            && carried.class.relapses > 0
            && keeping_up_for >= Span(settings.max_recovery_time.0 * 2)
        {
            carried.class.relapses -= 1;
            carried.keeping_up_since = None;
        }
        false
    }

    /// Whether the followers suffice to tell that one of them lags. One or two are too few to compare; the
    /// other members' reports decide then.
    fn is_confirmed(&self, carried: &CarriedFollower, lag: Span) -> bool {
        self.group_size >= MIN_GROUP
            || carried.lagging_since.is_some_and(|since| {
                let reported = self.others.reported_lags(since);
                reported.count >= self.required_reports
                    && reported.median.is_some_and(|median| lag > lag_limit(self.settings, median))
            })
    }
}

impl Carrier {
    /// Classifies followers as slow or regular by their lag compared with the others'.
    pub(super) fn classify(&mut self, now: Time, logs: &Logs, others: &OtherCarriers, settings: &Settings) {
        let comparison = self.compare_lags(now, logs, others, settings);
        self.note_own_cause(now, comparison.is_own_cause);
        let mut has_new_slow = false;
        for (id, carried) in &mut self.carried {
            let lag = comparison.lags[id];
            comparison.update_times(carried, lag, self.lag_ignored_until);
            has_new_slow |= comparison.update_class(carried, lag);
        }
        if has_new_slow {
            // The regular followers may have lagged because of the slow ones.
            let regular = self.carried.values_mut().filter(|carried| !carried.class.is_slow);
            regular.for_each(|carried| carried.lagging_since = None);
        }
        self.confirm_own_cause(&comparison);
    }

    fn compare_lags<'a>(
        &mut self,
        now: Time,
        logs: &Logs,
        others: &'a OtherCarriers,
        settings: &'a Settings,
    ) -> Comparison<'a> {
        let lags: BTreeMap<MemberId, Span> =
            self.carried.iter().map(|(id, carried)| (*id, carried.lag(now, logs))).collect();
        let regular = self.carried.iter().filter(|(_, carried)| !carried.class.is_slow);
        let mut group: Vec<Span> = regular.map(|(id, _)| lags[id]).collect();
        group.sort();
        let own_median = lower_median(&group);
        self.followers_lag = own_median.unwrap_or(Span::ZERO) + others.own_lag;
        // Reports from before this member's followers began to lag say nothing about the present.
        let others_median = others.reported_lags(now - settings.report_lifetime).median;
        let is_own_cause = others_median.is_some_and(|others_median| {
            let limit = lag_limit(settings, others_median);
            let lagging = group.iter().filter(|lag| **lag + others.own_lag > limit).count();
            group.len() >= 2 && lagging * 5 >= group.len() * 4
        });
        let median = if group.len() >= MIN_GROUP { own_median } else { others_median };
        let mut baseline = median.or(others_median).unwrap_or(Span::ZERO);
        if is_own_cause {
            baseline = baseline.max(own_median.unwrap_or(Span::ZERO));
        }
        Comparison {
            now,
            settings,
            others,
            lags,
            group_size: group.len(),
            is_own_cause,
            limit: lag_limit(settings, baseline),
            required_reports: others.count_with_followers().clamp(1, 3),
        }
    }

    fn note_own_cause(&mut self, now: Time, is_own_cause: bool) {
        self.all_lagging_since = is_own_cause.then(|| self.all_lagging_since.unwrap_or(now));
    }

    /// After a while, followers that all lag need newer reports of other members that show it.
    fn confirm_own_cause(&mut self, comparison: &Comparison) {
        let Comparison { now, settings, .. } = *comparison;
        self.all_lagging_since = self.all_lagging_since.filter(|since| {
            let is_recent = now - *since < settings.carrier_lag_time;
            let reported = comparison.others.reported_lags(*since);
            is_recent
                || reported.count < comparison.required_reports
                || reported.median.is_some_and(|median| self.followers_lag > lag_limit(settings, median))
        });
    }
}
