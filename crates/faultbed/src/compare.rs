//! Compares two scenarios on the same seeds: client outcomes, failures at the faulty host, and how soon it
//! was ejected.
use crate::judge::host_log_lines;
use crate::notation::Scenario;
use crate::notes::{Note, Outcome};
use crate::play::PlayResult;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The columns of the table and their number of decimals.
pub const COLUMNS: [(&str, usize); 8] = [
    ("served", 0),
    ("refused", 0),
    ("failed", 0),
    ("broken", 0),
    ("bad at the faulty host", 0),
    ("ejected by", 0),
    ("first s", 2),
    ("last s", 2),
];

/// The figures of one play in the order of `COLUMNS`; None where no process ejected the host.
pub type Figures = [Option<f64>; COLUMNS.len()];

/// The host of the first fault that concerns a host.
pub fn first_faulty_host(scenario: &Scenario) -> Option<&str> {
    let mut faults: Vec<_> = scenario.faults.iter().collect();
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    let is_host = |name: &&str| scenario.hosts.iter().any(|hosts| hosts.names.iter().any(|own| own == name));
    faults.into_iter().find_map(|planned| planned.fault.targets().into_iter().find(is_host))
}

/// Sorted times at which processes first ejected the host, in seconds after the first fault.
fn ejection_times(played: &PlayResult, host: &str) -> Vec<f64> {
    // Most log lines only have a host's id; the line of the list has both id and name.
    let is = format!(" is {host},");
    let mut lines = played.logs.values().flat_map(|log| log.lines());
    let listed = lines.find(|line| line.contains("list: host ") && line.contains(&is));
    let id = listed.and_then(|line| line.split("list: host ").nth(1)?.split(' ').next());
    let Some(ejected) = id.map(|id| format!("host {id} ejected: ")) else { return Vec::new() };
    let mut first: BTreeMap<&str, f64> = BTreeMap::new();
    for (at, who, _) in
        host_log_lines(played).into_iter().filter(|(at, _, text)| *at >= 0.0 && text.starts_with(&ejected))
    {
        first.entry(who).or_insert(at);
    }
    let mut found: Vec<f64> = first.into_values().collect();
    found.sort_by(f64::total_cmp);
    found
}

/// The figures of a play.
pub fn figures(scenario: &Scenario, played: &PlayResult) -> Figures {
    let host = first_faulty_host(scenario).map(|name| format!("s-{name}")).unwrap_or_default();
    let ended = |wanted: Outcome| {
        let is = |note: &&Note| matches!(note, Note::Answered { outcome, .. } if *outcome == wanted);
        Some(played.notes.iter().map(|(_, note)| note).filter(is).count() as f64)
    };
    let count = |is: &dyn Fn(&Note) -> bool| Some(played.notes.iter().filter(|(_, n)| is(n)).count() as f64);
    let is_failure =
        |note: &Note| matches!(note, Note::HandOffEnded { host: at, is_success: false, .. } if *at == host);
    let times = ejection_times(played, &host);
    [
        ended(Outcome::Served),
        ended(Outcome::Refused),
        ended(Outcome::Failed),
        count(&|note| matches!(note, Note::ConnectionLost { .. })),
        count(&is_failure),
        Some(times.len() as f64),
        times.first().copied(),
        times.last().copied(),
    ]
}

fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    let upper = *all.get(all.len() / 2)?;
    Some(if all.len() % 2 == 1 { upper } else { (all[all.len() / 2 - 1] + upper) / 2.0 })
}

/// The median of each figure over the plays that have it.
fn medians(all: &[&Figures]) -> Figures {
    std::array::from_fn(|index| median(all.iter().filter_map(|figures| figures[index]).collect()))
}

/// A Markdown table with both scenarios for each seed, their medians, and the medians of the differences per
/// seed.
pub fn table(names: [&str; 2], seeds: &[(u64, [Figures; 2])]) -> String {
    let mut text = String::from("| seed | scenario |");
    COLUMNS.iter().for_each(|(name, _)| _ = write!(text, " {name} |"));
    text += "\n|---|---|";
    COLUMNS.iter().for_each(|_| text += "---|");
    let mut row = |seed: &str, name: &str, figures: &Figures| {
        _ = write!(text, "\n| {seed} | {name} |");
        for (found, (_, decimals)) in figures.iter().zip(COLUMNS) {
            match found {
                Some(found) => _ = write!(text, " {found:.decimals$} |"),
                None => text += " - |",
            }
        }
    };
    for (seed, both) in seeds {
        both.iter().zip(names).for_each(|(figures, name)| row(&seed.to_string(), name, figures));
    }
    for (index, name) in names.into_iter().enumerate() {
        row("median", name, &medians(&seeds.iter().map(|(_, both)| &both[index]).collect::<Vec<_>>()));
    }
    let differ =
        |[a, b]: &[Figures; 2]| -> Figures { std::array::from_fn(|index| Some(b[index]? - a[index]?)) };
    let differences: Vec<Figures> = seeds.iter().map(|(_, both)| differ(both)).collect();
    row("median", "second - first", &medians(&differences.iter().collect::<Vec<_>>()));
    text
}
