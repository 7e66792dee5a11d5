//! Validates settings: types, ranges and consistency between keys. Absent keys have defaults and are valid,
//! unless another key requires them.
use cherrypass::ids::MAX_LIST_LENGTH;
use serde_json::Value;

/// An invalid key of the settings, and the reason.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("settings/{key} {why}")]
pub struct InvalidSetting {
    pub key: String,
    pub why: String,
}

/// What a key has to hold.
#[derive(Clone, Copy)]
enum ValueType {
    Boolean,
    /// Least and greatest value.
    Number(f64, f64),
    OneOf(&'static [&'static str]),
    /// A list of non-negative numbers.
    Numbers,
    Booleans,
    Strings,
}

const NON_NEGATIVE: ValueType = ValueType::Number(0.0, f64::MAX);
const FRACTION: ValueType = ValueType::Number(0.0, 1.0);
/// Largest list index that a 16-bit id can express.
const MAX_INDEX: f64 = (MAX_LIST_LENGTH - 1) as f64;
const KIND_INDEX: ValueType = ValueType::Number(-1.0, MAX_INDEX);

/// Keys outside the services. Some are not read, but tell a configuration for another kind of deployment.
const KEYS: [(&str, ValueType); 37] = [
    ("balancers", ValueType::Number(1.0, 65_535.0)),
    ("zone", ValueType::Number(0.0, MAX_INDEX)),
    ("zones", ValueType::Strings),
    ("models", ValueType::Strings),
    ("weight_source", ValueType::OneOf(&["", "none", "nominal", "rough", "live"])),
    ("stats/how", ValueType::OneOf(&["answers", "probe", "none"])),
    ("stats/columns", ValueType::Strings),
    ("bounds/cancel", ValueType::Boolean),
    ("bounds/probing", ValueType::Boolean),
    ("bounds/retry_after", ValueType::Boolean),
    ("bounds/max_retry_after", NON_NEGATIVE),
    ("bounds/max_attempts", ValueType::Number(1.0, f64::MAX)),
    ("bounds/connect_timeout", NON_NEGATIVE),
    ("bounds/conn_idle", NON_NEGATIVE),
    ("bounds/streams_per_conn", NON_NEGATIVE),
    ("rules/cold_from", FRACTION),
    ("rules/cold", NON_NEGATIVE),
    ("rules/overload_factor", NON_NEGATIVE),
    ("rules/overload_for", NON_NEGATIVE),
    ("rules/drain_grace", NON_NEGATIVE),
    ("domain/may_pass_by", ValueType::Boolean),
    ("domain/joins", ValueType::Boolean),
    ("domain/detail", ValueType::OneOf(&["all", "hit", "none"])),
    ("domain/peers_fill", ValueType::OneOf(&["none", "location", "any"])),
    ("domain/parent_kind", KIND_INDEX),
    ("domain/source_kind", KIND_INDEX),
    ("domain/parent_starts_at", FRACTION),
    ("domain/parent_ramp", NON_NEGATIVE),
    ("domain/parent_limit_factor", NON_NEGATIVE),
    ("domain/pace_kb_per_s", NON_NEGATIVE),
    ("domain/purge_done", NON_NEGATIVE),
    ("domain/obey_after", NON_NEGATIVE),
    ("domain/class_fresh", ValueType::Numbers),
    ("domain/stale_for", ValueType::Numbers),
    ("domain/goes_through", ValueType::Booleans),
    ("domain/count_by_zone", ValueType::Numbers),
    ("domain/zone_link_kb_per_s", ValueType::Numbers),
];

/// Keys of each service.
const CLASS_KEYS: [(&str, ValueType); 6] = [
    ("effect", ValueType::OneOf(&["idempotent", "deduplicated", "at_most_once"])),
    ("aim", NON_NEGATIVE),
    ("aim_stretch", NON_NEGATIVE),
    ("deadline", NON_NEGATIVE),
    ("memory_span", NON_NEGATIVE),
    ("group", ValueType::OneOf(&["all", "zone", "cell"])),
];

/// Lists that have one entry for each entry of another list.
const PARALLEL_LISTS: [(&str, &str); 5] = [
    ("domain/class_fresh", "services"),
    ("domain/stale_for", "services"),
    ("domain/goes_through", "services"),
    ("domain/count_by_zone", "zones"),
    ("domain/zone_link_kb_per_s", "zones"),
];

fn invalid<T>(key: &str, why: impl Into<String>) -> Result<T, InvalidSetting> {
    Err(InvalidSetting { key: key.into(), why: why.into() })
}

fn get<'a>(root: &'a Value, key: &str) -> Option<&'a Value> {
    root.pointer(&format!("/{key}")).filter(|value| !value.is_null())
}

fn list<'a>(root: &'a Value, key: &str) -> &'a [Value] {
    crate::list(root, &format!("/{key}"))
}

fn number(root: &Value, key: &str) -> Option<f64> {
    get(root, key)?.as_f64()
}

