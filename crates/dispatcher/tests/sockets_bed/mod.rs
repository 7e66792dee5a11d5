//! The test bed of the socket tests: the notation, simulated hosts, change logs and clients, dispatchers, and the
//! runner of scenarios.
pub mod change_log;
mod change_log_commands;
mod client_commands;
mod clients;
pub mod dispatchers;
mod host_commands;
mod hosts;
mod load_commands;
pub mod notation;
pub mod scenario;
mod setup_commands;

use std::time::Duration;

pub const TIMEOUT: Duration = Duration::from_secs(5);
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// How long to wait before checking that nothing has arrived.
pub const QUIET: Duration = Duration::from_millis(150);
/// Size of the small buffers of narrow sockets.
pub const NARROW_BUFFER: usize = 4096;
/// Sizes of the largest tenth, the next fifth and all other objects, by the object's last digit.
pub const SIZES: [(char, usize); 3] = [('a', 240_000), ('b', 120_000), ('c', 4_000)];
