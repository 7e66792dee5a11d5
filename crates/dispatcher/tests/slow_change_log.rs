//! A change log that is slow: each answer comes late, and each change is known one answer's time after it was made.
#[allow(dead_code)]
#[path = "support/following.rs"]
mod support;

use cherrypass::time::Span;
use cherrypass_dispatcher::inbox::{Change, Input};
use crossbeam_channel::Receiver;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::start_following;
use test_case::test_case;

const LEASE: Span = Span::millis(250);
/// For the way, and for threads that run late.
const TOLERANCE: Duration = Duration::from_millis(250);
/// Until a log that was quick is known to be slow: the limits of the first two answers that are late.
const DETECTION: Duration = Duration::from_millis(800);
/// How long the log is slow, and how often a change is made.
const SLOW_FOR: Duration = Duration::from_millis(9_000);
const CHANGE_INTERVAL: Duration = Duration::from_millis(430);
/// Today's calls, 28 in the 20 s of `review/10` of which 3 s are quick, for the time that the log is slow.
const MAX_CALLS: usize = 8;
const MAX_OPEN_CALLS: usize = 4;

/// When the log settles what an answer tells.
#[derive(Clone, Copy, Default, PartialEq)]
enum Settled {
    /// When the answer is written, as where calls wait for their turn.
    #[default]
    AtItsEnd,
    /// When the wait is over; the answer is held up after that. What is made then is told by the next one.
    BeforeTheDelay,
}

#[derive(Default)]
struct Log {
    settled: Settled,
    /// Lateness of each answer, in turn.
    late: Vec<Duration>,
    events: Mutex<Vec<Instant>>,
    changed: Condvar,
    calls: AtomicUsize,
    open_calls: AtomicUsize,
    max_open_calls: AtomicUsize,
}

