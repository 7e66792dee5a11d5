//! Reads that may not run twice, behind full fills and a slow origin. Some misses are answered a second time some
//! milliseconds later.
use bed::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const SEED: u64 = 3;
const SECONDS: u64 = 30;
const VISITS_PER_S: u64 = 150;
const OBJECTS: u64 = 4_000;
const DEADLINE_MS: u64 = 2_500;
const TRIES: u32 = 3;
/// At most 32 requests may be open on a connection; some room is left for second tries.
const MAX_OPEN: usize = 20;
/// Between a refusal and the client's next try.
const RETRY_AFTER_MS: f64 = 100.0;
/// How long a host takes for a copy of its own, for a miss, and with a copy of a parent and of the origin.
const HIT_MS: f64 = 30.0;
const MISS_MS: f64 = 15.0;
const FETCH_MS: f64 = 100.0;
const ORIGIN_MS: f64 = 150.0;
/// The origin runs slower for some time, by up to 5.6 times for up to 17 s: 53 ms of its own and the rest of the way.
const SLOW_ORIGIN_MS: f64 = 450.0;
const SLOW_FROM_S: u64 = 5;
const SLOW_FOR_S: u64 = 17;
/// The part of the misses that is answered a second time, and how much later.
const SECOND_SHARE: f64 = 0.5;
const SECOND_AFTER_MS: (f64, f64) = (4.0, 14.0);

#[derive(Clone, Copy, PartialEq)]
enum End {
    Ran,
    NotRun,
    GivenUp,
}

/// An attempt as its host sees it.
struct Attempt {
    host: String,
    connection: u64,
    came_at: u64,
    end: Option<(u64, End)>,
}

struct World {
    random: Random,
    started_at: u64,
    /// Objects by the host that holds them.
    held: BTreeSet<(String, String)>,
    /// The attempts of each try, in the order in which they came.
    attempts: BTreeMap<String, Vec<Shared<Attempt>>>,
    second_answers: u64,
}

impl World {
    /// The answer's word, its note and how long it takes.
    fn look(&self, host: &str, want: &Want) -> (&'static str, &'static str, f64) {
        let (item, _) = want.copy_id();
        let holds = |host: &str| self.held.contains(&(host.to_owned(), item.clone()));
        let source = want.field("from");
        match source {
            _ if holds(host) => ("DONE", "cached", HIT_MS),
            "" => ("LACK", "", MISS_MS),
            _ if holds(source) => ("DONE", "fetched", FETCH_MS),
            _ if want.field("mode").contains("only-if-cached") => ("LACK", "up_empty", 2.0 * MISS_MS),
            _ => ("DONE", "fetched_root", self.origin_ms()),
        }
    }

    fn origin_ms(&self) -> f64 {
        let second = unix_us().saturating_sub(self.started_at) / 1_000_000;
        match (SLOW_FROM_S..SLOW_FROM_S + SLOW_FOR_S).contains(&second) {
            true => SLOW_ORIGIN_MS,
            false => ORIGIN_MS,
        }
    }
}

struct Host(Shared<World>);

impl HostLogic for Host {
    fn want(&self, writer: &HostWriter, want: Want) {
        let mut world = self.0.lock().unwrap();
        let (word, how, ms) = world.look(&writer.host, &want);
        let attempt = shared(Attempt {
            host: writer.host.to_string(),
            connection: writer.connection,
            came_at: want.whole_at,
            end: None,
        });
        world.attempts.entry(want.id.clone()).or_default().push(attempt.clone());
        let is_second = word == "LACK" && world.random.unit() < SECOND_SHARE && has_trouble();
        let (least, most) = SECOND_AFTER_MS;
        let second_after = least + (most - least) * world.random.unit();
        world.second_answers += u64::from(is_second);
        let second =
            if is_second { format!(", a second time {second_after:.1} ms later") } else { String::new() };
        let (source, mode) = (want.field("from"), want.field("mode"));
        note_at(
            want.whole_at,
            format!(
                "{} connection {}: try {} from={source} mode={mode}: {word} {how} in {ms} ms{second}",
                writer.host, writer.connection, want.id
            ),
        );
        let (own, writer) = (self.0.clone(), writer.clone());
        drop(world);
        later(ms, move || {
            if attempt.lock().unwrap().end.is_some() {
                return;
            }
            let mut fields = format!("note={}", if how.is_empty() { "-" } else { how });
            if word == "DONE" {
                fields += &format!(",ver=4be0c192,born={}", unix_ms());
                let (item, _) = want.copy_id();
                own.lock().unwrap().held.insert((writer.host.to_string(), item));
            }
            let body: &[u8] = if word == "DONE" { b"copy" } else { b"" };
            let end = if word == "DONE" { End::Ran } else { End::NotRun };
            attempt.lock().unwrap().end = Some((unix_us(), end));
            writer.answer(&want.id, word, &fields, body);
            if is_second {
                later(second_after, move || writer.answer(&want.id, word, &fields, body));
            }
        });
    }

