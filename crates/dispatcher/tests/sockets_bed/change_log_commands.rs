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
    pub fn add_change(&self, body: impl Fn(usize) -> String) {
        for (number, change_log) in self.change_logs.iter().enumerate() {
            let mut changes = change_log.changes.lock().unwrap();
            let seq = changes.len() + 1;
            changes.push(format!(r#"{{"seq":{seq},{}}}"#, body(number)));
        }
    }

    pub fn entry(&self, name: &str, state: &str, number: usize) -> String {
        let host = &self.hosts[name];
        let (zone, kind) = if host.sort == "cache" { ("edge", "small") } else { ("hub", host.sort) };
        let address = host.addresses[number];
        let started = if self.starts_now { unix_ms() } else { 0 };
        format!(
            r#"{{"id":"s-{name}","addr":"{address}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":20,"started_ms":{started}}}"#
        )
    }

    /// Another loopback address with a host's port.
    pub fn alias(&self, name: &str, place: usize, number: usize) -> SocketAddr {
        let port = self.hosts[name].addresses[number].port();
        SocketAddr::from(([127, 1, (place / 200) as u8, (place % 200 + 1) as u8], port))
    }

    /// A list entry with the changes given by the words.
    pub fn changed_entry(&self, words: &[&str], number: usize) -> String {
        let [name, state, more @ ..] = words else { panic!("no entry: {words:?}") };
        let mut entry: serde_json::Value = serde_json::from_str(&self.entry(name, state, number)).unwrap();
        let fields = entry.as_object_mut().unwrap();
        for word in more {
            let Some((key, value)) = word.split_once('=') else {
                assert!(fields.remove(word.strip_prefix('!').unwrap()).is_some(), "no key {word}");
                continue;
            };
            let now = value.strip_prefix("now").map(|ms| unix_ms() as i64 + ms.parse::<i64>().unwrap());
            match key {
                "at" => {
                    drop(fields.insert("addr".into(), self.hosts[value].addresses[number].to_string().into()))
                }
                _ => {
                    let value = now.map_or_else(|| serde_json::from_str(value).unwrap(), Into::into);
                    fields.insert(key.into(), value);
                }
            }
        }
        entry.to_string()
    }

    pub fn add_list_change(&self, entries: &[(&str, &str)], whole: bool) {
        self.add_change(|number| {
            let mut entries: Vec<String> =
                entries.iter().map(|(name, state)| self.entry(name, state, number)).collect();
            for (place, name) in self.aliases.iter().filter(|_| whole) {
                let (address, alias) = (self.hosts[name].addresses[number], self.alias(name, *place, number));
                let entry = self.entry(name, "in_service", number);
                let entry = entry.replace(&address.to_string(), &alias.to_string());
                entries.push(entry.replace("s-", &format!("s-{place}-")));
            }
            format!(r#""fleet":{{"version":1,"full":{whole},"servers":[{}]}}"#, entries.join(","))
        });
    }

    /// Runs a command on the change logs; false if it is none.
    pub fn run_change_log_command(&mut self, words: &[&str]) -> bool {
        match words {
            ["list", name, state, more @ ..] => {
                let odd = more.contains(&"odd").then_some((*name, "odd"));
                self.starts_now |= more.contains(&"anew");
                self.add_list_change(
                    &[Some((*name, *state)), odd].into_iter().flatten().collect::<Vec<_>>(),
                    false,
                );
                // A process that has just started is a change like any other: the next request follows it.
                if more.is_empty() || *more == ["anew"] {
                    let phase = match *state {
                        "in_service" => "Ready",
                        "terminating" => "Draining",
                        _ => "Gone",
                    };
                    let line = format!("is s-{name}, {phase}");
                    self.dispatchers.iter().for_each(|d| drop(d.wait_for_log_line(&line)));
                }
            }
            ["tell", words @ ..] => self.add_change(|number| {
                let entries = words.split(|word| *word == "and");
                let entries: Vec<String> = entries.map(|words| self.changed_entry(words, number)).collect();
                format!(r#""fleet":{{"version":1,"full":false,"servers":[{}]}}"#, entries.join(","))
            }),
            ["purge", what] => {
                let now = unix_ms();
                let named = if *what == "group" {
                    r#""bucket":7"#.into()
                } else {
                    format!(r#""object":"{what:0>16}""#)
                };
                self.add_change(|_| format!(r#""invalidate":{{{named},"time":{now}}}"#));
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
