//! Settings of a run with processes of followers.
use super::link::Direction;
use serde::Deserialize;

/// Real carriers, processes of followers, and the faults between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessesRun {
    /// Number of real dispatchers `c0`, `c1`, ..., which read the log and carry its changes.
    pub carriers: usize,
    /// Number of processes `p0`, `p1`, ..., among which the followers are divided.
    pub processes: usize,
    pub followers: usize,
    /// Most followers of one carrier.
    #[serde(rename = "followers_a_carrier")]
    pub max_followers_per_carrier: usize,
    /// A follower without a carrier for this long reads the log itself.
    pub fallback_ms: u64,
    pub purges_per_s: f64,
    pub seconds: f64,
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// A fault with its start and duration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    #[serde(rename = "at_s")]
    pub start_s: f64,
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    #[serde(rename = "what")]
    pub fault: FaultKind,
}

/// A fault; it is undone at its end.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Killed by SIGKILL; restarted at the end.
    Kill(String),
    /// Stopped by SIGSTOP; continued by SIGCONT.
    Stop(String),
    /// A fraction of the datagrams between a process of followers and carriers is lost.
    Lose(Loss),
    Delay(Delay),
    /// Datagrams are held back and delivered together at the end.
    Stall(LinkSelector),
    /// The change log is unreachable.
    LogLost,
}

/// Links between a process's followers and one carrier, or all if `carrier` is `None`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSelector {
    pub process: String,
    #[serde(default)]
    pub carrier: Option<String>,
    #[serde(default)]
    #[serde(rename = "way")]
    pub direction: Direction,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    #[serde(rename = "part")]
    pub fraction: f64,
    #[serde(rename = "between")]
    pub link: LinkSelector,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    #[serde(rename = "least_ms")]
    pub min_ms: u64,
    #[serde(rename = "most_ms")]
    pub max_ms: u64,
    #[serde(rename = "between")]
    pub link: LinkSelector,
}

impl FaultKind {
    /// The name of the process that is killed or stopped.
    pub fn target_process(&self) -> Option<&str> {
        match self {
            FaultKind::Kill(name) | FaultKind::Stop(name) => Some(name),
            _ => None,
        }
    }

    /// The links that the fault affects; `None` for faults of processes and of the log.
    pub fn link(&self) -> Option<&LinkSelector> {
        match self {
            FaultKind::Lose(Loss { link, .. })
            | FaultKind::Delay(Delay { link, .. })
            | FaultKind::Stall(link) => Some(link),
            _ => None,
        }
    }
}

/// The name of a carrier by index.
pub fn carrier_name(index: usize) -> String {
    format!("c{index}")
}

/// The name of a process of followers by index.
pub fn process_name(index: usize) -> String {
    format!("p{index}")
}
