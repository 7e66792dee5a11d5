//! A simulated change log.
use super::QUIET;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A simulated change log.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    pub changes: Arc<Mutex<Vec<String>>>,
    pub mode: Arc<Mutex<String>>,
}

impl ChangeLog {
    pub fn start() -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let change_log = ChangeLog {
            address: listener.local_addr().unwrap(),
            changes: Default::default(),
            mode: Arc::new(Mutex::new("well".into())),
        };
        let server = change_log.clone();
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = server.clone();
                spawn(move || server.serve(stream));
            }
        });
        change_log
    }

    pub fn results(&self, since: usize) -> String {
        let changes = self.changes.lock().unwrap();
        let last = changes.len();
        let results: Vec<&str> = changes.iter().skip(since.min(last)).map(String::as_str).collect();
        format!(r#"{{"seq":{last},"results":[{}]}}"#, results.join(","))
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut request_line = String::new();
            if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
                return;
            }
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap_or(0) > 2 {
                line.clear();
            }
            let since =
                request_line.split("since=").nth(1).unwrap().split('&').next().unwrap().parse().unwrap();
            let start = Instant::now();
            let body = loop {
                match &self.mode.lock().unwrap()[..] {
                    "refuse" => return,
                    "mute" => {}
                    "prose" => break "not what was asked".to_owned(),
                    "gap" => {
                        break format!(
                            r#"{{"seq":99,"results":[{{"seq":{},"fleet":{{"full":true,"servers":[]}}}}]}}"#,
                            since + 2
                        )
                    }
                    "repeat" => {
                        break r#"{"seq":1,"results":[{"seq":1,"fleet":{"full":true,"servers":[]}}]}"#
                            .to_owned()
                    }
                    "cut" | "stop" | "drip" => break self.results(since),
                    "state" => {
                        break format!(
                            r#"{{"seq":99,"results":[{{"seq":{},"fleet":{{"full":true,"servers":[{{"id":"x","state":"odd"}}]}}}}]}}"#,
                            since + 1
                        )
                    }
                    _ if self.changes.lock().unwrap().len() > since || start.elapsed() > QUIET => {
                        break self.results(since);
                    }
                    _ => {}
                }
                sleep(Duration::from_millis(5));
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let mode = self.mode.lock().unwrap().clone();
            match &mode[..] {
                "cut" | "stop" => drop(stream.write_all(&answer.as_bytes()[..answer.len() - 9])),
                "drip" => answer.bytes().for_each(|byte| {
                    let _ = stream.write_all(&[byte]);
                    sleep(QUIET);
                }),
                _ => drop(stream.write_all(answer.as_bytes())),
            }
            if mode == "cut" {
                return;
            }
        }
    }
}
