//! Answers of hosts that take longer than the connect timeout to arrive: a sound pace is waited for, a stop is not.
#[allow(dead_code)]
#[path = "discovery/bed.rs"]
mod bed;

use bed::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};
use test_case::test_case;

/// From the protocol page: an object, and the pace of a transfer.
const OBJECT_BYTES: usize = 240_000;
const BYTES_PER_SECOND: usize = 310_000;
const STEP: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How often connections are checked, and time for threads that run late.
const CHECKED_WITHIN: Duration = Duration::from_millis(250 + 200);

/// How a host sends the answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sending {
    /// At the protocol's pace to its end.
    Whole,
    /// The same, but it stops after this many bytes and keeps the connection open.
    StopsAfter(usize),
    /// Some bytes at each step.
    Trickles,
}

/// Sends an answer; returns when it stopped.
fn send(message: &HostMessage, sending: Sending) -> Instant {
    let (id, fields) = (&message.words[1], "ver=4be0c192,born=1764576000123");
    let fields = format!("${}\r\n{fields}\r\n", fields.len());
    let head = format!("*4\r\n${}\r\n{id}\r\n$4\r\nDONE\r\n{fields}${OBJECT_BYTES}\r\n", id.len());
    let bytes = [head.into_bytes(), vec![b'x'; OBJECT_BYTES], b"\r\n".to_vec()].concat();
    let step = match sending {
        Sending::Trickles => 20,
        _ => BYTES_PER_SECOND * STEP.as_millis() as usize / 1_000,
    };
    let end = if let Sending::StopsAfter(bytes) = sending { bytes } else { bytes.len() };
    let start = Instant::now();
    for (number, piece) in bytes[..end].chunks(step).enumerate() {
        std::thread::sleep((start + STEP * number as u32).saturating_duration_since(Instant::now()));
        if message.write_bytes(piece).is_err() {
            break;
        }
    }
    Instant::now()
}

/// Guards against a limit that counts from an answer's first byte: hosts that send large objects at the protocol's own
/// pace had none of them served. One that stops is left as early as before.
#[test_case(Sending::Whole, true; "at the pace of the protocol")]
#[test_case(Sending::StopsAfter(20_000), false; "stops early")]
#[test_case(Sending::StopsAfter(180_000), false; "stops late")]
#[test_case(Sending::Trickles, false; "trickles")]
fn a_late_answer_is_waited_for_while_it_makes_progress(sending: Sending, is_served: bool) {
    let hosts = FakeHosts::new();
    let a = hosts.on_listener("a", TcpListener::bind("127.0.0.1:0").unwrap());
    let origin = hosts.start("o");
    let known = body(&[list(1, true, &[("a", a, "in_service"), ("o", origin, "in_service")])]);
    let log = FakeChangeLog::start();
    let config = config("127.0.0.1:0", log.address, &known, 192);
    let dispatcher =
        Dispatcher::start(&config.replace("\"connect_timeout\": 3000000", "\"connect_timeout\": 400000"));
    let mut client = Client::connect(dispatcher.listen).unwrap();
    client.send_request(7).unwrap();
    let message = hosts.next_request();
    let start = Instant::now();
    let sender = std::thread::spawn(move || send(&message, sending));
    if is_served {
        assert_eq!(client.answer().unwrap(), Answer::Served);
        assert!(start.elapsed() > CONNECT_TIMEOUT, "the answer was not late");
        return;
    }
    dispatcher.wait_for_log_line("half-message");
    let stopped_at = if sending == Sending::Trickles { start } else { sender.join().unwrap() };
    let limit = (start + CONNECT_TIMEOUT).max(stopped_at + CONNECT_TIMEOUT / 2) + CHECKED_WITHIN;
    assert!(Instant::now() < limit, "left {:?} after it began", start.elapsed());
}
