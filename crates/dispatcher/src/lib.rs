//! The dispatcher's network layer: clients over MessagePack-RPC, hosts over RESP and the change log over
//! HTTP/1.1, connected to the decision module.
#![forbid(unsafe_code)]

pub mod attempt_log;
pub mod cancellation;
pub mod capacity;
pub mod carried_changes;
pub mod change_clock;
pub mod change_decoding;
pub mod change_log;
pub mod change_log_lease;
pub mod client_input;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection;
pub mod console;
pub mod durable_state;
pub mod fleet_connection;
pub mod host_connections;
pub mod host_list;
pub mod host_messages;
pub mod hosts;
pub mod ids;
pub mod inbox;
pub mod latency;
pub mod logger;
pub mod mailbox;
pub mod msgpack;
pub mod resp;
pub mod rollout_commands;
pub mod router;
pub mod signals;
pub mod startup;
pub mod store_commands;
