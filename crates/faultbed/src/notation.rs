//! The notation of scenarios, one entry per line; `#` starts a comment.
//!
//! Setup:
//! - `dispatchers d1 d2 d3 at edge`, `caches c1 c2 at edge transfers 20`, `parents p1 transfers 40`,
//!   `origin o1 transfers 30`
//! - `load d1 40` (visits per second; `load all 5`), `writes 0.1` (share of visits), `objects 300`,
//!   `work 20` (ms per hand-off at a host), `for 10` (duration in seconds)
//! - `fleet { limits: { origin: 12 } }` (keys of the operator file's section; without this line there is
//!   no fleet)
//! - `store` (each dispatcher has a store), `clock d1 0.99` (rate of its clock)
//! - `program d2 d3 older` (start as the older build: that of `--other`, or else this build in form 1),
//!   `form 1 d4` (this build restricted to that form)
//!
//! Faults, `at 3 ...` or `at 3 for 2 ...` (seconds):
//! - links: `cut d1 d2`, `cut d1 > d2` (one direction), `lose 0.2 d1 d2` (`all`: every link),
//!   `repeat 0.2 ...`, `delay 50 200 ...` (minimum and maximum in ms), `throttle 20 ...` (datagrams per
//!   second), `stall ...` (held, then forwarded at once)
//! - processes: `stop d1`, `kill d1`, `kill runner` (the current rollout runner), `restart d1 [new]`
//!   (killed and started; `new`: with an empty store), `term d1` (SIGTERM, then SIGKILL after the
//!   shutdown time, then restarted), `hup d1`, `crowd d1 80` (so many clients that connect and stay idle), `upgrade d2`, `downgrade d2` (SIGTERM, then the other
//!   build), `load d1 90`
//! - hosts: `fail c1 0.7`, `hang c1`, `freeze c1` (processes nothing, also no purges, and continues
//!   later), `slow c1 5` (times), `vanish c1`, `fresh c1` (a new, cold process), `drain c1`
//! - change log: `purge`, `silence` (no request is answered)
//! - machine: `step d1 forward 3000`, `step d1 back 3000` (wall clock, in ms),
//!   `calls d1 accept ECONNABORTED 0.3` (share of failing calls; `short-read` and `short-write` take a
//!   number of bytes instead of an error), `calls d1 read ECONNRESET 0.02 of lines` (in threads of this name
//!   alone), `disk d1 lose` (acknowledged writes are lost at a kill; also
//!   `error`, `full`, `flip`, `stall 2000` in ms)
//! - `rollout d1 start { number: 2, rules: { … }, plan: { … } }` (order given at d1; also `halt`,
//!   `resume`, `back`)
//!
//! `clock` and `disk` need a program built with the feature `faults`.
//!
//! Expectations:
//! - `hold rules` (the five rules), `hold sum origin 12`, `hold sum further 20`, `hold sum cold 1`,
//!   `hold used origin 0.95`, `hold age 10000` (ms), `hold feed`, `hold agreed`
//! - `hold versions` (no process returns to older rules unless ordered), `hold taken 1` (accepted rollout
//!   orders), `hold end 2` (at the end rules 2 are in force everywhere), `hold halted 2 edge` (in force
//!   in `edge` only, and halted), `hold never 2` (never in force anywhere)
use cherrypass_shim::control::Call;
use cherrypass_shim::errors::errno_from_name;
use winnow::ascii::{alpha1, alphanumeric1, dec_uint, float, space0, space1, till_line_ending};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// Kind of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
    Cache,
    Parent,
    Origin,
}

/// A line of hosts of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Hosts {
    pub kind: HostKind,
    pub names: Vec<String>,
    pub location: Option<String>,
    pub transfers: f64,
}

/// The links that a fault concerns.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkSelection {
    All,
    Both(String, String),
    OneWay(String, String),
}

impl LinkSelection {
    pub fn includes(&self, from: &str, to: &str) -> bool {
        match self {
            LinkSelection::All => true,
            LinkSelection::Both(a, b) => (from == a && to == b) || (from == b && to == a),
            LinkSelection::OneWay(a, b) => from == a && to == b,
        }
    }
}

