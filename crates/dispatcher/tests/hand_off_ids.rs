//! Answers and the hand-offs they end. All hand-offs of a visit have the same id on the wire. Guards against an earlier
//! hand-off's answer, late or a second time, that ends a later one.
use cherrypass::calls::Outcome;
use cherrypass::ids::{HandOffNumber, VisitId};
use cherrypass::time::Span;
use cherrypass_dispatcher::cancellation::CancelToken;
use cherrypass_dispatcher::capacity::HostCapacity;
use cherrypass_dispatcher::change_log_lease::ChangeLogLease;
use cherrypass_dispatcher::client_input::{CancelMark, ClientInput};
use cherrypass_dispatcher::clock;
use cherrypass_dispatcher::config::HostConnectionLimits;
use cherrypass_dispatcher::connection::Connection;
use cherrypass_dispatcher::host_messages::{HandOff, HostMailbox, SendState, ToHost};
use cherrypass_dispatcher::hosts::{Hosts, MAX_USED_IDS};
use cherrypass_dispatcher::ids::HandOffId;
use cherrypass_dispatcher::inbox::{FromHost, Input};
use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);
/// How long nothing may happen.
const QUIET: Duration = Duration::from_millis(60);
const VISIT_TIME: Span = Span::millis(20_000);
const ID: &str = "9b1f03aa5c7e2d41";
const OTHER_ID: &str = "0000000000000002";

/// What a host does that lacks the object.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Filling {
    /// It has no source, or one that gives only what it holds.
    CanMiss,
    /// It has a source that fetches the object.
    Fetches,
}

/// A message that arrived at the simulated host, and the connection that it came on.
struct Arrived {
    connection: usize,
    stream: TcpStream,
    words: Vec<String>,
}

impl Arrived {
    fn answer(&self, word: &str, copies: usize) {
        let parts = [&self.words[1], word, "-", ""].map(|part| format!("${}\r\n{part}\r\n", part.len()));
        let answer = format!("*4\r\n{}", parts.concat()).repeat(copies);
        (&self.stream).write_all(answer.as_bytes()).unwrap();
    }
}

fn read_message(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let number = |reader: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.trim_end().get(1..)?.parse().ok()
    };
    let count = number(reader)?;
    let word = |_| {
        let mut bytes = vec![0; number(reader)? + 2];
        reader.read_exact(&mut bytes).ok()?;
        String::from_utf8(bytes[..bytes.len() - 2].to_vec()).ok()
    };
    (0..count).map(word).collect()
}

/// The actor of a simulated host, which is reached over loopback.
struct Fixture {
    hosts: Hosts,
    mailbox: HostMailbox,
    from_actor: Receiver<Input>,
    arrived: Receiver<Arrived>,
    /// Both ends of the connection of the client that waits for the visit.
    _client: TcpStream,
    client_input: Arc<ClientInput>,
    hand_off_count: u32,
}

impl Fixture {
    fn start(max_connections: usize, other_hosts: usize) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let client = TcpStream::connect(address).unwrap();
        let connection = Arc::new(Connection::new(listener.accept().unwrap().0));
        let client_input = Arc::new(ClientInput::new(connection));
        let (arrivals, arrived) = unbounded();
        spawn(move || {
            for (connection, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let arrivals = arrivals.clone();
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(words) = read_message(&mut reader) {
                        let stream = stream.try_clone().unwrap();
                        let _ = arrivals.send(Arrived { connection, stream, words });
                    }
                });
            }
        });
        let limits = HostConnectionLimits {
            connect_timeout: Span::millis(1_000),
            idle_timeout: Span::millis(60_000),
            streams_per_connection: 32,
            max_connections,
            min_answer_pace: 20_000.0,
        };
        let (sender, from_actor) = unbounded();
        let capacity = HostCapacity::new(max_connections, 1 << 20);
        let lease = ChangeLogLease::new(Span::millis(60_000));
        let mut hosts = Hosts::start(limits, capacity, sender, lease).unwrap();
        let mailbox = hosts.add("s-a", address);
        (0..other_hosts).for_each(|number| drop(hosts.add(&format!("s-{number}"), address)));
        Fixture { hosts, mailbox, from_actor, arrived, _client: client, client_input, hand_off_count: 0 }
    }

    /// Sends a hand-off with this id, to be filled by a source or not; returns how it arrived.
    fn hand_off(&mut self, txn: &str, filling: Filling) -> (HandOffId, Arrived) {
        self.hand_off_count += 1;
        let [number, visit @ ..] = self.hand_off_count.to_le_bytes();
        let visit = VisitId(u32::from_le_bytes([visit[0], visit[1], visit[2], 0]));
        let id = HandOffId(visit, HandOffNumber(number));
        let deadline = clock::now() + VISIT_TIME;
        self.mailbox.send(ToHost::HandOff(HandOff {
            id,
            txn: txn.to_owned().into(),
            fields: "c=photo".into(),
            body: Default::default(),
            client_tag: None,
            expects_copy: false,
            can_miss: filling == Filling::CanMiss,
            deadline,
            visit_deadline: deadline,
            latest_start: deadline,
            cancel: CancelToken::new(self.client_input.clone(), CancelMark::default()),
            send_state: SendState::default(),
        }));
        let arrived = self.arrived.recv_timeout(TIMEOUT).expect("no hand-off has arrived");
        assert_eq!((&arrived.words[0][..], &arrived.words[1][..]), ("want", txn));
        (id, arrived)
    }

    fn expect_end(&self, id: HandOffId, wanted: Outcome) {
        match self.from_actor.recv_timeout(TIMEOUT) {
            Ok(Input::HandOff(ended, FromHost::Ended { outcome, .. })) => {
                assert_eq!((ended, outcome), (id, wanted));
            }
            _ => panic!("{id:?} has not ended"),
        }
    }

    fn expect_quiet(&self) {
        let received = self.from_actor.recv_timeout(QUIET);
        assert!(matches!(received, Err(RecvTimeoutError::Timeout)), "an earlier answer ended a hand-off");
    }
}

