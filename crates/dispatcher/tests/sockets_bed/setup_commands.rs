//! Setup commands, and commands on the dispatchers.
use super::change_log::ChangeLog;
use super::dispatchers::{config, Dispatcher, OTHER_DEPLOYMENT};
use super::hosts::{listener, Host, BACKLOG};
use super::scenario::Scenario;
use super::{QUIET, TIMEOUT};
use cherrypass_shim::control::Call;
use cherrypass_shim::errors::errno_from_name;
use cherrypass_shim::{Fault, Shim};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SHIM_SEED: u64 = 43;

impl Scenario {
    pub fn start_dispatchers(&mut self) {
        let memory = if self.memory_mb == 0 { 192 } else { self.memory_mb };
        let known = |change_log: &ChangeLog| {
            if self.unknown_mode.is_some() {
                "null".to_owned()
            } else {
                change_log.results(0)
            }
        };
        let descriptors = if self.descriptors == 0 { 256 } else { self.descriptors };
        let store_arguments = |folder: &tempfile::TempDir| {
            format!("--last-good --operator {}", folder.path().join("operator.jsonnet").display())
        };
        let arguments = self.store_folder.as_ref().map(store_arguments).unwrap_or_default();
        let text = |change_log| {
            let default_config = || config("127.0.0.1:0", change_log, &known(change_log), memory);
            let text = self.config.clone().unwrap_or_else(default_config);
            let changes = OTHER_DEPLOYMENT.iter().filter(|_| self.has_other_deployment);
            let text = changes.fold(text, |text, (from, to)| text.replacen(from, to, 1));
            if self.overrides.is_empty() {
                return text;
            }
            let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
            for (pointer, value) in &self.overrides {
                *settings.pointer_mut(pointer).expect("no such setting") = value.clone();
            }
            settings.to_string()
        };
        let start =
            |change_log| Dispatcher::start(&text(change_log), descriptors, &arguments, self.shim.as_ref());
        self.dispatchers = self.change_logs.iter().map(start).collect();
    }

    /// Runs a setup command; false if it is none.
    pub fn run_setup_command(&mut self, words: &[&str]) -> bool {
        let host = |name: &str| self.hosts.get(name).unwrap();
        match words {
            ["host", name, "at", other] => {
                let host = self.hosts.remove(*other).unwrap();
                self.hosts.insert((*name).into(), host);
            }
            ["host", name, role, options @ ..] => {
                let role = ["cache", "parent", "origin"].into_iter().find(|known| known == role).unwrap();
                self.hosts.insert((*name).into(), Host::start(role, options == ["narrow"]));
            }
            ["many", count, name] => {
                for index in 0..count.parse().unwrap() {
                    for dispatcher in 0..host(name).addresses.len() {
                        let alias = self.alias(name, index, dispatcher);
                        host(name).open(listener(&alias.to_string(), false, BACKLOG));
                    }
                    self.aliases.push((index, (*name).into()));
                }
            }
            ["memory", mb] => self.memory_mb = mb.parse().unwrap(),
            ["descriptors", count] => self.descriptors = count.parse().unwrap(),
            ["set", pointer, json] => {
                self.overrides.push(((*pointer).into(), serde_json::from_str(json).unwrap()));
            }
            ["unknown", mode @ ..] => self.unknown_mode = Some((*mode.first().unwrap_or(&"mute")).into()),
            ["shape"] => self.has_other_deployment = true,
            ["store", settings @ ..] => {
                let folder = tempfile::tempdir().unwrap();
                let text = format!(
                    "{{ store: {{ dir: '{}/kept', {} }} }}",
                    folder.path().display(),
                    settings.concat()
                );
                std::fs::write(folder.path().join("operator.jsonnet"), text).unwrap();
                self.store_folder = Some(folder);
            }
            ["config", words @ ..] => self.config = Some(words.join(" ")),
            ["shim"] => self.shim = Some(Shim::new(SHIM_SEED).unwrap()),
            _ => return false,
        }
        true
    }

