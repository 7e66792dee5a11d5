//! The change log breaks off in the middle of telling a purge and is then down for some seconds.
use bed::*;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;

const SEED: u64 = 1;
const OBJECTS: u64 = 60;
const FAMILIES: u64 = 6;
const PURGED_FAMILY: u32 = 3;
const VISITS_PER_S: u64 = 40;
const WARM_UP_MS: u64 = 8_000;
const AFTER_PURGE_MS: u64 = 9_000;
/// From a purge to the log's telling it (71 to 350 ms), and until a host drops older copies by itself (6 s at most).
const TELL_MS: u64 = 200;
const DROP_MS: u64 = 5_800;
/// How long the log is down; 8 s on the days at full size.
const DOWN_MS: u64 = 6_500;
/// The rule: what a log would have told counts as told 2 s after a break; a purge binds 1 s later, and every time limit
/// is 50 ms longer on sockets.
const TOLD_AFTER_BREAK_MS: u64 = 2_000;
const GRACE_MS: u64 = 1_000;
const SLACK_MS: u64 = 50;
/// How long a host takes for a copy of its own, for a miss, and with a copy of a parent and of the origin.
const HIT_MS: f64 = 30.0;
const MISS_MS: f64 = 5.0;
const FETCH_MS: f64 = 50.0;
const ORIGIN_MS: f64 = 90.0;

/// An attempt that was answered with a copy.
struct Served {
    host: String,
    item: String,
    sent_at: u64,
    born_ms: u64,
    oldest: String,
}

#[derive(Default)]
struct World {
    /// When the origin gave out the copies of hosts, by host and object.
    copies: Table<(String, String), u64>,
    families: Table<String, u32>,
    purged_at_ms: Option<u64>,
    served: Vec<Served>,
}

impl World {
    fn is_older_than_purge(&self, item: &str, born_ms: u64) -> bool {
        self.families.get(item) == Some(&PURGED_FAMILY) && self.purged_at_ms.is_some_and(|at| born_ms < at)
    }

    /// When a host's copy was given out, unless the host has dropped it or it is too old for the attempt.
    fn usable(&mut self, host: &str, want: &Want) -> Option<u64> {
        let key = (host.to_owned(), want.copy_id().0);
        let born_ms = *self.copies.get(&key)?;
        let now = unix_ms();
        if self.is_older_than_purge(&key.1, born_ms)
            && self.purged_at_ms.is_some_and(|at| now >= at + DROP_MS)
        {
            self.copies.remove(&key);
            return None;
        }
        let oldest: u64 = want.field("oldest").parse().unwrap_or(0);
        (oldest == 0 || now - born_ms <= oldest).then_some(born_ms)
    }

    fn keep(&mut self, host: &str, want: &Want, born_ms: u64) {
        self.copies.insert((host.to_owned(), want.copy_id().0), born_ms);
    }

    /// The copy with which a host answers, the note and how long it takes; none for a miss.
    fn look(&mut self, host: &str, want: &Want) -> Option<(u64, &'static str, f64)> {
        if let Some(born_ms) = self.usable(host, want) {
            return Some((born_ms, "cached", HIT_MS));
        }
        let source = want.fields.get("from")?.clone();
        if source.starts_with('p') {
            if let Some(born_ms) = self.usable(&source, want) {
                self.keep(host, want, born_ms);
                return Some((born_ms, "fetched", FETCH_MS));
            }
            if want.field("mode").contains("only-if-cached") {
                return None;
            }
        }
        let born_ms = unix_ms();
        self.keep(host, want, born_ms);
        if source.starts_with('p') {
            self.keep(&source, want, born_ms);
        }
        Some((born_ms, "fetched_root", ORIGIN_MS))
    }
}

struct Host(Shared<World>);

impl HostLogic for Host {
    fn want(&self, writer: &HostWriter, want: Want) {
        let mut world = self.0.lock().unwrap();
        let writer = writer.clone();
        let Some((born_ms, how, ms)) = world.look(&writer.host, &want) else {
            note_at(want.first_byte_at, format!("{}: attempt {}: LACK", writer.host, want.id));
            return later(MISS_MS, move || writer.answer(&want.id, "LACK", "-", b""));
        };
        let (item, host, oldest) =
            (want.copy_id().0, writer.host.to_string(), want.field("oldest").to_owned());
        let age = if world.is_older_than_purge(&item, born_ms) { "older than the purge" } else { "good" };
        note_at(
            want.first_byte_at,
            format!("{host}: attempt {} for {item}, oldest={oldest}: {how}, born={born_ms}, {age}", want.id),
        );
        let body = format!("{item} given out at {born_ms}");
        world.served.push(Served { host, item, sent_at: want.first_byte_at, born_ms, oldest });
        drop(world);
        let fields = format!("ver={born_ms:x},born={born_ms},note={how},load=inflight:1;x0:0.7");
        later(ms, move || writer.answer(&want.id, "DONE", &fields, body.as_bytes()));
    }
}

