//! Command line of the fault bed.
#![forbid(unsafe_code)]
use cherrypass_faultbed::notation::{self, Scenario};
use cherrypass_faultbed::soak_report::Report;
use cherrypass_faultbed::{compare, judge, play, soak, stop_draw};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Plays scenarios with several cherrypass processes and injected faults.
#[derive(Parser)]
#[command(name = "faultbed", version)]
struct Cli {
    /// The built program
    #[arg(long, default_value = "target/release/cherrypass", global = true)]
    program: PathBuf,
    /// The older build for scenarios that use one; without it, the program restricted to form 1
    #[arg(long, global = true)]
    other: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario once and report violated expectations
    Play {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder in which to keep configurations, logs and event logs; deleted if not given
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Play many seeds; when one fails, remove faults one by one while it still fails
    Hunt {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 10)]
        to: u64,
    },
    /// Play a random scenario for each seed; save those that fail as files
    Soak {
        /// First and last seed, such as 1..50
        #[arg(long, default_value = "1..50", value_parser = seeds)]
        seeds: (u64, u64),
        /// Number of concurrent plays
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Folder for scenarios that fail
        #[arg(long, default_value = "found")]
        out: PathBuf,
        /// Remove faults from them one by one while they still fail; each attempt is a play
        #[arg(long)]
        shrink: bool,
        /// Draw stops of dispatchers with drains and purges instead of all kinds of faults
        #[arg(long)]
        stops: bool,
    },
    /// Play two scenarios on the same seeds, concurrently for each seed, and print their figures side by side
    Compare {
        first: PathBuf,
        second: PathBuf,
        /// First and last seed, such as 1..5
        #[arg(long, default_value = "1..5", value_parser = seeds)]
        seeds: (u64, u64),
        /// Folder in which to keep the folders of all plays; deleted if not given
        #[arg(long)]
        logs: Option<PathBuf>,
    },
}

/// The program, and the older build.
type Builds<'a> = (&'a Path, Option<&'a Path>);

/// Plays a scenario, prints its figures and returns the violations.
fn play_once(
    scenario: &Scenario,
    (program, other): Builds,
    seed: u64,
    logs: Option<&Path>,
) -> Result<Vec<String>, String> {
    let own = tempfile::tempdir().map_err(|error| error.to_string())?;
    let folder = logs.unwrap_or(own.path());
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let played = play::play(scenario, play::Setup { program, older_program: other, folder, seed })
        .map_err(|error| error.to_string())?;
    judge::figures(&played).iter().for_each(|line| println!("  {line}"));
    Ok(judge::judge(scenario, &played))
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let both = text.split_once("..").map(|(from, to)| (from.parse(), to.trim_start_matches('=').parse()));
    match both {
        Some((Ok(from), Ok(to))) if from <= to => Ok((from, to)),
        _ => Err("expected FROM..TO, such as 1..5".to_owned()),
    }
}

/// Plays both on each seed; the table, and whether all held in both.
fn compare(
    both: [(&str, Scenario); 2],
    builds: Builds,
    (from, to): (u64, u64),
    logs: Option<&Path>,
) -> Result<bool, String> {
    let play_one = |(name, scenario): &(&str, Scenario), seed: u64| {
        let own = tempfile::tempdir().map_err(|error| error.to_string())?;
        let kept = logs.map(|logs| logs.join(format!("{name}-{seed}")));
        let folder = kept.as_deref().unwrap_or(own.path());
        std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let (program, other) = builds;
        let played = play::play(scenario, play::Setup { program, older_program: other, folder, seed })
            .map_err(|error| error.to_string())?;
        Ok::<_, String>((compare::figures(scenario, &played), judge::judge(scenario, &played)))
    };
    let (mut found, mut held) = (Vec::new(), true);
    for seed in from..=to {
        let played = std::thread::scope(|scope| {
            let first = scope.spawn(|| play_one(&both[0], seed));
            let second = play_one(&both[1], seed);
            [first.join().unwrap_or(Err("a play panicked".to_owned())), second]
        });
        let [first, second] = played;
        let [(first, violations), (second, also)] = [first?, second?];
        for (violations, (name, _)) in [violations, also].into_iter().zip(&both) {
            if !violations.is_empty() {
                println!("{name} seed {seed}:");
                print_violations(&violations);
                held = false;
            }
        }
        found.push((seed, [first, second]));
    }
    println!("{}", compare::table([both[0].0, both[1].0], &found));
    Ok(held)
}

/// How scenarios are drawn, and where those that fail are saved.
struct FailedSeeds<'a> {
    draw: fn(u64) -> String,
    out: &'a Path,
    /// Whether faults are removed while they still fail.
    shrink: bool,
}

