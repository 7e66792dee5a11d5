#![forbid(unsafe_code)]
use cherrypass_faultbed::notation::{self, Scenario};
use cherrypass_faultbed::soak_report::Report;
use cherrypass_faultbed::{compare, judge, play, soak};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Plays several processes of cherrypass with faults between them.
#[derive(Parser)]
#[command(name = "faultbed", version)]
struct Cli {
    /// The built program
    #[arg(long, default_value = "target/release/cherrypass", global = true)]
    program: PathBuf,
    /// The older build where a scenario has one; without it, the program in form 1
    #[arg(long, global = true)]
    other: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario once, and say what did not hold
    Play {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where configurations, logs and event logs stay; else they go
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Play many seeds; where one fails, drop faults one after another while it still does
    Hunt {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 10)]
        to: u64,
    },
    /// Play a scenario drawn by each seed; a red one is left as a file with as few faults as still break it
    Soak {
        /// From and to, such as 1..50; both are played
        #[arg(long, default_value = "1..50", value_parser = seeds)]
        seeds: (u64, u64),
        /// How many are played at once
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Where scenarios that break are left
        #[arg(long, default_value = "found")]
        out: PathBuf,
        /// Leave faults out of them one after another while they still break; each try is a play
        #[arg(long)]
        shrink: bool,
    },
    /// Play two scenarios on the same seeds, both of a seed at once, and print what came of each side by side
    Compare {
        first: PathBuf,
        second: PathBuf,
        /// From and to, such as 1..5; both are played
        #[arg(long, default_value = "1..5", value_parser = seeds)]
        seeds: (u64, u64),
        /// Where the folders of all plays stay; else they go
        #[arg(long)]
        logs: Option<PathBuf>,
    },
}

/// The program, and the older build.
type Builds<'a> = (&'a Path, Option<&'a Path>);

/// What did not hold, after the figures were printed where they are wanted.
fn once(
    scenario: &Scenario,
    (program, other): Builds,
    seed: u64,
    logs: Option<&Path>,
) -> Result<Vec<String>, String> {
    let own = tempfile::tempdir().map_err(|error| error.to_string())?;
    let folder = logs.unwrap_or(own.path());
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let played = play::play(scenario, play::Stage { program, other, folder, seed })
        .map_err(|error| error.to_string())?;
    judge::figures(&played).iter().for_each(|line| println!("  {line}"));
    Ok(judge::judge(scenario, &played))
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let both = text.split_once("..").map(|(from, to)| (from.parse(), to.trim_start_matches('=').parse()));
    match both {
        Some((Ok(from), Ok(to))) if from <= to => Ok((from, to)),
        _ => Err("FROM..TO is expected, such as 1..5".to_owned()),
    }
}

/// Plays both on each seed; the table, and whether all held in both.
fn compare(
    both: [(&str, Scenario); 2],
    builds: Builds,
    (from, to): (u64, u64),
    logs: Option<&Path>,
) -> Result<bool, String> {
    let one = |(name, scenario): &(&str, Scenario), seed: u64| {
        let own = tempfile::tempdir().map_err(|error| error.to_string())?;
        let kept = logs.map(|logs| logs.join(format!("{name}-{seed}")));
        let folder = kept.as_deref().unwrap_or(own.path());
        std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let (program, other) = builds;
        let played = play::play(scenario, play::Stage { program, other, folder, seed })
            .map_err(|error| error.to_string())?;
        Ok::<_, String>((compare::counted(scenario, &played), judge::judge(scenario, &played)))
    };
    let (mut found, mut held) = (Vec::new(), true);
    for seed in from..=to {
        let played = std::thread::scope(|scope| {
            let first = scope.spawn(|| one(&both[0], seed));
            let second = one(&both[1], seed);
            [first.join().unwrap_or(Err("a play came to no end".to_owned())), second]
        });
        let [first, second] = played;
        let [(first, broken), (second, also)] = [first?, second?];
        for (broken, (name, _)) in [broken, also].into_iter().zip(&both) {
            if !broken.is_empty() {
                println!("{name} seed {seed}:");
                told(&broken);
                held = false;
            }
        }
        found.push((seed, [first, second]));
    }
    println!("{}", compare::table([both[0].0, both[1].0], &found));
    Ok(held)
}

