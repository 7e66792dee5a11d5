//! Router tests that call it directly, for sequences that sockets can't force.
use super::state::{HostEntry, Router};
use crate::cancellation::CancelToken;
use crate::capacity::Gauge;
use crate::change_log::host_id;
use crate::client_input::{CancelMark, ClientInput};
use crate::clock;
use crate::config::Config;
use crate::connection::Connection;
use crate::durable_state::{StateRecorder, StateStore};
use crate::host_messages::{HostMailbox, HostThreadMessage, ToHost};
use crate::ids::{ClientId, HostActorId};
use crate::inbox::{Change, FromClient, FromHost, Input, ListedHost};
use crate::mailbox;
use crate::msgpack;
use cherrypass::calls::{Listing, Outcome, Phase};
use cherrypass::ids::{CellId, HostId, KindId, LocationId};
use cherrypass::time::Span;
use cherrypass_operator as operator;
use cherrypass_store::engine::{Batch, Options};
use cherrypass_store::simulated::{Call, CallOutcome, Disk, Image};
use cherrypass_store::store::Store;
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const SETTINGS: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1","changelog":"127.0.0.1:1",
    "limits":{"memory_mb":192,"sockets":1024},"settings":{"balancers":1,"me":0,"zone":0,"zones":["edge"],
    "services":[{"name":"video","aim":500000,"deadline":6000000,"effect":"idempotent"},
     {"name":"once","aim":500000,"deadline":6000000,"effect":"at_most_once"}],
    "models":["small"],
    "bounds":{"connect_timeout":1,"conn_idle":1,"streams_per_conn":1,"cancel":true,"max_attempts":6},
    "rules":{"cold_from":0.2,"overload_factor":2.0},"domain":{"may_pass_by":true,"source_kind":0}}}"#;

fn listing(host: HostId, kind: u16, phase: Phase) -> Listing {
    Listing {
        host,
        location: LocationId(0),
        kind: KindId(kind),
        cell: CellId(0),
        weight: 9.0,
        started_at: None,
        phase,
    }
}

fn host_entry(messages: &Sender<HostThreadMessage>) -> HostEntry {
    let mailbox = HostMailbox { id: HostActorId(0), messages: messages.clone() };
    HostEntry { name: String::new(), address: "127.0.0.1:1".parse().unwrap(), started: None, mailbox }
}

/// A new router and the sender of its mailbox.
fn router() -> (Router, Sender<Input>) {
    let (sender, mailbox) = unbounded();
    let config = Config::decode(SETTINGS.as_bytes()).unwrap();
    let router = Router::new(config, sender.clone(), [mailbox, unbounded().1], Arc::default());
    (router.unwrap(), sender)
}

/// Opens a client connection at the router.
fn open_client(router: &mut Router, listener: &TcpListener, client: ClientId) -> Arc<Connection> {
    let connection = Arc::new(Connection::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()));
    router.handle(Input::Client(client, FromClient::Opened { connection: connection.clone() }));
    connection
}

fn cancel_token(connection: Arc<Connection>) -> CancelToken {
    CancelToken::new(Arc::new(ClientInput::new(connection)), CancelMark::default())
}

