//! Delivery of change log records on loopback: carriers, unlisted followers, and members without delivery.
use cherrypass::ids::LocationId;
use cherrypass::time::Span;
use cherrypass_fleet::delivery::{Record, Set as Room};
use cherrypass_peers::delivery::{Delivered, LogChange, LogRead, Set as Delivery};
use cherrypass_peers::{ChangeNumber, Error, FromFleet, LogId, Member, Peers, Set, ToFleet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn free() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn record(number: u64) -> Record {
    number.to_le_bytes().to_vec().into()
}

#[derive(Default)]
struct Seen {
    taken: Vec<Record>,
    first: Option<u64>,
    reads_log: bool,
    known: Option<Instant>,
    lines: Vec<String>,
}

/// One process of the fleet and the messages it delivered.
struct Place {
    peers: Peers,
    seen: Arc<Mutex<Seen>>,
}

impl Place {
    fn start(set: Set) -> Place {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (told, logged) = (seen.clone(), seen.clone());
        let tell = move |what| {
            let mut seen = told.lock().unwrap();
            match what {
                FromFleet::Delivered(Delivered::Changes { first, records }) => {
                    let next = *seen.first.get_or_insert(first.0) + seen.taken.len() as u64;
                    assert_eq!(first.0, next, "a gap or a repeat");
                    seen.taken.extend(records);
                }
                FromFleet::Delivered(Delivered::ReadLog(reads)) => seen.reads_log = reads,
                FromFleet::Delivered(Delivered::KnownUpTo(at)) => seen.known = Some(at),
                _ => {}
            }
        };
        let log = move |line: &str| logged.lock().unwrap().lines.push(line.to_owned());
        Place { peers: Peers::start(set, None, tell, log).unwrap(), seen }
    }

    fn taken(&self) -> Vec<Record> {
        self.seen.lock().unwrap().taken.clone()
    }

    fn reads_log(&self) -> bool {
        self.seen.lock().unwrap().reads_log
    }

    fn known_within(&self, most: Duration) -> bool {
        self.seen.lock().unwrap().known.is_some_and(|known| known.elapsed() <= most)
    }

    /// Reports changes `from` to `to` as read from the log.
    fn reads(&self, from: u64, to: u64) {
        let changes = (from..=to).map(|n| LogChange { number: ChangeNumber(n), record: record(n) }).collect();
        let read = LogRead { changes, last: ChangeNumber(to), asked: Some(Instant::now()) };
        self.peers.send(ToFleet::LogRead(read));
    }
}

fn until(what: &str, seconds: u64, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while !holds() {
        assert!(Instant::now() < end, "not within {seconds} s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn delivery(carriers: &[&str]) -> Delivery {
    let room = Room { log: LogId::of("main"), fallback: Span::millis(1_500), ..Room::default() };
    Delivery {
        carriers: carriers.iter().map(|name| (*name).to_owned()).collect(),
        last: ChangeNumber(0),
        room,
    }
}

/// Settings of two carriers, and of a follower by name.
fn carriers() -> (Vec<Set>, impl Fn(&str) -> Set) {
    let at = [free(), free()];
    let names = ["c1", "c2"];
    let member = |i: usize| Member { name: names[i].into(), address: at[i], location: LocationId(0) };
    let members: Vec<Member> = (0..2).map(member).collect();
    let set = move |me: &str, listen: SocketAddr| {
        let mut set = Set::of("shop", me, listen);
        (set.members, set.delivery) = (members.clone(), Some(delivery(&names)));
        set
    };
    let sets = (0..2).map(|i| set(names[i], at[i])).collect();
    (sets, move |me: &str| set(me, "127.0.0.1:0".parse().unwrap()))
}

#[test]
fn followers_in_no_list_are_carried_and_go_on_without_their_carrier() {
    let (sets, follower) = carriers();
    let mut carriers: Vec<Place> = sets.into_iter().map(Place::start).collect();
    carriers.iter().for_each(|one| one.reads(1, 3));
    let followers: Vec<Place> = ["f1", "f2", "f3", "f4"].map(|name| Place::start(follower(name))).into();
    let all = |last: u64| -> Vec<Record> { (1..=last).map(record).collect() };
    until("all followers have the earlier changes", 5, || followers.iter().all(|one| one.taken() == all(3)));
    let mut last = 3;
    let mut go_on = |carriers: &[Place]| {
        last += 1;
        carriers.iter().for_each(|one| one.reads(last, last));
        last
    };
    let number = go_on(&carriers);
    until("all followers have the new change", 2, || followers.iter().all(|one| one.taken() == all(number)));
    assert!(followers.iter().all(|one| one.known_within(Duration::from_millis(1_100))));

    // One carrier ends in order: all followers switch to the other at once.
    drop(carriers.remove(0));
    let number = go_on(&carriers);
    until("all followers have the change after it", 2, || {
        followers.iter().all(|one| one.taken() == all(number))
    });
    assert!(followers.iter().all(|one| !one.reads_log()));

    // Without a carrier the followers read the log directly. A carrier that returns does not repeat what they
    // read.
    drop(carriers.remove(0));
    until("all followers read the log", 6, || followers.iter().all(Place::reads_log));
    followers.iter().for_each(|one| {
        one.reads(number + 1, number + 2);
        // What a dispatcher would have read itself.
        one.seen.lock().unwrap().taken.extend((number + 1..=number + 2).map(record));
    });
    let back = Place::start(first_carrier(&follower));
    until("all followers have a carrier again", 20, || {
        back.reads(1, number + 2);
        followers.iter().all(|one| !one.reads_log())
    });
    back.reads(number + 3, number + 3);
    until("all followers have the next change", 3, || {
        followers.iter().all(|one| one.taken() == all(number + 3))
    });
}

/// Settings of the first carrier at its listed address.
fn first_carrier(follower: &impl Fn(&str) -> Set) -> Set {
    let set = follower("c1");
    let listen = set.members[0].address;
    Set { listen, ..set }
}

#[test]
fn a_member_without_the_delivery_leaves_what_it_asks_unanswered() {
    let (sets, follower) = carriers();
    let without: Vec<Place> =
        sets.into_iter().map(|set| Place::start(Set { delivery: None, ..set })).collect();
    let one = Place::start(follower("f1"));
    until("it reads the log", 6, || one.reads_log());
    let lines: Vec<String> = without.iter().flat_map(|one| one.seen.lock().unwrap().lines.clone()).collect();
    assert!(lines.iter().all(|line| !line.contains("rejected")), "{lines:?}");
}

#[test]
fn a_carrier_has_to_be_a_member() {
    let (_, follower) = carriers();
    let set = Set { delivery: Some(delivery(&["c1", "c9"])), ..follower("f1") };
    let found = set.check().unwrap_err();
    assert!(matches!(&found, Error::NotListed { name } if name == "c9"), "{found}");
    let set = Set { delivery: None, ..follower("f1") };
    assert!(set.check().is_err(), "without the delivery a process needs a place in a list");
}
