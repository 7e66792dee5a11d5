//! The rooms as an operators' file with all of them on sets them, in the forms that hollow and real dispatchers take.
use cherrypass::time::Span;
use cherrypass_fleet::{limits, node, rollout, verdicts};
use serde_json::{json, Value};

/// The fleet's name on the link.
pub const FLEET: &str = "scale";
/// Wholes of the two limits for each dispatcher: shares of two and one, as they were before sizes grew.
pub const ORIGIN_EACH: f64 = 2.0;
pub const FURTHER_EACH: f64 = 1.0;
/// The longest that a visit may take, which the limits' drain is made from.
pub const LONGEST: Span = Span::millis(2_000);
/// The periodic timer.
pub const EVERY: Span = Span::millis(50);

/// All rooms on, as `sharing::set` of the dispatcher makes them from [`section`].
pub fn all(members: usize) -> node::Settings {
    let drain = LONGEST;
    node::Settings {
        limits: Some(limits::Settings {
            origin: Some(ORIGIN_EACH * members as f64),
            retries_per_s: Some(FURTHER_EACH * members as f64),
            limits_cold_hosts: true,
            drain,
            ..limits::Settings::default()
        }),
        verdicts: Some(verdicts::Settings::default()),
        rollout: Some(rollout::Settings::default()),
        ..node::Settings::default()
    }
}

/// The same as keys of an operators' file; `order`: names of all locations that have members.
pub fn section(members: usize, order: &[String]) -> Value {
    json!({
        "limits": { "origin": ORIGIN_EACH * members as f64, "further_per_s": FURTHER_EACH * members as f64, "cold": true },
        "verdicts": {},
        "rollout": { "order": order },
    })
}