#[test_case(true; "sending has started")]
#[test_case(false; "sending has not started")]
fn no_next_hand_off_before_the_cancel_is_sent(is_started: bool) {
    let (mut router, _sender) = router();
    let hosts = ["a", "b"].map(|name| (host_id(name), unbounded()));
    let entry = |host, phase| listing(host, 1, phase);
    let entries: Vec<Listing> = hosts.iter().map(|(id, _)| entry(*id, Phase::Ready)).collect();
    router.engine.update_hosts(clock::now(), &entries, true);
    for (id, (messages, _)) in &hosts {
        router.hosts.insert(*id, host_entry(messages));
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = ClientId(0);
    let connection = open_client(&mut router, &listener, client);
    let fields: &[u8] = b"\x94\x00\x01\xa5video\x92\x85\xa3txn\xb00000000000000001\xa5limit\xa41500\
        \xa4item\xb00000000000000001\xa5block\xa10\xa6family\xa10\xc4\x00";
    let Ok(Some(msgpack::Message::Visit(id, request))) = msgpack::next(&mut fields.into()) else { panic!() };
    let (in_use, cancel) = (Gauge::default().reserve(1), cancel_token(connection));
    router.handle(Input::Client(
        client,
        FromClient::Visit { id, request, received_at: clock::now(), in_use, cancel },
    ));
    router.carry_out_decisions();
    let sent = |(_, (_, sent)): &(HostId, (_, Receiver<HostThreadMessage>))| match sent.try_recv() {
        Ok(HostThreadMessage::ToHost(_, ToHost::HandOff(hand_off))) => Some(hand_off.send_state),
        _ => None,
    };
    let found = hosts.iter().enumerate().find_map(|(place, host)| Some((place, sent(host)?)));
    let (first, send_state) = found.unwrap();
    let other = &hosts[1 - first];
    assert!(!is_started || send_state.start());
    router.engine.update_hosts(clock::now(), &[entry(hosts[first].0, Phase::Gone)], false);
    router.carry_out_decisions();
    let Ok(HostThreadMessage::ToHost(_, ToHost::Cancel(id))) = hosts[first].1 .1.try_recv() else {
        panic!("not cancelled")
    };
    if is_started {
        assert!(sent(other).is_none(), "handed off a second time");
        router.handle(Input::HandOff(id, FromHost::CancelSent { at: clock::now() }));
        router.carry_out_decisions();
    }
    assert!(sent(other).is_some());
    assert!(!send_state.start(), "written after it was cancelled");
}

/// Each visit is answered in time while a sync of the disk takes 2 s.
#[test_case(operator::HandOffDurability::Synced, false; "synced records delay hand-offs but not answers")]
#[test_case(operator::HandOffDurability::Written, true; "written records don't wait for the sync")]
fn a_stalled_store_delays_no_answer(hand_offs: operator::HandOffDurability, is_sent: bool) {
    let is_stalling = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stalling = is_stalling.clone();
    let watch = move |_: &Image, call: Call| {
        if matches!(call, Call::Sync { .. }) && stalling.load(Relaxed) {
            std::thread::sleep(Duration::from_millis(2_000));
        }
        CallOutcome::Success
    };
    let disk = Disk::new(Image::default(), Some(Box::new(watch)));
    let store = Store::open_on(Arc::new(disk), Options::default(), Arc::new(clock::unix_now), None).unwrap();
    // The first batch starts a segment, which needs a sync of its own.
    store.write(Batch::new().put("s", "k", "v")).unwrap();
    is_stalling.store(true, Relaxed);
    let set = operator::Store { hand_offs, ..operator::Store::in_folder("none".into()) };
    let (mut router, sender) = router();
    let settings = router.config.settings.clone();
    router.set_recorder(StateRecorder::restore(
        StateStore::with_store(Some(Arc::new(store)), set),
        &settings,
        sender,
    ));
    let (id, host) = (host_id("a"), unbounded());
    router.hosts.insert(id, host_entry(&host.0));
    router.engine.update_hosts(clock::now(), &[listing(id, 0, Phase::Ready)], true);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = open_client(&mut router, &listener, ClientId(0));
    let fields: &[u8] = b"\x94\x00\x01\xa4once\x92\x85\xa3txn\xb00000000000000001\xa5limit\xa3500\
        \xa4item\xb00000000000000001\xa5block\xa10\xa6family\xa10\xc4\x00";
    let Ok(Some(msgpack::Message::Visit(id, request))) = msgpack::next(&mut fields.into()) else { panic!() };
    let start = clock::now();
    let (in_use, cancel) = (Gauge::default().reserve(1), cancel_token(connection));
    router.handle(Input::Client(
        ClientId(0),
        FromClient::Visit { id, request, received_at: start, in_use, cancel },
    ));
    let mut was_sent = false;
    while !router.visits.is_empty() && clock::now() < start + Span::millis(1_500) {
        router.carry_out_decisions();
        while let Some(input) = mailbox::recv_timeout(&router.mailboxes, Duration::from_millis(2)) {
            router.handle(input);
        }
        router.run_timers();
        let sent = host.1.try_recv();
        was_sent |= matches!(sent, Ok(HostThreadMessage::ToHost(_, ToHost::HandOff(sent))) if sent.send_state.start());
    }
    assert!(router.visits.is_empty() && clock::now() - start < Span::millis(600));
    assert_eq!(was_sent, is_sent);
}

/// Guards against timers that outlast their hand-offs: memory that grows with the time that clients give.
#[test]
fn timers_end_with_their_hand_off() {
    let (mut router, _sender) = router();
    let (id, host) = (host_id("a"), unbounded());
    router.hosts.insert(id, host_entry(&host.0));
    router.engine.update_hosts(clock::now(), &[listing(id, 0, Phase::Ready)], true);
    router.carry_out_decisions();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = open_client(&mut router, &listener, ClientId(0));
    let fields: &[u8] = b"\x94\x00\x01\xa5video\x92\x85\xa3txn\xb00000000000000001\xa5limit\xa45000\
        \xa4item\xb00000000000000001\xa5block\xa10\xa6family\xa10\xc4\x00";
    let Ok(Some(msgpack::Message::Visit(visit, request))) = msgpack::next(&mut fields.into()) else {
        panic!()
    };
    let (in_use, cancel) = (Gauge::default().reserve(1), cancel_token(connection));
    let before = router.timers.len();
    let message = FromClient::Visit { id: visit, request, received_at: clock::now(), in_use, cancel };
    router.handle(Input::Client(ClientId(0), message));
    router.carry_out_decisions();
    let Ok(HostThreadMessage::ToHost(_, ToHost::HandOff(hand_off))) = host.1.try_recv() else {
        panic!("not handed off")
    };
    assert!(router.timers.len() > before);
    let ended = FromHost::Ended { outcome: Outcome::Error, answer: None, at: clock::now() };
    router.handle(Input::HandOff(hand_off.id, ended));
    router.carry_out_decisions();
    assert_eq!(router.timers.len(), before);
}

/// Guards against a hand-off that a delayed hosts thread writes to a draining host: once the router has applied the
/// drain, a hand-off that was decided before can't be started any more.
#[test]
fn a_drain_withdraws_what_has_not_been_started() {
    let (mut router, _sender) = router();
    let (id, host) = (host_id("a"), unbounded());
    router.hosts.insert(id, host_entry(&host.0));
    router.engine.update_hosts(clock::now(), &[listing(id, 0, Phase::Ready)], true);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = open_client(&mut router, &listener, ClientId(0));
    let fields: &[u8] = b"\x94\x00\x01\xa5video\x92\x85\xa3txn\xb00000000000000001\xa5limit\xa41500\
        \xa4item\xb00000000000000001\xa5block\xa10\xa6family\xa10\xc4\x00";
    let Ok(Some(msgpack::Message::Visit(visit, request))) = msgpack::next(&mut fields.into()) else {
        panic!()
    };
    let (in_use, cancel) = (Gauge::default().reserve(1), cancel_token(connection));
    let received_at = clock::now();
    let message = FromClient::Visit { id: visit, request, received_at, in_use, cancel };
    router.handle(Input::Client(ClientId(0), message));
    router.carry_out_decisions();
    let Ok(HostThreadMessage::ToHost(_, ToHost::HandOff(hand_off))) = host.1.try_recv() else {
        panic!("not handed off")
    };
    let draining = ListedHost {
        listing: listing(id, 0, Phase::Draining),
        started: None,
        name: "a".into(),
        address: Some("127.0.0.1:1".parse().unwrap()),
    };
    router.handle(Input::Change(Change::HostList { is_complete: false, hosts: vec![draining] }));
    assert!(!hand_off.send_state.start(), "started after the drain was applied");
}

#[test]
fn a_terminated_host_is_removed() {
    let (mut router, _sender) = router();
    for (seq, state) in ["in_service", "terminating", "terminated"].iter().enumerate() {
        let entry =
            format!(r#"{{"id":"s-a","addr":"127.0.0.1:1","zone":"edge","kind":"small","state":"{state}"}}"#);
        let text = format!(r#"{{"results":[{{"seq":{},"fleet":{{"servers":[{entry}]}}}}]}}"#, seq + 1);
        let answer = serde_json::from_str(&text).unwrap();
        let (changes, fault) =
            crate::change_log::decode(&answer, &router.config.names, &mut (seq as u64), None);
        assert!(fault.is_none());
        changes.into_iter().for_each(|change| router.apply_change(change));
        assert_eq!(router.hosts.len(), usize::from(*state != "terminated"), "{state}");
    }
}