/// A fault. Its Debug text is written to the file `notes` of a play.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Cut(LinkSelection),
    Lose(f64, LinkSelection),
    Repeat(f64, LinkSelection),
    /// Milliseconds.
    Delay(f64, f64, LinkSelection),
    /// Datagrams a second.
    Throttle(f64, LinkSelection),
    Stall(LinkSelection),
    Stop(String),
    Kill(String),
    Restart {
        who: String,
        new: bool,
    },
    Fail(String, f64),
    Hang(String),
    Freeze(String),
    /// The change log does not answer.
    Silence,
    Term(String),
    Hup(String),
    /// Offset of the wall clock in milliseconds.
    Step(String, f64),
    Calls {
        who: String,
        call: Call,
        outcome: i32,
        rate: f64,
        /// Only calls of the threads of this name fail.
        thread: Option<String>,
    },
    /// Number of clients that connect and stay idle.
    Crowd(String, f64),
    Slow(String, f64),
    Vanish(String),
    Fresh(String),
    Load(String, f64),
    Drain(String),
    Purge,
    /// Stops the process and starts the newer build with the same files.
    Upgrade(String),
    /// Stops the process and starts the older build with the same files.
    Downgrade(String),
    /// A disk order in the format of `cherrypass_peers::disk`.
    Disk(String, String),
    /// Dispatcher, order, and the document of a start order.
    Rollout(String, String, Option<String>),
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Seconds from the start of the load.
    pub at: f64,
    /// Duration in seconds, if the fault ends.
    pub duration: Option<f64>,
    pub fault: Fault,
}

/// What has to hold in a play.
#[derive(Clone, Debug, PartialEq)]
pub enum Expectation {
    Rules,
    Sum(String, f64),
    Used(String, f64),
    /// Milliseconds.
    Age(f64),
    Feed,
    Agreed,
    Versions,
    /// Number of accepted rollout orders.
    Taken(u64),
    /// Rules of this number are in force everywhere at the end.
    End(u64),
    /// Rules of this number are halted and were only in force in this location.
    Halted(u64, String),
    /// Rules of this number were never in force.
    Never(u64),
}

/// A parsed scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Names with locations.
    pub dispatchers: Vec<(String, String)>,
    pub hosts: Vec<Hosts>,
    pub load: Vec<(String, f64)>,
    pub write_share: f64,
    pub objects: u64,
    /// Milliseconds.
    pub work_ms: f64,
    pub fleet: Option<String>,
    pub has_store: bool,
    /// Dispatchers that start as the older build, and those restricted to a message form.
    pub older_builds: Vec<String>,
    pub forms: Vec<(String, u8)>,
    /// Clock rates by dispatcher.
    pub clock_rates: Vec<(String, f64)>,
    /// Seconds.
    pub duration: f64,
    pub faults: Vec<PlannedFault>,
    pub expectations: Vec<Expectation>,
}

/// A mistake in a scenario.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("line {line}, column {column}: {what}")]
    Syntax { line: usize, column: usize, what: String },
    #[error("line {line}: there is no {name}; declare it in an earlier line")]
    Unknown { line: usize, name: String },
    #[error("the scenario has no {0}")]
    Missing(&'static str),
}

enum Line {
    Dispatchers(Vec<String>, String),
    Hosts(Hosts),
    Load(String, f64),
    Writes(f64),
    Objects(f64),
    Work(f64),
    Fleet(String),
    Store,
    Program(Vec<String>),
    Form(u8, Vec<String>),
    Clock(String, f64),
    For(f64),
    Fault(PlannedFault),
    Hold(Expectation),
}

type Parsed<T> = Result<T, ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Fails at the beginning of an unknown word.
fn fail_at<'a, T>(input: &mut &'a str, start: &'a str, wanted: &'static str) -> Parsed<T> {
    *input = start;
    cut_err(winnow::combinator::fail.context(expected(wanted))).parse_next(input)
}

fn number(input: &mut &str) -> Parsed<f64> {
    let found = preceded(space0, float).verify(|n: &f64| n.is_finite() && *n >= 0.0);
    cut_err(found.context(expected("a number"))).parse_next(input)
}

fn name(input: &mut &str) -> Parsed<String> {
    let found = (alpha1, take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '-')).take();
    found.map(str::to_owned).parse_next(input)
}

fn required_name(input: &mut &str) -> Parsed<String> {
    cut_err(preceded(space1, name).context(expected("a name"))).parse_next(input)
}

/// Names up to the next keyword.
fn names(input: &mut &str) -> Parsed<Vec<String>> {
    let free = name.verify(|name: &str| !["at", "transfers", "older"].contains(&name));
    cut_err(preceded(space1, separated(1.., free, space1)).context(expected("names"))).parse_next(input)
}

fn at(input: &mut &str) -> Parsed<String> {
    cut_err(preceded((space1, "at"), required_name).context(expected("at LOCATION"))).parse_next(input)
}

fn transfers(input: &mut &str) -> Parsed<f64> {
    cut_err(preceded((space1, "transfers"), number).context(expected("transfers N"))).parse_next(input)
}

