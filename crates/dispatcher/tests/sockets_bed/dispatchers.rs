//! Dispatcher processes and their configuration.
#[path = "../support/stopped.rs"]
mod stopped;

use super::change_log::ChangeLog;
use super::TIMEOUT;
use cherrypass_shim::Shim;
use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;
use std::time::Instant;

pub const SETTINGS: &str = r#"{"balancers": 2, "me": 0, "zone": 1, "zones": ["hub", "edge"], "weight_source": "rough",
 "models": ["small", "parent", "origin"],
 "services": [{"name": "video", "aim": 500000, "deadline": 6000000, "effect": "idempotent"},
  {"name": "order", "aim": 500000, "deadline": 1000000, "effect": "deduplicated", "group": "all", "memory_span": 5000000},
  {"name": "once", "aim": 500000, "deadline": 1000000, "effect": "at_most_once"},
  {"name": "paid", "aim": 500000, "deadline": 1000000, "effect": "deduplicated", "group": "zone", "memory_span": 4000000}],
 "bounds": {"cancel": true, "connect_timeout": 300000, "conn_idle": 15000000, "streams_per_conn": 32, "max_attempts": 6,
  "retry_after": true, "max_retry_after": 2000000},
 "rules": {"cold_from": 0.2, "cold": 1, "overload_factor": 2.0, "overload_for": 1500000},
 "domain": {"class_fresh": [0, 0, 0, 0], "goes_through": [false, true, true, false], "may_pass_by": true, "obey_after": 1000000,
  "pace_kb_per_s": 5000, "parent_kind": 1, "source_kind": 2, "purge_done": 6000000, "count_by_zone": [0, 2]}}"#;

/// Replacements in the settings above for the other shape of deployment.
pub const OTHER_DEPLOYMENT: [(&str, &str); 4] = [
    ("\"weight_source\": \"rough\"", "\"weight_source\": \"none\""),
    ("\"cancel\": true", "\"cancel\": true, \"probing\": true"),
    ("\"may_pass_by\": true", "\"may_pass_by\": false, \"peers_fill\": \"none\", \"detail\": \"hit\""),
    ("\"rules\"", "\"stats\": {\"how\": \"answers\", \"columns\": [\"util\", \"x0\"]}, \"rules\""),
];

pub struct Dispatcher {
    pub child: Child,
    pub config: ConfigFile,
    pub listen: String,
    pub log_lines: Receiver<String>,
    /// The log lines that were received since the start.
    pub received_log_lines: RefCell<Vec<String>>,
    /// Log lines from before it listened.
    pub early_log_lines: Vec<String>,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A file that is removed on drop.
pub struct ConfigFile(std::path::PathBuf);

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts a dispatcher with a limit on descriptors.
pub fn spawn_dispatcher(
    config: &str,
    descriptors: u32,
    arguments: &str,
    shim: Option<&Shim>,
) -> (Child, ConfigFile) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("cherrypass-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let environment = shim.map(|shim| shim.environment().unwrap()).into_iter().flatten();
    let environment: Vec<String> = environment.map(|(name, value)| format!("{name}={value}")).collect();
    // The shim library must be loaded by the dispatcher, not by the shell that starts it.
    let environment = environment.join(" ");
    let serve =
        format!("ulimit -n {descriptors}; exec env {environment} \"$0\" serve --config \"$1\" {arguments}");
    let mut command = Command::new("/bin/sh");
    let command = command.arg("-c").arg(serve).arg(env!("CARGO_BIN_EXE_cherrypass")).arg(&path);
    let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    (child, ConfigFile(path))
}

pub fn config(listen: &str, change_log: &ChangeLog, known: &str, memory: u32) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"00f1","limits":{{"cores":1.0,"memory_mb":{memory},"sockets":256}},
        "changelog":"{}","known":{known},"settings":{SETTINGS}}}"#,
        change_log.address
    )
}

impl Dispatcher {
    pub fn start(config: &str, descriptors: u32, arguments: &str, shim: Option<&Shim>) -> Dispatcher {
        let (mut child, config) = spawn_dispatcher(config, descriptors, arguments, shim);
        let (sender, log_lines) = channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        spawn(move || errors.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line))));
        let (listen, early_log_lines, received_log_lines) = Default::default();
        let mut dispatcher =
            Dispatcher { child, config, listen, log_lines, received_log_lines, early_log_lines };
        let line = loop {
            let line = dispatcher.log_lines.recv_timeout(TIMEOUT).expect("no start");
            if line.contains("start: n0 on ") {
                break line;
            }
            dispatcher.early_log_lines.push(line);
        };
        dispatcher.listen = line.split("on ").nth(1).unwrap().split(',').next().unwrap().to_owned();
        dispatcher
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Suspends the process and waits until all its threads have stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        self.wait_until_stopped();
    }

    /// Waits until all threads of the process are stopped.
    pub fn wait_until_stopped(&self) {
        stopped::wait_until_stopped(self.child.id(), TIMEOUT);
    }

    /// The number of open files, and of connections pending at the listener.
    pub fn open_files_and_pending(&self) -> [usize; 2] {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count();
        let port = self.listen.rsplit(':').next().unwrap().parse::<u16>().unwrap();
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let listens = |words: &[&str]| words[1].ends_with(&format!(":{port:04X}")) && words[3] == "0A";
        let mut lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let line = lines.find(|words| listens(words)).expect("no listening socket");
        [files, usize::from_str_radix(line[4].split(':').nth(1).unwrap(), 16).unwrap()]
    }

    /// Replaces the configuration and has it reloaded.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config.0, text).unwrap();
        self.signal("-HUP");
    }

    /// Waits for a log line that contains `words`.
    pub fn wait_for_log_line(&self, words: &str) -> String {
        if let Some(line) = self.early_log_lines.iter().find(|line| line.contains(words)) {
            return line.clone();
        }
        let end = Instant::now() + TIMEOUT;
        loop {
            let line = self.log_lines.recv_timeout(end.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("no log line with '{words}'"));
            self.received_log_lines.borrow_mut().push(line.clone());
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Waits until the log has this many lines on closed connections to this host.
    pub fn wait_for_closed_connections(&self, host: &str, connections: usize) {
        let prefix = format!("host s-{host} connection ");
        let is_closed = |line: &&String| line.contains(&prefix) && line.contains(" closed: ");
        while self.received_log_lines.borrow().iter().filter(is_closed).count() < connections {
            self.wait_for_log_line(&prefix);
        }
    }
}
