//! The notation of scenarios. Lines, `#` starts a comment:
//! `dispatchers d1 d2 d3 at edge`, `caches c1 c2 at edge transfers 20`, `parents p1 transfers 40`, `origin o1 transfers 30`,
//! `load d1 40` (visits a second; `load all 5`), `writes 0.1` (part of the visits), `objects 300`, `work 20` (ms at a host),
//! `fleet { limits: { origin: 12 } }` (keys of the operators' section; without the line none is set), `store` (each keeps one),
//! `for 10` (seconds), faults `at 3 for 2 cut d1 d2`, `at 3 for 2 cut d1 > d2`, `lose 0.2 d1 d2` (of all links: `all`), `repeat 0.2 ...`,
//! `delay 50 200 ...` (ms, least and most), `throttle 20 ...` (datagrams a second), `stall ...` (held, then all at once),
//! `stop d1`, `kill d1`, `kill runner` (whoever runs the rollout then), `restart d1 [new]` (killed and started; `new`: with an empty store), `fail c1 0.7`, `hang c1`,
//! `freeze c1` (stands still, drops no purged copy, and goes on with all that came), `slow c1 5` (times), `vanish c1`, `fresh c1` (a new, cold process), `load d1 90`, `drain c1`, `purge`,
//! `silence` (the change log answers nothing), `term d1` (SIGTERM, SIGKILL at the earliest, started anew), `hup d1`,
//! `step d1 forward 3000`, `step d1 back 3000` (the process's wall clock, in ms), `calls d1 accept ECONNABORTED 0.3` (that part
//! of such calls fails; for `short-read` and `short-write` a number of bytes stands for the error),
//! `disk d1 lose` (what is acknowledged from then on is gone at the kill; `error`, `full`, `flip`, `stall 2000` in ms),
//! `rollout d1 start { number: 2, rules: { … }, plan: { … } }` (asked for at d1; `halt`, `resume`, `back`), and lines
//! `clock d1 0.99` (its rate); disks and clocks want a program built with its feature `faults`. What is held:
//! `hold rules`, `hold sum origin 12`, `hold sum further 20`, `hold sum cold 1`, `hold age 10000` (ms), `hold feed`, `hold used origin 0.95`,
//! `hold agreed`, `hold versions` (none goes back unasked), `hold taken 1` (so many orders of a rollout), `hold end 2` (at the end
//! rules 2 are in force at all), `hold halted 2 edge` (some had them, none outside `edge` ever, and they are halted),
//! `hold never 2` (nobody ever had them).
//! Pairs of builds: `program d2 d3 older` (begin as the older build: the one named by `--other`, or where none is named this one
//! in form 1), `form 1 d4` (this build, kept to that form), `at 5 upgrade d2`, `at 8 downgrade d2` (SIGTERM, then the other one).
use cherrypass_shim::control::Call;
use cherrypass_shim::errors::errno;
use winnow::ascii::{alpha1, alphanumeric1, dec_uint, float, space0, space1, till_line_ending};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Hosts {
    pub sort: Sort,
    pub names: Vec<String>,
    pub location: Option<String>,
    pub transfers: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Between {
    All,
    Both(String, String),
    OneWay(String, String),
}

impl Between {
    pub fn has(&self, from: &str, to: &str) -> bool {
        match self {
            Between::All => true,
            Between::Both(a, b) => (from == a && to == b) || (from == b && to == a),
            Between::OneWay(a, b) => from == a && to == b,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Cut(Between),
    Lose(f64, Between),
    Repeat(f64, Between),
    /// Milliseconds.
    Delay(f64, f64, Between),
    /// Datagrams a second.
    Throttle(f64, Between),
    Stall(Between),
    Stop(String),
    Kill(String),
    Restart {
        who: String,
        new: bool,
    },
    Fail(String, f64),
    Hang(String),
    Freeze(String),
    /// The change log answers nothing.
    Silence,
    Term(String),
    Hup(String),
    /// How far the wall clock is ahead, in milliseconds.
    Step(String, f64),
    Calls(String, Call, i32, f64),
    Slow(String, f64),
    Vanish(String),
    Fresh(String),
    Load(String, f64),
    Drain(String),
    Purge,
    /// SIGTERM, then the newer build with the same files; or the older one.
    Upgrade(String),
    Downgrade(String),
    /// An order to its disk, as `cherrypass_peers::disk` takes it.
    Disk(String, String),
    /// At whom, what, and the document of a start.
    Rollout(String, String, Option<String>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Seconds from the start of the load; for how long, where it ends.
    pub at: f64,
    pub lasts: Option<f64>,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Hold {
    Rules,
    Sum(String, f64),
    Used(String, f64),
    /// Milliseconds.
    Age(f64),
    Feed,
    Agreed,
    Versions,
    /// So many orders of a rollout were taken.
    Taken(u64),
    /// At the end rules of this number are in force at all.
    End(u64),
    /// They are halted, and only this location's ever had them.
    Halted(u64, String),
    Never(u64),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Names and locations.
    pub dispatchers: Vec<(String, String)>,
    pub hosts: Vec<Hosts>,
    pub load: Vec<(String, f64)>,
    pub writes: f64,
    pub objects: u64,
    /// Milliseconds.
    pub work: f64,
    pub fleet: Option<String>,
    pub store: bool,
    /// Those that begin as the older build, and those kept to a form.
    pub older: Vec<String>,
    pub forms: Vec<(String, u8)>,
    /// Whose clock goes at which rate.
    pub clocks: Vec<(String, f64)>,
    /// Seconds.
    pub lasts: f64,
    pub faults: Vec<Planned>,
    pub holds: Vec<Hold>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("line {line}, column {column}: {what}")]
    Text { line: usize, column: usize, what: String },
    #[error("line {line}: there is no {name}; name it in a line before")]
    Unknown { line: usize, name: String },
    #[error("the scenario lacks {0}")]
    Lacks(&'static str),
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
    Fault(Planned),
    Hold(Hold),
}

type Parsed<T> = Result<T, ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// The word that began there is none that is known.
fn unknown<'a, T>(input: &mut &'a str, begun: &'a str, wanted: &'static str) -> Parsed<T> {
    *input = begun;
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

fn one(input: &mut &str) -> Parsed<String> {
    cut_err(preceded(space1, name).context(expected("a name"))).parse_next(input)
}

/// Names up to a word that is none.
fn names(input: &mut &str) -> Parsed<Vec<String>> {
    let free = name.verify(|name: &str| !["at", "transfers", "older"].contains(&name));
    cut_err(preceded(space1, separated(1.., free, space1)).context(expected("names"))).parse_next(input)
}

fn at(input: &mut &str) -> Parsed<String> {
    cut_err(preceded((space1, "at"), one).context(expected("at LOCATION"))).parse_next(input)
}

fn transfers(input: &mut &str) -> Parsed<f64> {
    cut_err(preceded((space1, "transfers"), number).context(expected("transfers N"))).parse_next(input)
}

fn between(input: &mut &str) -> Parsed<Between> {
    let first = one.parse_next(input)?;
    if first == "all" {
        return Ok(Between::All);
    }
    let one_way = opt(preceded(space0, '>')).parse_next(input)?.is_some();
    let second = cut_err(preceded(space0, name).context(expected("a second name"))).parse_next(input)?;
    Ok(if one_way { Between::OneWay(first, second) } else { Between::Both(first, second) })
}

fn fault(input: &mut &str) -> Parsed<Fault> {
    let begun = *input;
    let word = preceded(space0, alpha1).context(expected("a fault")).parse_next(input)?;
    Ok(match word {
        "cut" => Fault::Cut(between(input)?),
        "lose" => Fault::Lose(number(input)?, between(input)?),
        "repeat" => Fault::Repeat(number(input)?, between(input)?),
        "delay" => Fault::Delay(number(input)?, number(input)?, between(input)?),
        "throttle" => Fault::Throttle(number(input)?, between(input)?),
        "stall" => Fault::Stall(between(input)?),
        "stop" => Fault::Stop(one(input)?),
        "kill" => Fault::Kill(one(input)?),
        "restart" => {
            let who = one(input)?;
            Fault::Restart { who, new: opt((space1, "new")).parse_next(input)?.is_some() }
        }
        "fail" => Fault::Fail(one(input)?, number(input)?),
        "hang" => Fault::Hang(one(input)?),
        "freeze" => Fault::Freeze(one(input)?),
        "silence" => Fault::Silence,
        "term" => Fault::Term(one(input)?),
        "hup" => Fault::Hup(one(input)?),
        "step" => {
            let who = one(input)?;
            let way = preceded(space1, alt(("forward".value(1.0), "back".value(-1.0))));
            let way = cut_err(way.context(expected("forward or back"))).parse_next(input)?;
            Fault::Step(who, way * number(input)?)
        }
        "calls" => Fault::Calls(one(input)?, call(input)?, error(input)?, number(input)?.min(1.0)),
        "slow" => Fault::Slow(one(input)?, number(input)?),
        "vanish" => Fault::Vanish(one(input)?),
        "fresh" => Fault::Fresh(one(input)?),
        "load" => Fault::Load(one(input)?, number(input)?),
        "drain" => Fault::Drain(one(input)?),
        "purge" => Fault::Purge,
        "upgrade" => Fault::Upgrade(one(input)?),
        "downgrade" => Fault::Downgrade(one(input)?),
        "disk" => Fault::Disk(one(input)?, disk(input)?),
        "rollout" => {
            let (who, order) = (one(input)?, one(input)?);
            let document = if order == "start" { Some(braces(input)?) } else { None };
            match &order[..] {
                "start" | "halt" | "resume" | "back" => Fault::Rollout(who, order, document),
                _ => return unknown(input, begun, "a known order"),
            }
        }
        _ => return unknown(input, begun, "a known fault"),
    })
}

fn call(input: &mut &str) -> Parsed<Call> {
    let word = take_while(1.., |c: char| c.is_ascii_lowercase() || c == '-');
    let found = preceded(space1, word).verify_map(Call::named);
    cut_err(found.context(expected("a system call"))).parse_next(input)
}

fn error(input: &mut &str) -> Parsed<i32> {
    let found = preceded(space1, alphanumeric1).verify_map(errno);
    cut_err(found.context(expected("an error's name or a number of bytes"))).parse_next(input)
}

fn disk(input: &mut &str) -> Parsed<String> {
    let word = preceded(space1, alt(("lose", "error", "full", "flip", "stall")));
    let word = cut_err(word.context(expected("a disk's order"))).parse_next(input)?;
    Ok(match word {
        "stall" => format!("stall {}", number(input)?.round()),
        _ => word.to_owned(),
    })
}

fn planned(input: &mut &str) -> Parsed<Planned> {
    let at = number(input)?;
    let lasts = opt(preceded((space1, "for"), number)).parse_next(input)?;
    Ok(Planned { at, lasts, fault: preceded(space1, fault).parse_next(input)? })
}

fn hold(input: &mut &str) -> Parsed<Hold> {
    let begun = *input;
    let word = preceded(space1, alphanumeric1).parse_next(input)?;
    Ok(match word {
        "rules" => Hold::Rules,
        "sum" => Hold::Sum(one(input)?, number(input)?),
        "used" => Hold::Used(one(input)?, number(input)?),
        "age" => Hold::Age(number(input)?),
        "feed" => Hold::Feed,
        "agreed" => Hold::Agreed,
        "versions" => Hold::Versions,
        "taken" => Hold::Taken(number(input)? as u64),
        "end" => Hold::End(number(input)? as u64),
        "halted" => Hold::Halted(number(input)? as u64, one(input)?),
        "never" => Hold::Never(number(input)? as u64),
        _ => return unknown(input, begun, "what is to hold"),
    })
}

fn line(input: &mut &str) -> Parsed<Option<Line>> {
    space0.parse_next(input)?;
    if opt(alt((eof.void(), ('#', till_line_ending).void()))).parse_next(input)?.is_some() {
        return Ok(None);
    }
    let begun = *input;
    let word = cut_err(alpha1.context(expected("a word"))).parse_next(input)?;
    let hosts = |sort, location| {
        move |input: &mut &str| -> Parsed<Line> {
            let names = names(input)?;
            let location = if location { Some(at(input)?) } else { None };
            Ok(Line::Hosts(Hosts { sort, names, location, transfers: transfers(input)? }))
        }
    };
    let found = match word {
        "dispatchers" => Line::Dispatchers(names(input)?, at(input)?),
        "caches" => hosts(Sort::Cache, true)(input)?,
        "parents" => hosts(Sort::Parent, false)(input)?,
        "origin" => hosts(Sort::Origin, false)(input)?,
        "load" => Line::Load(one(input)?, number(input)?),
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
            Line::Clock(one(input)?, cut_err(rate.context(expected("0.5 to 2"))).parse_next(input)?)
        }
        "for" => Line::For(number(input)?),
        "at" => Line::Fault(planned(input)?),
        "hold" => Line::Hold(hold(input)?),
        _ => return unknown(input, begun, "a known line"),
    };
    let end = (space0, opt(('#', till_line_ending)), eof.context(expected("the line's end")));
    cut_err(end).parse_next(input)?;
    Ok(Some(found))
}

/// What stands between braces that match.
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
    /// Whom it names.
    pub fn names(&self) -> Vec<&str> {
        use Fault::*;
        match self {
            Cut(b) | Lose(_, b) | Repeat(_, b) | Delay(_, _, b) | Throttle(_, b) | Stall(b) => match b {
                Between::All => vec![],
                Between::Both(a, b) | Between::OneWay(a, b) => vec![a, b],
            },
            Kill(a) if a == "runner" => vec![],
            Freeze(a) | Term(a) | Hup(a) | Step(a, _) | Calls(a, ..) => vec![a],
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
    /// Whether a fault ever comes to the link from one process to another.
    pub fn has_trouble(&self, from: &str, to: &str) -> bool {
        use Fault::*;
        self.faults.iter().any(|planned| match &planned.fault {
            Cut(b) | Lose(_, b) | Repeat(_, b) | Delay(_, _, b) | Throttle(_, b) | Stall(b) => {
                b.has(from, to)
            }
            _ => false,
        })
    }

    /// Whether it wants a program that was built for faults of disks and clocks.
    pub fn wants_faults(&self) -> bool {
        !self.clocks.is_empty() || self.faults.iter().any(|one| matches!(one.fault, Fault::Disk(..)))
    }

    /// Whether processes run with the shim.
    pub fn wants_shim(&self) -> bool {
        self.faults.iter().any(|one| matches!(one.fault, Fault::Step(..) | Fault::Calls(..)))
    }

    pub fn has_orders(&self) -> bool {
        self.faults.iter().any(|one| matches!(one.fault, Fault::Rollout(..)))
    }
}

fn dispatchers(names: &[String], all: &Scenario, number: usize) -> Result<(), Error> {
    let known = |name: &&String| all.dispatchers.iter().any(|(own, _)| own == *name);
    match names.iter().find(|name| !known(name)) {
        Some(name) => Err(Error::Unknown { line: number + 1, name: name.clone() }),
        None => Ok(()),
    }
}

pub fn read(text: &str) -> Result<Scenario, Error> {
    let mut found = Scenario { objects: 200, work: 10.0, ..Scenario::default() };
    for (number, text) in text.lines().enumerate() {
        let parsed = line.parse(text).map_err(|error| Error::Text {
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
            Some(Line::Writes(part)) => found.writes = part.min(1.0),
            Some(Line::Objects(count)) => found.objects = (count as u64).max(1),
            Some(Line::Work(ms)) => found.work = ms,
            Some(Line::Fleet(keys)) => found.fleet = Some(keys),
            Some(Line::Store) => found.store = true,
            Some(Line::Program(names)) => {
                dispatchers(&names, &found, number)?;
                found.older.extend(names);
            }
            Some(Line::Form(form, names)) => {
                dispatchers(&names, &found, number)?;
                found.forms.extend(names.into_iter().map(|name| (name, form)));
            }
            Some(Line::Clock(who, rate)) => {
                if !found.dispatchers.iter().any(|(own, _)| *own == who) {
                    return Err(Error::Unknown { line: number + 1, name: who });
                }
                found.clocks.push((who, rate));
            }
            Some(Line::For(seconds)) => found.lasts = seconds,
            Some(Line::Fault(planned)) => {
                if let Some(name) = planned.fault.names().into_iter().find(|name| !known(name, &found)) {
                    return Err(Error::Unknown { line: number + 1, name: name.to_owned() });
                }
                found.faults.push(planned);
            }
            Some(Line::Hold(hold)) => found.holds.push(hold),
        }
    }
    match &found {
        Scenario { dispatchers, .. } if dispatchers.is_empty() => Err(Error::Lacks("dispatchers")),
        Scenario { hosts, .. } if !hosts.iter().any(|h| h.sort == Sort::Origin) => {
            Err(Error::Lacks("an origin"))
        }
        Scenario { lasts, .. } if *lasts <= 0.0 => Err(Error::Lacks("how long it is played (for SECONDS)")),
        _ => Ok(found),
    }
}
