//! `cherrypass rollout …`: orders to one dispatcher's control listener, and what it says of where the rollout stands.
use cherrypass_operator::rules::{self, Document};
use cherrypass_operator::{self as operator, Fleet};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Seconds that an answer may take.
const PATIENCE: u64 = 5;
const PLAIN: &str = "is this the address of fleet.control?";

#[derive(Args)]
pub struct Rollout {
    /// The dispatcher's control address, fleet.control in its operators' file
    #[arg(long, env = "CHERRYPASS_CONTROL", global = true)]
    control: Option<SocketAddr>,
    /// Its operators' file: tells that address, the usual plan, and what the rules are held against
    #[arg(long, env = "CHERRYPASS_OPERATOR", global = true)]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start new rules on their way: a Jsonnet document { number, rules, plan }
    Start { file: PathBuf },
    /// Say where the rollout stands; ends with 3 where it is halted
    Status {
        /// All that the dispatcher tells, as JSON
        #[arg(long)]
        json: bool,
    },
    /// Halt it
    Halt,
    /// Go on after a halt
    Resume,
    /// Put the rules before it in force everywhere
    Back,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Operator(operator::Error),
    #[error("no address: give --control, or --operator with a file that sets fleet.control")]
    Unnamed,
    #[error("{0}: {1}; correct the document")]
    Unread(String, String),
    #[error("{0}: {1}")]
    Rules(String, rules::Error),
    #[error("{0} does not answer: {1}; is the dispatcher up, and {PLAIN}")]
    Unreached(SocketAddr, minreq::Error),
    #[error("{0}: {1}")]
    Refused(SocketAddr, String),
    #[error("{0} does not answer as a dispatcher does; {PLAIN}")]
    Strange(SocketAddr),
    #[error("rules {0} are halted: {1}; see `rollout resume` and `rollout back`")]
    Halted(u64, String),
}

impl Failure {
    /// 1 failed or not reached, 2 bad input, 3 halted.
    fn code(&self) -> u8 {
        match self {
            Failure::Operator(_) | Failure::Unnamed | Failure::Unread(..) | Failure::Rules(..) => 2,
            Failure::Refused(_, why) if is_input(why) => 2,
            Failure::Refused(..) | Failure::Unreached(..) | Failure::Strange(_) => 1,
            Failure::Halted(..) => 3,
        }
    }
}

/// Whether the order itself can't be taken, now or later.
fn is_input(why: &str) -> bool {
    let codes = ["number", "older", "long", "first", "hold", "location", "twice", "missing"];
    let code = why.strip_prefix("rollout-").and_then(|rest| rest.split(':').next());
    code.is_some_and(|code| codes.contains(&code))
        || ["the order ", "plan."].iter().any(|begins| why.starts_with(begins))
}

pub fn run(rollout: Rollout) -> ExitCode {
    match carry_out(&rollout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cherrypass rollout: {failure}");
            ExitCode::from(failure.code())
        }
    }
}

fn carry_out(rollout: &Rollout) -> Result<(), Failure> {
    let file = rollout.operator.as_deref().map(operator::load).transpose().map_err(Failure::Operator)?;
    let fleet = file.and_then(|file| file.fleet);
    let own = fleet.as_ref().and_then(|fleet| fleet.control);
    let control = rollout.control.or(own).ok_or(Failure::Unnamed)?;
    let order = match &rollout.command {
        Command::Start { file } => start(file, fleet.as_ref())?,
        Command::Status { json } => {
            let status = ask(control, None)?;
            if *json {
                println!("{status:#}");
            } else {
                println!("{}", told(&status["rollout"]));
            }
            return halted(&status["rollout"]);
        }
        Command::Halt => json!({ "order": "halt" }),
        Command::Resume => json!({ "order": "resume" }),
        Command::Back => json!({ "order": "back" }),
    };
    let status = ask(control, Some(order.to_string()))?;
    println!("the order is taken; {}", told(&status["rollout"]));
    Ok(())
}

/// The document as the control listener takes it.
fn start(path: &Path, fleet: Option<&Fleet>) -> Result<Value, Failure> {
    let name = path.display().to_string();
    let value = operator::evaluate(path).map_err(|error| match error {
        operator::Error::Unreadable(file, error) => Failure::Unread(file, error.to_string()),
        operator::Error::EvaluationFailed(file, what) => Failure::Unread(file, what),
        other => Failure::Operator(other),
    })?;
    let known = |error| Failure::Rules(name.clone(), error);
    let Document { number, rules, plan } = rules::decode_document(value, fleet).map_err(known)?;
    let plan = plan.with_defaults(fleet.and_then(|fleet| fleet.rollout.as_ref())).map_err(known)?;
    let first = (plan.first_stage_fraction * 1000.0).round().max(1.0) as u16;
    let back = plan.after_halt == operator::fleet::AfterHalt::Revert;
    Ok(json!({ "order": "start", "number": number, "text": rules.to_string(), "plan": {
        "order": plan.order, "first": first, "hold_s": plan.min_stage_seconds, "visits": plan.min_stage_visits, "back_after_halt": back } }))
}

/// The dispatcher's status, after an order where one is given.
fn ask(control: SocketAddr, order: Option<String>) -> Result<Value, Failure> {
    let request = match order {
        Some(order) => minreq::post(format!("http://{control}/rollout")).with_body(order),
        None => minreq::get(format!("http://{control}/status")),
    };
    let request = request.with_timeout(PATIENCE).with_max_headers_size(64 << 10);
    let answer = request.send().map_err(|error| Failure::Unreached(control, error))?;
    let text = answer.as_str().map_err(|_| Failure::Strange(control))?;
    if answer.status_code != 200 {
        let line: String = text.trim().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
        return Err(Failure::Refused(control, line));
    }
    let status: Value = serde_json::from_str(text).map_err(|_| Failure::Strange(control))?;
    if status.get("rollout").is_none() {
        return Err(Failure::Strange(control));
    }
    Ok(status)
}

/// One line for people.
fn told(rollout: &Value) -> String {
    let Some(number) = rollout["number"].as_u64() else { return "the rollout is off there".to_owned() };
    let phase = rollout["phase"].as_str().unwrap_or_default();
    let (stage, stages) = (rollout["stage"].as_u64().unwrap_or(0), rollout["stages"].as_u64().unwrap_or(0));
    let in_force = rollout["in_force"].as_u64().unwrap_or(0);
    let mut line = match (number, phase) {
        (0, _) => "no rules were rolled out yet".to_owned(),
        (_, "rolling") => {
            format!("rules {number}: rolling, stage {stage}, the last is {}", stages.max(1) - 1)
        }
        _ => format!("rules {number}: {phase}"),
    };
    line += &format!("; in force there: {in_force}");
    for (key, word) in [("runner", "run by"), ("waits", "waits:")] {
        if let Some(value) = rollout[key].as_str() {
            line += &format!("; {word} {value}");
        }
    }
    if let Some(number) = rollout["may_come"].as_u64() {
        line += &format!("; a step of rules {number} may come still");
    }
    if rollout["able"] == false {
        line += "; that dispatcher takes no part now, its log says why";
    }
    line
}

fn halted(rollout: &Value) -> Result<(), Failure> {
    let number = rollout["number"].as_u64().unwrap_or(0);
    match rollout["halt"]["why"].as_str() {
        Some(why) => {
            let by = rollout["halt"]["by"].as_str().unwrap_or("one that is not known");
            Err(Failure::Halted(number, format!("{by} found: {why}")))
        }
        None if rollout["phase"] == "halted" => Err(Failure::Halted(number, "by an order".to_owned())),
        None => Ok(()),
    }
}
