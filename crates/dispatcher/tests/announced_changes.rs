//! Which changes count as announced after the change log has failed. Guards against copies that are older than a purge
//! that the log broke off in, or stopped in: the page's terms for each failure were not passed on.
#[path = "support/following.rs"]
mod support;

use cherrypass::time::{Span, Time};
use cherrypass_dispatcher::clock;
use cherrypass_dispatcher::inbox::{AnnouncedChanges, Input, NewAddress};
use crossbeam_channel::Receiver;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::{sleep, spawn};
use std::time::Duration;
use support::{start_following, Following};
use test_case::test_case;

/// From the page: after a break, and after the end of the wait that was asked for.
const ANNOUNCED_AFTER: Span = Span::millis(2_000);
/// From the page: after SIGHUP.
const ANNOUNCED_AFTER_RELOAD: Span = Span::millis(4_000);
const TIMEOUT: Duration = Duration::from_secs(5);
const QUIET: Duration = Duration::from_millis(700);
/// From the failure until it is noted, on a busy machine.
const TOLERANCE: Span = Span::millis(200);
/// Longer than the test, since there is no router that applies the changes.
const LEASE: Span = Span::millis(60_000);
const COMPLETE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"seq\":0,\"results\":[] }";

/// A poll as the log receives it.
struct Poll {
    stream: TcpStream,
    at: Time,
    /// The wait that was asked for.
    wait: Span,
}

/// Starts a log; returns its address and the polls it receives.
fn start_log() -> (SocketAddr, mpsc::Receiver<Poll>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (sender, polls)) = (listener.local_addr().unwrap(), mpsc::channel());
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            spawn(move || {
                for line in BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok) {
                    if let Some((_, rest)) = line.split_once("timeout=") {
                        let wait = Span::millis(rest.split(' ').next().unwrap().parse().unwrap());
                        let stream = stream.try_clone().unwrap();
                        let _ = sender.send(Poll { stream, at: clock::now(), wait });
                    }
                }
            });
        }
    });
    (address, polls)
}

/// The next announcement; readings before it are passed over.
fn next_announcement(inputs: &Receiver<Input>) -> AnnouncedChanges {
    loop {
        match inputs.recv_timeout(TIMEOUT) {
            Ok(Input::ChangesAnnounced(changes)) => return changes,
            Ok(_) => {}
            Err(_) => panic!("nothing counts as announced"),
        }
    }
}

/// How the log fails a poll that it has received.
type Failure = fn(&TcpStream);

fn write(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

fn break_off(stream: &TcpStream) {
    write(stream, &COMPLETE[..COMPLETE.len() - 5]);
    stream.shutdown(Shutdown::Both).unwrap();
}

fn close(stream: &TcpStream) {
    stream.shutdown(Shutdown::Both).unwrap();
}

fn stop(stream: &TcpStream) {
    write(stream, &COMPLETE[..COMPLETE.len() - 5]);
}

fn answer_late(stream: &TcpStream) {
    let stream = stream.try_clone().unwrap();
    spawn(move || {
        sleep(Duration::from_millis(1_500));
        let _ = (&stream).write_all(COMPLETE.as_bytes());
    });
}

/// Changes in an answer that breaks off count as announced 2 s after that, in one that stops 2 s after the end of the
/// wait; one that was never begun, comes too late or can't be read tells no less than one that stops.
#[test_case(break_off, false; "breaks off")]
#[test_case(close, false; "closes")]
#[test_case(|stream| write(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), false; "another status")]
#[test_case(stop, true; "stops and stays open")]
#[test_case(|_| {}, true; "stays silent")]
#[test_case(answer_late, true; "answers too late")]
fn a_failed_poll_announces_what_it_would_have_told(fail: Failure, is_from_end_of_wait: bool) {
    let (address, polls) = start_log();
    let Following { addresses: _addresses, inputs } = start_following(address, LEASE, None);
    for _ in 0..2 {
        let poll = polls.recv_timeout(TIMEOUT).unwrap();
        let end_of_wait = poll.at + poll.wait;
        fail(&poll.stream);
        let failed_at = clock::now();
        let AnnouncedChanges { noted_at, announced_at } = next_announcement(&inputs);
        let from = if is_from_end_of_wait { end_of_wait } else { failed_at.min(end_of_wait) };
        let (earliest, latest) = (from - TOLERANCE + ANNOUNCED_AFTER, from + TOLERANCE + ANNOUNCED_AFTER);
        assert!((earliest..=latest).contains(&announced_at), "{announced_at:?}, failed at {from:?}");
        assert!(noted_at >= poll.at && noted_at <= clock::now());
    }
}

/// The changes of a new configuration's log count as announced 4 s after SIGHUP, even if the log can't be reached.
#[test]
fn a_reload_announces_what_the_new_log_has() {
    let (address, polls) = start_log();
    let Following { addresses, inputs } = start_following(address, LEASE, None);
    drop(polls.recv_timeout(TIMEOUT).unwrap());
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let signalled_at = [Time(5_000_000), Time(6_000_000)];
    for signalled_at in signalled_at {
        addresses.send(NewAddress { address: unreachable, signalled_at }).unwrap();
    }
    for noted_at in signalled_at {
        let announced_at = noted_at + ANNOUNCED_AFTER_RELOAD;
        assert_eq!(next_announcement(&inputs), AnnouncedChanges { noted_at, announced_at });
    }
}

/// A log that answers, or that refuses connections and so was asked nothing, announces nothing by that.
#[test_case(true; "answers")]
#[test_case(false; "refuses connections")]
fn no_announcement_without_a_failed_answer(answers: bool) {
    let (mut address, polls) = start_log();
    if !answers {
        address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    }
    let Following { addresses: _addresses, inputs } = start_following(address, LEASE, None);
    spawn(move || polls.iter().for_each(|poll| write(&poll.stream, COMPLETE)));
    sleep(QUIET);
    let readings: Vec<Input> = inputs.try_iter().collect();
    assert!(readings.iter().all(|input| matches!(input, Input::ChangeLogReadUpTo(_))));
    assert_eq!(!readings.is_empty(), answers);
}
