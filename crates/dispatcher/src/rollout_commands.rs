//! The commands `cherrypass rollout …`: send orders to a dispatcher's control listener and print the
//! rollout's status.
use crate::console;
use cherrypass_operator::rules::{self, Document};
use cherrypass_operator::{self as operator, Fleet};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const REQUEST_TIMEOUT_S: u64 = 5;
const ADDRESS_HINT: &str = "is this the address of fleet.control?";

/// Arguments of `cherrypass rollout`.
#[derive(Args)]
pub struct Rollout {
    /// The dispatcher's control address, fleet.control in its operators' file
    #[arg(long, env = "CHERRYPASS_CONTROL", global = true)]
    control: Option<SocketAddr>,
    /// The dispatcher's operators' file, for the control address, the default plan and the check of the rules
    #[arg(long, env = "CHERRYPASS_OPERATOR", global = true)]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start the rollout of a Jsonnet document { number, rules, plan }
    Start { file: PathBuf },
    /// Print the status of the rollout; exits with 3 if it is halted
    Status {
        /// Print the dispatcher's full status as JSON
        #[arg(long)]
        json: bool,
    },
    /// Halt the rollout
    Halt,
    /// Resume the rollout after a halt
    Resume,
    /// Put the previous rules in force everywhere
    Back,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Operator(operator::Error),
    #[error("no control address: give --control, or --operator with a file that sets fleet.control")]
    NoAddress,
    #[error("{0}: {1}; correct the document")]
    Document(String, String),
    #[error("{0}: {1}")]
    Rules(String, rules::Error),
    #[error("{0} does not answer: {1}; is the dispatcher running, and {ADDRESS_HINT}")]
    Unreachable(SocketAddr, minreq::Error),
    #[error("{0}: {1}")]
    Refused(SocketAddr, String),
    #[error("{0} does not answer as a dispatcher does; {ADDRESS_HINT}")]
    UnexpectedAnswer(SocketAddr),
    #[error("its status was not printed")]
    Output,
    #[error("rules {0} are halted: {1}; see `rollout resume` and `rollout back`")]
    Halted(u64, String),
}

impl Failure {
    /// Exit code: 1 for a failure, 2 for bad input, 3 for a halted rollout.
    fn exit_code(&self) -> u8 {
        match self {
            Failure::Operator(_) | Failure::NoAddress | Failure::Document(..) | Failure::Rules(..) => 2,
            Failure::Refused(_, reason) if is_bad_input(reason) => 2,
            Failure::Refused(..) | Failure::Unreachable(..) | Failure::UnexpectedAnswer(_) => 1,
            Failure::Output => 1,
            Failure::Halted(..) => 3,
        }
    }
}

/// Whether an order was refused because it is invalid in itself.
fn is_bad_input(reason: &str) -> bool {
    let codes = ["number", "older", "long", "first", "hold", "location", "twice", "missing"];
    let code = reason.strip_prefix("rollout-").and_then(|rest| rest.split(':').next());
    code.is_some_and(|code| codes.contains(&code))
        || ["the order ", "plan."].iter().any(|prefix| reason.starts_with(prefix))
}

pub fn run(rollout: Rollout) -> ExitCode {
    match execute(&rollout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            console::print_error(format_args!("cherrypass rollout: {failure}"));
            ExitCode::from(failure.exit_code())
        }
    }
}

fn execute(rollout: &Rollout) -> Result<(), Failure> {
    let file = rollout.operator.as_deref().map(operator::load).transpose().map_err(Failure::Operator)?;
    let fleet = file.and_then(|file| file.fleet);
    let configured = fleet.as_ref().and_then(|fleet| fleet.control);
    let control = rollout.control.or(configured).ok_or(Failure::NoAddress)?;
    let order = match &rollout.command {
        Command::Start { file } => start_order(file, fleet.as_ref())?,
        Command::Status { json } => {
            let status = request(control, None)?;
            let is_printed = match json {
                true => console::print(format_args!("{status:#}")),
                false => console::print(summary(&status["rollout"])),
            };
            if !is_printed {
                return Err(Failure::Output);
            }
            return check_halted(&status["rollout"]);
        }
        Command::Halt => json!({ "order": "halt" }),
        Command::Resume => json!({ "order": "resume" }),
        Command::Back => json!({ "order": "back" }),
    };
    let status = request(control, Some(order.to_string()))?;
    // The order is accepted whether or not that can be printed.
    console::print(format_args!("order accepted; {}", summary(&status["rollout"])));
    Ok(())
}

