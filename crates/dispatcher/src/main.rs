//! The `cherrypass` command line.
#![forbid(unsafe_code)]
use cherrypass_dispatcher::config::{Config, Error};
use cherrypass_dispatcher::durable_state::StateStore;
use cherrypass_dispatcher::startup::Dispatcher;
use cherrypass_dispatcher::{console, fleet_connection, logger, rollout_commands, signals, store_commands};
use cherrypass_operator as operator;
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// A traffic router for a two-tier cache.
#[derive(Parser)]
#[command(name = "cherrypass", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one dispatcher until SIGTERM
    Serve {
        #[command(flatten)]
        files: Files,
        /// Log level: error, warn, info, debug (adds each attempt with its timings) or off
        #[arg(long, env = "CHERRYPASS_LOG", default_value = "info")]
        log: LevelFilter,
        /// Format of log lines
        #[arg(long, value_enum, default_value_t)]
        log_format: logger::Format,
        /// If the configuration is invalid, start with the last valid one from the operators' store
        #[arg(long)]
        last_good: bool,
    },
    /// Validate a configuration and the operators' file and print a summary, without serving
    Check {
        #[command(flatten)]
        files: Files,
    },
    /// Inspect the operators' file
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Inspect and maintain the persistent store
    #[command(subcommand)]
    Store(store_commands::Command),
    /// Roll out new rules to the whole fleet in stages
    Rollout(rollout_commands::Rollout),
    /// Print the version
    Version,
}

#[derive(Args)]
struct Files {
    /// Path of the configuration, a JSON file
    #[arg(long, env = "GW_CONFIG")]
    config: Option<PathBuf>,
    /// Path of the operators' file, in Jsonnet; every feature it configures is off without one
    #[arg(long, env = "CHERRYPASS_OPERATOR")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print the operators' file as evaluated JSON
    Show {
        #[arg(long, env = "CHERRYPASS_OPERATOR")]
        operator: PathBuf,
    },
}

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_CONFIGURATION: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve { files, log, log_format, last_good } => serve(files, log, log_format, last_good),
        Command::Check { files } => check(files),
        Command::Config(ConfigCommand::Show { operator }) => show_operator_file(&operator),
        Command::Store(command) => store_commands::run(command),
        Command::Rollout(rollout) => rollout_commands::run(rollout),
        Command::Version => {
            let faults = if cfg!(feature = "faults") { " with faults" } else { "" };
            exit_code(console::print(format_args!("cherrypass {}{faults}", env!("CARGO_PKG_VERSION"))))
        }
    }
}

fn fail_configuration(error: impl std::fmt::Display) -> ExitCode {
    console::print_error(format_args!("cherrypass: {error}"));
    ExitCode::from(EXIT_BAD_CONFIGURATION)
}

fn serve(files: Files, level: LevelFilter, format: logger::Format, last_good: bool) -> ExitCode {
    let operator = match files.operator.as_deref().map(operator::load).transpose() {
        Ok(operator) => operator.unwrap_or_default(),
        Err(error) => return fail_configuration(error),
    };
    let log = logger::start(level, format);
    let kept = operator.store.map(StateStore::open);
    let loaded =
        files.config.ok_or(Error::NoConfigurationFile).and_then(|path| match Config::load_text(&path) {
            Ok((config, text)) => Ok((path, config, text)),
            Err(error) if last_good => {
                let version = kept.as_ref().and_then(StateStore::last_good).ok_or(error)?;
                let config = Config::decode(&version.text)?;
                tracing::warn!(
                    "invalid configuration, starting with number {}, in force since {}, instead",
                    version.number,
                    version.in_force_since
                );
                Ok((path, config, version.text))
            }
            Err(error) => Err(error),
        });
    let (path, mut config, text) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            drop(log);
            return fail_configuration(error);
        }
    };
    let fleet =
        operator.fleet.map(|fleet| fleet_connection::fleet_settings(&fleet, &config).map(|set| (fleet, set)));
    let fleet = match fleet.transpose() {
        Ok(fleet) => fleet,
        Err(error) => {
            drop(log);
            return fail_configuration(error);
        }
    };
    let listen = config.listen;
    let started = signals::register().and_then(|signals| {
        let (dispatcher, targets) = Dispatcher::start(config.clone(), kept.clone(), fleet)?;
        config.known_changes = serde_json::Value::Null;
        if let Some(kept) = &kept {
            kept.record_configuration(&path, &text);
        }
        signals::handle_in_thread(signals, path, config, kept.clone(), targets)?;
        Ok(dispatcher)
    });
    match started {
        Ok(dispatcher) => {
            dispatcher.run();
            kept.iter().for_each(StateStore::close);
            drop(log);
            ExitCode::SUCCESS
        }
        Err(error) => {
            drop(log);
            console::print_error(format_args!("cherrypass: can't serve on {listen}: {error}"));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn check(files: Files) -> ExitCode {
    let config = files.config.ok_or(Error::NoConfigurationFile).and_then(|path| Config::load(&path));
    let config = match config.and_then(|config| config.check_known().map(|()| config)) {
        Ok(config) => config,
        Err(error) => return fail_configuration(error),
    };
    let operator = match files.operator.as_deref().map(operator::load).transpose() {
        Ok(operator) => operator.unwrap_or_default(),
        Err(error) => return fail_configuration(error),
    };
    if let Some(Err(error)) =
        operator.fleet.as_ref().map(|fleet| fleet_connection::fleet_settings(fleet, &config))
    {
        return fail_configuration(error);
    }
    let lines = [summarize_config(&config), summarize_store(operator.store), summarize_fleet(operator.fleet)];
    exit_code(console::print(lines.join("\n")))
}

fn summarize_config(config: &Config) -> String {
    format!(
        "{} on {}: {} classes, {} dispatchers; {} clients, {} connections to hosts, {} kB unread at most",
        config.name,
        config.listen,
        config.names.classes.len(),
        config.settings.dispatchers,
        config.max_clients,
        config.host_connections.max_connections,
        config.max_unread_bytes / 1024
    )
}

fn summarize_store(store: Option<operator::Store>) -> String {
    store.map_or("no store".to_owned(), |store| {
        format!("store in {}: hand-offs {:?}", store.dir.display(), store.hand_offs)
    })
}

fn summarize_fleet(fleet: Option<operator::Fleet>) -> String {
    fleet.map_or("no fleet".to_owned(), |fleet| {
        format!(
            "fleet {} as {} on {}: {} members, {} followers; limits {}, verdicts {}, rollout {}",
            fleet.name,
            fleet.own_name,
            fleet.listen,
            fleet.members.len(),
            fleet.followers.len(),
            on_off(fleet.limits.is_some()),
            on_off(fleet.verdicts.is_some()),
            on_off(fleet.rollout.is_some())
        )
    })
}

fn exit_code(has_succeeded: bool) -> ExitCode {
    if has_succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    }
}

fn on_off(is_on: bool) -> &'static str {
    if is_on {
        "on"
    } else {
        "off"
    }
}

fn show_operator_file(path: &Path) -> ExitCode {
    let shown = operator::evaluate(path).and_then(|value| {
        operator::decode(&path.display().to_string(), value.clone())?;
        Ok(value)
    });
    match shown {
        Ok(value) => exit_code(console::print(format_args!("{value:#}"))),
        Err(error) => fail_configuration(error),
    }
}
