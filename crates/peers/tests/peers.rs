//! A fleet of three members in one process, on loopback.
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, UnixTime};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::members::{Body, Claim, MemberState, Message};
use cherrypass_fleet::{limits, node, rollout, verdicts};
use cherrypass_peers::link::{encode, Envelope, LocationByte};
use cherrypass_peers::{
    Finding, FindingKind, Follower, FromFleet, LimitKey, Member, Peers, Settings, ToFleet, UsedBy,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NAMES: [&str; 3] = ["d1", "d2", "d3"];
const ORIGIN: f64 = 30.0;

/// Forwards datagrams until it is cut.
struct Relay {
    at: SocketAddr,
    /// Number of forwarded messages by form.
    forms: Arc<[AtomicU32; 3]>,
    cut: Arc<AtomicBool>,
}

fn relay(to: SocketAddr) -> Relay {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let (at, cut) = (socket.local_addr().unwrap(), Arc::new(AtomicBool::new(false)));
    let forms = Arc::<[AtomicU32; 3]>::default();
    let (ended, observed) = (cut.clone(), forms.clone());
    std::thread::spawn(move || {
        let mut bytes = [0; 65536];
        while !ended.load(SeqCst) {
            if let Ok((length, _)) = socket.recv_from(&mut bytes) {
                observed[usize::from(bytes[0])].fetch_add(1, SeqCst);
                let _ = socket.send_to(&bytes[..length], to);
            }
        }
    });
    Relay { at, forms, cut }
}

#[derive(Default)]
struct Observed {
    lines: Vec<String>,
    allowances: Vec<(Instant, u64, f64, Instant, f64)>,
    verdicts: Vec<(HostId, Option<UnixTime>, Instant)>,
}

struct Node {
    peers: Option<Peers>,
    observed: Arc<Mutex<Observed>>,
    control: SocketAddr,
}

impl Node {
    fn start(mut settings: Settings) -> Node {
        let control = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        settings.control = Some(control);
        let observed = Arc::new(Mutex::new(Observed::default()));
        let (messages, logged) = (observed.clone(), observed.clone());
        let notify = move |message| {
            let mut observed = messages.lock().unwrap();
            match message {
                FromFleet::Allowance { key: LimitKey::Origin, number, amount, until, after } => {
                    observed.allowances.push((Instant::now(), number, amount, until, after));
                }
                FromFleet::Verdict { host, started_at: since, until, .. } => {
                    observed.verdicts.push((host, since, until))
                }
                _ => {}
            }
        };
        let log = move |line: &str| logged.lock().unwrap().lines.push(line.to_owned());
        let peers = Some(Peers::start(settings, None, notify, log).unwrap());
        Node { peers, observed, control }
    }

    fn send(&self, message: ToFleet) {
        self.peers.as_ref().unwrap().send(message);
    }

    fn http(&self, request: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.control).unwrap();
        let length = body.len();
        let head =
            format!("{request} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + body).as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn status(&self) -> serde_json::Value {
        let answer = self.http("GET /status", "");
        serde_json::from_str(answer.split("\r\n\r\n").nth(1).unwrap()).unwrap()
    }

    fn member_states(&self) -> Vec<String> {
        let status = self.status();
        let members = status["members"].as_array().unwrap().iter();
        let mut found: Vec<String> = members
            .map(|member| format!("{}:{}", member["name"], member["standing"]).replace('"', ""))
            .collect();
        found.sort();
        found
    }

    /// Its allowance at the origin at an instant.
    fn allowance_at(&self, at: Instant) -> f64 {
        let observed = self.observed.lock().unwrap();
        let last = observed.allowances.iter().rfind(|allowance| allowance.0 <= at);
        last.map_or(0.0, |(_, _, amount, until, after)| if at < *until { *amount } else { *after })
    }

    fn has_line(&self, what: &str) -> bool {
        self.observed.lock().unwrap().lines.iter().any(|line| line.contains(what))
    }
}

fn wait_until(what: &str, seconds: u64, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while !holds() {
        assert!(Instant::now() < end, "not within {seconds} s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn protocol_settings() -> node::Settings {
    let limits = limits::Settings {
        origin: Some(ORIGIN),
        lease: Span::millis(1000),
        drain: Span::millis(300),
        ..limits::Settings::default()
    };
    node::Settings {
        limits: Some(limits),
        verdicts: Some(verdicts::Settings::default()),
        rollout: Some(rollout::Settings::default()),
        ..node::Settings::default()
    }
}

/// Settings of three members, and the relays between the third and the others.
fn three_members() -> (Vec<Settings>, Vec<Relay>) {
    let free = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let at: Vec<SocketAddr> = [free(), free(), free()].map(|socket| socket.local_addr().unwrap()).to_vec();
    let follows = free().local_addr().unwrap();
    let relays: Vec<Relay> = at.iter().map(|at| relay(*at)).collect();
    let settings_of = |i: usize| {
        let mut settings = Settings::new("shop", NAMES[i], at[i]);
        settings.protocols = protocol_settings();
        settings.seed = 7 + i as u64;
        let address = |j: usize| if i == 2 || j == 2 { relays[j].at } else { at[j] };
        let member =
            |j: usize| Member { name: NAMES[j].into(), address: address(j), location: LocationId(0) };
        settings.members = (0..3).map(member).collect();
        settings.followers = vec![Follower { name: "f1".into(), address: follows }];
        settings
    };
    ((0..3).map(settings_of).collect(), relays)
}

fn finding(host: HostId) -> ToFleet {
    let (since, kind) = (Some(UnixTime(5)), FindingKind::Failing);
    ToFleet::Finding(Finding { host, started_at: since, kind, evidence: 20, age: Span::ZERO })
}

#[test]
fn members_share_limits_and_findings_and_detect_a_cut_off_member() {
    let (mut settings, relays) = three_members();
    // One of them uses the older message form.
    settings[1].newest_form = Some(1);
    let events = tempfile::NamedTempFile::new().unwrap();
    let follower = Settings {
        own_name: "f1".into(),
        listen: settings[0].followers[0].address,
        events: Some(events.path().to_owned()),
        ..settings[0].clone()
    };
    let _follower = Node::start(follower);
    let second_run = Settings { listen: "127.0.0.1:0".parse().unwrap(), ..settings[0].clone() };
    let nodes: Vec<Node> = settings.into_iter().map(Node::start).collect();
    let alive = ["d1:alive", "d2:alive", "d3:alive"];
    wait_until("all members see each other alive", 10, || {
        nodes.iter().all(|node| node.member_states() == alive)
    });

    // The share that others do not need goes to the one with demand; the sum never exceeds the limit.
    let started = Instant::now();
    let mut confirmed = [0; 3];
    wait_until("the first has the share the others do not need", 10, || {
        for (i, node) in nodes.iter().enumerate() {
            node.send(ToFleet::Demand { key: LimitKey::Origin, amount: if i == 0 { ORIGIN } else { 0.0 } });
            let last = node.observed.lock().unwrap().allowances.last().map_or(0, |allowance| allowance.1);
            if last != std::mem::replace(&mut confirmed[i], last) {
                node.send(ToFleet::AllowanceApplied { key: LimitKey::Origin, number: last });
            }
        }
        nodes[0].allowance_at(Instant::now()) > 0.9 * ORIGIN
    });
    let mut at = started;
    while at < Instant::now() {
        let sum: f64 = nodes.iter().map(|node| node.allowance_at(at)).sum();
        assert!(sum <= ORIGIN * (1.0 + 1e-9), "{sum} at {:?}", at - started);
        at += Duration::from_millis(1);
    }

    // The findings of two members reach the third, only for this start of the host.
    let host = HostId(0x0a00_0001_1f90);
    for node in &nodes {
        for i in 0..8 {
            let (host, used_by) = (HostId(host.0 + i), UsedBy::Location(LocationId(0)));
            node.send(ToFleet::HostListed { host, started_at: Some(UnixTime(5)), used_by });
        }
    }
    nodes[..2].iter().for_each(|node| node.send(finding(host)));
    wait_until("the third receives the verdict", 5, || {
        nodes[2]
            .observed
            .lock()
            .unwrap()
            .verdicts
            .iter()
            .any(|(h, since, _)| (*h, *since) == (host, Some(UnixTime(5))))
    });

    // The follower receives the same feed.
    wait_until("the follower has an item of each", 5, || {
        let text = std::fs::read_to_string(events.path()).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
        let items: Vec<_> = lines.filter(|line| line["e"] == "deliver" && line["me"] == "f1").collect();
        ["d1", "d2"]
            .iter()
            .all(|source| items.iter().any(|item| item["source"] == **source && item["n"] == 1))
    });

    // Invalid orders are rejected with one line.
    let orders = [
        r#"{"order":"start"}"#,
        r#"{"order":"up"}"#,
        r#"{"order":"resume","now":1}"#,
        "{",
        r#"{"order":"halt"}"#,
    ];
    for order in orders {
        let answer = nodes[0].http("POST /rollout", order);
        let body = answer.split("\r\n\r\n").nth(1).unwrap();
        assert!(answer.starts_with("HTTP/1.1 400") && body.lines().count() == 1, "{order}: {answer}");
    }

    // The member with the older form receives only that; the others receive the newer one.
    let forms = |i: usize| relays[i].forms.each_ref().map(|count| count.load(SeqCst));
    assert!(
        forms(1)[1] > 0 && forms(1)[2] == 0 && forms(0)[2] > forms(0)[1],
        "{:?} {:?}",
        forms(0),
        forms(1)
    );

    relays.iter().for_each(|relay| relay.cut.store(true, SeqCst));
    wait_until("two members detect that the third is gone", 30, || {
        nodes[..2].iter().all(|node| node.member_states() == ["d1:alive", "d2:alive", "d3:dead"])
    });
    wait_until("the third detects that its own links are degraded", 10, || {
        nodes[2].has_line("own links are degraded")
    });

    // A second process with a listed name: the first steps down and has no allowance.
    let second = Node::start(second_run);
    wait_until("the first run steps down", 20, || nodes[0].status()["stepped_down"] == true);
    assert_eq!(nodes[0].allowance_at(Instant::now()), 0.0);
    drop(second);

    assert!(nodes[1].has_line("d3 does not answer"));
}

#[test]
fn invalid_datagrams_change_no_state() {
    let (settings, _relays) = three_members();
    let at = settings[0].listen;
    let nodes: Vec<Node> = settings.into_iter().take(2).map(Node::start).collect();
    wait_until("two members see each other alive", 10, || {
        nodes[..2].iter().all(|node| node.member_states() == ["d1:alive", "d2:alive", "d3:unheard"])
    });
    let before = nodes[0].status();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let (d2, mine) = (MemberId::of("d2"), before["inc"].as_u64().unwrap());
    for round in 0..4_000 {
        let length = rng.gen_range(0..if round % 50 == 0 { 32_000 } else { 200 });
        let noise: Vec<u8> = (0..length).map(|_| rng.gen()).collect();
        let fleet = ["shop", "mall"][usize::from(rng.gen_bool(0.3))];
        let from = [d2, MemberId(rng.gen()), MemberId::of("d1")][rng.gen_range(0..3)];
        // Outdated or future incarnations and unknown kinds have to be ignored.
        let runs = [(1, 1), (u64::MAX, 1), (unix * 2, 2), (mine, 99), (7, 3)];
        let (incarnation, kind) = runs[rng.gen_range(0..5)];
        let (fleet, incarnation) = if round % 7 == 0 { ("mall", unix) } else { (fleet, incarnation) };
        // A false claim that no running member would refute: the third is dead.
        let dead = Claim { incarnation: Incarnation(9), refutations: 1, state: MemberState::Dead };
        let own = Claim { incarnation: Incarnation(incarnation), refutations: 0, state: MemberState::Alive };
        let gossip = Message { claim: own, body: Body::Gossip, claims: vec![(MemberId::of("d3"), dead)] };
        let payload = if kind == 1 && round % 2 == 0 { postcard::to_stdvec(&gossip).unwrap() } else { noise };
        let location = Some(LocationByte(rng.gen_range(0..2)));
        let reads = 2;
        let incarnation = Incarnation(incarnation);
        let envelope = Envelope {
            newest_form: reads,
            fleet,
            sender: from,
            incarnation,
            location,
            kind,
            payload: &payload,
        };
        let mut bytes = encode(rng.gen_range(1..=2), &envelope).unwrap();
        if rng.gen_bool(0.5) {
            let index = rng.gen_range(0..bytes.len().min(60));
            bytes[index] = rng.gen();
        }
        if rng.gen_bool(0.2) {
            bytes = payload;
        }
        let _ = socket.send_to(&bytes, at);
        if round % 40 == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let after = nodes[0].status();
    assert!(after["refused"].as_u64().unwrap() > 1_000, "{after}");
    for what in ["members", "rollout", "stepped_down", "own_trouble"] {
        assert_eq!(before[what], after[what], "{what}");
    }
    let lines = nodes[0].observed.lock().unwrap().lines.clone();
    assert!(lines.iter().filter(|line| line.contains("rejected (link")).count() <= 40, "{lines:#?}");
}