/// When the second copy of an answer comes, seen from the next hand-off with its id.
#[derive(Clone, Copy, PartialEq)]
enum SecondCopy {
    WithTheFirst,
    AfterTheNextHandOff,
    MuchLater,
}

/// A visit that runs was refused or handed off again: the second copy of an earlier answer ended its hand-off.
#[test_case("LACK", Outcome::Miss, Filling::CanMiss; "a miss")]
#[test_case("LACK", Outcome::Miss, Filling::Fetches; "a miss before a fill")]
#[test_case("WAIT", Outcome::Full, Filling::CanMiss; "a full host")]
#[test_case("WAIT", Outcome::Full, Filling::Fetches; "a full host before a fill")]
#[test_case("BROKE", Outcome::Error, Filling::CanMiss; "an error")]
#[test_case("BROKE", Outcome::Error, Filling::Fetches; "an error before a fill")]
#[test_case("PAST", Outcome::Expired, Filling::Fetches; "a request that was over")]
fn a_second_copy_ends_no_later_hand_off(word: &str, outcome: Outcome, next_filling: Filling) {
    for second_copy in [SecondCopy::WithTheFirst, SecondCopy::AfterTheNextHandOff, SecondCopy::MuchLater] {
        let mut fixture = Fixture::start(8, 0);
        let (first_id, first) = fixture.hand_off(ID, Filling::CanMiss);
        first.answer(word, if second_copy == SecondCopy::WithTheFirst { 2 } else { 1 });
        fixture.expect_end(first_id, outcome);
        if second_copy == SecondCopy::MuchLater {
            fixture.hosts.sweep(clock::now() + Span::millis(10_000));
        }
        let (next_id, next) = fixture.hand_off(ID, next_filling);
        if second_copy != SecondCopy::WithTheFirst {
            first.answer(word, 1);
        }
        fixture.expect_quiet();
        next.answer("DONE", 1);
        fixture.expect_end(next_id, Outcome::Served);
    }
}

/// What came before a miss, or after one, counts as well: copies of all of it may still come.
#[test_case(&[("WAIT", Filling::CanMiss)], Filling::Fetches; "a full host")]
#[test_case(&[("LACK", Filling::CanMiss), ("WAIT", Filling::Fetches)], Filling::Fetches; "a full host after a miss")]
#[test_case(&[("LACK", Filling::CanMiss), ("BROKE", Filling::Fetches)], Filling::Fetches; "an error after a miss")]
#[test_case(&[("LACK", Filling::Fetches)], Filling::Fetches; "a miss in spite of a source")]
#[test_case(&[("LACK", Filling::CanMiss), ("LACK", Filling::CanMiss)], Filling::CanMiss; "two misses")]
fn copies_of_all_earlier_answers_are_dropped(earlier: &[(&str, Filling)], filling: Filling) {
    let mut fixture = Fixture::start(8, 0);
    let mut answered = Vec::new();
    for (word, filling) in earlier {
        let (id, arrived) = fixture.hand_off(ID, *filling);
        arrived.answer(word, 1);
        let ended = fixture.from_actor.recv_timeout(TIMEOUT);
        assert!(matches!(ended, Ok(Input::HandOff(ended, FromHost::Ended { .. })) if ended == id));
        answered.push((arrived, *word));
    }
    let (next_id, next) = fixture.hand_off(ID, filling);
    answered.iter().for_each(|(arrived, word)| arrived.answer(word, 1));
    fixture.expect_quiet();
    next.answer("DONE", 1);
    fixture.expect_end(next_id, Outcome::Served);
}

