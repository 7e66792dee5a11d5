//! Commands on the hosts.
use super::hosts::{encode_answer, Host, COPY_FIELDS};
use super::scenario::Scenario;
use super::{QUIET, TIMEOUT};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

impl Scenario {
    /// Takes the next message at a host and checks it against the words.
    pub fn take_message(&mut self, name: &str, wanted: &[&str]) {
        let never_mind = wanted.contains(&"never_mind");
        let end = Instant::now() + TIMEOUT;
        let (name, message) = loop {
            let mut hosts = self.hosts.iter().filter(|(host, _)| name == "any" || *host == name);
            let found = hosts.find_map(|(name, host)| Some((name.clone(), host.messages.try_recv().ok()?)));
            if let Some(found) = found {
                break found;
            }
            assert!(Instant::now() < end, "nothing arrived at {name}");
            sleep(Duration::from_millis(1));
        };
        let host = self.hosts.get_mut(&name).unwrap();
        self.last_host = name;
        if never_mind {
            assert_eq!(message.words[0], "never_mind");
            assert_eq!(message.words[1], host.last_message.as_ref().unwrap().words[1]);
            return;
        }
        if wanted == ["busy"] {
            assert_eq!(message.words[0], "busy");
            host.last_message = Some(message);
            return;
        }
        assert_eq!(message.words[0], "want", "{:?}", message.words);
        let fields: BTreeMap<&str, &str> =
            message.words[2].split(',').filter_map(|f| f.split_once('=')).collect();
        for word in wanted {
            let encoded = &message.words[2];
            if let Some((name, value)) = word.strip_prefix('!').and_then(|word| word.split_once('=')) {
                assert_ne!(fields.get(name), Some(&value), "{word}, but {encoded}");
            } else if let Some(name) = word.strip_prefix('!') {
                assert!(!fields.contains_key(name), "{name} in {encoded}");
            } else if let Some((name, max)) = word.split_once('<') {
                let value: u64 =
                    fields.get(name).unwrap_or_else(|| panic!("no {name} in {encoded}")).parse().unwrap();
                assert!((1..max.parse().unwrap()).contains(&value), "{word}, but {encoded}");
            } else if let Some((name, min)) = word.split_once('>') {
                let value: Option<u64> = fields.get(name).map(|value| value.parse().unwrap());
                assert!(value > Some(min.parse().unwrap()), "{word}, but {encoded}");
            } else if let Some(size) = word.strip_prefix("body=") {
                assert_eq!(message.words[3], "y".repeat(size.parse().unwrap()));
            } else {
                let (name, value) = word.split_once('=').unwrap();
                assert_eq!(fields.get(name), Some(&value), "{word}, but {encoded}");
            }
        }
        host.last_message = Some(message);
    }

    pub fn answer_last_message(&mut self, name: &str, word: &str, more: &[&str]) {
        let name = if name == "it" { self.last_host.clone() } else { name.to_owned() };
        let host = self.hosts.get_mut(&name).unwrap();
        let last = host.last_message.as_ref().expect("nothing was taken");
        let (mut id, mut fields, mut bytes) = (last.words[1].clone(), "-".to_owned(), 0);
        let (mut short, mut copies, mut bare) = (0, 1, false);
        for word in more {
            if let Some(size) = word.strip_prefix("bytes=") {
                bytes = size.parse().unwrap();
            } else if let Some(other) = word.strip_prefix("id=") {
                id = other.into();
            } else if let Some(size) = word.strip_prefix("short=") {
                short = size.parse().unwrap();
            } else if *word == "twice" {
                copies = 2;
            } else if *word == "bare" {
                bare = true;
            } else {
                fields = (*word).into();
            }
        }
        if matches!(word, "DONE" | "KEEP") && !bare && !fields.contains("ver") {
            fields = format!("{COPY_FIELDS}{}", if fields == "-" { "".into() } else { format!(",{fields}") });
        }
        let whole = encode_answer(&id, word, &fields, bytes);
        let mut out = whole.repeat(copies);
        host.unsent_bytes = out.split_off(out.len() - short);
        (&last.stream).write_all(&out).unwrap();
        host.last_answer = Some((last.stream.try_clone().unwrap(), whole));
    }

    /// The number of attempts for an object at all hosts so far.
    pub fn count_attempts(&self, object: &str) -> usize {
        let object = format!("{object:0>16}");
        let count =
            |host: &Host| host.server.objects.lock().unwrap().iter().filter(|o| **o == object).count();
        self.hosts.values().map(count).sum()
    }

    /// Runs a command on the hosts; false if it is none.
    pub fn run_host_command(&mut self, words: &[&str]) -> bool {
        let host = |name: &str| self.hosts.get(name).unwrap();
        match words {
            ["take", name, wanted @ ..] => {
                let name = if *name == "it" { self.last_host.clone() } else { (*name).into() };
                self.take_message(&name, wanted);
            }
            ["answer", name, word, more @ ..] => self.answer_last_message(name, word, more),
            ["rest", name] => {
                let host = self.hosts.get_mut(*name).unwrap();
                let left = std::mem::take(&mut host.unsent_bytes);
                (&host.last_message.as_ref().unwrap().stream).write_all(&left).unwrap();
            }
            ["again", name] => {
                let (stream, whole) = host(name).last_answer.as_ref().unwrap();
                { stream }.write_all(whole).unwrap();
            }
            ["drip", name] => {
                let name = if *name == "it" { &self.last_host } else { *name };
                let last = host(name).last_message.as_ref().unwrap();
                let mut stream = last.stream.try_clone().unwrap();
                let mut whole = encode_answer(&last.words[1], "DONE", COPY_FIELDS, 200_000);
                whole.truncate(whole.len() - 199_000);
                spawn(move || {
                    while stream.write_all(&whole).is_ok() {
                        whole = vec![b'x'];
                        sleep(Duration::from_millis(20));
                    }
                });
            }
            ["auto", name, bytes @ ..] => {
                let bytes = bytes.first().map_or(1, |bytes| bytes.parse().unwrap());
                *host(name).server.auto_answer_bytes.lock().unwrap() = Some(bytes);
            }
            ["paced", name, places, kb] => {
                let pace = (places.parse().unwrap(), 1000 * kb.parse::<usize>().unwrap());
                *host(name).server.paced_answers.lock().unwrap() = Some(pace);
            }
            ["drain", name] => while host(name).messages.try_recv().is_ok() {},
            ["came", name] => assert!(host(name).messages.try_recv().is_ok(), "nothing arrived at {name}"),
            ["count", object, count] => {
                sleep(QUIET);
                assert_eq!(self.count_attempts(object).to_string(), *count, "attempts for {object}");
            }
            ["cut", name] => host(name).cut(),
            ["closed", name] => {
                let connections = host(name).server.accepted.load(Ordering::SeqCst);
                self.dispatchers[0].wait_for_closed_connections(name, connections);
            }
            ["down", name] => {
                host(name).stop();
                host(name).cut();
            }
            ["deaf", name] => self.hosts.get_mut(*name).unwrap().stop_accepting_silently(),
            ["up", name] => {
                let (end, host) = (Instant::now() + TIMEOUT, host(name));
                while host.server.accepted.load(Ordering::SeqCst) <= host.old_connections {
                    assert!(Instant::now() < end, "no connection was established");
                    sleep(Duration::from_millis(1));
                }
            }
            ["still", name] => host(name).server.is_reading_stopped.store(true, Ordering::SeqCst),
            ["reads", name] => host(name).server.is_reading_stopped.store(false, Ordering::SeqCst),
            _ => return false,
        }
        true
    }
}
