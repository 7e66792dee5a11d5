//! Lists at their maximum size: 1,024 hosts, dispatchers, locations, host kinds and classes pass through the
//! configuration, the list, the module and the operators' file; and the program serves such a list within its
//! limits. The rollout to as many dispatchers is tested by `full_size` of `crates/fleet`.
#[path = "discovery/bed.rs"]
#[allow(dead_code, reason = "shared with other tests, which use the rest")]
mod bed;

use bed::{event, Answer, Client, Dispatcher, FakeChangeLog, FakeHosts, STEP_TIMEOUT};
use cherrypass::calls::{Decision, Listing, Visit};
use cherrypass::containers::rendezvous;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::{ClassId, GroupId, HostId, LocationId, ObjectId, VisitId};
use cherrypass::time::{Span, Time};
use cherrypass_dispatcher::change_log::{self, host_id};
use cherrypass_dispatcher::config::Config;
use cherrypass_dispatcher::fleet_connection;
use cherrypass_dispatcher::inbox::Change;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Instant;

/// The size that every list must support.
const FULL_SIZE: usize = 1_024;
/// The dispatcher's own location, which doesn't fit a byte.
const OWN_LOCATION: usize = 1_000;
const OWN_KIND: usize = 1_021;
const PARENT_KIND: usize = 1_022;
const ORIGIN_KIND: usize = 1_023;

fn names(of: &str, count: usize) -> Vec<String> {
    (0..count).map(|place| format!("{of}{place}")).collect()
}

/// A distinct address for each host, at which nothing listens.
fn address(place: usize) -> SocketAddr {
    let [.., high, low] = (place as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 9))
}

fn entry(name: &str, at: SocketAddr, zone: usize, kind: usize) -> Value {
    json!({"id": name, "addr": at, "zone": format!("z{zone}"), "kind": format!("k{kind}"), "cell": 0,
        "state": "in_service", "weight": 20, "started_ms": 0})
}

/// A configuration with `places` locations, kinds and classes; the last class is a write.
fn config(places: usize, changelog: SocketAddr, servers: &[Value]) -> Value {
    let class = |place| {
        json!({"name": if place == 0 { "video".to_owned() } else { format!("c{place}") }, "aim": 500_000,
            "deadline": 6_000_000, "effect": "idempotent"})
    };
    let writes: Vec<bool> = (0..places).map(|place| place + 1 == places).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "00f1", "changelog": changelog,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"full": true, "servers": servers}}]},
        "settings": {
            "balancers": FULL_SIZE, "me": 0, "zone": OWN_LOCATION, "zones": names("z", places), "models": names("k", places),
            "weight_source": "rough", "services": (0..places).map(class).collect::<Vec<_>>(),
            "bounds": {"cancel": true, "connect_timeout": 300_000, "conn_idle": 15_000_000, "streams_per_conn": 32,
                "max_attempts": 6},
            "rules": {"cold_from": 0.2, "cold": 1, "overload_factor": 2.0, "overload_for": 1_500_000},
            "domain": {"may_pass_by": true, "parent_kind": PARENT_KIND, "source_kind": ORIGIN_KIND, "goes_through": writes}
        }
    })
}

fn unused_address() -> SocketAddr {
    address(0)
}

/// An operators' file with the section `fleet`, whose members are in four locations.
fn operators_file(members: usize, followers: usize) -> Value {
    let member = |place: usize| json!({"name": format!("d{place}"), "address": address(place), "location": format!("z{}", MEMBER_ZONES[place % 4])});
    let follower =
        |place: usize| json!({"name": format!("f{place}"), "address": address(2 * FULL_SIZE + place)});
    let order: Vec<String> = MEMBER_ZONES.iter().map(|zone| format!("z{zone}")).collect();
    json!({"fleet": {"name": "all", "me": "d0", "listen": "127.0.0.1:0",
        "members": (0..members).map(member).collect::<Vec<_>>(),
        "followers": (0..followers).map(follower).collect::<Vec<_>>(),
        "limits": {"origin": 2_000, "cold": true}, "verdicts": {}, "rollout": {"order": order}}})
}

