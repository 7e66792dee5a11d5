//! Delivery of change log records on loopback: carriers, unlisted followers, and members without delivery.
use cherrypass::ids::LocationId;
use cherrypass::time::Span;
use cherrypass_fleet::delivery::{Record, Settings as DeliveryParameters};
use cherrypass_peers::delivery::{DeliveryEvent, LogChange, LogRead, Settings as Delivery};
use cherrypass_peers::{ChangeNumber, Error, FromFleet, LogId, Member, Peers, Settings, ToFleet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn record(number: u64) -> Record {
    number.to_le_bytes().to_vec().into()
}

#[derive(Default)]
struct Observed {
    records: Vec<Record>,
    first: Option<u64>,
    reads_log: bool,
    complete_up_to: Option<Instant>,
    lines: Vec<String>,
}

/// One process of the fleet and the messages it delivered.
struct Node {
    peers: Peers,
    observed: Arc<Mutex<Observed>>,
}

impl Node {
    fn start(settings: Settings) -> Node {
        let observed = Arc::new(Mutex::new(Observed::default()));
        let (messages, logged) = (observed.clone(), observed.clone());
        let notify = move |message| {
            let mut observed = messages.lock().unwrap();
            match message {
                FromFleet::Delivery(DeliveryEvent::Changes { first, records }) => {
                    let next = *observed.first.get_or_insert(first.0) + observed.records.len() as u64;
                    assert_eq!(first.0, next, "a gap or a repeat");
                    observed.records.extend(records);
                }
                FromFleet::Delivery(DeliveryEvent::ReadLogDirectly(reads)) => observed.reads_log = reads,
                FromFleet::Delivery(DeliveryEvent::CompleteUpTo(at)) => observed.complete_up_to = Some(at),
                _ => {}
            }
        };
        let log = move |line: &str| logged.lock().unwrap().lines.push(line.to_owned());
        Node { peers: Peers::start(settings, None, notify, log).unwrap(), observed }
    }

    fn received(&self) -> Vec<Record> {
        self.observed.lock().unwrap().records.clone()
    }

    fn reads_log(&self) -> bool {
        self.observed.lock().unwrap().reads_log
    }

    fn complete_within(&self, max_age: Duration) -> bool {
        self.observed
            .lock()
            .unwrap()
            .complete_up_to
            .is_some_and(|complete_up_to| complete_up_to.elapsed() <= max_age)
    }

    /// Reports changes `from` to `to` as read from the log.
    fn report_log_read(&self, from: u64, to: u64) {
        let changes = (from..=to).map(|n| LogChange { number: ChangeNumber(n), record: record(n) }).collect();
        let read = LogRead { changes, last_change: ChangeNumber(to), requested_at: Some(Instant::now()) };
        self.peers.send(ToFleet::LogRead(read));
    }
}

fn wait_until(what: &str, seconds: u64, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while !holds() {
        assert!(Instant::now() < end, "not within {seconds} s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn delivery(carriers: &[&str]) -> Delivery {
    let protocol = DeliveryParameters {
        log: LogId::of("main"),
        fallback_delay: Span::millis(1_500),
        ..DeliveryParameters::default()
    };
    Delivery {
        carriers: carriers.iter().map(|name| (*name).to_owned()).collect(),
        last_change: ChangeNumber(0),
        protocol,
    }
}

/// Settings of two carriers, and of a follower by name.
fn carriers() -> (Vec<Settings>, impl Fn(&str) -> Settings) {
    let at = [free_address(), free_address()];
    let names = ["c1", "c2"];
    let member = |i: usize| Member { name: names[i].into(), address: at[i], location: LocationId(0) };
    let members: Vec<Member> = (0..2).map(member).collect();
    let settings_of = move |me: &str, listen: SocketAddr| {
        let mut settings = Settings::new("shop", me, listen);
        (settings.members, settings.delivery) = (members.clone(), Some(delivery(&names)));
        settings
    };
    let carriers = (0..2).map(|i| settings_of(names[i], at[i])).collect();
    (carriers, move |me: &str| settings_of(me, "127.0.0.1:0".parse().unwrap()))
}

#[test]
fn unlisted_followers_receive_changes_and_survive_the_loss_of_carriers() {
    let (settings, follower) = carriers();
    let mut carriers: Vec<Node> = settings.into_iter().map(Node::start).collect();
    carriers.iter().for_each(|carrier| carrier.report_log_read(1, 3));
    let followers: Vec<Node> = ["f1", "f2", "f3", "f4"].map(|name| Node::start(follower(name))).into();
    let all = |last: u64| -> Vec<Record> { (1..=last).map(record).collect() };
    wait_until("all followers have the earlier changes", 5, || {
        followers.iter().all(|follower| follower.received() == all(3))
    });
    let mut last = 3;
    let mut publish_change = |carriers: &[Node]| {
        last += 1;
        carriers.iter().for_each(|carrier| carrier.report_log_read(last, last));
        last
    };
    let number = publish_change(&carriers);
    wait_until("all followers have the new change", 2, || {
        followers.iter().all(|follower| follower.received() == all(number))
    });
    assert!(followers.iter().all(|follower| follower.complete_within(Duration::from_millis(1_100))));

    // One carrier ends in order: all followers switch to the other at once.
    drop(carriers.remove(0));
    let number = publish_change(&carriers);
    wait_until("all followers have the change after it", 2, || {
        followers.iter().all(|follower| follower.received() == all(number))
    });
    assert!(followers.iter().all(|follower| !follower.reads_log()));

    // Without a carrier the followers read the log directly. A carrier that returns does not repeat what they
    // read.
    drop(carriers.remove(0));
    wait_until("all followers read the log", 6, || followers.iter().all(Node::reads_log));
    followers.iter().for_each(|follower| {
        follower.report_log_read(number + 1, number + 2);
        // What a dispatcher would have read itself.
        follower.observed.lock().unwrap().records.extend((number + 1..=number + 2).map(record));
    });
    let restarted = Node::start(first_carrier(&follower));
    wait_until("all followers have a carrier again", 20, || {
        restarted.report_log_read(1, number + 2);
        followers.iter().all(|follower| !follower.reads_log())
    });
    restarted.report_log_read(number + 3, number + 3);
    wait_until("all followers have the next change", 3, || {
        followers.iter().all(|follower| follower.received() == all(number + 3))
    });
}

/// Settings of the first carrier at its listed address.
fn first_carrier(follower: &impl Fn(&str) -> Settings) -> Settings {
    let settings = follower("c1");
    let listen = settings.members[0].address;
    Settings { listen, ..settings }
}

#[test]
fn members_without_delivery_ignore_delivery_requests() {
    let (settings, follower) = carriers();
    let members: Vec<Node> =
        settings.into_iter().map(|settings| Node::start(Settings { delivery: None, ..settings })).collect();
    let follower = Node::start(follower("f1"));
    wait_until("the follower reads the log", 6, || follower.reads_log());
    let lines: Vec<String> =
        members.iter().flat_map(|member| member.observed.lock().unwrap().lines.clone()).collect();
    assert!(lines.iter().all(|line| !line.contains("rejected")), "{lines:?}");
}

#[test]
fn carriers_must_be_members() {
    let (_, follower) = carriers();
    let settings = Settings { delivery: Some(delivery(&["c1", "c9"])), ..follower("f1") };
    let found = settings.check().unwrap_err();
    assert!(matches!(&found, Error::NotListed { name } if name == "c9"), "{found}");
    let settings = Settings { delivery: None, ..follower("f1") };
    assert!(settings.check().is_err(), "without the delivery a process needs a place in a list");
}