    /// Runs a command on the dispatchers; false if it is none.
    pub fn run_dispatcher_command(&mut self, words: &[&str]) -> bool {
        match words {
            ["start", count @ ..] => {
                let count = count.first().map_or(1, |n| n.parse().unwrap());
                self.change_logs = (0..count).map(|_| ChangeLog::start()).collect();
                let entries: Vec<(&str, &str)> =
                    self.hosts.keys().map(|name| (&name[..], "in_service")).collect();
                self.add_list_change(&entries, true);
                if let Some(mode) = &self.unknown_mode {
                    self.change_logs
                        .iter()
                        .for_each(|change_log| change_log.mode.lock().unwrap().clone_from(mode));
                }
                self.start_dispatchers();
            }
            ["restart"] => {
                self.dispatchers.clear();
                self.start_dispatchers();
            }
            ["term"] => {
                self.terminated_at = Some(Instant::now());
                self.dispatchers[0].signal("-TERM");
            }
            ["signal", name] => self.dispatchers[0].signal(&format!("-{name}")),
            ["pause"] => self.dispatchers[0].pause(),
            ["resume"] => self.dispatchers[0].signal("-CONT"),
            ["exit", code, limit @ ..] => {
                let end = Instant::now() + 2 * TIMEOUT;
                let status = loop {
                    if let Some(status) = self.dispatchers[0].child.try_wait().unwrap() {
                        break status;
                    }
                    assert!(Instant::now() < end, "the process doesn't exit");
                    sleep(Duration::from_millis(5));
                };
                assert_eq!(status.code(), Some(code.parse().unwrap()), "{status}");
                if let Some(limit) = limit.first() {
                    let elapsed = self.terminated_at.unwrap().elapsed();
                    assert!(elapsed < Duration::from_millis(limit.parse().unwrap()), "after {elapsed:?}");
                }
            }
            ["reload", words @ ..] => self.dispatchers[0].reload(&words.join(" ")),
            ["move"] => {
                let old = std::mem::replace(&mut self.change_logs[0], ChangeLog::start());
                *old.mode.lock().unwrap() = "mute".into();
                let changes = old.changes.lock().unwrap().clone();
                *self.change_logs[0].changes.lock().unwrap() = changes;
                self.dispatchers[0].reload(&config("127.0.0.1:0", &self.change_logs[0], "null", 192));
            }
            ["forget"] => self.change_logs.iter().for_each(|change_log| {
                change_log.changes.lock().unwrap().retain(|change| change.contains("fleet"));
                *change_log.mode.lock().unwrap() = "mute".into();
            }),
            ["spoil"] => {
                let path = self.store_folder.as_ref().unwrap().path().join("kept/0000000001.log");
                let mut bytes = std::fs::read(&path).unwrap();
                bytes[80] ^= 1;
                std::fs::write(path, bytes).unwrap();
            }
            ["log", words @ ..] => drop(self.dispatchers[0].wait_for_log_line(&words.join(" "))),
            ["holds", threads, files] => {
                let folder = |name: &str| format!("/proc/{}/{name}", self.dispatchers[0].child.id());
                let count = |name| std::fs::read_dir(folder(name)).unwrap().count();
                let end = Instant::now() + TIMEOUT;
                let limits: [usize; 2] = [threads.parse().unwrap(), files.parse().unwrap()];
                while count("task") > limits[0] || count("fd") > limits[1] {
                    assert!(Instant::now() < end, "{} threads, {} files", count("task"), count("fd"));
                    sleep(QUIET);
                }
            }
            ["stands", limit, within] => {
                let (limit, within): (usize, u64) = (limit.parse().unwrap(), within.parse().unwrap());
                let end = Instant::now() + Duration::from_millis(within);
                loop {
                    let [files, pending] = self.dispatchers[0].open_files_and_pending();
                    if files + pending <= limit {
                        break;
                    }
                    assert!(Instant::now() < end, "{files} files, and {pending} wait at its listener");
                    sleep(Duration::from_millis(5));
                }
            }
            ["step", ms] => {
                let ms: i64 = ms.parse().unwrap();
                let span = Duration::from_millis(ms.unsigned_abs());
                let (ahead, behind) = if ms > 0 { (span, Duration::ZERO) } else { (Duration::ZERO, span) };
                self.shim.as_ref().unwrap().step_wall_clock(ahead, behind).unwrap();
            }
            ["fault", call, how, per_million, thread @ ..] => {
                let fault = Fault {
                    per_million: per_million.parse().unwrap(),
                    outcome: errno_from_name(how).expect("no such error"),
                };
                let call = Call::from_name(call).expect("no such call");
                let shim = self.shim.as_ref().unwrap();
                [_, self.failures_before_fault] = shim.counts(call).unwrap();
                shim.set_thread_fault(call, thread.first().unwrap_or(&""), fault).unwrap();
            }
            ["stop-at", call, thread] => {
                let call = Call::from_name(call).expect("no such call");
                self.shim.as_ref().unwrap().stop_at(call, thread).unwrap();
            }
            ["stopped"] => self.dispatchers[0].wait_until_stopped(),
            ["delivered", call, min] => {
                let call = Call::from_name(call).expect("no such call");
                let min: u64 = min.parse().unwrap();
                let end = Instant::now() + TIMEOUT;
                loop {
                    let [made, failures] = self.shim.as_ref().unwrap().counts(call).unwrap();
                    if failures >= self.failures_before_fault + min {
                        break;
                    }
                    assert!(Instant::now() < end, "{failures} of {made} calls");
                    sleep(Duration::from_millis(1));
                }
            }
            _ => return false,
        }
        true
    }
}
