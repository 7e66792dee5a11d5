//! Whether a request is still wanted, asked in the moment in which its attempt would begin: as the machine knows it,
//! before the thread that reads the client has come to it.
use bytes::BytesMut;
use cherrypass_dispatcher::cancellation::CancelToken;
use cherrypass_dispatcher::connection::Connection;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(5);
const WITHDRAW_3: &[u8] = b"\x93\x02\xa8withdraw\x91\x03";

/// A client, and the dispatcher's side of its connection, of which nothing is read.
fn connected() -> (TcpStream, Arc<Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, Arc::new(Connection::new(listener.accept().unwrap().0)))
}

fn closes(client: TcpStream) -> Option<TcpStream> {
    drop(client);
    None
}

fn half_closes(client: TcpStream) -> Option<TcpStream> {
    client.shutdown(Shutdown::Write).unwrap();
    Some(client)
}

fn resets(client: TcpStream) -> Option<TcpStream> {
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    None
}

fn sends_and_closes(mut client: TcpStream) -> Option<TcpStream> {
    client.write_all(&[0xc0; 6000]).unwrap();
    None
}

fn sends(client: TcpStream, bytes: &[u8]) -> Option<TcpStream> {
    (&client).write_all(bytes).unwrap();
    Some(client)
}

#[test_case(closes; "a close")]
#[test_case(half_closes; "a half-close")]
#[test_case(resets; "a reset")]
#[test_case(sends_and_closes; "a close behind more than is looked at")]
#[test_case(|client| sends(client, WITHDRAW_3); "a withdraw")]
#[test_case(|client| sends(client, b"\x93\x02\xd9\x08withdraw\xdc\x00\x02\xcd\x00\x09\xce\x00\x00\x00\x03"); "a withdraw in long forms")]
fn a_client_that_has_left_wants_nothing(leaves: fn(TcpStream) -> Option<TcpStream>) {
    let (client, line) = connected();
    let wanted = CancelToken::new(line, 3);
    assert!(wanted.check_live(), "nothing has come yet");
    let _client = leaves(client);
    let end = Instant::now() + PATIENCE;
    while wanted.check_live() {
        assert!(Instant::now() < end, "it is still wanted");
    }
    assert!(!wanted.is_live(), "what a look found is known from then on");
}

#[test_case(b"\x93\x02\xa8withdraw\x91\x04"; "a withdraw of another")]
#[test_case(b"\x94\x00\x04\xa6status\xc0"; "a question")]
fn what_else_comes_leaves_it_wanted(bytes: &[u8]) {
    let (client, line) = connected();
    let wanted = CancelToken::new(line, 3);
    let _client = sends(client, bytes);
    std::thread::sleep(Duration::from_millis(50));
    assert!(wanted.check_live() && wanted.is_live());
}

/// Between the read and the mark it stands neither in the machine nor in the mark: a look waits for that.
#[test]
fn a_withdraw_that_is_read_and_not_marked_yet_counts() {
    let (client, line) = connected();
    let wanted = CancelToken::new(line.clone(), 3);
    let withdraw = wanted.handle();
    let _client = sends(client, WITHDRAW_3);
    let mut buffer = BytesMut::new();
    let end = Instant::now() + PATIENCE;
    let reading = line.lock_reads();
    while line.try_read(&mut buffer, WITHDRAW_3.len()).unwrap().is_none() {
        assert!(Instant::now() < end, "nothing comes");
    }
    let look = std::thread::spawn(move || wanted.check_live());
    std::thread::sleep(Duration::from_millis(50));
    withdraw.cancel();
    drop(reading);
    assert!(!look.join().unwrap());
}
