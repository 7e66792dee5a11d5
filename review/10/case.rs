//! A fleet whose change log is delivered by two carriers: both are killed at once, and a cache host begins to drain.
#[path = "../bed-2/bed.rs"]
mod bed;
use bed::*;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

const MEMBERS: usize = 8;
const CARRIERS: usize = 2;
const DRAIN_GRACE_MS: u64 = 500;
/// At the latest, what the change log has to tell counts as told this long after it was made.
const TOLD_MS: u64 = 7_000;
/// Every time limit is so much longer on sockets, and so much is left for the way to the host.
const SLACK_MS: u64 = 50 + 50;
/// When a killed dispatcher is back.
const BACK_MS: u64 = 7_300;
const WATCHED_MS: u64 = 10_500;

fn cache(name: &str) -> Host {
    let copies: Arc<Mutex<HashMap<(String, String), u64>>> = Arc::default();
    Host::start(name, move |want| {
        let key = (want.field("k").to_owned(), want.field("p").to_owned());
        let copy = copies.lock().unwrap().get(&key).copied();
        if copy.is_none() && want.field("from").is_empty() {
            return Some(Reply { word: "LACK", fields: "-".to_owned(), body: Vec::new() });
        }
        sleep_ms(if copy.is_some() { 10 } else { 30 });
        let note = if copy.is_some() { "cached" } else { "fetched" };
        let born = *copies.lock().unwrap().entry(key).or_insert_with(now_ms);
        let fields = format!("ver={born:x},born={born},note={note}");
        Some(Reply { word: "DONE", fields, body: vec![b'x'; 2_000] })
    })
}

fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).unwrap()
}

/// A member of the fleet: where it listens for clients and for the others.
struct Member {
    name: String,
    address: SocketAddr,
    fleet: SocketAddr,
}

impl Member {
    fn config(&self, me: usize, log: &ChangeLog) -> String {
        let (name, address) = (&self.name, self.address);
        format!(
            r#"{{"name":"{name}","listen":"{address}","seed":"{:x}",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{}",
            "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{},
            "settings":{{"balancers":{MEMBERS},"me":{me},"zone":1,"zones":["hub","edge"],
            "models":["small","parent","origin"],"weight_source":"rough",
            "services":[{{"name":"photo","aim":250000,"deadline":2500000,"effect":"idempotent"}}],
            "bounds":{{"connect_timeout":400000,"conn_idle":15000000,"streams_per_conn":32,"cancel":true,
            "max_attempts":6}},
            "rules":{{"cold_from":0.2,"cold":15000000,"overload_factor":2.0,"overload_for":1500000,
            "drain_grace":{}}},
            "domain":{{"parent_kind":1,"source_kind":2,"may_pass_by":true,"obey_after":1000000,
            "purge_done":6000000}}}}}}"#,
            now_ms() * 31 + me as u64,
            log.address,
            log.results(0),
            DRAIN_GRACE_MS * 1_000
        )
    }

    /// Starts it with the operators' file of `deploy/operator.jsonnet`, of which the delivery is enabled.
    fn start(&self, me: usize, all: &[Member], log: &ChangeLog) -> Dispatcher {
        let entries: Vec<String> = all
            .iter()
            .map(|member| {
                format!(r#"{{"name":"{}","address":"{}","location":"edge"}}"#, member.name, member.fleet)
            })
            .collect();
        let carriers: Vec<String> = all[..CARRIERS].iter().map(|member| format!("\"{}\"", member.name)).collect();
        let operator = format!(
            r#"{{"fleet":{{"name":"shop","me":"{}","listen":"{}","members":[{}],
            "delivery":{{"log":"main","carriers":[{}],"fallback_ms":5000,"proof_ms":1100,"unproven":"strict"}}}}}}"#,
            self.name,
            self.fleet,
            entries.join(","),
            carriers.join(",")
        );
        let path = temp_folder().join(format!("{}.operator.json", self.name));
        std::fs::write(&path, operator).unwrap();
        let environment = [("CHERRYPASS_OPERATOR", path.display().to_string())];
        Dispatcher::start(&self.name, self.address, &self.config(me, log), &environment)
    }
}

