//! Discovery is slow: each of its answers comes 1.5 s later than it would. A cache host begins to drain meanwhile.
#[path = "../bed-2/bed.rs"]
mod bed;
use bed::*;
use std::collections::HashMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};

/// How much later an answer comes; discovery's calls fail after 2 s.
const LATE_MS: u64 = 1_500;
const DRAIN_GRACE_MS: u64 = 500;
/// At the latest, what the change log has to tell counts as told this long after it was made.
const TOLD_MS: u64 = 7_000;
/// Every time limit is so much longer on sockets, and so much is left for the way to the host.
const SLACK_MS: u64 = 50 + 50;
const WATCHED_MS: u64 = 15_000;

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
            Listed { name, address, zone, kind, cell: 0, weight: 20.0, started_ms: 0 }
        })
        .collect();
    let log = ChangeLog::start();
    log.append_hosts(true, &listed.iter().map(|host| (host, "in_service")).collect::<Vec<_>>());
    let address = free_address();
    let config = format!(
        r#"{{"name":"n1","listen":"{address}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{}",
        "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{},
        "settings":{{"balancers":1,"me":0,"zone":1,"zones":["hub","edge"],"models":["small","parent","origin"],
        "weight_source":"rough",
        "services":[{{"name":"photo","aim":250000,"deadline":2500000,"effect":"idempotent"}}],
        "bounds":{{"connect_timeout":400000,"conn_idle":15000000,"streams_per_conn":32,"cancel":true,"max_attempts":6}},
        "rules":{{"cold_from":0.2,"cold":15000000,"overload_factor":2.0,"overload_for":1500000,"drain_grace":{}}},
        "domain":{{"parent_kind":1,"source_kind":2,"may_pass_by":true,"obey_after":1000000,"purge_done":6000000}}}}}}"#,
        log.address,
        log.results(0),
        DRAIN_GRACE_MS * 1_000
    );
    let dispatcher = Dispatcher::start("n1", address, &config, &[]);
    if !dispatcher.is_ready_within(10_000) {
        verdict(2, "the dispatcher is not ready");
    }
    let start = now_ms();
    let mut random = Random(7);
    let mut clients: Vec<Client> = (0..3).filter_map(|_| Client::connect(address)).collect();
    if clients.len() < 3 {
        verdict(2, "a client can't connect");
    }
    let (mut number, mut drained_at) = (0_u64, 0);
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
        clients[number as usize % 3].send(&visit);
        if now_ms() > start + 3_000 && has_trouble() && log.late_ms.swap(LATE_MS, SeqCst) == 0 {
            note(format!("change log: its answers come {LATE_MS} ms late from now on"));
        }
        if now_ms() > start + 5_000 && drained_at == 0 {
            // Another reader, which waits for its answer, to show when the log tells it.
            let reader = log.clone();
            std::thread::spawn(move || {
                if let Some(at) = reader.read_patiently(1) {
                    note(format!("another reader of the change log has the drain, at {}", on_record(at)));
                }
            });
            log.append_hosts(false, &[(&listed[0], "terminating")]);
            drained_at = now_ms();
        }
        sleep_ms(15);
    }
    let calls = log.calls.load(SeqCst);
    let binding_at = drained_at + TOLD_MS + DRAIN_GRACE_MS + SLACK_MS;
    let late: Vec<(u64, String)> = hosts
        .iter()
        .flat_map(|host| host.wants().into_iter().map(|want| (host.name.clone(), want)))
        .filter(|(host, want)| want.first_ms > binding_at && (host == "s-1" || want.field("from") == "s-1"))
        .map(|(_, want)| (want.first_ms, want.id))
        .collect();
    let before = hosts[0].wants().iter().filter(|want| want.first_ms < drained_at).count();
    if before < 10 {
        verdict(2, "the host that drains had no work before");
    }
    match late.last() {
        Some((at, id)) => verdict(
            1,
            &format!(
                "{} requests to s-1 more than 7.6 s after its drain was in the change log, the last one ({id}) {} ms after; {calls} calls",
                late.len(),
                at - drained_at
            ),
        ),
        None => verdict(0, &format!("nothing was sent to s-1 once its drain bound; {calls} calls")),
    }
}