/// The first late answer to a cancelled hand-off freed its id for the connection, so that a second copy of it ended
/// the next hand-off.
#[test_case("DONE"; "a copy")]
#[test_case("LACK"; "a miss")]
fn answers_after_a_cancel_end_no_later_hand_off(word: &str) {
    let mut fixture = Fixture::start(8, 0);
    let (first_id, first) = fixture.hand_off(ID, Filling::CanMiss);
    fixture.mailbox.send(ToHost::Cancel(first_id));
    let cancel = fixture.arrived.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(cancel.words, ["never_mind", ID]);
    let cancelled = fixture.from_actor.recv_timeout(TIMEOUT);
    assert!(matches!(cancelled, Ok(Input::HandOff(id, FromHost::CancelSent { .. })) if id == first_id));
    first.answer(word, 1);
    fixture.expect_quiet();
    let (next_id, next) = fixture.hand_off(ID, Filling::Fetches);
    first.answer(word, 1);
    fixture.expect_quiet();
    next.answer("DONE", 1);
    fixture.expect_end(next_id, Outcome::Served);
}

/// A miss is followed by a fill at the same host on the same connection, which costs no connect.
#[test]
fn a_fill_after_a_miss_takes_the_same_connection() {
    let mut fixture = Fixture::start(8, 0);
    let (first_id, first) = fixture.hand_off(ID, Filling::CanMiss);
    first.answer("LACK", 1);
    fixture.expect_end(first_id, Outcome::Miss);
    let (next_id, next) = fixture.hand_off(ID, Filling::Fetches);
    assert_eq!(next.connection, first.connection);
    next.answer("WAIT", 1);
    fixture.expect_end(next_id, Outcome::Full);
}

/// Where answers can't be told apart, the first connection goes on with other ids, and the same host takes a visit again
/// after a miss, even if its share is one connection.
#[test_case(2, 1; "a share of one connection")]
#[test_case(1, 0; "one connection in all")]
fn a_miss_is_followed_by_the_same_host(max_connections: usize, other_hosts: usize) {
    let mut fixture = Fixture::start(max_connections, other_hosts);
    let (first_id, first) = fixture.hand_off(ID, Filling::CanMiss);
    first.answer("LACK", 1);
    fixture.expect_end(first_id, Outcome::Miss);
    let (next_id, next) = fixture.hand_off(ID, Filling::CanMiss);
    assert_ne!(next.connection, first.connection);
    next.answer("DONE", 1);
    fixture.expect_end(next_id, Outcome::Served);
    let (other_id, other) = fixture.hand_off(OTHER_ID, Filling::CanMiss);
    other.answer("LACK", 1);
    fixture.expect_end(other_id, Outcome::Miss);
    let is_open = || !matches!((&first.stream).take(1).read(&mut [0]), Ok(0));
    first.stream.set_nonblocking(true).unwrap();
    assert_eq!(is_open(), max_connections > 1, "only a lack of connections may end one");
}

/// The ids of ended hand-offs are kept for as long as their visits can be handed off again, and no longer.
#[test]
fn an_id_is_forgotten_after_its_visit() {
    let mut fixture = Fixture::start(8, 0);
    let (first_id, first) = fixture.hand_off(ID, Filling::CanMiss);
    first.answer("WAIT", 1);
    fixture.expect_end(first_id, Outcome::Full);
    fixture.hosts.sweep(clock::now() + VISIT_TIME + Span::millis(1));
    let (_, next) = fixture.hand_off(ID, Filling::CanMiss);
    assert_eq!(next.connection, first.connection);
}

/// Guards against memory that grows with each request that a host does not serve, for as long as its client gives it. A
/// connection on which many ids were used takes no more, and ends once the hand-offs on it have.
#[test]
fn the_ids_that_a_connection_remembers_are_bounded() {
    let mut fixture = Fixture::start(8, 0);
    let (open_id, open) = fixture.hand_off(ID, Filling::CanMiss);
    for number in 0..MAX_USED_IDS {
        let (id, arrived) = fixture.hand_off(&format!("{:016x}", number + 1), Filling::CanMiss);
        assert_eq!(arrived.connection, open.connection, "after {number} ids");
        arrived.answer("LACK", 1);
        fixture.expect_end(id, Outcome::Miss);
    }
    let (next_id, next) = fixture.hand_off("00000000ffffffff", Filling::CanMiss);
    assert_ne!(next.connection, open.connection);
    open.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    open.answer("DONE", 1);
    fixture.expect_end(open_id, Outcome::Served);
    assert_eq!((&open.stream).take(1).read(&mut [0]).unwrap(), 0, "the connection is still open");
    next.answer("DONE", 1);
    fixture.expect_end(next_id, Outcome::Served);
}
