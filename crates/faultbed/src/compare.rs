//! Two scenarios on the same seeds, side by side: what clients and the host at fault saw, and how soon it was shut out.
use crate::judge::of_hosts;
use crate::notation::Scenario;
use crate::notes::{Note, Word};
use crate::play::Played;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What is counted in each play; its names, and how many decimals are shown.
pub const COUNTED: [(&str, usize); 8] = [
    ("settled", 0),
    ("turned back", 0),
    ("written off", 0),
    ("broken", 0),
    ("bad at the faulty host", 0),
    ("shut out by", 0),
    ("first s", 2),
    ("last s", 2),
];

/// Of one play, in the order of `COUNTED`; none where nobody shut the host out.
pub type Counted = [Option<f64>; COUNTED.len()];

/// The host that the first fault at a host names.
pub fn faulty(scenario: &Scenario) -> Option<&str> {
    let mut faults: Vec<_> = scenario.faults.iter().collect();
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    let is_host = |name: &&str| scenario.hosts.iter().any(|hosts| hosts.names.iter().any(|own| own == name));
    faults.into_iter().find_map(|planned| planned.fault.names().into_iter().find(is_host))
}

/// When each process that did first had the host shut out, in seconds after the first fault.
fn shut_out(played: &Played, host: &str) -> Vec<f64> {
    // The log names a host's id; the line of the list has both.
    let is = format!(" is {host},");
    let mut lines = played.logs.values().flat_map(|log| log.lines());
    let listed = lines.find(|line| line.contains("list: host ") && line.contains(&is));
    let id = listed.and_then(|line| line.split("list: host ").nth(1)?.split(' ').next());
    let Some(shut) = id.map(|id| format!("host {id} shut out: ")) else { return Vec::new() };
    let mut first: BTreeMap<&str, f64> = BTreeMap::new();
    for (at, who, _) in
        of_hosts(played).into_iter().filter(|(at, _, words)| *at >= 0.0 && words.starts_with(&shut))
    {
        first.entry(who).or_insert(at);
    }
    let mut found: Vec<f64> = first.into_values().collect();
    found.sort_by(f64::total_cmp);
    found
}

pub fn counted(scenario: &Scenario, played: &Played) -> Counted {
    let host = faulty(scenario).map(|name| format!("s-{name}")).unwrap_or_default();
    let ended = |wanted: Word| {
        let is = |note: &&Note| matches!(note, Note::Answered { word, .. } if *word == wanted);
        Some(played.noted.iter().map(|(_, note)| note).filter(is).count() as f64)
    };
    let count = |is: &dyn Fn(&Note) -> bool| Some(played.noted.iter().filter(|(_, n)| is(n)).count() as f64);
    let bad = |note: &Note| matches!(note, Note::Left { host: at, well: false, .. } if *at == host);
    let shut = shut_out(played, &host);
    [
        ended(Word::Settled),
        ended(Word::TurnedBack),
        ended(Word::WrittenOff),
        count(&|note| matches!(note, Note::Broken { .. })),
        count(&bad),
        Some(shut.len() as f64),
        shut.first().copied(),
        shut.last().copied(),
    ]
}

fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    let upper = *all.get(all.len() / 2)?;
    Some(if all.len() % 2 == 1 { upper } else { (all[all.len() / 2 - 1] + upper) / 2.0 })
}

/// Of each figure the median over the plays that have it.
fn medians(all: &[&Counted]) -> Counted {
    std::array::from_fn(|place| median(all.iter().filter_map(|one| one[place]).collect()))
}

/// A table: for each seed both, then the medians, and that of the differences seed by seed.
pub fn table(names: [&str; 2], seeds: &[(u64, [Counted; 2])]) -> String {
    let mut text = String::from("| seed | scenario |");
    COUNTED.iter().for_each(|(name, _)| _ = write!(text, " {name} |"));
    text += "\n|---|---|";
    COUNTED.iter().for_each(|_| text += "---|");
    let mut row = |seed: &str, name: &str, one: &Counted| {
        _ = write!(text, "\n| {seed} | {name} |");
        for (found, (_, decimals)) in one.iter().zip(COUNTED) {
            match found {
                Some(found) => _ = write!(text, " {found:.decimals$} |"),
                None => text += " - |",
            }
        }
    };
    for (seed, both) in seeds {
        both.iter().zip(names).for_each(|(one, name)| row(&seed.to_string(), name, one));
    }
    for (place, name) in names.into_iter().enumerate() {
        row("median", name, &medians(&seeds.iter().map(|(_, both)| &both[place]).collect::<Vec<_>>()));
    }
    let differ =
        |[a, b]: &[Counted; 2]| -> Counted { std::array::from_fn(|place| Some(b[place]? - a[place]?)) };
    let differences: Vec<Counted> = seeds.iter().map(|(_, both)| differ(both)).collect();
    row("median", "second - first", &medians(&differences.iter().collect::<Vec<_>>()));
    text
}