impl Log {
    fn start(late: &[u64], settled: Settled) -> (Arc<Log>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let late = late.iter().map(|ms| Duration::from_millis(*ms)).collect();
        let log = Arc::new(Log { late, settled, ..Log::default() });
        let own = log.clone();
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                spawn(move || own.serve(&stream));
            }
        });
        (log, address)
    }

    /// Makes a purge.
    fn append(&self) {
        self.events.lock().unwrap().push(Instant::now());
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: &TcpStream) {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let number = |key: &str| -> Option<usize> {
                line.split(key).nth(1)?.split(['&', ' ']).next()?.parse().ok()
            };
            let (Some(since), Some(wait)) = (number("since="), number("timeout=")) else { continue };
            let call = self.calls.fetch_add(1, SeqCst);
            let open_calls = self.open_calls.fetch_add(1, SeqCst) + 1;
            self.max_open_calls.fetch_max(open_calls, SeqCst);
            let early = self.answer(since, Duration::from_millis(wait as u64));
            sleep(self.late[call % self.late.len()]);
            let answer = match self.settled {
                Settled::AtItsEnd => self.answer(since, Duration::ZERO),
                Settled::BeforeTheDelay => early,
            };
            self.open_calls.fetch_sub(1, SeqCst);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, since: usize, wait: Duration) -> String {
        let events = self.events.lock().unwrap();
        let (events, _) =
            self.changed.wait_timeout_while(events, wait, |events| events.len() <= since).unwrap();
        let purge = |number| format!(r#"{{"seq":{number},"invalidate":{{"bucket":1,"time":{number}}}}}"#);
        let results: Vec<String> = (since + 1..=events.len()).map(purge).collect();
        let body = format!(r#"{{"seq":{},"results":[{}]}}"#, events.len(), results.join(","));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// When each purge was passed on.
fn note_purges(inputs: Receiver<Input>) -> Arc<Mutex<Vec<Instant>>> {
    let known: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let own = known.clone();
    spawn(move || {
        for input in inputs {
            if let Input::Change(Change::Purge(_)) = input {
                own.lock().unwrap().push(Instant::now());
            }
        }
    });
    known
}

/// Guards against a time limit for answers: with each answer later than it, no change was ever read, and a host that
/// drained was sent requests for as long as the log was slow (`review/10`).
#[test_case(&[200], Settled::AtItsEnd, 200; "200 ms")]
#[test_case(&[900], Settled::AtItsEnd, 900; "900 ms")]
#[test_case(&[1_050], Settled::AtItsEnd, 1_050; "1050 ms")]
#[test_case(&[1_200], Settled::AtItsEnd, 1_200; "1200 ms")]
#[test_case(&[1_500], Settled::AtItsEnd, 1_500; "1500 ms")]
#[test_case(&[1_900], Settled::AtItsEnd, 1_900; "1900 ms")]
#[test_case(&[1_500, 200, 1_900, 900, 1_050], Settled::AtItsEnd, 1_900; "between 200 and 1900 ms")]
#[test_case(&[900], Settled::BeforeTheDelay, 2 * 900; "900 ms after what it tells")]
#[test_case(&[1_500], Settled::BeforeTheDelay, 2 * 1_500; "1500 ms after what it tells")]
#[test_case(&[1_900], Settled::BeforeTheDelay, 2 * 1_900; "1900 ms after what it tells")]
fn each_change_is_known_one_answer_time_after_it_was_made(late: &[u64], settled: Settled, max_delay: u64) {
    let (log, address) = Log::start(late, settled);
    let following = start_following(address, LEASE, None);
    let known = note_purges(following.inputs.clone());
    let start = Instant::now();
    while start.elapsed() < SLOW_FOR {
        sleep(CHANGE_INTERVAL);
        log.append();
    }
    let max_delay = Duration::from_millis(max_delay);
    sleep(max_delay + TOLERANCE);
    let (made, known) = (log.events.lock().unwrap().clone(), known.lock().unwrap().clone());
    assert_eq!(known.len(), made.len(), "not all changes are known");
    for (number, (made, known)) in made.iter().zip(&known).enumerate() {
        let is_early = *made < start + DETECTION;
        let limit = max_delay + TOLERANCE + if is_early { DETECTION } else { Duration::ZERO };
        let delay = *known - *made;
        assert!(delay < limit, "change {number}, made after {:?}, was known after {delay:?}", *made - start);
    }
    let max_open_calls = log.max_open_calls.load(SeqCst);
    assert!(max_open_calls <= MAX_OPEN_CALLS, "{max_open_calls} calls open at once");
}

/// Guards against a slow log that is asked more often for being slow: it serves all dispatchers.
#[test_case(0, SLOW_FOR.as_millis() as usize / 250 + 1; "a quick log")]
#[test_case(1_200, MAX_CALLS; "1200 ms")]
#[test_case(1_500, MAX_CALLS; "1500 ms")]
#[test_case(1_900, MAX_CALLS; "1900 ms")]
#[test_case(60_000, MAX_CALLS; "silent")]
fn a_slow_log_is_not_asked_more_often(late: u64, max_calls: usize) {
    let (log, address) = Log::start(&[late], Settled::AtItsEnd);
    let _following = start_following(address, LEASE, None);
    sleep(SLOW_FOR);
    let (calls, max_open_calls) = (log.calls.load(SeqCst), log.max_open_calls.load(SeqCst));
    assert!(calls <= max_calls, "{calls} calls");
    assert!(max_open_calls <= MAX_OPEN_CALLS || late > 9_000, "{max_open_calls} calls open at once");
}

/// Guards against an answer that comes and is not read because the connection for the next poll does not come up.
#[test]
fn a_late_answer_is_read_while_the_next_connection_does_not_come_up() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let known = note_purges(start_following(address, LEASE, None).inputs);
    let (mut stream, _) = listener.accept().unwrap();
    let polled_at = Instant::now();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let _filler: Vec<TcpStream> = std::iter::from_fn(connect).collect();
    let late = Duration::from_millis(900);
    sleep(late.saturating_sub(polled_at.elapsed()));
    let body = r#"{"seq":1,"results":[{"seq":1,"invalidate":{"bucket":1,"time":1}}]}"#;
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    sleep(TOLERANCE);
    assert_eq!(known.lock().unwrap().len(), 1, "the answer was not read");
}