fn main() {
    open_record(std::path::Path::new(&std::env::args().nth(1).expect("the record's path")));
    let names = ["s-1", "s-2", "s-3", "s-4", "p-1", "o-1"];
    let hosts: Vec<Host> = names.iter().map(|name| cache(name)).collect();
    let listed: Vec<Listed> = hosts
        .iter()
        .map(|host| {
            let (zone, kind) = match &host.name[..1] {
                "s" => ("edge", "small"),
                "p" => ("hub", "parent"),
                _ => ("hub", "origin"),
            };
            let (name, address) = (host.name.clone(), host.address);
            Listed { name, address, zone, kind, cell: 0, weight: 40.0, started_ms: 0 }
        })
        .collect();
    let log = ChangeLog::start();
    log.append_hosts(true, &listed.iter().map(|host| (host, "in_service")).collect::<Vec<_>>());
    let members: Vec<Member> = (1..=MEMBERS)
        .map(|number| Member { name: format!("d{number}"), address: free_address(), fleet: free_udp_address() })
        .collect();
    let mut dispatchers: Vec<Dispatcher> =
        members.iter().enumerate().map(|(me, member)| member.start(me, &members, &log)).collect();
    if !dispatchers.iter().all(|dispatcher| dispatcher.is_ready_within(10_000)) {
        verdict(2, "a dispatcher is not ready");
    }
    // Clients of those that are not killed.
    let mut clients: Vec<Client> =
        members[CARRIERS..].iter().filter_map(|member| Client::connect(member.address)).collect();
    if clients.len() < MEMBERS - CARRIERS {
        verdict(2, "a client can't connect");
    }
    let (start, mut random) = (now_ms(), Random(7));
    let (mut number, mut killed_at, mut drained_at, mut is_back) = (0_u64, 0, 0, false);
    while drained_at == 0 || now_ms() < drained_at + WATCHED_MS {
        number += 1;
        let visit = Visit {
            class: "photo".to_owned(),
            txn: format!("{number:016x}"),
            limit: 2_500,
            item: format!("{:016x}", random.below(300)),
            family: 3,
            ..Visit::default()
        };
        let count = clients.len();
        clients[number as usize % count].send(&visit);
        if killed_at == 0 && now_ms() > start + 4_000 {
            killed_at = now_ms();
            if has_trouble() {
                for carrier in &dispatchers[..CARRIERS] {
                    carrier.signal(SIGKILL);
                }
            }
        }
        if drained_at == 0 && killed_at > 0 && now_ms() > killed_at + 100 {
            log.append_hosts(false, &[(&listed[0], "terminating")]);
            drained_at = now_ms();
        }
        if has_trouble() && !is_back && killed_at > 0 && now_ms() > killed_at + BACK_MS {
            is_back = true;
            for me in 0..CARRIERS {
                dispatchers[me].end();
                dispatchers[me] = members[me].start(me, &members, &log);
            }
        }
        sleep_ms(4);
    }
    let binding_at = drained_at + TOLD_MS + DRAIN_GRACE_MS + SLACK_MS;
    let wants = |host: &Host| host.wants().into_iter();
    let late: Vec<u64> = hosts
        .iter()
        .flat_map(|host| wants(host).map(|want| (host.name == "s-1" || want.field("from") == "s-1", want.first_ms)))
        .filter(|(is_to_draining, at)| *is_to_draining && *at > binding_at)
        .map(|(_, at)| at)
        .collect();
    if wants(&hosts[0]).filter(|want| want.first_ms < drained_at).count() < 10 {
        verdict(2, "the host that drains had no work before");
    }
    match late.iter().max() {
        Some(at) => verdict(
            1,
            &format!(
                "{} requests to s-1 more than 7.6 s after its drain was in the change log, the last one {} ms after",
                late.len(),
                at - drained_at
            ),
        ),
        None => verdict(0, "nothing was sent to s-1 once its drain bound"),
    }
}
