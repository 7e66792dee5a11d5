//! The process is stopped and continued (SIGSTOP, SIGCONT) at chosen points. No attempt may rest on a list or on
//! purges that are older than the grace: after a stop nothing is sent until the change log was read again.
#[allow(dead_code)]
#[path = "discovery/bed.rs"]
mod bed;

use bed::*;
use cherrypass_shim::control::Call;
use cherrypass_shim::Shim;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::process::Command;
use std::sync::mpsc::TryRecvError;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

const READY: &str = "in_service";
const DRAINING: &str = "terminating";
/// The settings' drain grace, and 50 ms of tolerance for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// How long the log holds the answer that a continued process waits for.
const ANSWER_DELAY: Duration = Duration::from_millis(30);
/// An answer later than this comes from a test that was itself delayed: the process waits no longer for it.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(100);
const MAX_ROUNDS: usize = 10;
/// A request for each of these objects prefers a cache by its hash.
const OBJECTS: std::ops::Range<u64> = 0xcd00..0xcd08;
const ROUTER: &str = "cherrypass";

struct Fixture {
    log: FakeChangeLog,
    hosts: FakeHosts,
    dispatcher: Dispatcher,
    shim: Shim,
    a: std::net::SocketAddr,
}

impl Fixture {
    /// Starts a dispatcher that knows two caches and an origin from change 1.
    fn start() -> Fixture {
        let (log, hosts, shim) = (FakeChangeLog::start(), FakeHosts::new(), Shim::new(1).unwrap());
        let (a, b, origin) = (hosts.start("a"), hosts.start("b"), hosts.start("o"));
        let known = body(&[list(1, true, &[("a", a, READY), ("b", b, READY), ("o", origin, READY)])]);
        let mut command = Command::new(env!("CARGO_BIN_EXE_cherrypass"));
        command.envs(shim.environment().unwrap());
        let dispatcher = Dispatcher::start_by(command, &config("127.0.0.1:0", log.address, &known, 192));
        Fixture { log, hosts, dispatcher, shim, a }
    }

    fn client(&self) -> Client {
        Client::connect(self.dispatcher.listen).unwrap()
    }

    fn resume(&self) {
        kill(Pid::from_raw(self.dispatcher.child.id() as i32), Signal::SIGCONT).unwrap();
    }

    /// Answers the polls that are open, as a log does whose wait ends.
    fn end_open_polls(&self) {
        while let Some(poll) = self.log.try_next_poll() {
            let _ = poll.try_write(http(&body(&[])).as_bytes());
        }
    }

    /// Answers the polls that arrived before the process continued, and returns the first one after it.
    fn first_poll_after(&self, resumed_at: Instant) -> Poll {
        loop {
            let poll = self.log.next_poll();
            if poll.at > resumed_at {
                return poll;
            }
            let _ = poll.try_write(http(&body(&[])).as_bytes());
        }
    }

    fn next_message(&self) -> Option<HostMessage> {
        match self.hosts.messages.try_recv() {
            Ok(message) => Some(message),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => panic!("no hosts"),
        }
    }
}

/// What the process is doing when it is stopped.
#[derive(Clone, Copy)]
enum Doing {
    /// Handling a host's answer to an earlier request.
    Answer,
    /// Handling a new request on connections that are established.
    Request,
    /// Handling the first request.
    FirstRequest,
    /// Nothing.
    Nothing,
}

/// Stops the process when a thread makes a call, then lets the log announce a drain (or a purge) that no open poll
/// reports. Requests that came before, during and after the stop have to wait for it.
/// Returns whether the log answered in time.
fn stop_and_drain(call: Call, thread: &str, doing: Doing, stopped_for: Duration) -> bool {
    let fixture = Fixture::start();
    let mut earlier = fixture.client();
    let mut clients: Vec<Client> = OBJECTS.map(|_| fixture.client()).collect();
    let mut held = None;
    if !matches!(doing, Doing::FirstRequest) {
        for (client, object) in clients.iter_mut().zip(OBJECTS) {
            client.send_request(object).unwrap();
            fixture.hosts.next_request().answer();
            assert_eq!(client.answer().unwrap(), Answer::Served);
        }
    }
    if matches!(doing, Doing::Answer) {
        earlier.send_request(0xdd00).unwrap();
        held = Some(fixture.hosts.next_request());
    }
    fixture.shim.stop_at(call, thread).unwrap();
    match doing {
        Doing::Answer => held.iter().for_each(HostMessage::answer),
        Doing::Request | Doing::FirstRequest => earlier.send_request(0xdd00).unwrap(),
        Doing::Nothing => {}
    }
    fixture.dispatcher.wait_until_stopped();
    clients.iter_mut().zip(OBJECTS).for_each(|(client, object)| client.send_request(object).unwrap());
    sleep(stopped_for);
    while let Some(message) = fixture.next_message() {
        assert_ne!(message.words[0], "want", "sent before the process was stopped");
    }
    fixture.end_open_polls();
    let resumed_at = Instant::now();
    fixture.resume();
    let poll = fixture.first_poll_after(resumed_at);
    sleep(ANSWER_DELAY);
    let sent_early = fixture.next_message();
    poll.answer(&[list(2, false, &[("a", fixture.a, DRAINING)])]);
    if resumed_at.elapsed() > MAX_ANSWER_DELAY {
        return false;
    }
    if let Some(message) = sent_early {
        panic!("{:?} was sent to {} before the log was read", message.words, message.host);
    }
    let unanswered = usize::from(held.is_none() && !matches!(doing, Doing::Nothing));
    for _ in 0..clients.len() + unanswered {
        let message = fixture.hosts.next_request();
        assert_ne!(message.host, "a", "sent to a draining host");
        message.answer();
    }
    for client in &mut clients {
        assert_eq!(client.answer().unwrap(), Answer::Served);
    }
    true
}

