//! Commands on the change logs, and their list entries.
use super::scenario::Scenario;
use super::QUIET;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::SystemTime;

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis()
}

impl Scenario {
    /// Adds a change to each dispatcher's change log.
    pub fn add_change(&self, body: impl Fn(usize) -> String) {
        for (dispatcher, change_log) in self.change_logs.iter().enumerate() {
            let mut changes = change_log.changes.lock().unwrap();
            let seq = changes.len() + 1;
            changes.push(format!(r#"{{"seq":{seq},{}}}"#, body(dispatcher)));
        }
    }

    /// A host's list entry, with its address for this dispatcher.
    pub fn entry(&self, name: &str, state: &str, dispatcher: usize) -> String {
        let host = &self.hosts[name];
        let (zone, kind) = if host.role == "cache" { ("edge", "small") } else { ("hub", host.role) };
        let address = host.addresses[dispatcher];
        let started = if self.starts_now { unix_ms() } else { 0 };
        format!(
            r#"{{"id":"s-{name}","addr":"{address}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":20,"started_ms":{started}}}"#
        )
    }

    /// Another loopback address with a host's port.
    pub fn alias(&self, name: &str, index: usize, dispatcher: usize) -> SocketAddr {
        let port = self.hosts[name].addresses[dispatcher].port();
        SocketAddr::from(([127, 1, (index / 200) as u8, (index % 200 + 1) as u8], port))
    }

    /// A list entry with the changes given by the words.
    pub fn changed_entry(&self, words: &[&str], dispatcher: usize) -> String {
        let [name, state, changes @ ..] = words else { panic!("no entry: {words:?}") };
        let mut entry: serde_json::Value =
            serde_json::from_str(&self.entry(name, state, dispatcher)).unwrap();
        let fields = entry.as_object_mut().unwrap();
        for word in changes {
            let Some((key, value)) = word.split_once('=') else {
                assert!(fields.remove(word.strip_prefix('!').unwrap()).is_some(), "no key {word}");
                continue;
            };
            let timestamp = value.strip_prefix("now").map(|ms| unix_ms() as i64 + ms.parse::<i64>().unwrap());
            match key {
                "at" => drop(
                    fields.insert("addr".into(), self.hosts[value].addresses[dispatcher].to_string().into()),
                ),
                _ => {
                    let value = timestamp.map_or_else(|| serde_json::from_str(value).unwrap(), Into::into);
                    fields.insert(key.into(), value);
                }
            }
        }
        entry.to_string()
    }

    /// Adds a change of the host list; a complete one also lists all aliases.
    pub fn add_list_change(&self, entries: &[(&str, &str)], is_complete: bool) {
        self.add_change(|dispatcher| {
            let mut entries: Vec<String> =
                entries.iter().map(|(name, state)| self.entry(name, state, dispatcher)).collect();
            for (index, name) in self.aliases.iter().filter(|_| is_complete) {
                let (address, alias) =
                    (self.hosts[name].addresses[dispatcher], self.alias(name, *index, dispatcher));
                let entry = self.entry(name, "in_service", dispatcher);
                let entry = entry.replace(&address.to_string(), &alias.to_string());
                entries.push(entry.replace("s-", &format!("s-{index}-")));
            }
            format!(r#""fleet":{{"version":1,"full":{is_complete},"servers":[{}]}}"#, entries.join(","))
        });
    }

    /// Runs a command on the change logs; false if it is none.
    pub fn run_change_log_command(&mut self, words: &[&str]) -> bool {
        match words {
            ["list", name, state, options @ ..] => {
                let invalid_entry = options.contains(&"odd").then_some((*name, "odd"));
                self.starts_now |= options.contains(&"anew");
                self.add_list_change(
                    &[Some((*name, *state)), invalid_entry].into_iter().flatten().collect::<Vec<_>>(),
                    false,
                );
                // Requests after this command must be decided by the new entry.
                if options.is_empty() || *options == ["anew"] {
                    let phase = match *state {
                        "in_service" => "Ready",
                        "terminating" => "Draining",
                        _ => "Gone",
                    };
                    let line = format!("is s-{name}, {phase}");
                    self.dispatchers.iter().for_each(|d| drop(d.wait_for_log_line(&line)));
                }
            }
            ["tell", words @ ..] => self.add_change(|dispatcher| {
                let entries = words.split(|word| *word == "and");
                let entries: Vec<String> =
                    entries.map(|words| self.changed_entry(words, dispatcher)).collect();
                format!(r#""fleet":{{"version":1,"full":false,"servers":[{}]}}"#, entries.join(","))
            }),
            ["purge", object] => {
                let purged_at = unix_ms();
                let target = if *object == "group" {
                    r#""bucket":7"#.into()
                } else {
                    format!(r#""object":"{object:0>16}""#)
                };
                self.add_change(|_| format!(r#""invalidate":{{{target},"time":{purged_at}}}"#));
                sleep(QUIET);
            }
            ["feed", mode] => self
                .change_logs
                .iter()
                .for_each(|change_log| *change_log.mode.lock().unwrap() = (*mode).into()),
            _ => return false,
        }
        true
    }
}
