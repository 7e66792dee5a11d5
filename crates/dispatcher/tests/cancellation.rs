//! Cancellation of requests: a close or a withdrawal that is still unread in the socket counts when an attempt is about
//! to start, and nothing but these does.
use cherrypass_dispatcher::cancellation::{CancelToken, Liveness};
use cherrypass_dispatcher::client_input::ClientInput;
use cherrypass_dispatcher::connection::Connection;
use cherrypass_dispatcher::msgpack::{Message, MAX_MESSAGE_BYTES};
use rmp::encode;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);
/// By the protocol no attempt starts later than this after a withdrawal was written.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// The request of the tests' token.
const ID: u32 = 3;
const WITHDRAW_3: &[u8] = b"\x93\x02\xa8withdraw\x91\x03";
const LONGEST_BODY: usize = 48_000;
/// How much the client thread reads at once.
const READ_BYTES: usize = 8 * 1024;

/// A client, and the dispatcher's side of its connection, from which only the test reads.
fn connect_client() -> (TcpStream, Arc<ClientInput>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let connection = Arc::new(Connection::new(listener.accept().unwrap().0));
    (client, Arc::new(ClientInput::new(connection)))
}

/// The token of an open request.
fn open_request(input: &Arc<ClientInput>) -> CancelToken {
    let mark = input.lock().open_request(ID);
    CancelToken::new(input.clone(), mark)
}

/// A request as clients encode it.
fn request(id: u32, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 4).unwrap();
    encode::write_uint(&mut out, 0).unwrap();
    encode::write_uint(&mut out, u64::from(id)).unwrap();
    encode::write_str(&mut out, "order").unwrap();
    encode::write_array_len(&mut out, 2).unwrap();
    encode::write_map_len(&mut out, 0).unwrap();
    encode::write_bin(&mut out, body).unwrap();
    out
}

/// A body that is full of valid messages which withdraw the request.
fn misleading_body(bytes: usize) -> Vec<u8> {
    WITHDRAW_3.iter().copied().cycle().take(bytes).collect()
}

/// Reads messages as the client thread does, until this many bytes or none are left; returns the withdrawn ids.
fn read_input(input: &ClientInput, max_bytes: usize) -> Vec<u32> {
    let mut withdrawn = Vec::new();
    let mut state = input.lock();
    let mut left = max_bytes;
    while left > 0 {
        let Some(received) = state.read(left.min(READ_BYTES)).unwrap() else { break };
        left = left.saturating_sub(READ_BYTES);
        for message in received.messages {
            if let Message::Withdraw(ids) = message {
                state.withdraw(&ids);
                withdrawn.extend(ids);
            }
        }
    }
    withdrawn
}

fn close(client: TcpStream) -> Option<TcpStream> {
    drop(client);
    None
}

fn half_close(client: TcpStream) -> Option<TcpStream> {
    client.shutdown(Shutdown::Write).unwrap();
    Some(client)
}

fn reset(client: TcpStream) -> Option<TcpStream> {
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    None
}

fn send_and_close(mut client: TcpStream) -> Option<TcpStream> {
    client.write_all(&request(4, &[0; 40_000])).unwrap();
    None
}

fn send(client: TcpStream, bytes: &[u8]) -> Option<TcpStream> {
    (&client).write_all(bytes).unwrap();
    Some(client)
}

#[test_case(close; "a close")]
#[test_case(half_close; "a half-close")]
#[test_case(reset; "a reset")]
#[test_case(send_and_close; "a close behind more bytes than are looked at")]
#[test_case(|client| send(client, WITHDRAW_3); "a withdraw")]
#[test_case(|client| send(client, b"\x93\x02\xd9\x08withdraw\xdc\x00\x02\xcd\x00\x09\xce\x00\x00\x00\x03"); "a withdraw in long forms")]
#[test_case(|client| send(client, &[&request(4, &[0; 9_000])[..], WITHDRAW_3].concat()); "a withdraw behind a body")]
#[test_case(|client| send(client, &[&request(4, &misleading_body(9_000))[..], WITHDRAW_3].concat()); "a withdraw behind a body with the same bytes")]
fn an_unread_close_or_withdraw_cancels(disconnect_or_withdraw: fn(TcpStream) -> Option<TcpStream>) {
    let (client, input) = connect_client();
    let token = open_request(&input);
    assert_eq!(token.check(), Liveness::Live, "nothing has come yet");
    let _client = disconnect_or_withdraw(client);
    let end = Instant::now() + MAX_DELAY;
    while token.check() != Liveness::Cancelled {
        assert!(Instant::now() < end, "not cancelled in time");
        sleep(Duration::from_millis(1));
    }
    assert!(!token.is_live(), "the result of a check is kept");
}