/// Locations of the members, below and above what fits a byte; two of them share their low byte.
const MEMBER_ZONES: [usize; 4] = [OWN_LOCATION, 255, 256, OWN_LOCATION - 256];

/// The host to which a visit of a class is handed off first.
fn first_host(engine: &mut DecisionEngine, now: Time, id: u32, class: u16) -> Option<HostId> {
    let (object, deadline) = (ObjectId(u64::from(id)), now + Span::seconds(6.0));
    let (id, class, group) = (VisitId(id), ClassId(class), GroupId(0));
    engine.visit_arrived(now, Visit { id, class, object, group, part: 0, kilobytes: None, deadline });
    std::iter::from_fn(|| engine.next_decision(now)).find_map(|decision| match decision {
        Decision::HandOff { host, .. } => Some(host),
        _ => None,
    })
}

#[test]
fn full_size_lists_pass_settings_list_and_operators_file() {
    // Settings: full lists, and a host of each location and kind.
    let servers: Vec<Value> =
        (0..FULL_SIZE).map(|place| entry(&format!("h{place}"), address(place), place, place)).collect();
    let text = config(FULL_SIZE, unused_address(), &servers).to_string();
    let config = Config::decode(text.as_bytes()).unwrap();
    config.check_known().unwrap();
    assert_eq!(config.settings.location, LocationId(OWN_LOCATION as u16));

    // The list: no entry is lost or confused with another one.
    let (found, fault) = change_log::decode(&config.known_changes, &config.names, &mut 0, None);
    assert!(fault.is_none(), "{fault:?}");
    let [Change::HostList { is_complete: true, hosts }] = &found[..] else { panic!("{found:?}") };
    let listings: Vec<Listing> = hosts.iter().map(|host| host.listing).collect();
    let distinct = |ids: BTreeSet<u64>| assert_eq!(ids.len(), FULL_SIZE);
    distinct(listings.iter().map(|listing| listing.host.0).collect());
    distinct(listings.iter().map(|listing| listing.location.0.into()).collect());
    distinct(listings.iter().map(|listing| listing.kind.0.into()).collect());
    let now = Time(1_000_000);
    let mut engine = DecisionEngine::new(config.settings.clone(), 1, now);
    engine.update_hosts(now, &listings, true);
    assert!(listings.iter().all(|listing| engine.is_listed(listing.host)));
    let (local, origin) = (host_id(&format!("h{OWN_LOCATION}")), host_id(&format!("h{ORIGIN_KIND}")));
    assert_eq!(
        first_host(&mut engine, now, 1, ORIGIN_KIND as u16 - 1),
        Some(local),
        "a read goes to the local cache"
    );
    assert_eq!(
        first_host(&mut engine, now, 2, ORIGIN_KIND as u16),
        Some(origin),
        "the last class is a write"
    );

    // The operators' file.
    let file = cherrypass_operator::decode("all.jsonnet", operators_file(FULL_SIZE, FULL_SIZE)).unwrap();
    let settings = fleet_connection::fleet_settings(&file.fleet.unwrap(), &config).unwrap();
    assert_eq!(
        (settings.members.len(), settings.followers.len(), settings.locations.len()),
        (FULL_SIZE, FULL_SIZE, FULL_SIZE)
    );
}

#[test]
fn an_exceeded_limit_is_reported_in_one_line_with_a_remedy() {
    for (members, followers, place) in
        [(FULL_SIZE + 1, 0, "fleet.members"), (FULL_SIZE, FULL_SIZE + 1, "fleet.followers")]
    {
        let message =
            cherrypass_operator::decode("all.jsonnet", operators_file(members, followers)).unwrap_err();
        let message = message.to_string();
        let words = ["all.jsonnet", place, "1025 entries exceed the maximum of 1024", "split the fleet"];
        assert!(words.iter().all(|word| message.contains(word)) && !message.contains('\n'), "{message}");
    }
    let places = cherrypass::ids::MAX_LIST_LENGTH;
    for key in ["zones", "models"] {
        let mut value = config(FULL_SIZE, unused_address(), &[]);
        value["settings"][key] = json!(names("x", places + 1));
        let message = Config::decode(value.to_string().as_bytes()).unwrap_err().to_string();
        let words =
            [&format!("settings/{key} has 65537 entries, at most 65536 are allowed"), "remove unused ones"];
        assert!(words.iter().all(|word| message.contains(*word)) && !message.contains('\n'), "{message}");
    }
    // A cell out of range is not truncated to another one.
    let mut server = entry("h0", address(0), 0, 0);
    server["cell"] = json!(65_536);
    let value = config(FULL_SIZE, unused_address(), &[server]);
    let message =
        Config::decode(value.to_string().as_bytes()).unwrap().check_known().unwrap_err().to_string();
    assert!(message.contains("change 1: invalid cell (servers/0)"), "{message}");
}

