//! Fault bed: runs several processes of the built program with simulated hosts, client load and faulty links,
//! by scenarios in a small notation, and checks the observations against the expectations of the scenario.
//! See docs/faultbed.md.
#![forbid(unsafe_code)]

pub mod arrival;
pub mod changelog;
pub mod clients;
pub mod compare;
pub mod crowd;
pub mod hosts;
pub mod judge;
pub mod links;
pub mod notation;
pub mod notes;
pub mod play;
pub mod processes;
pub mod reserved_port;
pub mod soak;
pub mod soak_report;
pub mod stop_draw;
pub mod stop_points;
