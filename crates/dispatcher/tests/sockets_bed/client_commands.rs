//! Commands on the clients.
use super::clients::{
    encode_request, encode_request_with_body, encode_status_requests, encode_withdraw, Client,
};
use super::scenario::Scenario;
use super::QUIET;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

impl Scenario {
    pub fn expect_answer(&mut self, client: &str, id: u32, word: &str, more: &[&str]) {
        let answer = self.clients.get_mut(client).unwrap().expect_answer(id);
        let outcome = match &answer.word[..] {
            "Rejected" => "turned-back",
            "Failed" => "written-off",
            "BadRequest" => "bad",
            other => other,
        };
        assert_eq!(outcome, word, "visit {id}: {answer:?}");
        for (name, value) in more.iter().map(|word| word.split_once('=').unwrap()) {
            match name {
                "bytes" => assert_eq!(answer.bytes.to_string(), value),
                "within" => {
                    let latency = answer.at - self.clients[client].sent_at[&id];
                    assert!(latency < Duration::from_millis(value.parse().unwrap()), "after {latency:?}");
                }
                _ => assert_eq!(answer.fields.get(name).map(|v| &v[..]), Some(value), "{answer:?}"),
            }
        }
    }

    /// Runs a command on the clients; false if it is none.
    pub fn run_client_command(&mut self, words: &[&str]) -> bool {
        let host = |name: &str| self.hosts.get(name).unwrap();
        match words {
            ["client", name, options @ ..] => {
                let number: usize = options.first().and_then(|n| n.parse().ok()).unwrap_or(1);
                let listen = &self.dispatchers[number - 1].listen;
                let client = Client::start(listen, options.contains(&"deaf"), options.contains(&"narrow"));
                self.clients.insert((*name).into(), client);
            }
            ["ask", client, id, class, object, given @ ..] => {
                self.clients.get_mut(*client).unwrap().send_request(
                    id.parse().unwrap(),
                    class,
                    object,
                    given,
                );
            }
            ["withdraw", client, id] => {
                let message = encode_withdraw(id.parse().unwrap());
                self.clients.get_mut(*client).unwrap().stream.write_all(&message).unwrap();
            }
            ["raw", name, hex] => {
                let bytes: Vec<u8> = (0..hex.len() / 2)
                    .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).unwrap())
                    .collect();
                let stream = match self.clients.get(*name) {
                    Some(client) => &client.stream,
                    None => &host(name).last_message.as_ref().unwrap().stream,
                };
                let _ = { stream }.write_all(&bytes);
            }
            ["each", client, from, to] => {
                for id in from.parse::<u32>().unwrap()..=to.parse().unwrap() {
                    self.clients.get_mut(*client).unwrap().send_request(id, "video", &id.to_string(), &[]);
                    self.take_message("any", &[]);
                    self.answer_last_message("it", "DONE", &[]);
                    self.expect_answer(client, id, "settled", &[]);
                }
            }
            ["pipe", client, from, to, bytes] => {
                let client = self.clients.get_mut(*client).unwrap();
                let port = client.stream.local_addr().unwrap().port();
                let ids = from.parse::<u32>().unwrap()..=to.parse().unwrap();
                client.sent_at.extend(ids.clone().map(|id| (id, Instant::now())));
                let requests = ids.flat_map(|id| encode_request(port, id, "video", &format!("{id:x}"), &[]));
                client.stream.set_nodelay(true).unwrap();
                for piece in requests.collect::<Vec<u8>>().chunks(bytes.parse().unwrap()) {
                    client.stream.write_all(piece).unwrap();
                    sleep(Duration::from_millis(1));
                }
            }
            ["burst", client, from, to, bytes, ends @ ..] => {
                let client = self.clients.get_mut(*client).unwrap();
                let port = client.stream.local_addr().unwrap().port();
                let ids = from.parse::<u32>().unwrap()..=to.parse().unwrap();
                let withdrawals: Vec<u8> = ids.clone().flat_map(encode_withdraw).collect();
                let body: Vec<u8> = withdrawals.into_iter().cycle().take(bytes.parse().unwrap()).collect();
                client.sent_at.extend(ids.clone().map(|id| (id, Instant::now())));
                let encode =
                    |id: u32| encode_request_with_body(port, id, "once", &format!("{id:x}"), &[], &body);
                let mut messages: Vec<u8> = ids.flat_map(encode).collect();
                messages.extend(ends.iter().flat_map(|id| encode_withdraw(id.parse().unwrap())));
                let mut stream = client.stream.try_clone().unwrap();
                spawn(move || stream.write_all(&messages).unwrap());
            }
            ["statuses", client, count] => {
                let requests = encode_status_requests(1..=count.parse().unwrap());
                self.clients.get_mut(*client).unwrap().stream.write_all(&requests).unwrap();
            }
            ["babble", client] => {
                let mut stream = self.clients[*client].stream.try_clone().unwrap();
                spawn(move || while stream.write_all(&encode_status_requests(1..=127)).is_ok() {});
            }
            ["flood", client, name] => {
                for id in 1..=200 {
                    self.clients.get_mut(*client).unwrap().send_request(id, "video", "01", &[]);
                    let host = self.hosts.get_mut(*name).unwrap();
                    let message = host.messages.recv_timeout(10 * QUIET);
                    let Some(message) = message.ok().filter(|message| message.words[0] == "want") else {
                        sleep(QUIET);
                        while host.messages.try_recv().is_ok() {}
                        return true;
                    };
                    host.last_message = Some(message);
                    self.answer_last_message(name, "DONE", &["bytes=239000"]);
                }
                panic!("the client was not disconnected");
            }
            ["close", client] => {
                let client = self.clients.remove(*client).unwrap();
                client.stream.shutdown(Shutdown::Both).unwrap();
            }
            ["half-close", client] => self.clients[*client].stream.shutdown(Shutdown::Write).unwrap(),
            ["reset", name] => match self.clients.remove(*name) {
                Some(client) => client.reset(),
                None => self.hosts.get_mut(*name).unwrap().reset(),
            },
            ["hear", name] => match self.clients.get_mut(*name) {
                Some(client) => client.start_reading(),
                None => self.hosts.get_mut(*name).unwrap().accept_again(),
            },
            ["crowd", count, options @ ..] => {
                let listen = &self.dispatchers[0].listen;
                let count: usize = count.parse().unwrap();
                self.idle_streams = (0..count).map(|_| TcpStream::connect(listen).unwrap()).collect();
                if options == ["asked"] {
                    let send_request =
                        |mut stream: &TcpStream| stream.write_all(&encode_status_requests(1..=1)).unwrap();
                    self.idle_streams.iter().for_each(send_request);
                }
            }
            ["expect", client, id, word, more @ ..] => {
                self.expect_answer(client, id.parse().unwrap(), word, more)
            }
            ["once", client, id, limit @ ..] => {
                let (id, client) = (id.parse().unwrap(), self.clients.get_mut(*client).unwrap());
                let latency = client.expect_answer(id).at - client.sent_at[&id];
                if let Some(limit) = limit.first() {
                    assert!(
                        latency < Duration::from_millis(limit.parse().unwrap()),
                        "{id} after {latency:?}"
                    );
                }
            }
            ["either", client, id, object] => {
                let client = self.clients.get_mut(*client).unwrap();
                if client.wait_for_answer(id.parse().unwrap()).is_none() {
                    client.expect_end();
                    assert_eq!(self.count_attempts(object), 0, "handed off, but not answered");
                }
            }
            ["ended", client] => self.clients.get_mut(*client).unwrap().expect_end(),
            ["nothing", name] => {
                sleep(QUIET);
                match self.clients.get_mut(*name) {
                    Some(client) => {
                        while client.next(Duration::ZERO) {}
                        assert!(client.received.is_empty(), "{:?}", client.received);
                    }
                    None => {
                        let message = self.hosts[*name].messages.try_recv();
                        assert!(message.is_err(), "{:?}", message.map(|message| message.words));
                    }
                }
            }
            _ => return false,
        }
        true
    }
}
