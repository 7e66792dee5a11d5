//! How well this member's own links do: how long answers take, and how many asks had none.
use super::Set;
use cherrypass::containers::Mean;
use cherrypass::time::Span;
use std::collections::VecDeque;

/// Outcomes of asks that are looked at, and how many it takes to tell.
const OUTCOMES: usize = 5;
const TELLING: usize = 3;

/// Weight of a new answer's time among those of all members, and among one member's.
const WEIGHT: [f64; 2] = [0.05, 0.2];

#[derive(Default)]
pub(super) struct Links {
    answers: Mean,
    outcomes: VecDeque<bool>,
}

impl Links {
    /// An answer, so long after the first ask.
    pub fn answered(&mut self, span: Span, own: &mut Mean, set: &Set) {
        let took = span.as_seconds().min(set.gap[1].as_seconds());
        self.answers.push(took, WEIGHT[0]);
        own.push(took, WEIGHT[1]);
    }

    /// The wait after which silence has this phi, as if waits were exponential: the longer of the means, of
    /// all members and of this one, as the gap. It starts from a long one, while answers are few.
    pub fn wait(&self, phi: f64, of: Option<&Mean>, set: &Set) -> Span {
        let least = set.gap[0].as_seconds();
        let start = set.gap[1].as_seconds() / f64::from(self.answers.seen.max(1));
        let of = of.filter(|mean| mean.seen >= 3).map_or(0.0, |mean| mean.value);
        let gap = self.answers.value.max(of).max(least).max(start).min(set.gap[1].as_seconds());
        Span::seconds(phi * gap * std::f64::consts::LN_10)
    }

    /// An ask ended: well where the one asked answered, or one of those who were asked to ask it.
    pub fn ended(&mut self, well: bool) {
        self.outcomes.push_back(well);
        if self.outcomes.len() > OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    pub fn forget(&mut self) {
        self.outcomes.clear();
    }

    /// Most asks had no answer; none while too few have ended to tell.
    pub fn are_bad(&self) -> Option<bool> {
        let bad = self.outcomes.iter().filter(|well| !**well).count();
        (self.outcomes.len() >= TELLING).then_some(bad * 2 > self.outcomes.len())
    }
}
