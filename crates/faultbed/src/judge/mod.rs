//! Checks the observations of a play against the expectations of its scenario and reports violations.
use crate::notation::{Expectation, Scenario};
use crate::play::PlayResult;

mod figures;
mod fleet;
mod limits;
mod rollout;
mod rules;

pub use figures::{ejections, figures, host_log_lines, last_ejections};
pub use fleet::{check_agreement, check_feed, check_verdict_ages};
pub use limits::{check_limit_sum, check_limit_used};
pub use rollout::{
    check_accepted_orders, check_final_version, check_halted, check_never_in_force, check_versions,
    rollout_figures,
};
pub use rules::{check_rules, check_rules_with_absences};

/// Checks all expectations of a scenario; returns one line per violation.
pub fn judge(scenario: &Scenario, played: &PlayResult) -> Vec<String> {
    let mut violations = played.abnormal_exits.clone();
    for expectation in &scenario.expectations {
        violations.extend(match expectation {
            Expectation::Rules => check_rules_with_absences(&played.notes, &played.absences()),
            Expectation::Sum(key, most) => check_limit_sum(&played.events, &played.unavailable, key, *most),
            Expectation::Used(key, least) => check_limit_used(&played.events, key, *least, played.load_span),
            Expectation::Age(most) => check_verdict_ages(&played.events, *most),
            Expectation::Feed => check_feed(&played.events),
            Expectation::Agreed => check_agreement(scenario, played),
            Expectation::Versions => check_versions(&played.events),
            Expectation::Taken(count) => check_accepted_orders(&played.rollout_orders, *count),
            Expectation::End(number) => check_final_version(
                scenario,
                &played.unavailable,
                played.load_span.1,
                &played.rollout_statuses,
                *number,
            ),
            Expectation::Halted(number, location) => {
                check_halted(scenario, &played.events, &played.rollout_statuses, *number, location)
            }
            Expectation::Never(number) => check_never_in_force(&played.events, *number),
        });
    }
    violations
}
