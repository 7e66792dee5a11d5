//! Settings with all of the fleet's subsystems enabled, for simulated dispatchers and for a real one's
//! operator file.
use cherrypass::time::Span;
use cherrypass_fleet::{limits, node, rollout, verdicts};
use serde_json::{json, Value};

pub const FLEET_NAME: &str = "scale";
/// Totals of the two limits per dispatcher.
pub const ORIGIN_PER_DISPATCHER: f64 = 2.0;
pub const FURTHER_PER_DISPATCHER: f64 = 1.0;
/// Longest deadline of a visit; the drain time of the limits follows from it.
pub const LONGEST_DEADLINE: Span = Span::millis(2_000);
/// Interval of the fleet's timer.
pub const TIMER_INTERVAL: Span = Span::millis(50);

/// All subsystems enabled, with the values that the dispatcher's `sharing::set` derives from [`section`].
pub fn all_enabled(members: usize) -> node::Settings {
    let drain = LONGEST_DEADLINE;
    node::Settings {
        limits: Some(limits::Settings {
            origin: Some(ORIGIN_PER_DISPATCHER * members as f64),
            retries_per_s: Some(FURTHER_PER_DISPATCHER * members as f64),
            limits_cold_hosts: true,
            drain,
            ..limits::Settings::default()
        }),
        verdicts: Some(verdicts::Settings::default()),
        rollout: Some(rollout::Settings::default()),
        ..node::Settings::default()
    }
}

/// The same settings as keys of an operator file; `order` names all locations that have members.
pub fn fleet_section(members: usize, order: &[String]) -> Value {
    json!({
        "limits": { "origin": ORIGIN_PER_DISPATCHER * members as f64,
            "further_per_s": FURTHER_PER_DISPATCHER * members as f64, "cold": true },
        "verdicts": {},
        "rollout": { "order": order },
    })
}
