//! Processor time and memory of processes, from `/proc`.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Processor seconds by thread name; threads of the same name are summed.
pub fn thread_seconds(process: &str) -> BTreeMap<String, f64> {
    let mut by_name = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{process}/task")) else { return by_name };
    for task in tasks.flatten() {
        let read_file = |file: &str| std::fs::read_to_string(Path::new(&task.path()).join(file)).ok();
        let (Some(name), Some(times)) = (read_file("comm"), read_file("schedstat")) else { continue };
        let nanoseconds = times.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        *by_name.entry(name.trim().to_owned()).or_insert(0.0) += nanoseconds.unwrap_or(0.0) / 1e9;
    }
    by_name
}

/// Resident memory in kilobytes; 0 if it can't be read.
pub fn resident_kb(process: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Resource usage of a process over an interval: cores used by thread name, and resident memory at its end.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ResourceUsage {
    #[serde(rename = "core")]
    pub cores: BTreeMap<String, f64>,
    pub resident_kb: u64,
}

/// Cores used per thread name between two samples of [`thread_seconds`].
pub fn cores_used(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    seconds: f64,
) -> BTreeMap<String, f64> {
    let cores = |(name, now): (&String, &f64)| {
        let earlier = before.get(name).copied().unwrap_or(0.0);
        (name.clone(), (now - earlier).max(0.0) / seconds)
    };
    after.iter().map(cores).collect()
}