/// Plays the seeds, so many at once; whether all held.
fn soak(
    builds: Builds,
    (from, to): (u64, u64),
    jobs: usize,
    (out, shrink): (&Path, bool),
) -> Result<bool, String> {
    let next = AtomicU64::new(from);
    let (report, red) = (Mutex::new(Report::default()), Mutex::new(Vec::new()));
    let failed: Mutex<Option<String>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed > to || lock(&failed).is_some() {
                    return;
                }
                match soak_one(builds, seed, &report) {
                    Ok(broken) if broken.is_empty() => println!("seed {seed}: held"),
                    Ok(broken) => {
                        println!("seed {seed}: BROKEN");
                        told(&broken);
                        lock(&red).push(seed);
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
    let red = std::mem::take(&mut *lock(&red));
    for seed in &red {
        let path = leave(builds, *seed, out, shrink)?;
        println!("seed {seed}: {} replays it", path.display());
    }
    println!("{} of {} seeds held", to + 1 - from - red.len() as u64, to + 1 - from);
    Ok(red.is_empty())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn soak_one(builds: Builds, seed: u64, report: &Mutex<Report>) -> Result<Vec<String>, String> {
    let scenario = notation::read(&soak::scenario(seed)).map_err(|error| error.to_string())?;
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let (program, other) = builds;
    let stage = play::Stage { program, other, folder: folder.path(), seed };
    let played = play::play(&scenario, stage).map_err(|error| error.to_string())?;
    lock(report).add(&scenario, &played);
    Ok(judge::judge(&scenario, &played))
}

/// Leaves a seed's scenario as a file; where it is to be shrunk, without each fault that it breaks without as well.
fn leave(builds: Builds, seed: u64, out: &Path, shrink: bool) -> Result<PathBuf, String> {
    let mut text = soak::scenario(seed);
    let mut fault = 0;
    while let Some(fewer) = soak::without(&text, fault).filter(|_| shrink) {
        let scenario = notation::read(&fewer).map_err(|error| error.to_string())?;
        if once(&scenario, builds, seed, None)?.is_empty() {
            fault += 1;
        } else {
            text = fewer;
        }
    }
    let path = out.join(format!("soak-{seed}.bed"));
    std::fs::create_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
    let text = format!("# Drawn by the soak of seed {seed}: play it with --seed {seed}.\n{text}");
    std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(path)
}

fn told(broken: &[String]) {
    broken.iter().take(20).for_each(|line| println!("BROKEN {line}"));
    if broken.len() > 20 {
        println!("BROKEN and {} more", broken.len() - 20);
    }
}

fn run(cli: Cli) -> Result<bool, String> {
    let read = |file: &Path| {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
        notation::read(&text).map_err(|error| format!("{}: {error}", file.display()))
    };
    let builds = (&*cli.program, cli.other.as_deref());
    match cli.command {
        Command::Play { file, seed, logs } => {
            let broken = once(&read(&file)?, builds, seed, logs.as_deref())?;
            told(&broken);
            println!("{} seed {seed}: {}", file.display(), if broken.is_empty() { "held" } else { "BROKEN" });
            Ok(broken.is_empty())
        }
        Command::Compare { first, second, seeds, logs } => {
            let name = |file: &Path| file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let names = [name(&first), name(&second)];
            let both = [(&names[0][..], read(&first)?), (&names[1][..], read(&second)?)];
            compare(both, builds, seeds, logs.as_deref())
        }
        Command::Soak { seeds, jobs, out, shrink } => soak(builds, seeds, jobs, (&out, shrink)),
        Command::Hunt { file, from, to } => {
            let scenario = read(&file)?;
            for seed in from..=to {
                let broken = once(&scenario, builds, seed, None)?;
                println!("seed {seed}: {}", if broken.is_empty() { "held" } else { "BROKEN" });
                if !broken.is_empty() {
                    told(&broken);
                    let least = shrink(scenario, builds, seed)?;
                    println!("seed {seed}, the fewest faults that still break it:");
                    least.faults.iter().for_each(|planned| println!("  {planned:?}"));
                    return Ok(false);
                }
            }
            Ok(true)
        }
    }
}

/// Drops one fault after another as long as something is still broken.
fn shrink(mut scenario: Scenario, builds: Builds, seed: u64) -> Result<Scenario, String> {
    let mut place = 0;
    while place < scenario.faults.len() {
        let mut fewer = scenario.clone();
        fewer.faults.remove(place);
        if once(&fewer, builds, seed, None)?.is_empty() {
            place += 1;
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