fn between(input: &mut &str) -> Parsed<LinkSelection> {
    let first = required_name.parse_next(input)?;
    if first == "all" {
        return Ok(LinkSelection::All);
    }
    let one_way = opt(preceded(space0, '>')).parse_next(input)?.is_some();
    let second = cut_err(preceded(space0, name).context(expected("a second name"))).parse_next(input)?;
    Ok(if one_way { LinkSelection::OneWay(first, second) } else { LinkSelection::Both(first, second) })
}

fn fault(input: &mut &str) -> Parsed<Fault> {
    let start = *input;
    let word = preceded(space0, alpha1).context(expected("a fault")).parse_next(input)?;
    Ok(match word {
        "cut" => Fault::Cut(between(input)?),
        "lose" => Fault::Lose(number(input)?, between(input)?),
        "repeat" => Fault::Repeat(number(input)?, between(input)?),
        "delay" => Fault::Delay(number(input)?, number(input)?, between(input)?),
        "throttle" => Fault::Throttle(number(input)?, between(input)?),
        "stall" => Fault::Stall(between(input)?),
        "stop" => Fault::Stop(required_name(input)?),
        "kill" => Fault::Kill(required_name(input)?),
        "restart" => {
            let who = required_name(input)?;
            Fault::Restart { who, new: opt((space1, "new")).parse_next(input)?.is_some() }
        }
        "fail" => Fault::Fail(required_name(input)?, number(input)?),
        "hang" => Fault::Hang(required_name(input)?),
        "freeze" => Fault::Freeze(required_name(input)?),
        "silence" => Fault::Silence,
        "term" => Fault::Term(required_name(input)?),
        "hup" => Fault::Hup(required_name(input)?),
        "step" => {
            let who = required_name(input)?;
            let way = preceded(space1, alt(("forward".value(1.0), "back".value(-1.0))));
            let way = cut_err(way.context(expected("forward or back"))).parse_next(input)?;
            Fault::Step(who, way * number(input)?)
        }
        "calls" => Fault::Calls {
            who: required_name(input)?,
            call: call(input)?,
            outcome: error(input)?,
            rate: number(input)?.min(1.0),
            thread: opt(preceded((space1, "of"), required_name)).parse_next(input)?,
        },
        "crowd" => Fault::Crowd(required_name(input)?, number(input)?),
        "slow" => Fault::Slow(required_name(input)?, number(input)?),
        "vanish" => Fault::Vanish(required_name(input)?),
        "fresh" => Fault::Fresh(required_name(input)?),
        "load" => Fault::Load(required_name(input)?, number(input)?),
        "drain" => Fault::Drain(required_name(input)?),
        "purge" => Fault::Purge,
        "upgrade" => Fault::Upgrade(required_name(input)?),
        "downgrade" => Fault::Downgrade(required_name(input)?),
        "disk" => Fault::Disk(required_name(input)?, disk(input)?),
        "rollout" => {
            let (who, order) = (required_name(input)?, required_name(input)?);
            let document = if order == "start" { Some(braces(input)?) } else { None };
            match &order[..] {
                "start" | "halt" | "resume" | "back" => Fault::Rollout(who, order, document),
                _ => return fail_at(input, start, "a known order"),
            }
        }
        _ => return fail_at(input, start, "a known fault"),
    })
}

fn call(input: &mut &str) -> Parsed<Call> {
    let word = take_while(1.., |c: char| c.is_ascii_lowercase() || c == '-');
    let found = preceded(space1, word).verify_map(Call::from_name);
    cut_err(found.context(expected("a system call"))).parse_next(input)
}

fn error(input: &mut &str) -> Parsed<i32> {
    let found = preceded(space1, alphanumeric1).verify_map(errno_from_name);
    cut_err(found.context(expected("an error's name or a number of bytes"))).parse_next(input)
}

fn disk(input: &mut &str) -> Parsed<String> {
    let word = preceded(space1, alt(("lose", "error", "full", "flip", "stall")));
    let word = cut_err(word.context(expected("a disk order"))).parse_next(input)?;
    Ok(match word {
        "stall" => format!("stall {}", number(input)?.round()),
        _ => word.to_owned(),
    })
}

fn planned(input: &mut &str) -> Parsed<PlannedFault> {
    let at = number(input)?;
    let lasts = opt(preceded((space1, "for"), number)).parse_next(input)?;
    Ok(PlannedFault { at, duration: lasts, fault: preceded(space1, fault).parse_next(input)? })
}

