//! Arrival times of messages are those of the kernel, however late the receiver reads them.
use cherrypass_faultbed::arrival::{enable_timestamps, last_arrival, Arrival, TimestampedStream};
use cherrypass_faultbed::notes::unix_micros;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

const READ_DELAY: Duration = Duration::from_millis(50);
const TIMESTAMPS_ENABLED_WITHIN: Duration = Duration::from_secs(10);

type Reader = BufReader<TimestampedStream>;

/// Both ends of a connection, once the kernel takes timestamps; it enables them with a delay.
fn connect() -> (TcpStream, Reader) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    enable_timestamps(&listener).unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut reader = BufReader::new(TimestampedStream::new(listener.accept().unwrap().0));
    let until = Instant::now() + TIMESTAMPS_ENABLED_WITHIN;
    loop {
        let (_, written) = send(&mut sender);
        sleep(READ_DELAY);
        if receive(&mut reader).latest <= written {
            return (sender, reader);
        }
        assert!(Instant::now() < until, "the kernel takes no timestamps");
    }
}

/// Sends a message; returns the times before and after.
fn send(sender: &mut TcpStream) -> (u64, u64) {
    let before = unix_micros();
    sender.write_all(b"message\n").unwrap();
    (before, unix_micros())
}

fn receive(reader: &mut Reader) -> Arrival {
    reader.read_line(&mut String::new()).unwrap();
    last_arrival(reader)
}

#[test]
fn a_message_read_late_has_its_time_of_arrival() {
    let (mut sender, mut reader) = connect();
    let (before, after) = send(&mut sender);
    sleep(READ_DELAY);
    let arrival = receive(&mut reader);
    assert_eq!(arrival.earliest, arrival.latest);
    assert!(before <= arrival.latest && arrival.latest <= after, "{before} {arrival:?} {after}");
}

#[test]
fn messages_read_at_once_have_a_range_except_the_last() {
    let (mut sender, mut reader) = connect();
    let (before_first, _) = send(&mut sender);
    sleep(READ_DELAY);
    let (before_second, after_second) = send(&mut sender);
    sleep(READ_DELAY);
    let (first, second) = (receive(&mut reader), receive(&mut reader));
    assert!(first.earliest <= before_first, "{before_first} {first:?}");
    assert_eq!(first.latest, second.latest);
    assert_eq!(second.earliest, second.latest);
    assert!(before_second <= second.latest && second.latest <= after_second, "{second:?}");
}

#[test]
fn a_read_that_fills_the_buffer_does_not_bound_the_next() {
    let (mut sender, reader) = connect();
    let mut reader = BufReader::with_capacity(4, reader.into_inner());
    let (before, after) = send(&mut sender);
    sleep(READ_DELAY);
    let arrival = receive(&mut reader);
    assert!(arrival.earliest <= before, "{before} {arrival:?}");
    assert!(before <= arrival.latest && arrival.latest <= after, "{before} {arrival:?} {after}");
}
