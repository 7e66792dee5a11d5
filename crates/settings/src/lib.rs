//! Reads an instance's settings from JSON, for the benchmark adapter and the dispatcher. Unknown keys are
//! ignored.
#![forbid(unsafe_code)]
mod check;

pub use check::{check, InvalidSetting};
use cherrypass::ids::{KindId, LocationId};
use cherrypass::settings::{ClassSettings, ColdStart, Effect, Group, Settings, StateLimits};
use cherrypass::time::Span;
use serde_json::Value;

/// A required setting that is missing or has the wrong type.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum MissingSetting {
    #[error("the settings are missing the number {0}")]
    Number(String),
    #[error("the settings are missing the list {0}")]
    List(&'static str),
    #[error(
        "the settings are missing the string /services/{0}/effect, idempotent, deduplicated or at_most_once"
    )]
    Effect(usize),
}

impl From<MissingSetting> for String {
    fn from(missing: MissingSetting) -> String {
        missing.to_string()
    }
}

/// The number at a JSON pointer, if there is one.
pub fn number(value: &Value, path: &str) -> Option<f64> {
    value.pointer(path)?.as_f64()
}

/// The number at a JSON pointer, or an error that names the key.
pub fn required_number(value: &Value, path: &str) -> Result<f64, MissingSetting> {
    number(value, path).ok_or_else(|| MissingSetting::Number(path.to_owned()))
}

fn span(value: &Value, path: &str) -> Span {
    Span(number(value, path).unwrap_or(0.0).max(0.0) as u64)
}

fn flag(value: &Value, path: &str) -> bool {
    value.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

/// The entries of a list, empty if there is no such list.
pub fn list<'a>(value: &'a Value, path: &str) -> &'a [Value] {
    value.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// The string at a JSON pointer, empty if there is none.
pub fn text<'a>(value: &'a Value, path: &str) -> &'a str {
    value.pointer(path).and_then(Value::as_str).unwrap_or("")
}

fn kind(value: &Value, path: &str) -> Option<KindId> {
    number(value, path).filter(|n| (0.0..=f64::from(u16::MAX)).contains(n)).map(|n| KindId(n as u16))
}

fn class_settings(root: &Value, service: &Value, index: usize) -> Result<ClassSettings, MissingSetting> {
    let group = match text(service, "/group") {
        "zone" => Group::Location,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    let effect = match text(service, "/effect") {
        "idempotent" => Effect::Idempotent,
        "deduplicated" => Effect::Deduplicated { group, retention: span(service, "/memory_span") },
        "at_most_once" => Effect::AtMostOnce,
        _ => return Err(MissingSetting::Effect(index)),
    };
    Ok(ClassSettings {
        effect,
        target_latency: Span(required_number(root, &format!("/services/{index}/aim"))? as u64),
        target_stretch: number(service, "/aim_stretch").unwrap_or(0.0),
        fresh_for: span(root, &format!("/domain/class_fresh/{index}")),
        stale_for: span(root, &format!("/domain/stale_for/{index}")),
        is_write: flag(root, &format!("/domain/goes_through/{index}")),
    })
}

/// The names of the values in a load report, in order.
pub fn report_columns(root: &Value) -> Vec<&str> {
    list(root, "/stats/columns").iter().filter_map(Value::as_str).collect()
}

/// Name of the load report value that gives the load of the link for fills.
pub const LINK_LOAD_COLUMN: &str = "x1";

/// Names of the load report value that gives the share of a host's capacity in use: the benchmark's name and
/// that of hosts.
pub const LOAD_COLUMNS: [&str; 2] = ["load_share", "util"];

/// Reads the settings of the decision module.
pub fn read(root: &Value) -> Result<Settings, MissingSetting> {
    let services = root.pointer("/services").and_then(Value::as_array);
    let services = services.ok_or(MissingSetting::List("/services"))?;
    let classes = services.iter().enumerate().map(|(index, service)| class_settings(root, service, index));
    let classes = classes.collect::<Result<Vec<ClassSettings>, MissingSetting>>()?;
    let dispatchers = required_number(root, "/balancers")? as u32;
    let location = required_number(root, "/zone")? as u16;
    let dispatchers_here = number(root, &format!("/domain/count_by_zone/{location}"));
    let location_link_kb_per_s =
        list(root, "/domain/zone_link_kb_per_s").iter().filter_map(Value::as_f64).collect();
    let overload_window = span(root, "/rules/overload_for");
    Ok(Settings {
        dispatchers,
        location: LocationId(location),
        location_dispatchers: dispatchers_here.map_or(dispatchers, |n| n as u32).max(1),
        classes,
        parent_kind: kind(root, "/domain/parent_kind"),
        origin_kind: kind(root, "/domain/source_kind"),
        has_weights: !matches!(text(root, "/weight_source"), "" | "none"),
        has_stable_weights: matches!(text(root, "/weight_source"), "nominal" | "rough"),
        transfer_kb_per_s: number(root, "/domain/pace_kb_per_s").unwrap_or(0.0),
        location_link_kb_per_s,
        may_bypass_caches: flag(root, "/domain/may_pass_by"),
        joins_fills: flag(root, "/domain/joins"),
        reports_fill_source: text(root, "/domain/detail") != "hit",
        can_cancel: flag(root, "/bounds/cancel"),
        can_probe: flag(root, "/bounds/probing")
            && report_columns(root).iter().any(|name| LOAD_COLUMNS.contains(name)),
        max_hand_offs: number(root, "/bounds/max_attempts").unwrap_or(1.0).clamp(1.0, 255.0) as u8,
        max_retry_after: if flag(root, "/bounds/retry_after") {
            span(root, "/bounds/max_retry_after")
        } else {
            Span::ZERO
        },
        cold_cache: ColdStart {
            initial_share: required_number(root, "/rules/cold_from")?,
            ramp: span(root, "/rules/cold"),
            overload_factor: required_number(root, "/rules/overload_factor")?,
            overload_window,
        },
        cold_parent: ColdStart {
            initial_share: number(root, "/domain/parent_starts_at").unwrap_or(0.0),
            ramp: span(root, "/domain/parent_ramp"),
            overload_factor: number(root, "/domain/parent_limit_factor").unwrap_or(1.0),
            overload_window,
        },
        purge_drop_time: span(root, "/domain/purge_done"),
        purge_obey_time: span(root, "/domain/obey_after"),
        state_limits: StateLimits::default(),
    })
}