/// Plays the scenarios of all seeds; returns whether there was no violation.
fn soak(builds: Builds, (from, to): (u64, u64), jobs: usize, saving: &FailedSeeds) -> Result<bool, String> {
    let next = AtomicU64::new(from);
    let (report, failed_seeds) = (Mutex::new(Report::default()), Mutex::new(Vec::new()));
    let failed: Mutex<Option<String>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed > to || lock(&failed).is_some() {
                    return;
                }
                match soak_one(builds, seed, saving, &report) {
                    Ok(violations) if violations.is_empty() => println!("seed {seed}: held"),
                    Ok(violations) => {
                        println!("seed {seed}: BROKEN");
                        print_violations(&violations);
                        lock(&failed_seeds).push(seed);
                    }
                    Err(error) => *lock(&failed) = Some(format!("seed {seed}: {error}")),
                }
            });
        }
    });
    if let Some(error) = lock(&failed).take() {
        return Err(error);
    }
    lock(&report).lines().iter().for_each(|line| println!("  {line}"));
    let failed_seeds = std::mem::take(&mut *lock(&failed_seeds));
    for seed in &failed_seeds {
        let path = save_scenario(builds, *seed, saving)?;
        println!("seed {seed}: replay it with {}", path.display());
    }
    println!("{} of {} seeds held", to + 1 - from - failed_seeds.len() as u64, to + 1 - from);
    Ok(failed_seeds.is_empty())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays the scenario of a seed; the logs of one that fails are kept.
fn soak_one(
    builds: Builds,
    seed: u64,
    saving: &FailedSeeds,
    report: &Mutex<Report>,
) -> Result<Vec<String>, String> {
    let scenario = notation::parse(&(saving.draw)(seed)).map_err(|error| error.to_string())?;
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let (program, other) = builds;
    let setup = play::Setup { program, older_program: other, folder: folder.path(), seed };
    let played = play::play(&scenario, setup).map_err(|error| error.to_string())?;
    lock(report).add(&scenario, &played);
    let violations = judge::judge(&scenario, &played);
    if !violations.is_empty() {
        println!("seed {seed}: its logs are kept in {}", folder.keep().display());
    }
    Ok(violations)
}

/// Saves the scenario of a seed as a file; with `shrink`, without the faults that are not needed to make it
/// fail.
fn save_scenario(
    builds: Builds,
    seed: u64,
    &FailedSeeds { draw, out, shrink }: &FailedSeeds,
) -> Result<PathBuf, String> {
    let mut text = draw(seed);
    let mut fault = 0;
    while let Some(fewer) = soak::without_fault(&text, fault).filter(|_| shrink) {
        let scenario = notation::parse(&fewer).map_err(|error| error.to_string())?;
        if play_once(&scenario, builds, seed, None)?.is_empty() {
            fault += 1;
        } else {
            text = fewer;
        }
    }
    let path = out.join(format!("soak-{seed}.bed"));
    std::fs::create_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
    let text = format!("# Generated by the soak with seed {seed}; play it with --seed {seed}.\n{text}");
    std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(path)
}

fn print_violations(violations: &[String]) {
    violations.iter().take(20).for_each(|line| println!("BROKEN {line}"));
    if violations.len() > 20 {
        println!("BROKEN and {} more", violations.len() - 20);
    }
}

fn run(cli: Cli) -> Result<bool, String> {
    let read = |file: &Path| {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
        notation::parse(&text).map_err(|error| format!("{}: {error}", file.display()))
    };
    let builds = (&*cli.program, cli.other.as_deref());
    match cli.command {
        Command::Play { file, seed, logs } => {
            let violations = play_once(&read(&file)?, builds, seed, logs.as_deref())?;
            print_violations(&violations);
            println!(
                "{} seed {seed}: {}",
                file.display(),
                if violations.is_empty() { "held" } else { "BROKEN" }
            );
            Ok(violations.is_empty())
        }
        Command::Compare { first, second, seeds, logs } => {
            let name = |file: &Path| file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let names = [name(&first), name(&second)];
            let both = [(&names[0][..], read(&first)?), (&names[1][..], read(&second)?)];
            compare(both, builds, seeds, logs.as_deref())
        }
        Command::Soak { seeds, jobs, out, shrink, stops } => {
            let draw = if stops { stop_draw::scenario } else { soak::scenario };
            soak(builds, seeds, jobs, &FailedSeeds { draw, out: &out, shrink })
        }
        Command::Hunt { file, from, to } => {
            let scenario = read(&file)?;
            for seed in from..=to {
                let violations = play_once(&scenario, builds, seed, None)?;
                println!("seed {seed}: {}", if violations.is_empty() { "held" } else { "BROKEN" });
                if !violations.is_empty() {
                    print_violations(&violations);
                    let minimal = shrink(scenario, builds, seed)?;
                    println!("seed {seed}, a minimal set of faults that still fails:");
                    minimal.faults.iter().for_each(|planned| println!("  {planned:?}"));
                    return Ok(false);
                }
            }
            Ok(true)
        }
    }
}

/// Removes faults one by one as long as the play still fails.
fn shrink(mut scenario: Scenario, builds: Builds, seed: u64) -> Result<Scenario, String> {
    let mut index = 0;
    while index < scenario.faults.len() {
        let mut fewer = scenario.clone();
        fewer.faults.remove(index);
        if play_once(&fewer, builds, seed, None)?.is_empty() {
            index += 1;
        } else {
            scenario = fewer;
        }
    }
    Ok(scenario)
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("faultbed: {error}");
            ExitCode::from(2)
        }
    }
}
