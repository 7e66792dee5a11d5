//! Measures the cost of control traffic in large fleets (docs/CAPACITY.md): simulated and real dispatchers on
//! loopback, the same subsystems in virtual time, the cost of decisions, and linear fits of the results by
//! size.
#![forbid(unsafe_code)]

pub mod changelog;
pub mod decisions;
pub mod delivery;
pub mod delivery_sockets;
pub mod error;
pub mod follower;
pub mod network;
pub mod pool;
pub mod process;
pub mod processes;
pub mod propagation;
pub mod real;
pub mod report;
pub mod run;
pub mod settings;
pub mod simulated;
pub mod slopes;
pub mod state;
pub mod subsystems;
pub mod topology;
pub mod traffic;
pub mod virtual_time;