fn main() {
    let temporary = folders();
    let world = shared(World::default());
    let hosts = Hosts::start(Arc::new(Host(world.clone())));
    let log = ChangeLog::start();
    log.add(hosts.list(), 0);
    let settings = settings(&Deployment { photo_effect: "idempotent", link_kb_per_s: 44_412.0 });
    let mut dispatcher =
        Dispatcher::start(&temporary, &Config { memory_mb: 192, sockets: 1024, log: &log, settings });

    let on_answer = |id, answer: Answer, at| note_at(at, format!("client: request {id}: {}", answer.word()));
    let Ok(client) = Client::connect(dispatcher.address, Box::new(on_answer)) else {
        could_not_run("no connection to the dispatcher")
    };
    let mut random = Random(SEED);
    let items: Vec<String> = (0..OBJECTS).map(|_| random.hex16()).collect();
    let family = |index: u64| (index % FAMILIES) as u32;
    for (index, item) in items.iter().enumerate() {
        world.lock().unwrap().families.insert(item.clone(), family(index as u64));
    }
    let start = unix_us();
    let purge_at = start + WARM_UP_MS * 1000;
    let mut purge = None;
    let mut is_back = false;
    for number in 0..(WARM_UP_MS + AFTER_PURGE_MS) * VISITS_PER_S / 1000 {
        sleep_until(start + number * 1_000_000 / VISITS_PER_S);
        let now = unix_us();
        if now >= purge_at && purge.is_none() {
            let at_ms = now / 1000;
            world.lock().unwrap().purged_at_ms = Some(at_ms);
            note(format!("family {PURGED_FAMILY} is purged, time {at_ms}"));
            let event = format!(r#""invalidate":{{"bucket":{PURGED_FAMILY},"time":{at_ms}}}"#);
            if has_trouble() {
                log.break_at(2);
            }
            purge = Some(log.add(event, now + TELL_MS * 1000));
        }
        if !is_back && log.broke_at().is_some_and(|at| now > at + DOWN_MS * 1000) {
            log.set_down(false);
            is_back = true;
        }
        let index = random.below(OBJECTS);
        let request = Request {
            class: "product-photo".into(),
            txn: random.hex16(),
            limit_ms: 2_000,
            item: items[index as usize].clone(),
            family: family(index),
            ..Request::default()
        };
        let id = client.take_id();
        note(format!("client: request {id}, try {}, asks for {}", request.txn, request.item));
        client.write(&request.encode(id));
    }
    pause_ms(500);
    if dispatcher.has_exited() || client.has_ended.load(SeqCst) {
        could_not_run("the dispatcher or the client's connection has ended");
    }
    let told_at = match log.broke_at() {
        Some(at) => at + TOLD_AFTER_BREAK_MS * 1000,
        None => {
            purge.and_then(|number| log.told_at(number)).unwrap_or_else(|| could_not_run("no purge was told"))
        }
    };
    let is_broken = judge(&world.lock().unwrap(), told_at);
    verdict(dispatcher, is_broken)
}

/// Rule 5: nothing sent later than the grace after the purge counts as told is answered from a copy older than it.
fn judge(world: &World, told_at: u64) -> bool {
    let binds_at = told_at + (GRACE_MS + SLACK_MS) * 1000;
    note_at(told_at, "the purge counts as told");
    note_at(binds_at, "the rule binds from here on");
    let bound: Vec<&Served> = world.served.iter().filter(|served| served.sent_at > binds_at).collect();
    let is_broken = |served: &&&Served| world.is_older_than_purge(&served.item, served.born_ms);
    let broken: Vec<&&Served> = bound.iter().filter(is_broken).collect();
    for served in broken.iter().take(5) {
        say(format!(
            "BROKEN: {} answered for {} from a copy {} ms older than the purge, sent {} ms after that counted as told, oldest={:?}",
            served.host,
            served.item,
            world.purged_at_ms.unwrap_or(0) - served.born_ms,
            (served.sent_at - told_at) / 1000,
            served.oldest
        ));
    }
    let concerned =
        bound.iter().filter(|served| world.families.get(&served.item) == Some(&PURGED_FAMILY)).count();
    say(format!(
        "{} attempts served, {} sent once the rule bound, {concerned} of them for what was purged; {} from older copies",
        world.served.len(),
        bound.len(),
        broken.len()
    ));
    if concerned == 0 {
        could_not_run("nothing that was purged was asked for once the rule bound");
    }
    !broken.is_empty()
}