fn hold(input: &mut &str) -> Parsed<Expectation> {
    let start = *input;
    let word = preceded(space1, alphanumeric1).parse_next(input)?;
    Ok(match word {
        "rules" => Expectation::Rules,
        "sum" => Expectation::Sum(required_name(input)?, number(input)?),
        "used" => Expectation::Used(required_name(input)?, number(input)?),
        "age" => Expectation::Age(number(input)?),
        "feed" => Expectation::Feed,
        "agreed" => Expectation::Agreed,
        "versions" => Expectation::Versions,
        "taken" => Expectation::Taken(number(input)? as u64),
        "end" => Expectation::End(number(input)? as u64),
        "halted" => Expectation::Halted(number(input)? as u64, required_name(input)?),
        "never" => Expectation::Never(number(input)? as u64),
        _ => return fail_at(input, start, "a known expectation"),
    })
}

fn line(input: &mut &str) -> Parsed<Option<Line>> {
    space0.parse_next(input)?;
    if opt(alt((eof.void(), ('#', till_line_ending).void()))).parse_next(input)?.is_some() {
        return Ok(None);
    }
    let start = *input;
    let word = cut_err(alpha1.context(expected("a word"))).parse_next(input)?;
    let hosts = |sort, location| {
        move |input: &mut &str| -> Parsed<Line> {
            let names = names(input)?;
            let location = if location { Some(at(input)?) } else { None };
            Ok(Line::Hosts(Hosts { kind: sort, names, location, transfers: transfers(input)? }))
        }
    };
    let found = match word {
        "dispatchers" => Line::Dispatchers(names(input)?, at(input)?),
        "caches" => hosts(HostKind::Cache, true)(input)?,
        "parents" => hosts(HostKind::Parent, false)(input)?,
        "origin" => hosts(HostKind::Origin, false)(input)?,
        "load" => Line::Load(required_name(input)?, number(input)?),
        "writes" => Line::Writes(number(input)?),
        "objects" => Line::Objects(number(input)?),
        "work" => Line::Work(number(input)?),
        "fleet" => Line::Fleet(braces(input)?),
        "store" => Line::Store,
        "program" => {
            let names = names(input)?;
            cut_err((space1, "older").context(expected("older"))).parse_next(input)?;
            Line::Program(names)
        }
        "form" => {
            let form = preceded(space0, dec_uint);
            let form: u8 = cut_err(form.context(expected("a form's number"))).parse_next(input)?;
            Line::Form(form, names(input)?)
        }
        "clock" => {
            let rate = preceded(space0, float).verify(|rate: &f64| (0.5..=2.0).contains(rate));
            Line::Clock(required_name(input)?, cut_err(rate.context(expected("0.5 to 2"))).parse_next(input)?)
        }
        "for" => Line::For(number(input)?),
        "at" => Line::Fault(planned(input)?),
        "hold" => Line::Hold(hold(input)?),
        _ => return fail_at(input, start, "a known line"),
    };
    let end = (space0, opt(('#', till_line_ending)), eof.context(expected("the line's end")));
    cut_err(end).parse_next(input)?;
    Ok(Some(found))
}

/// Text in balanced braces, including them.
fn braces(input: &mut &str) -> Parsed<String> {
    fn inner(input: &mut &str) -> Parsed<()> {
        let text = take_while(1.., |c| c != '{' && c != '}').void();
        let nested = delimited('{', inner, cut_err('}'.context(expected("}"))));
        repeat::<_, _, (), _, _>(0.., alt((text, nested))).parse_next(input)
    }
    let whole = terminated(delimited('{', inner, cut_err('}'.context(expected("}")))).take(), space0);
    cut_err(preceded(space0, whole).context(expected("{ … }"))).map(str::to_owned).parse_next(input)
}

impl Fault {
    /// Names of the processes and hosts concerned.
    pub fn targets(&self) -> Vec<&str> {
        use Fault::*;
        match self {
            Cut(b) | Lose(_, b) | Repeat(_, b) | Delay(_, _, b) | Throttle(_, b) | Stall(b) => match b {
                LinkSelection::All => vec![],
                LinkSelection::Both(a, b) | LinkSelection::OneWay(a, b) => vec![a, b],
            },
            Kill(a) if a == "runner" => vec![],
            Freeze(a) | Term(a) | Hup(a) | Step(a, _) | Crowd(a, _) | Calls { who: a, .. } => vec![a],
            Stop(a) | Kill(a) | Fail(a, _) | Hang(a) | Slow(a, _) | Vanish(a) | Fresh(a) | Drain(a) => {
                vec![a]
            }
            Load(a, _) if a == "all" => vec![],
            Load(a, _) | Restart { who: a, .. } | Disk(a, _) | Rollout(a, ..) => vec![a],
            Upgrade(a) | Downgrade(a) => vec![a],
            Purge | Silence => vec![],
        }
    }
}

