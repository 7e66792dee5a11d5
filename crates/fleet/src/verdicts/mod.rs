//! Shared verdicts on hosts. Each dispatcher publishes its findings with their evidence and age. They become
//! a verdict while several dispatchers report the same about the same run of a host, and only up to a maximum
//! age. The caller decides what follows from `Effect::Verdict` and `Effect::Withdraw`. docs/fleet-verdicts.md
//! explains the design.
mod evaluation;
mod groups;
mod hosts;
mod own_findings;
mod reporters;
mod settings;
mod state;
mod types;

pub use settings::{Settings, SettingsError};
pub use state::Verdicts;
pub use types::{Effect, Finding, FindingKind, Message, Statement, Topic, UsedBy};