/// Hosts that answer, among 1,024 listed.
const ANSWERING: usize = 128;
const VISITS: usize = 256;

/// A number from the process's status file.
fn status_number(dispatcher: &Dispatcher, line: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", dispatcher.child.id())).unwrap();
    let found = status.lines().find(|text| text.starts_with(line)).unwrap();
    found.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn descriptors(dispatcher: &Dispatcher) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", dispatcher.child.id())).unwrap().count()
}

/// Objects whose designated cache answers.
fn objects(answering: usize) -> impl Iterator<Item = u64> {
    let ids: Vec<HostId> = (0..FULL_SIZE).map(|place| host_id(&format!("h{place}"))).collect();
    (0u64..).filter(move |object| {
        let value = |place: usize| rendezvous(*object, ids[place], 1.0);
        let designated = (0..FULL_SIZE - 2).max_by(|a, b| value(*a).total_cmp(&value(*b)));
        designated.is_some_and(|place| place < answering)
    })
}

fn is_ready(listen: SocketAddr) -> bool {
    let mut client = Client::connect(listen).unwrap();
    client.send_status_request().unwrap();
    client.answer().unwrap() == Answer::Ready(true)
}

#[test]
fn the_program_serves_1024_hosts_within_32_mb_and_256_descriptors() {
    let hosts = FakeHosts::new();
    let listen = |place: usize| match place < ANSWERING {
        true => hosts.on_listener("answers", TcpListener::bind("127.0.0.1:0").unwrap()),
        false => address(place),
    };
    let kind =
        |place: usize| if place < FULL_SIZE - 2 { OWN_KIND } else { PARENT_KIND + place - (FULL_SIZE - 2) };
    let servers: Vec<Value> = (0..FULL_SIZE)
        .map(|place| entry(&format!("h{place}"), listen(place), OWN_LOCATION, kind(place)))
        .collect();
    let requests = hosts.answer_all();
    let log = FakeChangeLog::start();
    let start = Instant::now();
    let dispatcher = Dispatcher::start(&config(FULL_SIZE, log.address, &servers).to_string());
    while !is_ready(dispatcher.listen) {
        assert!(start.elapsed() < STEP_TIMEOUT, "not ready");
    }
    let ready = start.elapsed();
    // The same list arrives again as a change.
    let entries: Vec<String> = servers.iter().map(Value::to_string).collect();
    log.next_since(1).answer(&[event(2, true, &entries)]);
    log.next_since(2);
    let mut client = Client::connect(dispatcher.listen).unwrap();
    let mut max_descriptors = 0;
    for object in objects(ANSWERING).take(VISITS) {
        client.send_request(object).unwrap();
        assert_eq!(client.answer().unwrap(), Answer::Served, "object {object}");
        max_descriptors = max_descriptors.max(descriptors(&dispatcher));
    }
    let (memory, threads) = (status_number(&dispatcher, "VmHWM:"), status_number(&dispatcher, "Threads:"));
    println!(
        "ready after {ready:?}; {memory} kB and {max_descriptors} descriptors at most, {threads} threads"
    );
    assert!(is_ready(dispatcher.listen));
    assert!(requests.try_iter().count() >= VISITS, "fewer requests at hosts than answers");
    assert!(memory <= 32 * 1024, "{memory} kB");
    assert!(max_descriptors <= 256, "{max_descriptors} descriptors");
    assert_eq!(dispatcher.count_log_lines("invalid"), 0);
    assert_eq!(dispatcher.count_log_lines("cannot open"), 0);
}