impl Scenario {
    /// Whether there is a fault of the link from one process to another.
    pub fn has_link_fault(&self, from: &str, to: &str) -> bool {
        use Fault::*;
        self.faults.iter().any(|planned| match &planned.fault {
            Cut(b) | Lose(_, b) | Repeat(_, b) | Delay(_, _, b) | Throttle(_, b) | Stall(b) => {
                b.includes(from, to)
            }
            _ => false,
        })
    }

    /// Whether a program built with the feature `faults` is needed.
    pub fn needs_fault_build(&self) -> bool {
        !self.clock_rates.is_empty()
            || self.faults.iter().any(|planned| matches!(planned.fault, Fault::Disk(..)))
    }

    /// Whether processes have to run with the shim.
    pub fn needs_shim(&self) -> bool {
        self.faults.iter().any(|planned| matches!(planned.fault, Fault::Step(..) | Fault::Calls { .. }))
    }

    pub fn has_rollout_orders(&self) -> bool {
        self.faults.iter().any(|planned| matches!(planned.fault, Fault::Rollout(..)))
    }
}

fn check_dispatchers(names: &[String], all: &Scenario, number: usize) -> Result<(), Error> {
    let known = |name: &&String| all.dispatchers.iter().any(|(own, _)| own == *name);
    match names.iter().find(|name| !known(name)) {
        Some(name) => Err(Error::Unknown { line: number + 1, name: name.clone() }),
        None => Ok(()),
    }
}

/// Parses a scenario.
pub fn parse(text: &str) -> Result<Scenario, Error> {
    let mut found = Scenario { objects: 200, work_ms: 10.0, ..Scenario::default() };
    for (number, text) in text.lines().enumerate() {
        let parsed = line.parse(text).map_err(|error| Error::Syntax {
            line: number + 1,
            column: text[..error.offset()].chars().count() + 1,
            what: error.inner().to_string().replace('\n', ", "),
        })?;
        let known = |name: &str, all: &Scenario| {
            let host = || all.hosts.iter().any(|hosts| hosts.names.iter().any(|host| host == name));
            all.dispatchers.iter().any(|(own, _)| own == name) || host()
        };
        match parsed {
            None => {}
            Some(Line::Dispatchers(names, location)) => {
                found.dispatchers.extend(names.into_iter().map(|name| (name, location.clone())));
            }
            Some(Line::Hosts(hosts)) => found.hosts.push(hosts),
            Some(Line::Load(who, rate)) => {
                if who != "all" && !known(&who, &found) {
                    return Err(Error::Unknown { line: number + 1, name: who });
                }
                found.load.push((who, rate));
            }
            Some(Line::Writes(part)) => found.write_share = part.min(1.0),
            Some(Line::Objects(count)) => found.objects = (count as u64).max(1),
            Some(Line::Work(ms)) => found.work_ms = ms,
            Some(Line::Fleet(keys)) => found.fleet = Some(keys),
            Some(Line::Store) => found.has_store = true,
            Some(Line::Program(names)) => {
                check_dispatchers(&names, &found, number)?;
                found.older_builds.extend(names);
            }
            Some(Line::Form(form, names)) => {
                check_dispatchers(&names, &found, number)?;
                found.forms.extend(names.into_iter().map(|name| (name, form)));
            }
            Some(Line::Clock(who, rate)) => {
                if !found.dispatchers.iter().any(|(own, _)| *own == who) {
                    return Err(Error::Unknown { line: number + 1, name: who });
                }
                found.clock_rates.push((who, rate));
            }
            Some(Line::For(seconds)) => found.duration = seconds,
            Some(Line::Fault(planned)) => {
                if let Some(name) = planned.fault.targets().into_iter().find(|name| !known(name, &found)) {
                    return Err(Error::Unknown { line: number + 1, name: name.to_owned() });
                }
                found.faults.push(planned);
            }
            Some(Line::Hold(hold)) => found.expectations.push(hold),
        }
    }
    match &found {
        Scenario { dispatchers, .. } if dispatchers.is_empty() => Err(Error::Missing("dispatchers")),
        Scenario { hosts, .. } if !hosts.iter().any(|h| h.kind == HostKind::Origin) => {
            Err(Error::Missing("origin"))
        }
        Scenario { duration: lasts, .. } if *lasts <= 0.0 => Err(Error::Missing("duration (for SECONDS)")),
        _ => Ok(found),
    }
}