    fn never_mind(&self, writer: &HostWriter, id: &str) {
        note(format!("{} connection {}: never_mind {id}", writer.host, writer.connection));
        let world = self.0.lock().unwrap();
        for attempt in world.attempts.get(id).into_iter().flatten() {
            let mut attempt = attempt.lock().unwrap();
            if attempt.host == *writer.host
                && attempt.connection == writer.connection
                && attempt.end.is_none()
            {
                attempt.end = Some((unix_us(), End::GivenUp));
            }
        }
    }
}

/// One try of a client's request.
struct Try {
    number: usize,
    request: Request,
    tries_left: u32,
    give_up_at: u64,
    answer: Option<(Answer, u64)>,
}

struct Clients {
    dispatcher: std::net::SocketAddr,
    /// The connection that takes new requests, and its number.
    client: Shared<Option<(u32, Arc<Client>)>>,
    /// Tries without an answer, by connection and id.
    open: Shared<BTreeMap<(u32, u32), Try>>,
    done: Shared<Vec<Try>>,
    random: Shared<Random>,
}

impl Clients {
    /// Opens a connection if there is none, or if the present one has as many open requests as it may have.
    fn connect_if_needed(self: &Arc<Clients>) {
        let last = self.client.lock().unwrap().as_ref().map(|(number, _)| *number);
        let open = |number| self.open.lock().unwrap().range((number, 0)..(number + 1, 0)).count();
        if last.is_some_and(|number| open(number) < MAX_OPEN) {
            return;
        }
        let (own, number) = (self.clone(), last.map_or(0, |number| number + 1));
        let on_answer = move |id, answer: Answer, at| own.answered((number, id), answer, at);
        let client = Client::connect(self.dispatcher, Box::new(on_answer));
        let Ok(client) = client else { could_not_run("no connection to the dispatcher") };
        *self.client.lock().unwrap() = Some((number, Arc::new(client)));
    }

    fn send(&self, number: usize, item: String, tries_left: u32, give_up_at: u64) {
        let Some((connection, client)) = self.client.lock().unwrap().clone() else { return };
        let txn = self.random.lock().unwrap().hex16();
        let limit_ms = give_up_at.saturating_sub(unix_us()) / 1000;
        let class = "product-photo".into();
        let request = Request { class, txn, limit_ms, item, family: 1, ..Request::default() };
        let id = client.take_id();
        let bytes = request.encode(id);
        note(format!("client: request {number}, try {}", request.txn));
        let one = Try { number, request, tries_left, give_up_at, answer: None };
        self.open.lock().unwrap().insert((connection, id), one);
        client.write(&bytes);
    }

    fn answered(self: &Arc<Clients>, id: (u32, u32), answer: Answer, at: u64) {
        let Some(mut one) = self.open.lock().unwrap().remove(&id) else { return };
        note_at(at, format!("client: request {}, try {}: {}", one.number, one.request.txn, answer.word()));
        let tries_again = answer == Answer::Refused && one.tries_left > 0;
        let has_time = unix_us() + 500_000 < one.give_up_at;
        let (number, item) = (one.number, one.request.item.clone());
        let (tries_left, give_up_at) = (one.tries_left, one.give_up_at);
        one.answer = Some((answer, at));
        self.done.lock().unwrap().push(one);
        if tries_again && has_time {
            let own = self.clone();
            later(RETRY_AFTER_MS, move || own.send(number, item, tries_left - 1, give_up_at));
        }
    }
}

