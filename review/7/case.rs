//! Bad clients ask at full speed for objects that no cache host knows, with very little time left: the memory that the
//! dispatcher takes for them.
#[path = "../bed-2/bed.rs"]
mod bed;
use bed::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
const BAD_CLIENTS: u64 = 6;
/// Requests that a bad client sends at once; 32 may be open on a connection.
const AT_ONCE: u64 = 30;
const QUIET_MS: u64 = 3_000;
const BAD_MS: u64 = 30_000;

/// The objects that exist.
fn is_known(item: &str) -> bool {
    u64::from_str_radix(item, 16).is_ok_and(|item| item < 1_000)
}

/// Sends requests for objects that nobody knows, reads the answers, and sends as many again.
fn send_badly(address: SocketAddr, seed: u64, is_over: Arc<AtomicBool>, sent: Arc<AtomicU64>) {
    let mut random = Random(seed);
    while !is_over.load(SeqCst) {
        let Some(mut client) = Client::connect(address) else {
            sleep_ms(20);
            continue;
        };
        client.is_noted.store(false, SeqCst);
        while !is_over.load(SeqCst) && !client.is_closed.load(SeqCst) {
            let visits: Vec<Visit> = (0..AT_ONCE)
                .map(|_| Visit {
                    class: "photo".to_owned(),
                    txn: format!("{:016x}", random.next()),
                    limit: 1,
                    item: format!("{:016x}", random.next() | 1 << 50),
                    family: 9,
                    ..Visit::default()
                })
                .collect();
            client.send_at_once(&visits);
            sent.fetch_add(AT_ONCE, SeqCst);
            client.wait_for_all();
            client.asked.lock().unwrap().clear();
        }
    }
}

fn main() {
    open_record(std::path::Path::new(&std::env::args().nth(1).expect("the record's path")));
    let names = ["s-1", "s-2", "s-3", "s-4", "p-1", "o-1"];
    let hosts: Vec<Host> = names
        .iter()
        .map(|name| {
            Host::start(name, |want| {
                if !is_known(want.field("k")) {
                    return Some(Reply { word: "BROKE", fields: "-".to_owned(), body: Vec::new() });
                }
                sleep_ms(10);
                let fields = format!("ver=1,born={},note=cached", now_ms());
                Some(Reply { word: "DONE", fields, body: vec![b'x'; 2_000] })
            })
        })
        .collect();
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
        "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},"changelog":"{}",
        "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{},
        "settings":{{"balancers":1,"me":0,"zone":1,"zones":["hub","edge"],"models":["small","parent","origin"],
        "weight_source":"rough",
        "services":[{{"name":"photo","aim":250000,"deadline":2500000,"effect":"idempotent"}}],
        "bounds":{{"connect_timeout":400000,"conn_idle":15000000,"streams_per_conn":32,"cancel":true,"max_attempts":6,
        "retry_after":true,"max_retry_after":2000000}},
        "rules":{{"cold_from":0.2,"cold":15000000,"overload_factor":2.0,"overload_for":1500000,"drain_grace":500000}},
        "domain":{{"parent_kind":1,"source_kind":2,"may_pass_by":true,"obey_after":1000000,"purge_done":6000000}}}}}}"#,
        log.address,
        log.results(0),
    );
    let mut dispatcher = Dispatcher::start_on_one_core("n1", address, &config);
    if !dispatcher.is_ready_within(10_000) {
        verdict(2, "the dispatcher is not ready");
    }
    let (is_over, sent): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
    let Some(mut usual) = Client::connect(address) else { verdict(2, "a client can't connect") };
    let mut random = Random(7);
    let (start, mut number, mut is_bad, mut peak, mut noted_at) = (now_ms(), 0_u64, false, 0, 0);
    while now_ms() < start + QUIET_MS + BAD_MS {
        number += 1;
        let visit = Visit {
            class: "photo".to_owned(),
            txn: format!("{number:016x}"),
            limit: 2_500,
            item: format!("{:016x}", random.below(300)),
            family: 3,
            ..Visit::default()
        };
        if !usual.is_closed.load(SeqCst) {
            usual.send(&visit);
        }
        if now_ms() > start + QUIET_MS && has_trouble() && !std::mem::replace(&mut is_bad, true) {
            note(format!("{BAD_CLIENTS} bad clients begin"));
            for seed in 1..=BAD_CLIENTS {
                let (is_over, sent) = (is_over.clone(), sent.clone());
                let run = move || send_badly(address, seed, is_over, sent);
                thread::Builder::new().stack_size(256 << 10).spawn(run).unwrap();
            }
        }
        let kb = |name: &str| dispatcher.figure_kb(name).unwrap_or(0);
        let used = kb("RssAnon") + kb("RssShmem");
        peak = peak.max(used);
        if now_ms() > noted_at + 500 {
            noted_at = now_ms();
            note(format!("platform: the dispatcher has {used} kB of its own, {} kB in all; {} bad requests", kb("VmRSS"), sent.load(SeqCst)));
        }
        if dispatcher.has_ended() {
            verdict(1, "the dispatcher has ended");
        }
        if used > MEMORY_MB * 1024 {
            // As the platform does.
            let after = now_ms() - start - QUIET_MS;
            dispatcher.signal(SIGKILL);
            let text = format!(
                "killed for memory {after} ms after {BAD_CLIENTS} bad clients began: {used} kB of its own, {} bad requests",
                sent.load(SeqCst)
            );
            verdict(1, &text);
        }
        sleep_ms(20);
    }
    is_over.store(true, SeqCst);
    verdict(0, &format!("at most {peak} kB of its own memory, {} bad requests", sent.load(SeqCst)))
}
