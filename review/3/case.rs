//! Shop-front routers send many orders at once. The orders' bodies hold the word that a client takes requests back with.
use bed::*;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

const SEED: u64 = 7;
const ROUNDS: u64 = 4;
const ROUTERS: usize = 4;
/// Orders of a router in a round; up to 32 requests may be open on a connection.
const ORDERS: usize = 24;
/// A write brings up to 48,000 bytes.
const BODY_BYTES: usize = 40_000;
const LIMIT_MS: u64 = 2_500;
/// Up to half a second after its time an answer only earns nothing; later, or never, the request is lost.
const LOST_AFTER_MS: u64 = 500;
const HOST_MS: f64 = 40.0;

/// Runs each order and counts it.
struct Host(Shared<u64>);

impl HostLogic for Host {
    fn want(&self, writer: &HostWriter, want: Want) {
        *self.0.lock().unwrap() += 1;
        note_at(
            want.whole_at,
            format!("{}: attempt {} has come whole, {} bytes", writer.host, want.id, want.body.len()),
        );
        let writer = writer.clone();
        later(HOST_MS, move || writer.answer(&want.id, "DONE", "-", b"ordered"));
    }
}

/// A request that was written whole.
#[derive(Clone)]
struct Sent {
    txn: String,
    written_at: u64,
    answered_at: Option<u64>,
}

/// A shop-front router: a client with one connection.
struct Router {
    name: String,
    client: Client,
    sent: Shared<BTreeMap<u32, Sent>>,
}

impl Router {
    fn connect(dispatcher: &Dispatcher, name: String) -> Router {
        let sent: Shared<BTreeMap<u32, Sent>> = shared(BTreeMap::new());
        let (own, answered) = (sent.clone(), name.clone());
        let on_answer = move |id, answer: Answer, at| {
            note_at(at, format!("{answered}: request {id}: {}", answer.word()));
            own.lock().unwrap().entry(id).and_modify(|sent| sent.answered_at = Some(at));
        };
        match Client::connect(dispatcher.address, Box::new(on_answer)) {
            Ok(client) => Router { name, client, sent },
            Err(_) => could_not_run("no connection to the dispatcher"),
        }
    }

    /// Writes orders in one go and notes when.
    fn write(&self, orders: &[Request]) {
        let ids: Vec<u32> = orders.iter().map(|_| self.client.take_id()).collect();
        let bytes: Vec<u8> = ids.iter().zip(orders).flat_map(|(id, order)| order.encode(*id)).collect();
        for (id, order) in ids.iter().zip(orders) {
            let sent = Sent { txn: order.txn.clone(), written_at: u64::MAX, answered_at: None };
            self.sent.lock().unwrap().insert(*id, sent);
        }
        let is_written = self.client.write(&bytes);
        let at = unix_us();
        let mut sent = self.sent.lock().unwrap();
        for id in ids {
            if is_written {
                sent.entry(id).and_modify(|sent| sent.written_at = at);
            } else {
                sent.remove(&id);
            }
        }
    }

    /// Writes each order once the one before it is answered.
    fn write_one_by_one(&self, orders: &[Request]) {
        for order in orders {
            self.write(std::slice::from_ref(order));
            let is_open = || self.sent.lock().unwrap().values().any(|sent| sent.answered_at.is_none());
            let until = unix_us() + LIMIT_MS * 1000;
            while is_open() && unix_us() < until {
                sleep(Duration::from_millis(2));
            }
        }
    }
}

/// An order. Its body is the basket's history in MessagePack: what was added and withdrawn at each step, by line.
fn order(random: &mut Random) -> Request {
    let mut body = Vec::with_capacity(BODY_BYTES + 32);
    while body.len() < BODY_BYTES {
        let word: &str = if random.below(2) == 0 { "add" } else { "withdraw" };
        let lines = 1 + random.below(4) as u8;
        body.extend_from_slice(&[0x92, 0xa0 | word.len() as u8]);
        body.extend_from_slice(word.as_bytes());
        body.push(0x90 | lines);
        body.extend((0..lines).map(|_| 1 + random.below(40) as u8));
    }
    let (class, limit_ms, unique) = ("checkout".into(), LIMIT_MS, Some(random.hex16()));
    let (txn, item) = (random.hex16(), random.hex16());
    Request { class, txn, limit_ms, item, block: 0, family: 1, unique, body }
}

fn main() {
    let temporary = folders();
    let runs = shared(0);
    let hosts = Hosts::start(Arc::new(Host(runs.clone())));
    let log = ChangeLog::start();
    log.add(hosts.list(), 0);
    let settings = settings(&Deployment { photo_effect: "idempotent", link_kb_per_s: 44_412.0 });
    let mut dispatcher =
        Dispatcher::start(&temporary, &Config { memory_mb: 192, sockets: 1024, log: &log, settings });

    let mut random = Random(SEED);
    let mut all: Vec<Sent> = Vec::new();
    for round in 0..ROUNDS {
        let mut threads = Vec::new();
        let mut routers = Vec::new();
        for number in 0..ROUTERS {
            let router = Arc::new(Router::connect(&dispatcher, format!("round {round} router {number}")));
            let orders: Vec<Request> = (0..ORDERS).map(|_| order(&mut random)).collect();
            routers.push(router.clone());
            threads.push(spawn(move || match has_trouble() {
                true => router.write(&orders),
                false => router.write_one_by_one(&orders),
            }));
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
        pause_ms(LIMIT_MS + LOST_AFTER_MS + 100);
        for router in routers {
            if router.client.has_ended.load(SeqCst) {
                could_not_run("a router's connection has ended");
            }
            // Noted after the round, so that the record does not slow the clients down.
            for (id, sent) in router.sent.lock().unwrap().iter() {
                note_at(
                    sent.written_at,
                    format!("{}: request {id}, try {}: written whole", router.name, sent.txn),
                );
                all.push(sent.clone());
            }
            router.client.close();
        }
    }
    if dispatcher.has_exited() {
        could_not_run("the dispatcher has ended");
    }
    let is_broken = judge(&all, *runs.lock().unwrap());
    verdict(dispatcher, is_broken)
}

/// Rule 1: every request that was taken gets its answer. No client took one back or closed its connection before.
fn judge(all: &[Sent], runs: u64) -> bool {
    let is_lost = |sent: &&Sent| {
        let until = sent.written_at.saturating_add((LIMIT_MS + LOST_AFTER_MS) * 1000);
        sent.answered_at.is_none_or(|at| at > until)
    };
    let lost: Vec<&Sent> = all.iter().filter(is_lost).collect();
    for sent in lost.iter().take(5) {
        say(format!("BROKEN: request {} was written whole and never answered", sent.txn));
    }
    say(format!("{} orders written whole, {} run by hosts, {} lost", all.len(), runs, lost.len()));
    !lost.is_empty()
}