fn main() {
    let temporary = folders();
    let mut random = Random(SEED);
    let items: Vec<String> = (0..OBJECTS).map(|_| random.hex16()).collect();
    let mut held = BTreeSet::new();
    for item in &items {
        // Parents have half of the objects, caches the few most popular ones.
        if random.unit() < 0.5 {
            held.extend(["p1", "p2"].map(|parent| (parent.to_owned(), item.clone())));
        }
    }
    for item in &items[..100] {
        held.extend(["c1", "c2", "c3"].map(|cache| (cache.to_owned(), item.clone())));
    }
    let (attempts, second_answers) = Default::default();
    let world =
        shared(World { random: Random(SEED + 1), started_at: unix_us(), held, attempts, second_answers });
    let hosts = Hosts::start(Arc::new(Host(world.clone())));
    let log = ChangeLog::start();
    log.add(hosts.list(), 0);
    let settings = settings(&Deployment { photo_effect: "at_most_once", link_kb_per_s: 44_412.0 });
    let mut dispatcher =
        Dispatcher::start(&temporary, &Config { memory_mb: 192, sockets: 1024, log: &log, settings });

    let clients = Arc::new(Clients {
        dispatcher: dispatcher.address,
        client: shared(None),
        open: shared(BTreeMap::new()),
        done: shared(Vec::new()),
        random: shared(Random(SEED + 2)),
    });
    let start = unix_us();
    for number in 0..SECONDS * VISITS_PER_S {
        sleep_until(start + number * 1_000_000 / VISITS_PER_S);
        clients.connect_if_needed();
        // Cubed, so that some objects are much more popular than others.
        let index = (OBJECTS as f64 * random.unit().powi(3)) as usize;
        clients.send(number as usize, items[index].clone(), TRIES - 1, unix_us() + DEADLINE_MS * 1000);
    }
    pause_ms(DEADLINE_MS + 500);
    if dispatcher.has_exited() {
        could_not_run("the dispatcher has ended");
    }
    let is_broken = judge(&world.lock().unwrap(), &clients.done.lock().unwrap());
    verdict(dispatcher, is_broken)
}

fn ran(attempt: &Shared<Attempt>) -> bool {
    attempt.lock().unwrap().end.is_some_and(|(_, end)| end == End::Ran)
}

/// Whether an attempt had come and had no end at a time, or had run.
fn may_have_run(attempt: &Shared<Attempt>, at: u64) -> bool {
    let attempt = attempt.lock().unwrap();
    attempt.came_at < at && attempt.end.is_none_or(|(ended_at, end)| end == End::Ran || ended_at > at)
}

/// Rule 2 for a class that may not run twice: no further hand-off and no refusal unless every earlier hand-off is known
/// not to have run. Only hand-offs that did run count.
fn judge(world: &World, tries: &[Try]) -> bool {
    let none = Vec::new();
    let (mut refused, mut sent_again) = (0, 0);
    let mut runs: BTreeMap<usize, usize> = BTreeMap::new();
    for one in tries {
        let Some((answer, at)) = &one.answer else { continue };
        let attempts = world.attempts.get(&one.request.txn).unwrap_or(&none);
        *runs.entry(one.number).or_default() += attempts.iter().filter(|attempt| ran(attempt)).count();
        if *answer == Answer::Refused
            && attempts.iter().any(|attempt| ran(attempt) && may_have_run(attempt, *at))
        {
            refused += 1;
            if refused <= 5 {
                say(format!("BROKEN: request {} try {}: refused, and it ran", one.number, one.request.txn));
            }
        }
        for (index, attempt) in attempts.iter().enumerate() {
            let came_at = attempt.lock().unwrap().came_at;
            if attempts[..index].iter().any(|earlier| ran(earlier) && may_have_run(earlier, came_at)) {
                sent_again += 1;
                if sent_again <= 5 {
                    let (number, txn) = (one.number, &one.request.txn);
                    say(format!(
                        "BROKEN: request {number} try {txn}: handed off again, and the earlier one ran"
                    ));
                }
            }
        }
    }
    let twice = runs.values().filter(|runs| **runs > 1).count();
    let count = |wanted: fn(&Answer) -> bool| {
        tries.iter().filter(|one| one.answer.as_ref().is_some_and(|(answer, _)| wanted(answer))).count()
    };
    say(format!(
        "{} requests, {} tries answered: {} served, {} refused; {} second answers by hosts",
        SECONDS * VISITS_PER_S,
        tries.len(),
        count(|answer| matches!(answer, Answer::Served(_))),
        count(|answer| *answer == Answer::Refused),
        world.second_answers
    ));
    say(format!(
        "refused although they ran: {refused}; handed off again although an earlier one ran: {sent_again}; requests that ran twice or more: {twice}"
    ));
    refused + sent_again > 0
}
