//! Which requests a client sends, and which it records as lost, when its dispatcher does not answer.
use cherrypass_faultbed::clients::{Load, Mix, VisitNumbers};
use cherrypass_faultbed::notes::{Note, Notes, TimedNotes};
use cherrypass_faultbed::reserved_port::ReservedPort;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const RATE: f64 = 2_000.0;
const TIMEOUT: Duration = Duration::from_secs(10);
/// The most requests that a client has open: on 4 connections 30 each.
const MAX_OPEN: usize = 120;

/// A dispatcher that accepts connections and never answers, until the receiver's sender is dropped.
fn mute_dispatcher() -> (SocketAddr, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closing, closed): (_, Receiver<()>) = channel();
    listener.set_nonblocking(true).unwrap();
    spawn(move || {
        let mut streams = Vec::new();
        while closed.try_recv() == Err(TryRecvError::Empty) {
            streams.extend(listener.accept());
            sleep(Duration::from_millis(1));
        }
    });
    (address, closing)
}

fn start_load(address: SocketAddr, notes: &Notes) -> Load {
    let mix = Mix { write_share: 0.0, objects: 10 };
    Load::start(("d1".into(), address), RATE, mix, 1, notes.clone(), VisitNumbers::default())
}

/// Collects notes until they are enough.
fn collect(notes: &Notes, is_enough: impl Fn(&TimedNotes) -> bool) -> TimedNotes {
    let until = Instant::now() + TIMEOUT;
    let mut collected = notes.take_sorted();
    while !is_enough(&collected) {
        assert!(Instant::now() < until, "{collected:?}");
        sleep(Duration::from_millis(5));
        collected.extend(notes.take_sorted());
    }
    collected
}

fn count(notes: &TimedNotes, is_counted: fn(&Note) -> bool) -> usize {
    notes.iter().filter(|(_, note)| is_counted(note)).count()
}

fn is_sent(note: &Note) -> bool {
    matches!(note, Note::RequestSent { .. })
}

fn is_not_sent(note: &Note) -> bool {
    matches!(note, Note::NotSent { .. })
}

fn is_lost(note: &Note) -> bool {
    matches!(note, Note::ConnectionLost { .. })
}

#[test]
fn requests_beyond_the_limit_of_the_client_are_not_sent() {
    let (address, closing) = mute_dispatcher();
    let notes = Notes::default();
    let mut load = start_load(address, &notes);
    let collected = collect(&notes, |notes| count(notes, is_not_sent) >= 10);
    assert_eq!((count(&collected, is_sent), count(&collected, is_lost)), (MAX_OPEN, 0));
    // Those that were sent are lost with their connections.
    load.stop();
    drop(closing);
    load.join();
    let collected = collect(&notes, |notes| count(notes, is_lost) >= MAX_OPEN);
    assert!(count(&collected, is_lost) >= MAX_OPEN);
}

#[test]
fn requests_without_a_connection_are_lost() {
    let port = ReservedPort::new().unwrap();
    let notes = Notes::default();
    let mut load = start_load(port.address, &notes);
    let collected = collect(&notes, |notes| count(notes, is_lost) >= 10);
    assert_eq!(count(&collected, is_not_sent), 0);
    assert!(count(&collected, is_sent) >= 10);
    load.stop();
    load.join();
}
