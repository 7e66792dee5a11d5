//! Command-line tool that runs the measurements and prints or saves their results.
#![forbid(unsafe_code)]
use cap::Cap;
use cherrypass_scale::error::{io_error, Error};
use cherrypass_scale::processes::{self, settings::ProcessesRun, ProcessesResult};
use cherrypass_scale::report::Results;
use cherrypass_scale::settings::{self, Settings};
use cherrypass_scale::virtual_time::{self, Subsystems, VirtualRunParameters};
use cherrypass_scale::{decisions, delivery, delivery_sockets, run, state};
use clap::{Parser, ValueEnum};
use std::alloc::System;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Counts heap bytes.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

const EXIT_ERROR: u8 = 2;
/// Time for all simulated followers to find a carrier.
const DELIVERY_SETTLE_S: f64 = 5.0;

/// Measures the cost of control traffic in large fleets: simulated and real dispatchers on loopback, the same
/// subsystems in virtual time, the cost of decisions, and linear fits of the results (docs/CAPACITY.md)
#[derive(Parser)]
#[command(name = "scale", version)]
struct Cli {
    /// Settings, a Jsonnet file
    #[arg(default_value = "crates/scale/settings/full.jsonnet")]
    settings: PathBuf,
    /// The dispatcher's binary
    #[arg(long, default_value = "target/release/cherrypass")]
    program: PathBuf,
    /// Overrides the settings' seed
    #[arg(long)]
    seed: Option<u64>,
    /// Run only these parts of the settings
    #[arg(long, value_enum)]
    only: Vec<Part>,
    /// Write all results as JSON to this file; `-` prints them in place of the tables
    #[arg(long)]
    json: Option<PathBuf>,
    /// Print the combined tables of earlier results without a run
    #[arg(long)]
    tables: Vec<PathBuf>,
    /// Run followers as described by this file; used internally for child processes
    #[arg(long, hide = true)]
    followers: Option<PathBuf>,
    /// Print no progress
    #[arg(long)]
    quiet: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Part {
    Sockets,
    Virtual,
    Delivery,
    Processes,
    State,
    Decisions,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run_parts(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn progress(quiet: bool) -> impl Fn(&str) {
    let on_terminal = std::io::stderr().is_terminal();
    move |line: &str| match (quiet, on_terminal) {
        (true, _) => {}
        (false, true) => {
            eprint!("\r\x1b[K{line}");
            let _ = std::io::stderr().flush();
        }
        (false, false) => eprintln!("{line}"),
    }
}

/// Merges the results of earlier runs.
fn load_results(files: &[PathBuf]) -> Result<Results, Error> {
    let mut all = Results::default();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(io_error("a results file"))?;
        let results = serde_json::from_str::<Results>(&text);
        all.add(results.map_err(|error| io_error("a results file")(error.into()))?);
    }
    Ok(all)
}

fn run_parts(cli: &Cli) -> Result<(), Error> {
    if !cli.tables.is_empty() {
        return print_results(cli.json.as_deref(), &load_results(&cli.tables)?);
    }
    if let Some(config) = &cli.followers {
        return processes::followers::run(config);
    }
    let mut settings = settings::load(&cli.settings)?;
    settings.seed = cli.seed.unwrap_or(settings.seed);
    // Check all sizes before the first run starts.
    check_bounds(&settings)?;
    let progress = progress(cli.quiet);
    let is_selected = |part| cli.only.is_empty() || cli.only.contains(&part);
    let mut results = Results { seed: settings.seed, ..Results::default() };
    if is_selected(Part::Sockets) {
        run_sockets(&settings, cli, &progress, &mut results)?;
    }
    let allocated = || HEAP.allocated();
    for run in settings.virtual_runs.iter().filter(|_| is_selected(Part::Virtual)) {
        progress(&format!("{} members in virtual time", run.size));
        let parameters = VirtualRunParameters {
            size: run.size,
            subsystems: Subsystems::All,
            feed_sources: run.feed_sources,
            settle_s: run.settle_s,
            seconds: run.seconds,
        };
        results.virtual_runs.push(virtual_time::run(
            &settings.topology,
            &parameters,
            settings.seed,
            &allocated,
        ));
    }
    for run in settings.delivery.iter().filter(|_| is_selected(Part::Delivery)) {
        progress(&format!("delivery to {} followers by {} carriers", run.followers, run.carriers));
        results.delivery.push(delivery::run(run, settings.seed, &allocated));
        if let Some(seconds) = run.socket_seconds {
            progress(&format!("delivery to {} followers on sockets", run.followers));
            let result = delivery_sockets::run(run, DELIVERY_SETTLE_S, seconds, settings.seed)?;
            results.delivery_sockets.push(result);
        }
    }
    for run in settings.processes.iter().filter(|_| is_selected(Part::Processes)) {
        results.processes.push(run_processes(&settings, run, cli, &progress)?);
    }
    for size in settings.state.iter().filter(|_| is_selected(Part::State)) {
        progress(&format!("heap usage of {size} members"));
        results.state.push(state::measure(&settings.topology, *size, settings.seed, &allocated));
    }
    for decisions in settings.decisions.iter().filter(|_| is_selected(Part::Decisions)) {
        let pairs = decisions
            .locations
            .iter()
            .flat_map(|locations| decisions.hosts.iter().map(move |hosts| (*hosts, *locations)));
        // Skip locations too small for a meaningful decision.
        for (hosts, locations) in pairs.filter(|(hosts, locations)| *hosts >= 4 * locations) {
            progress(&format!("decisions with {hosts} hosts over {locations} locations"));
            let cost = decisions::measure(hosts, locations, decisions.visits, settings.seed);
            results.decisions.push(cost);
        }
    }
    progress("done");
    print_results(cli.json.as_deref(), &results)
}

fn check_bounds(settings: &Settings) -> Result<(), Error> {
    let on_sockets = settings.sockets.iter();
    let on_sockets =
        on_sockets.flat_map(|sockets| sockets.sizes.iter().map(|size| (*size, sockets.real_dispatchers)));
    let others = settings.virtual_runs.iter().map(|run| run.size).chain(settings.state.iter().copied());
    let all = on_sockets.chain(others.map(|size| (size, 0)));
    settings.processes.iter().try_for_each(|run| processes::check_bounds(run, &settings.bounds))?;
    all.into_iter().try_for_each(|(size, real)| run::check_bounds(size, real, &settings.bounds))
}

fn run_processes(
    settings: &Settings,
    run: &ProcessesRun,
    cli: &Cli,
    progress: &dyn Fn(&str),
) -> Result<ProcessesResult, Error> {
    let tool = std::env::current_exe().map_err(io_error("this tool's executable"))?;
    let zones: Vec<String> = settings.topology.zones.iter().map(|zone| zone.name.clone()).collect();
    let (program, seed, bounds) = (cli.program.as_path(), settings.seed, &settings.bounds);
    processes::run(&processes::RunContext {
        program,
        tool: &tool,
        settings: run,
        zones: &zones,
        seed,
        bounds,
        progress,
    })
}

fn run_sockets(
    settings: &Settings,
    cli: &Cli,
    progress: &dyn Fn(&str),
    results: &mut Results,
) -> Result<(), Error> {
    let Some(sockets) = &settings.sockets else { return Ok(()) };
    results.fit_to = sockets.fit_to;
    let program = cli.program.as_path();
    let context = |size| run::RunContext { program, settings, sockets, size, progress };
    for size in &sockets.sizes {
        results.sockets.push(run::run(&context(*size))?);
        // Keep these results if a later size aborts.
        if let Some(path) = cli.json.as_deref().filter(|path| *path != Path::new("-")) {
            save(path, results)?;
        }
    }
    Ok(())
}

fn save(path: &Path, results: &Results) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(results).unwrap_or_default();
    std::fs::write(path, text).map_err(io_error("the results file"))
}

fn print_results(json: Option<&Path>, results: &Results) -> Result<(), Error> {
    match json {
        Some(path) if path == Path::new("-") => {
            println!("{}", serde_json::to_string_pretty(results).unwrap_or_default())
        }
        Some(path) => {
            save(path, results)?;
            println!("{}", results.text());
        }
        None => println!("{}", results.text()),
    }
    Ok(())
}
