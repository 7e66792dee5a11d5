//! Figures of a play: outcomes of visits, hand-offs and ejections by host.
use super::rollout::rollout_figures;
use crate::notes::{Note, Outcome};
use crate::play::PlayResult;
use std::collections::BTreeMap;

/// Figures of a play, one line each.
pub fn figures(played: &PlayResult) -> Vec<String> {
    let mut counts: BTreeMap<Option<Outcome>, usize> = BTreeMap::new();
    let (mut requests, mut not_sent) = (0, 0);
    let (mut arrived, mut failed): (BTreeMap<&str, usize>, BTreeMap<&str, usize>) = Default::default();
    for (_, note) in &played.notes {
        match note {
            Note::RequestSent { .. } => requests += 1,
            Note::NotSent { .. } => not_sent += 1,
            Note::Answered { outcome, .. } => *counts.entry(Some(*outcome)).or_default() += 1,
            Note::ConnectionLost { .. } => *counts.entry(None).or_default() += 1,
            Note::HandOffArrived { host, .. } => *arrived.entry(host).or_default() += 1,
            Note::HandOffEnded { host, is_success: false, .. } => *failed.entry(host).or_default() += 1,
            _ => {}
        }
    }
    let count = |outcome| counts.get(&outcome).copied().unwrap_or(0);
    let mut lines = vec![format!(
        "visits {requests}: served {}, refused {}, failed {}, connection lost {}; not sent {not_sent}; datagrams {}",
        count(Some(Outcome::Served)),
        count(Some(Outcome::Refused)),
        count(Some(Outcome::Failed)),
        count(None),
        played.datagrams
    )];
    for (host, arrived) in arrived {
        lines.push(format!("{host}: {arrived} hand-offs, {} failed", failed.get(host).unwrap_or(&0)));
    }
    lines.extend(played.rollout_orders.iter().map(|(output, _)| output.clone()));
    lines.extend(rollout_figures(played));
    lines.extend(last_ejections(played));
    lines.extend(ejections(played));
    lines
}

/// For each host, the number of processes that ejected it and the time of the last one, in seconds after the
/// first fault.
pub fn last_ejections(played: &PlayResult) -> Vec<String> {
    let mut first: BTreeMap<&str, BTreeMap<&str, f64>> = BTreeMap::new();
    for (at, who, text) in host_log_lines(played) {
        let host = text.strip_prefix("host ").and_then(|text| text.split_once(" ejected: "));
        if let Some((host, _)) = host {
            first.entry(host).or_default().entry(who).or_insert(at);
        }
    }
    let line = |(host, by): (&&str, &BTreeMap<&str, f64>)| {
        let last = by.values().copied().fold(f64::MIN, f64::max);
        format!("host {host}: ejected by {} of {}, the last at {last:+.3} s", by.len(), played.logs.len())
    };
    first.iter().map(line).collect()
}

/// The log lines of each process about hosts, with seconds after the first fault.
pub fn ejections(played: &PlayResult) -> Vec<String> {
    let line = |(at, who, text): (f64, &str, &str)| format!("{at:+.3} s {who}: {text}");
    host_log_lines(played).into_iter().map(line).collect()
}

/// Log lines about hosts: seconds after the first fault, process and text.
pub fn host_log_lines(played: &PlayResult) -> Vec<(f64, &str, &str)> {
    let fault = played.notes.iter().find(|(_, note)| matches!(note, Note::Fault { .. })).map(|(at, _)| *at);
    let Some(fault) = fault else { return Vec::new() };
    let mut found = Vec::new();
    for (name, log) in &played.logs {
        for line in log.lines().filter(|line| line.contains("module: host ")) {
            let at = line.split(' ').next().and_then(|at| at.parse::<f64>().ok()).unwrap_or(0.0);
            let text = line.split("module: ").nth(1).unwrap_or(line);
            found.push((at - fault as f64 / 1e6, &name[..], text));
        }
    }
    found
}
