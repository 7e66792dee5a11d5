//! Quality of this member's own links: response times, and the fraction of probes without an answer.
use super::settings::Settings;
use cherrypass::containers::MovingAverage;
use cherrypass::time::Span;
use std::collections::VecDeque;

/// Latest probe outcomes considered, and how many are needed for a decision.
const OUTCOME_WINDOW: usize = 5;
const MIN_OUTCOMES: usize = 3;

/// Weight of a new response time in the mean of all members, and in the mean of one member.
const MEAN_WEIGHTS: [f64; 2] = [0.05, 0.2];

#[derive(Default)]
pub(super) struct Links {
    response_times: MovingAverage,
    outcomes: VecDeque<bool>,
}

impl Links {
    /// Records a response, `span` after the first probe.
    pub fn record_response(&mut self, span: Span, of_member: &mut MovingAverage, settings: &Settings) {
        let took = span.as_seconds().min(settings.mean_response_bounds[1].as_seconds());
        self.response_times.push(took, MEAN_WEIGHTS[0]);
        of_member.push(took, MEAN_WEIGHTS[1]);
    }

    /// The time without an answer that corresponds to this phi, for exponentially distributed response times.
    /// Uses the larger of the means of all members and of this one, and a long one while there are few
    /// responses.
    pub fn timeout(&self, phi: f64, of_member: Option<&MovingAverage>, settings: &Settings) -> Span {
        let least = settings.mean_response_bounds[0].as_seconds();
        let start = settings.mean_response_bounds[1].as_seconds()
            / f64::from(self.response_times.sample_count.max(1));
        let of_member = of_member.filter(|mean| mean.sample_count >= 3).map_or(0.0, |mean| mean.value);
        let mean = self
            .response_times
            .value
            .max(of_member)
            .max(least)
            .max(start)
            .min(settings.mean_response_bounds[1].as_seconds());
        Span::seconds(phi * mean * std::f64::consts::LN_10)
    }

    /// Records the end of a probe; it succeeded where the target or a helper answered.
    pub fn record_outcome(&mut self, succeeded: bool) {
        self.outcomes.push_back(succeeded);
        if self.outcomes.len() > OUTCOME_WINDOW {
            self.outcomes.pop_front();
        }
    }

    pub fn clear_outcomes(&mut self) {
        self.outcomes.clear();
    }

    /// Whether most probes had no answer; `None` while too few have ended.
    pub fn are_degraded(&self) -> Option<bool> {
        let failed = self.outcomes.iter().filter(|succeeded| !**succeeded).count();
        (self.outcomes.len() >= MIN_OUTCOMES).then_some(failed * 2 > self.outcomes.len())
    }
}