/// Builds the order that starts the rollout of a document.
fn start_order(path: &Path, fleet: Option<&Fleet>) -> Result<Value, Failure> {
    let name = path.display().to_string();
    let value = operator::evaluate(path).map_err(|error| match error {
        operator::Error::Unreadable(file, error) => Failure::Document(file, error.to_string()),
        operator::Error::EvaluationFailed(file, what) => Failure::Document(file, what),
        other => Failure::Operator(other),
    })?;
    let invalid = |error| Failure::Rules(name.clone(), error);
    let Document { number, rules, plan } = rules::decode_document(value, fleet).map_err(invalid)?;
    let plan = plan.with_defaults(fleet.and_then(|fleet| fleet.rollout.as_ref())).map_err(invalid)?;
    let first_stage_permille = (plan.first_stage_fraction * 1000.0).round().max(1.0) as u16;
    let reverts = plan.after_halt == operator::fleet::AfterHalt::Revert;
    Ok(json!({ "order": "start", "number": number, "text": rules.to_string(), "plan": {
        "order": plan.order, "first": first_stage_permille, "hold_s": plan.min_stage_seconds,
        "visits": plan.min_stage_visits, "back_after_halt": reverts } }))
}

/// Sends an order, if any, and returns the dispatcher's status.
fn request(control: SocketAddr, order: Option<String>) -> Result<Value, Failure> {
    let request = match order {
        Some(order) => minreq::post(format!("http://{control}/rollout")).with_body(order),
        None => minreq::get(format!("http://{control}/status")),
    };
    let request = request.with_timeout(REQUEST_TIMEOUT_S).with_max_headers_size(64 << 10);
    let answer = request.send().map_err(|error| Failure::Unreachable(control, error))?;
    let text = answer.as_str().map_err(|_| Failure::UnexpectedAnswer(control))?;
    if answer.status_code != 200 {
        let line: String = text.trim().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
        return Err(Failure::Refused(control, line));
    }
    let status: Value = serde_json::from_str(text).map_err(|_| Failure::UnexpectedAnswer(control))?;
    if status.get("rollout").is_none() {
        return Err(Failure::UnexpectedAnswer(control));
    }
    Ok(status)
}

/// A one-line summary of the rollout's status.
fn summary(rollout: &Value) -> String {
    let Some(number) = rollout["number"].as_u64() else {
        return "this dispatcher takes no part in rollouts".to_owned();
    };
    let phase = rollout["phase"].as_str().unwrap_or_default();
    let (stage, stages) = (rollout["stage"].as_u64().unwrap_or(0), rollout["stages"].as_u64().unwrap_or(0));
    let in_force = rollout["in_force"].as_u64().unwrap_or(0);
    let mut line = match (number, phase) {
        (0, _) => "no rules have been rolled out yet".to_owned(),
        (_, "rolling") => {
            format!("rules {number}: rolling, stage {stage}, the last is {}", stages.max(1) - 1)
        }
        _ => format!("rules {number}: {phase}"),
    };
    line += &format!("; in force there: {in_force}");
    for (key, label) in [("runner", "run by"), ("waits", "waits:")] {
        if let Some(value) = rollout[key].as_str() {
            line += &format!("; {label} {value}");
        }
    }
    if let Some(number) = rollout["may_come"].as_u64() {
        line += &format!("; a step of rules {number} may still follow");
    }
    if rollout["able"] == false {
        line += "; that dispatcher currently takes no part, see its log";
    }
    line
}

fn check_halted(rollout: &Value) -> Result<(), Failure> {
    let number = rollout["number"].as_u64().unwrap_or(0);
    match rollout["halt"]["why"].as_str() {
        Some(reason) => {
            let by = rollout["halt"]["by"].as_str().unwrap_or("an unknown dispatcher");
            Err(Failure::Halted(number, format!("{by} found: {reason}")))
        }
        None if rollout["phase"] == "halted" => Err(Failure::Halted(number, "by an order".to_owned())),
        None => Ok(()),
    }
}
