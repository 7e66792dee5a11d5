//! The state of a running scenario, and its commands by kind.
use super::change_log::ChangeLog;
use super::clients::Client;
use super::dispatchers::Dispatcher;
use super::hosts::Host;
use cherrypass_shim::Shim;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::time::Instant;

/// The state of a running scenario.
#[derive(Default)]
pub struct Scenario {
    pub hosts: BTreeMap<String, Host>,
    pub change_logs: Vec<ChangeLog>,
    pub dispatchers: Vec<Dispatcher>,
    pub clients: BTreeMap<String, Client>,
    pub last_host: String,
    pub memory_mb: u32,
    pub unknown_mode: Option<String>,
    pub aliases: Vec<(usize, String)>,
    pub descriptors: u32,
    pub idle_streams: Vec<TcpStream>,
    pub store_folder: Option<tempfile::TempDir>,
    pub config: Option<String>,
    pub has_other_deployment: bool,
    pub overrides: Vec<(String, serde_json::Value)>,
    pub terminated_at: Option<Instant>,
    pub last_lap: Option<Instant>,
    pub starts_now: bool,
    pub shim: Option<Shim>,
    /// Number of failures injected before the last `fault`.
    pub failures_before_fault: u64,
}

impl Scenario {
    pub fn run_command(&mut self, words: &[&str]) {
        let is_known = self.run_setup_command(words)
            || self.run_dispatcher_command(words)
            || self.run_change_log_command(words)
            || self.run_client_command(words)
            || self.run_host_command(words)
            || self.run_load_command(words);
        assert!(is_known, "no such command: {words:?}");
    }
}
