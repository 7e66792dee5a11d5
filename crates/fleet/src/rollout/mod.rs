//! Staged rollout of rules with automatic halts.
//!
//! The state of the rollout is one replicated register, a `Step`, changed by majority consensus (Paxos): a
//! proposer asks all members for promises under a new ballot, takes over the highest step that any of them
//! accepted, changes it and has the result accepted. So any member can continue a rollout, and two that drive
//! it at the same time can't split it. Members answer only after their state is on disk (`Effect::Store`,
//! `record_written`).
//!
//! A step by which more dispatchers get the version needs the acceptance of all listed members, each of which
//! refuses once it knows of a halt. So a halt at any member ends promotion even if no other member has heard
//! of it: only a step that this member had accepted before may still be chosen, and no dispatcher that knows
//! of the halt puts the version in force because of it.
//!
//! A member that starts takes part only once it knows what enough others know (catching up), so a store that
//! lost its latest records or all of them does no harm while fewer than the configured number of stores do so
//! at the same time.
mod acceptor;
mod calls;
mod catch_up;
mod changes;
mod chosen_step;
mod comparison;
mod documents;
mod driver;
mod figures;
mod halts;
mod hellos;
mod incarnations;
mod messages;
mod orders;
mod proposer;
mod runner;
mod settings;
mod state;
mod step;
mod storage;
mod version;
mod windows;

pub use calls::{Effect, Order, Status};
pub use figures::{compare, p_value, prune, Comparison, Figures, Measure, WindowFigures, Windows};
pub use messages::{Hello, RolloutMessage};
pub use settings::Settings;
pub use state::{Rollout, MAX_MEMBERS};
pub use step::{Ballot, Halt, Phase, Record, State, Step};
pub use version::{AfterHalt, OrderError, Plan, Version, VersionId};
