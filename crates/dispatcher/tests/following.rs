//! How often the change log is polled if each answer has a change: without carriers, by a carrier, and by a
//! dispatcher that has lost its carriers.
#[allow(dead_code)]
#[path = "support/following.rs"]
mod support;

use cherrypass::time::Span;
use cherrypass_dispatcher::carried_changes::Delivery;
use cherrypass_dispatcher::inbox::{Change, Input};
use cherrypass_peers::delivery::DeliveryEvent;
use crossbeam_channel::{unbounded, Receiver};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::start_following;
use test_case::test_case;

/// Time after an answer until the log has the next change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
const TEST_DURATION: Duration = Duration::from_millis(1_500);
/// Longer than the test, since there is no router that applies the changes.
const LEASE: Span = Span::millis(60_000);

/// Starts a log on one connection that answers each request with the next change, and counts the requests.
fn start_log() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, requests) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = requests.clone();
    spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let mut stream = stream;
        loop {
            while !lines.next().unwrap().unwrap().is_empty() {}
            let number = count.fetch_add(1, SeqCst) + 1;
            sleep(CHANGE_INTERVAL);
            let purge = format!(r#"{{"object":"{number:016x}","time":1764576000000}}"#);
            let body = format!(r#"{{"seq":{number},"results":[{{"seq":{number},"invalidate":{purge}}}]}}"#);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    (address, requests)
}

/// The numbers of the purges that arrive during the test.
fn purges(inputs: &Receiver<Input>) -> Vec<u64> {
    let until = Instant::now() + TEST_DURATION;
    let mut found = Vec::new();
    while let Ok(input) = inputs.recv_deadline(until) {
        if let Input::Change(Change::Purge(purge)) = input {
            found.push(purge.change_number);
        }
    }
    found
}

#[test_case(None, 30, 200; "without carriers")]
#[test_case(Some(true), 30, 200; "a carrier")]
#[test_case(Some(false), 4, 9; "without a live carrier")]
fn the_log_is_polled_as_often_as_expected(is_carrier: Option<bool>, min: usize, max: usize) {
    let (address, requests) = start_log();
    let (delivery_events, from_fleet) = unbounded();
    delivery_events.send(DeliveryEvent::ReadLogDirectly(true)).unwrap();
    let to_fleet = || Box::new(|_| {});
    let delivery = is_carrier.map(|is_carrier| Delivery { from_fleet, to_fleet: to_fleet(), is_carrier });
    let inputs = start_following(address, LEASE, delivery).inputs;
    let found = purges(&inputs);
    let requests = requests.load(SeqCst);
    assert!((min..=max).contains(&requests), "polled {requests} times");
    // All changes arrive in order; the last one may still be pending.
    assert!(found.len() + 1 >= requests, "{} of {requests}", found.len());
    assert!(found.iter().zip(1..).all(|(number, expected)| *number == expected), "{found:?}");
}