/// Guards against requests to a drained host after the process was stopped (rule 3), wherever each thread was.
#[test_case(Call::Write, ROUTER, Doing::Answer; "the router, in the middle of a round")]
#[test_case(Call::Wait, "hosts", Doing::Request; "the hosts, right before an attempt is written")]
#[test_case(Call::Connect, "hosts", Doing::FirstRequest; "the hosts, before they connect")]
#[test_case(Call::Read, "lines", Doing::Answer; "the reader of the hosts")]
#[test_case(Call::Read, "listener", Doing::Request; "the reader of the clients")]
#[test_case(Call::Wait, "changes", Doing::Nothing; "the follower of the change log")]
fn nothing_is_sent_before_the_log_is_read(call: Call, thread: &str, doing: Doing) {
    check(|| stop_and_drain(call, thread, doing, Duration::from_millis(1_000)));
}

/// Guards against a stop that is shorter than the drain grace, with which other delays add up.
#[test_case(Call::Write, ROUTER, Doing::Answer; "the router")]
#[test_case(Call::Wait, "hosts", Doing::Request; "the hosts")]
fn a_short_stop_is_noticed(call: Call, thread: &str, doing: Doing) {
    check(|| stop_and_drain(call, thread, doing, Duration::from_millis(300)));
}

/// Guards against requests that wait in vain: with a log that can't be reached the process goes on soon.
#[test]
fn a_log_that_cannot_be_reached_is_not_waited_for() {
    const GOES_ON_WITHIN: Duration = Duration::from_millis(500);
    let Fixture { log, hosts, dispatcher, .. } = Fixture::start();
    let mut client = Client::connect(dispatcher.listen).unwrap();
    log.next_since(1).cut();
    let _refusing = log.stop();
    dispatcher.signal("-STOP");
    dispatcher.wait_until_stopped();
    client.send_request(0xcd00).unwrap();
    sleep(Duration::from_millis(1_000));
    let resumed_at = Instant::now();
    dispatcher.signal("-CONT");
    let message = hosts.next_request();
    assert!(message.at - resumed_at < GOES_ON_WITHIN, "after {:?}", message.at - resumed_at);
    message.answer();
    assert_eq!(client.answer().unwrap(), Answer::Served);
    dispatcher.wait_for_log_line("changelog was not read within");
}

/// Repeats a round in which the test itself was delayed.
fn check(round: impl Fn() -> bool) {
    let is_conclusive = (0..MAX_ROUNDS).any(|_| round());
    assert!(is_conclusive, "the machine is too busy: the log never answered within {MAX_ANSWER_DELAY:?}");
}

/// Guards against stops in series, each too short to be noticed, between which the process barely runs.
#[test]
fn short_stops_in_series_add_up() {
    const STOPPED: Duration = Duration::from_millis(200);
    const RUNNING: Duration = Duration::from_millis(5);
    let fixture = Fixture::start();
    let poll = fixture.log.next_since(1);
    let mut clients = Vec::new();
    let pid = Pid::from_raw(fixture.dispatcher.child.id() as i32);
    let mut announced_at = None;
    for round in 0..10 {
        kill(pid, Signal::SIGSTOP).unwrap();
        fixture.dispatcher.wait_until_stopped();
        announced_at.get_or_insert_with(|| {
            poll.answer(&[list(2, false, &[("a", fixture.a, DRAINING)])]);
            Instant::now()
        });
        let mut client = fixture.client();
        OBJECTS.for_each(|object| client.send_request(object + 0x100 * round).unwrap());
        clients.push(client);
        sleep(STOPPED);
        kill(pid, Signal::SIGCONT).unwrap();
        sleep(RUNNING);
    }
    let announced_at = announced_at.unwrap();
    sleep(STOPPED);
    while let Some(message) = fixture.next_message() {
        let age = message.at.saturating_duration_since(announced_at);
        assert!(message.host != "a" || age < DRAIN_GRACE, "sent to a draining host after {age:?}");
    }
}