/// Requests were lost: bytes of bodies were taken for a withdrawal of another request of the same client.
#[test_case(b"\x93\x02\xa8withdraw\x91\x04", Liveness::Live; "a withdraw of another request")]
#[test_case(b"\x94\x00\x04\xa6status\xc0", Liveness::Live; "a status request")]
#[test_case(&request(4, b"\x92\xa8withdraw\x91\x03"), Liveness::Live; "a body with the word and the id")]
#[test_case(&request(4, &misleading_body(300)), Liveness::Live; "a body of withdrawals")]
#[test_case(&request(4, &misleading_body(9_000)), Liveness::Live; "a long body of withdrawals")]
#[test_case(&request(4, &misleading_body(LONGEST_BODY)), Liveness::Unknown; "the longest body of withdrawals")]
#[test_case(&request(4, &misleading_body(9_000))[..5_000], Liveness::Unknown; "the beginning of a body of withdrawals")]
fn other_unread_messages_do_not_cancel(bytes: &[u8], before_it_is_read: Liveness) {
    let (client, input) = connect_client();
    let token = open_request(&input);
    let _client = send(client, bytes);
    sleep(Duration::from_millis(70));
    assert_eq!(token.check(), before_it_is_read);
    read_input(&input, usize::MAX);
    sleep(Duration::from_millis(20));
    assert_eq!(token.check(), Liveness::Live);
    assert!(token.is_live());
}

/// Unread bytes that begin in the middle of a message: the rest of a body is none, the rest of a withdrawal is one.
#[test_case(&request(4, &misleading_body(20_000)), 8 * 1024, Liveness::Live; "within a body")]
#[test_case(&[&request(4, &misleading_body(20_000))[..], WITHDRAW_3].concat(), 8 * 1024, Liveness::Cancelled; "within a body before a withdraw")]
#[test_case(&[&request(4, &misleading_body(LONGEST_BODY))[..], WITHDRAW_3].concat(), 8 * 1024, Liveness::Unknown; "within a longer body before a withdraw")]
#[test_case(WITHDRAW_3, 1, Liveness::Cancelled; "after the first byte of a withdraw")]
#[test_case(WITHDRAW_3, WITHDRAW_3.len() - 1, Liveness::Cancelled; "before the last byte of a withdraw")]
fn what_was_read_already_counts(bytes: &[u8], read_bytes: usize, expected: Liveness) {
    let (client, input) = connect_client();
    let token = open_request(&input);
    let _client = send(client, bytes);
    sleep(Duration::from_millis(70));
    assert!(read_input(&input, read_bytes).is_empty(), "no withdrawal has been read whole");
    sleep(Duration::from_millis(70));
    assert_eq!(token.check(), expected);
}

/// What one write brings at most, before a withdrawal, and more than is looked at: nothing starts until it was read.
#[test_case(true; "withdrawn behind it")]
#[test_case(false; "not withdrawn")]
fn nothing_starts_before_a_backlog_is_read(withdraws: bool) {
    let (client, input) = connect_client();
    let token = open_request(&input);
    let mut bytes: Vec<u8> = (4..36).flat_map(|id| request(id, &misleading_body(LONGEST_BODY))).collect();
    bytes.extend_from_slice(if withdraws { WITHDRAW_3 } else { b"" });
    let writer = spawn(move || send(client, &bytes));
    sleep(MAX_DELAY);
    for _ in 0..8 {
        assert_eq!(token.check(), Liveness::Unknown);
        assert!(read_input(&input, MAX_MESSAGE_BYTES).is_empty());
        sleep(Duration::from_millis(60));
    }
    let end = Instant::now() + TIMEOUT;
    let mut withdrawn = Vec::new();
    while token.check() == Liveness::Unknown || !writer.is_finished() {
        assert!(Instant::now() < end, "the backlog was not read");
        withdrawn.extend(read_input(&input, usize::MAX));
        sleep(Duration::from_millis(60));
    }
    withdrawn.extend(read_input(&input, usize::MAX));
    assert_eq!(withdrawn.len(), usize::from(withdraws));
    assert_eq!(token.check(), if withdraws { Liveness::Cancelled } else { Liveness::Live });
    drop(writer.join());
}

/// Between the read and the mark a withdraw is visible in neither place, so a check has to wait.
#[test]
fn a_withdraw_that_is_read_but_not_processed_cancels() {
    let (client, input) = connect_client();
    let token = open_request(&input);
    let _client = send(client, WITHDRAW_3);
    let end = Instant::now() + TIMEOUT;
    let mut state = input.lock();
    while state.read(WITHDRAW_3.len()).unwrap().is_none() {
        assert!(Instant::now() < end, "nothing was received");
    }
    let check = spawn(move || token.check());
    sleep(Duration::from_millis(50));
    state.withdraw(&[ID]);
    drop(state);
    assert_eq!(check.join().unwrap(), Liveness::Cancelled);
}
