//! Cancellation of requests: a close or a withdraw that is still unread in the socket counts when an attempt
//! is about to start.
use bytes::BytesMut;
use cherrypass_dispatcher::cancellation::CancelToken;
use cherrypass_dispatcher::connection::Connection;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);
const WITHDRAW_3: &[u8] = b"\x93\x02\xa8withdraw\x91\x03";

/// A client, and the dispatcher's side of its connection, from which nothing is read.
fn connect_client() -> (TcpStream, Arc<Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, Arc::new(Connection::new(listener.accept().unwrap().0)))
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
    client.write_all(&[0xc0; 6000]).unwrap();
    None
}

fn send(client: TcpStream, bytes: &[u8]) -> Option<TcpStream> {
    (&client).write_all(bytes).unwrap();
    Some(client)
}

#[test_case(close; "a close")]
#[test_case(half_close; "a half-close")]
#[test_case(reset; "a reset")]
#[test_case(send_and_close; "a close behind more bytes than are examined")]
#[test_case(|client| send(client, WITHDRAW_3); "a withdraw")]
#[test_case(|client| send(client, b"\x93\x02\xd9\x08withdraw\xdc\x00\x02\xcd\x00\x09\xce\x00\x00\x00\x03"); "a withdraw in long forms")]
fn an_unread_close_or_withdraw_cancels(disconnect_or_withdraw: fn(TcpStream) -> Option<TcpStream>) {
    let (client, connection) = connect_client();
    let token = CancelToken::new(connection, 3);
    assert!(token.check_live(), "nothing has come yet");
    let _client = disconnect_or_withdraw(client);
    let end = Instant::now() + TIMEOUT;
    while token.check_live() {
        assert!(Instant::now() < end, "not cancelled in time");
    }
    assert!(!token.is_live(), "the result of a check is kept");
}

#[test_case(b"\x93\x02\xa8withdraw\x91\x04"; "a withdraw of another request")]
#[test_case(b"\x94\x00\x04\xa6status\xc0"; "a status request")]
fn other_unread_messages_do_not_cancel(bytes: &[u8]) {
    let (client, connection) = connect_client();
    let token = CancelToken::new(connection, 3);
    let _client = send(client, bytes);
    std::thread::sleep(Duration::from_millis(50));
    assert!(token.check_live() && token.is_live());
}

/// Between the read and the mark a withdraw is visible in neither place, so a check has to wait.
#[test]
fn a_withdraw_that_is_read_but_not_processed_cancels() {
    let (client, connection) = connect_client();
    let token = CancelToken::new(connection.clone(), 3);
    let handle = token.handle();
    let _client = send(client, WITHDRAW_3);
    let mut buffer = BytesMut::new();
    let end = Instant::now() + TIMEOUT;
    let reads_locked = connection.lock_reads();
    while connection.try_read(&mut buffer, WITHDRAW_3.len()).unwrap().is_none() {
        assert!(Instant::now() < end, "nothing was received");
    }
    let check = std::thread::spawn(move || token.check_live());
    std::thread::sleep(Duration::from_millis(50));
    handle.cancel();
    drop(reads_locked);
    assert!(!check.join().unwrap());
}
