//! Several processes of the built program with stand-in hosts, clients at work and faulty links between them, by
//! scenarios in a small notation; and a judge that reads what all of them noted on one clock. docs/faultbed.md.
#![forbid(unsafe_code)]

pub mod changelog;
pub mod clients;
pub mod compare;
pub mod hosts;
pub mod judge;
pub mod links;
pub mod notation;
pub mod notes;
pub mod play;
pub mod processes;
pub mod soak;
pub mod soak_report;