fn check_value(key: &str, value: &Value, value_type: ValueType) -> Result<(), InvalidSetting> {
    let each = |fits: fn(&Value) -> bool| value.as_array().is_some_and(|all| all.iter().all(fits));
    let (is_valid, expected) = match value_type {
        ValueType::Boolean => (value.is_boolean(), "true or false"),
        ValueType::Number(least, most) => match value.as_f64() {
            Some(number) if !(least..=most).contains(&number) => {
                let range = if most < f64::MAX {
                    format!("from {least} to {most}")
                } else {
                    format!("at least {least}")
                };
                return invalid(key, format!("is out of range: {number}; it must be {range}"));
            }
            number => (number.is_some(), "a number"),
        },
        ValueType::OneOf(words) => match value.as_str() {
            Some(word) if !words.contains(&word) => {
                return invalid(key, format!("must be one of {}, not {value}", words.join(" ").trim()));
            }
            word => (word.is_some(), "a string"),
        },
        ValueType::Numbers => {
            let is_valid = each(|one| one.as_f64().is_some_and(|number| number >= 0.0));
            (is_valid, "a list of numbers, none of them negative")
        }
        ValueType::Booleans => (each(Value::is_boolean), "a list of true and false"),
        ValueType::Strings => (each(Value::is_string), "a list of strings"),
    };
    if is_valid {
        Ok(())
    } else {
        invalid(key, format!("must be {expected}"))
    }
}

/// Lists whose indexes are used as ids.
const INDEXED_LISTS: [&str; 3] = ["zones", "models", "services"];

/// Guards against lists longer than the range of ids: an entry beyond it would be mistaken for another one.
fn check_lengths(root: &Value) -> Result<(), InvalidSetting> {
    for key in INDEXED_LISTS {
        let found = list(root, key).len();
        if found > MAX_LIST_LENGTH {
            return invalid(
                key,
                format!("has {found} entries, at most {MAX_LIST_LENGTH} are allowed: remove unused ones"),
            );
        }
    }
    Ok(())
}

/// Checks the settings, and returns the first invalid key.
pub fn check(root: &Value) -> Result<(), InvalidSetting> {
    check_lengths(root)?;
    for (key, value_type) in KEYS {
        get(root, key).map_or(Ok(()), |value| check_value(key, value, value_type))?;
    }
    let services = list(root, "services");
    for (index, service) in services.iter().enumerate() {
        for (key, value_type) in CLASS_KEYS {
            let value = service.get(key).filter(|value| !value.is_null());
            value
                .map_or(Ok(()), |value| check_value(&format!("services/{index}/{key}"), value, value_type))?;
        }
        if service.get("effect").and_then(Value::as_str) == Some("deduplicated")
            && service.get("memory_span").is_none()
        {
            return invalid(
                &format!("services/{index}/memory_span"),
                "is required where the effect is deduplicated",
            );
        }
    }
    check_consistency(root, services.len())
}

/// Checks that keys do not contradict each other.
fn check_consistency(root: &Value, service_count: usize) -> Result<(), InvalidSetting> {
    for (key, of) in PARALLEL_LISTS {
        let (own, other) =
            (list(root, key).len(), if of == "services" { service_count } else { list(root, of).len() });
        if own > 0 && other > 0 && own != other {
            return invalid(key, format!("has {own} entries, settings/{of} has {other}"));
        }
    }
    let (zones, kinds) = (list(root, "zones").len(), list(root, "models").len());
    for (key, length) in [("zone", zones), ("domain/parent_kind", kinds), ("domain/source_kind", kinds)] {
        if let Some(index) = number(root, key).filter(|index| length > 0 && *index >= length as f64) {
            return invalid(key, format!("is index {index}, but its list has {length} entries"));
        }
    }
    let (parent, origin) = (number(root, "domain/parent_kind"), number(root, "domain/source_kind"));
    if parent.is_some() && parent == origin {
        return invalid("domain/parent_kind", "is the same as settings/domain/source_kind");
    }
    let may_bypass_caches = get(root, "domain/may_pass_by").and_then(Value::as_bool);
    if may_bypass_caches == Some(false) && origin.is_none_or(|kind| kind < 0.0) {
        return invalid("domain/source_kind", "is required where settings/domain/may_pass_by is false");
    }
    for (index, stale_for) in list(root, "domain/stale_for").iter().enumerate() {
        let fresh = number(root, &format!("domain/class_fresh/{index}")).unwrap_or(0.0);
        if stale_for.as_f64().unwrap_or(0.0) > 0.0 && fresh == 0.0 {
            return invalid(
                &format!("domain/stale_for/{index}"),
                "requires settings/domain/class_fresh for the same class",
            );
        }
    }
    let links = list(root, "domain/zone_link_kb_per_s");
    let has_link = |index: usize| links.get(index).and_then(Value::as_f64).unwrap_or(0.0) > 0.0;
    let served = list(root, "domain/count_by_zone").iter().map(|count| count.as_f64().unwrap_or(0.0) > 0.0);
    let served: Vec<usize> =
        served.enumerate().filter_map(|(index, is_served)| is_served.then_some(index)).collect();
    if served.iter().any(|index| has_link(*index)) && !served.iter().all(|index| has_link(*index)) {
        return invalid(
            "domain/zone_link_kb_per_s",
            "gives the link capacity of some locations with dispatchers, but not of all",
        );
    }
    let has_any_link = (0..links.len()).any(has_link);
    if has_any_link && number(root, "domain/pace_kb_per_s").is_none_or(|pace| pace == 0.0) {
        return invalid(
            "domain/pace_kb_per_s",
            "is required where settings/domain/zone_link_kb_per_s gives link capacities",
        );
    }
    let has_link_load =
        list(root, "stats/columns").iter().any(|name| name.as_str() == Some(crate::LINK_LOAD_COLUMN));
    if has_link_load && get(root, "domain/report_x1").is_some_and(|column| column.as_str() == Some("")) {
        return invalid("domain/report_x1", "is empty, and settings/stats/columns names x1");
    }
    Ok(())
}
