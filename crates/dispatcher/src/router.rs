//! The module's actor, the only owner of the module, of open visits and of hand-offs: turns messages into
//! calls, pulls decisions, and sends them out. It decides nothing itself.
use crate::attempt_log::{AttemptLog, EndedAttempt};
use crate::bounds::{Gauge, Held, Room};
use crate::change_clock::ChangeClock;
use crate::changes::TOLD_AT_LATEST;
use crate::clients::{Front, Outlet, Stage, ToClient, PIECE};
use crate::clock;
use crate::config::Config;
use crate::hosts::Hosts;
use crate::ids::{ClientId, HandOffId, HostNo, ProbeNo, Txn};
use crate::inbox::{Change, FromClient, FromHost, Input, Listed};
use crate::keeping::{Keeper, Replayed};
use crate::letters::{HandOff, Mailbox, ToHost, Way};
use crate::line::Code;
use crate::list::{Applied, Clocks, List};
use crate::mailbox;
use crate::msgpack::{self, Asked, Parts};
use crate::resp::Answer;
use crate::sharing::Sharing;
use crate::spent::Spent;
use crate::wanted::Wanted;
use bytes::Bytes;
use cherrypass::brain::Brain;
use cherrypass::calls::*;
use cherrypass::containers::DueTimes;
use cherrypass::ids::*;
use cherrypass::settings::Effect;
use cherrypass::time::{Span, Time, UnixTime};
use cherrypass_keep::purges::Purge;
use cherrypass_keep::visits::{Before, MayHaveRun, Taken};
use crossbeam_channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The most visits that a client may have open on one connection.
const OPEN_MOST: usize = 32;
/// And the most answers that it may leave unread.
const UNREAD_MOST: usize = 4 * OPEN_MOST;
/// By so much a limit may pass its band's deadline, for the way and for rounding.
const LIMIT_SLACK: Span = Span::millis(50);
const SWEEP: Span = Span::millis(250);
/// A wait that ends so much late means that the process stood still; so long it hears the change log at the most then.
const STOOD_STILL: Span = Span::millis(500);
const CATCH_UP_MOST: Span = Span::millis(150);
const TOLD: u32 = 40;
/// How many messages of clients are taken before others are looked for.
const AT_ONCE: usize = 16;
/// For so long after SIGTERM requests may still come: 0.6 s by the protocol page, and as much again for the way.
const STILL_COMING: Span = Span::millis(1_000);
/// After SIGTERM it may be killed no sooner than the longest deadline, counted as so much at most, and 0.7 s.
const KILLED_MOST: Span = Span::millis(3_000);
const LAST_ANSWERS: Span = Span::millis(400);
const LAST_WRITES: Span = Span::millis(200);
const STOP_LOOK: Span = Span::millis(20);

enum Due {
    Wake,
    Until(HandOffId),
    Connect(HandOffId),
    /// It does not begin any more.
    Latest(HandOffId),
    Probe(ProbeNo),
    Sweep,
    Leave,
}

struct Client {
    outlet: Outlet,
    open: BTreeMap<u32, VisitId>,
    /// Bytes of answers given and not written yet.
    unread: Gauge,
}

struct Open {
    client: ClientId,
    id: u32,
    band: BandId,
    asked: Asked,
    came: Time,
    read: Time,
    hand_offs: u8,
    busy: Held,
    wanted: Wanted,
}

impl Open {
    /// What names the visit in all its tries.
    fn name(&self) -> &[u8] {
        self.asked.unique.as_ref().unwrap_or(&self.asked.txn)
    }
}

struct Out {
    host: HostId,
    mailbox: Mailbox,
    decided: Time,
    sent: Time,
    read: Time,
    way: Way,
    fill: Option<Fill>,
    /// As what it ends once its host is told that no answer is wanted any more.
    stopping: Option<Outcome>,
    /// What goes out once its record is on disk.
    waits: Option<Box<HandOff>>,
}

struct Known {
    name: String,
    address: SocketAddr,
    since: Option<Time>,
    mailbox: Mailbox,
}

pub struct Router {
    config: Config,
    brain: Brain,
    /// Of hosts, the change log and signals; and of clients.
    mailboxes: [Receiver<Input>; 2],
    actors: Hosts,
    /// What open visits keep, and what answers that are not written yet do.
    kept: usize,
    unread: Gauge,
    due: DueTimes<Due>,
    clients: BTreeMap<ClientId, Client>,
    visits: BTreeMap<VisitId, Open>,
    /// The clients' own ids of open visits.
    txns: BTreeMap<Txn, ClientId>,
    hand_offs: BTreeMap<HandOffId, Out>,
    hosts: BTreeMap<HostId, Known>,
    list: List,
    /// Hosts that were asked how busy they are.
    probes: BTreeMap<ProbeNo, HostId>,
    last_probe: u64,
    next: u32,
    /// When SIGTERM came.
    stopping: Option<Time>,
    /// What the thread of clients is told of the end, and tells.
    front: Arc<Front>,
    pub spent: Arc<Spent>,
    sweeps: u32,
    done: bool,
    keeper: Option<Keeper>,
    /// Where other dispatchers are known.
    sharing: Option<Sharing>,
    attempt_log: AttemptLog,
    change_clock: ChangeClock,
    /// All that the change log had then is known.
    log_known: Time,
    log_unheard: bool,
}

impl Asked {
    /// What an open visit counts for: it may keep the whole buffer that it was read into.
    fn weight(&self) -> usize {
        self.body.len().max(PIECE)
    }
}

impl Router {
    pub fn new(
        config: Config,
        own: Sender<Input>,
        mailboxes: [Receiver<Input>; 2],
        front: Arc<Front>,
    ) -> std::io::Result<Router> {
        let now = clock::now();
        let room = Room::new(config.reach.connections, config.held);
        let brain = Brain::start(config.settings.clone(), config.seed, now);
        let mut due = DueTimes::default();
        due.put(now + SWEEP, Due::Sweep);
        let actors = Hosts::start(config.reach, room, own)?;
        let set = &config.settings;
        let list = List::new(set.cold_cache.ramp.max(set.cold_parent.ramp), set.weights_told);
        Ok(Router {
            config,
            brain,
            mailboxes,
            actors,
            kept: 0,
            unread: Gauge::default(),
            due,
            clients: BTreeMap::new(),
            visits: BTreeMap::new(),
            txns: BTreeMap::new(),
            hand_offs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            list,
            probes: BTreeMap::new(),
            last_probe: 0,
            next: 0,
            stopping: None,
            front,
            spent: Arc::default(),
            sweeps: 0,
            done: false,
            keeper: None,
            sharing: None,
            attempt_log: AttemptLog::default(),
            change_clock: ChangeClock::default(),
            log_known: now,
            log_unheard: false,
        })
    }

    /// From here on what must last is kept, and the module hears of what was known before.
    pub fn keep(&mut self, (keeper, replayed): (Keeper, Replayed)) {
        let now = clock::now();
        match replayed {
            Replayed::Purges(purges) => {
                purges.iter().for_each(|purge| self.change_clock.heard(now, purge.at));
                purges.iter().for_each(|purge| self.purged(now, purge));
            }
            Replayed::Unknown { groups } => {
                (0..groups).for_each(|group| self.brain.purged(now, GroupId(group), None, Span::ZERO));
            }
        }
        self.keeper = Some(keeper);
    }

    /// The changes that are known at the start, each of which may date the others.
    pub fn known(&mut self, changes: Vec<Change>) {
        changes.iter().for_each(|change| self.hear_stamps(change));
        changes.into_iter().for_each(|change| self.changed(change));
    }

    /// The clock of the change log goes by all that it says of times.
    fn hear_stamps(&mut self, change: &Change) {
        let now = clock::now();
        match change {
            Change::Purge(purge) => self.change_clock.heard(now, purge.at),
            Change::List { hosts, .. } => {
                let started = hosts.iter().filter_map(|host| host.started);
                started.for_each(|started| self.change_clock.heard(now, started));
            }
        }
    }

    /// From here on limits and what is found of hosts are shared.
    pub fn share(&mut self, mut sharing: Sharing) {
        sharing.begin(&mut self.brain);
        self.sharing = Some(sharing);
    }

    fn purged(&mut self, now: Time, purge: &Purge) {
        if let Some(keeper) = &self.keeper {
            keeper.purged(purge);
        }
        // Not by the wall clock: one that is ahead would have older copies served.
        let age = self.change_clock.age(now, purge.at);
        match purge.object {
            Some(object) => {
                tracing::info!(
                    change = purge.change,
                    "purge: object {:016x}, heard {} ms after it",
                    object.0,
                    age.0 / 1000
                )
            }
            None => tracing::info!(
                change = purge.change,
                "purge: group {}, heard {} ms after it",
                purge.group.0,
                age.0 / 1000
            ),
        }
        self.brain.purged(now, purge.group, purge.object, age);
        let visits = &self.visits;
        let asks = |id: &HandOffId| {
            let asked = visits.get(&id.0).map(|open| &open.asked);
            asked.is_some_and(|asked| match purge.object {
                Some(object) => asked.object == object,
                None => asked.group == purge.group,
            })
        };
        let stale = self.hand_offs.iter().filter(|(id, out)| out.fill.is_some() && asks(id));
        self.decide_anew(stale.map(|(id, _)| *id).collect());
    }

    /// Runs until the process is to end.
    pub fn run(&mut self) {
        self.pull();
        while !self.done {
            let now = clock::now();
            let wait = clock::duration(self.due.first().map_or(SWEEP, |at| at - now));
            let wait = self.sharing.as_ref().map_or(wait, |sharing| wait.min(sharing.wait()));
            let input = mailbox::next_within(&self.mailboxes, wait);
            if clock::now() > now + Span(wait.as_micros() as u64) + STOOD_STILL {
                self.catch_up();
            }
            if let Some(input) = input {
                self.take(input);
                self.pull();
            }
            // What has come meanwhile is taken together, of clients a part at a time; neither due times nor what
            // hosts tell wait for a full mailbox.
            for (place, most) in [(0, usize::MAX), (1, AT_ONCE)] {
                let waiting = self.mailboxes[place].len().min(most);
                for _ in 0..waiting {
                    let Ok(input) = self.mailboxes[place].try_recv() else { break };
                    self.take(input);
                    self.pull();
                }
            }
            self.fire();
            if let Some(sharing) = self.sharing.as_mut().filter(|sharing| sharing.wait().is_zero()) {
                sharing.round(&mut self.brain);
            }
            self.pull();
        }
    }

    /// The process has stood still: what the change log told meanwhile is heard before anything is sent again. Guards rules 3
    /// and 5 against requests that waited as well and are read first; for a short time only, as their deadlines run.
    fn catch_up(&mut self) {
        let since = clock::now();
        let until = since + CATCH_UP_MOST;
        tracing::warn!("stood still: what the change log told is heard first");
        loop {
            let now = clock::now();
            if now >= until
                || self.log_known >= since
                || self.sharing.as_ref().is_some_and(Sharing::has_carriers)
            {
                return;
            }
            // Of hosts, the change log and signals; clients wait.
            if let Ok(input) = self.mailboxes[0].recv_timeout(clock::duration(until - now)) {
                self.take(input);
            }
        }
    }

    fn fire(&mut self) {
        let now = clock::now();
        while let Some(at) = self.due.first().filter(|at| *at <= now) {
            let Some(due) = self.due.pop(now) else { return };
            self.spent.timers.push(now - at);
            match due {
                Due::Wake => self.brain.woken(clock::now()),
                Due::Until(id) => {
                    // The visit's time is over: nothing follows on this that could be a second copy.
                    self.stop(id, Outcome::TimedOut);
                    if let Some(outcome) = self.hand_offs.get(&id).and_then(|out| out.stopping) {
                        self.ended(id, outcome, None, now);
                    }
                }
                Due::Connect(id) => {
                    if let Some(out) = self.hand_offs.get(&id).filter(|out| out.way.written_at().is_none()) {
                        let _ = out.mailbox.send(ToHost::ConnectLimit(id));
                    }
                }
                Due::Latest(id) => self.not_begun(id),
                Due::Probe(number) => self.probed(number, Report::default()),
                Due::Sweep => self.sweep(now),
                Due::Leave => self.leave(now),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Client(id, what) => self.heard(id, what),
            Input::HandOff(id, FromHost::GivenUp { at }) => {
                if let Some(outcome) = self.hand_offs.get(&id).and_then(|out| out.stopping) {
                    self.ended(id, outcome, None, at);
                }
            }
            Input::HandOff(id, FromHost::Ended { outcome, answer, at }) => {
                self.ended(id, outcome, answer, at)
            }
            Input::Probed(number, report) => self.probed(number, report),
            Input::Changed(change) => self.changed(change),
            Input::LogKnown(at) => {
                self.log_known = self.log_known.max(at);
                self.look_at_log();
            }
            Input::Cut(number) => self.cut(number),
            Input::Recorded(id, taken) => self.recorded(id, taken),
            Input::Fleet(what) => {
                if let Some(sharing) = &mut self.sharing {
                    sharing.take(&mut self.brain, what);
                }
            }
            Input::Stop => {
                let now = clock::now();
                if self.stopping.is_none() {
                    tracing::info!(visits = self.visits.len(), "stopping: {} visits open", self.visits.len());
                    self.stopping = Some(now);
                    self.front.go_to(Stage::Stopping);
                    self.due.put((now + STILL_COMING).min(self.last_answers(now)), Due::Leave);
                }
            }
        }
    }

    fn heard(&mut self, client: ClientId, what: FromClient) {
        match what {
            // Its end is told past the messages before it.
            FromClient::Opened { line } if line.is_ended() => {}
            FromClient::Opened { line } => {
                let outlet = Outlet::new(line);
                let (open, unread) = Default::default();
                self.clients.insert(client, Client { outlet, open, unread });
            }
            FromClient::Visit { id, asked, at, busy, wanted } => {
                if wanted.is() {
                    self.arrived(client, id, *asked, at, (busy, wanted));
                }
            }
            FromClient::Bad { id, field } => self.answer(client, msgpack::bad(id, field), None, None),
            FromClient::Status { id } => {
                let parts = msgpack::status(id, !self.hosts.is_empty());
                self.answer(client, parts, None, None);
            }
            FromClient::Withdrawn { ids } => {
                let Some(known) = self.clients.get_mut(&client) else { return };
                let gone: Vec<VisitId> = ids.iter().filter_map(|id| known.open.remove(id)).collect();
                gone.into_iter().for_each(|visit| self.left(visit));
            }
            FromClient::Ending => {
                let open = self.clients.get(&client).into_iter().flat_map(|known| known.open.values());
                open.copied().collect::<Vec<_>>().into_iter().for_each(|visit| self.brain.give_up(visit));
            }
            FromClient::Closed => {
                let Some(known) = self.clients.remove(&client) else { return };
                known.open.into_values().for_each(|visit| self.left(visit));
            }
        }
    }

    fn left(&mut self, visit: VisitId) {
        self.close(visit, false);
        self.brain.left(visit);
    }

    fn close(&mut self, visit: VisitId, settled: bool) -> Option<Open> {
        let open = self.visits.remove(&visit)?;
        if let Some(keeper) = &mut self.keeper {
            keeper.closed(visit, settled);
        }
        self.kept -= open.asked.weight();
        self.txns.remove(&Txn::of(&open.asked.txn));
        Some(open)
    }

    fn arrived(&mut self, client: ClientId, id: u32, asked: Asked, at: Time, (busy, wanted): (Held, Wanted)) {
        let Some(known) = self.clients.get_mut(&client) else { return };
        let names = &self.config.names.bands;
        let band = names.iter().position(|name| name.as_bytes() == &asked.band[..]);
        let found = band.and_then(|place| Some((place, self.config.settings.bands.get(place)?)));
        // Guards against a client that keeps to no bounds: it pays for that itself, with all that it has open.
        let txn = Txn::of(&asked.txn);
        let twin = self.txns.get(&txn);
        let breach = match twin {
            _ if known.open.len() >= OPEN_MOST => Some(Code::TooManyOpen),
            Some(twin) if *twin == client => Some(Code::IdOpen),
            _ => None,
        };
        if let Some(code) = breach {
            known.outlet.line.finish(code);
            return;
        }
        let fault = match found {
            None => Some("method"),
            // Guards against answers that could be taken for another visit's, and against hand-offs kept for ever.
            Some(_) if twin.is_some() => Some("txn"),
            Some((place, _)) if asked.limit > self.config.limits[place] + LIMIT_SLACK => Some("limit"),
            Some((_, band))
                if matches!(band.effect, Effect::Deduplicated { .. }) && asked.unique.is_none() =>
            {
                Some("unique")
            }
            Some((_, band)) if !band.writes && !asked.body.is_empty() => Some("body"),
            Some(_) => None,
        };
        let Some((band, _)) = found.filter(|_| fault.is_none()) else {
            self.answer(client, msgpack::bad(id, fault.unwrap_or("method")), None, None);
            return;
        };
        if self.kept + asked.weight() > self.config.kept {
            self.sharing.iter_mut().for_each(Sharing::turned_back);
            self.answer(client, msgpack::turned_back(id, Span::ZERO), None, Some(busy));
            return;
        }
        self.kept += asked.weight();
        let visit = VisitId(self.next);
        self.next = self.next.wrapping_add(1);
        known.open.insert(id, visit);
        self.txns.insert(txn, client);
        let call = Visit {
            id: visit,
            band: BandId(band as u16),
            object: asked.object,
            group: asked.group,
            part: asked.block,
            kilobytes: None,
            deadline: at + asked.limit,
        };
        let open = Open {
            client,
            id,
            band: BandId(band as u16),
            asked,
            came: at,
            read: at,
            hand_offs: 0,
            busy,
            wanted,
        };
        let before =
            self.keeper.as_ref().and_then(|keeper| keeper.visits.arrived(clock::unix_at(at), open.name()));
        self.visits.insert(visit, open);
        self.spent.open_most.fetch_max(self.visits.len(), Relaxed);
        self.spent.mailbox.push(clock::now() - at);
        self.brain.arrived(at, call);
        if let Some((sent, host)) = before {
            self.brain.ran_before(visit, clock::time_of(sent), host);
        }
    }

    fn answer(&mut self, client: ClientId, parts: Parts, from: Option<(Time, Held)>, busy: Option<Held>) {
        let Some(known) = self.clients.get_mut(&client) else { return };
        let (answered, held) = from.unzip();
        let mut answer = ToClient { parts, answered, held, unread: None, busy };
        let weight = answer.weight();
        answer.unread = Some([known.unread.hold(weight), self.unread.hold(weight)]);
        let all = self.unread.amount();
        self.spent.unread_most.fetch_max(all, Relaxed);
        known.outlet.send(answer, &self.spent);
        // Guards against clients that don't read: past the bounds the one that owes most pays for it alone.
        if known.outlet.waiting() > UNREAD_MOST {
            known.outlet.line.finish(Code::SlowReader);
        }
        if all > self.config.unread {
            if let Some(worst) = self.clients.values().max_by_key(|client| client.unread.amount()) {
                worst.outlet.line.finish(Code::SlowReader);
            }
        }
    }

    /// The final answer of a visit, unless it has left.
    fn finish(&mut self, visit: VisitId, parts: impl FnOnce(u32) -> Parts, from: Option<(Time, Held)>) {
        let Some(open) = self.close(visit, from.is_some()) else { return };
        if let (Some(sharing), Some((at, _))) = (&mut self.sharing, &from) {
            sharing.settled(&self.brain, open.band, *at - open.came);
        }
        if let Some(known) = self.clients.get_mut(&open.client) {
            known.open.remove(&open.id);
        }
        self.answer(open.client, parts(open.id), from, Some(open.busy));
    }

    fn ended(&mut self, id: HandOffId, outcome: Outcome, answer: Option<(Answer, Held)>, at: Time) {
        let Some(out) = self.hand_offs.remove(&id) else { return };
        if let Some(written) = out.way.written_at() {
            self.spent.inward.push(written - out.read);
        }
        let HandOffId(visit, number) = id;
        let open = self.visits.get(&visit);
        self.attempt_log.ended(&EndedAttempt {
            id,
            request: open.map(|open| &open.asked.txn[..]),
            host: self.hosts.get(&out.host).map_or("a host that has gone", |known| &known.name),
            came: open.map(|open| (open.came, open.asked.limit)),
            decided: out.decided,
            written: out.way.written_at(),
            ended: at,
            outcome,
            fill: out.fill,
        });
        if let Some(keeper) = &mut self.keeper {
            keeper.visits.ended(visit, outcome.never_ran());
        }
        let settled = outcome == Outcome::Settled;
        let end = Ended {
            visit,
            number,
            outcome,
            note: answer.as_ref().map_or(Note::Untold, |(answer, _)| answer.note),
            took: at - out.sent,
            report: answer.as_ref().map(|(answer, _)| answer.report).unwrap_or_default(),
            last: settled || !self.visits.contains_key(&visit),
        };
        if let Some((answer, held)) = answer.filter(|_| settled) {
            answer.born.into_iter().for_each(|born| self.copy_born(at, born));
            self.finish(visit, |id| msgpack::settled(id, answer.body, answer.keep), Some((at, held)));
        }
        self.brain.ended(at, end);
    }

    /// The origin's stamp on a copy tells the time as the change log's stamps do. One in the future of this machine's wall
    /// clock is not taken: a host may spoil its answers.
    fn copy_born(&mut self, now: Time, born: UnixTime) {
        if born <= clock::wall() {
            self.change_clock.heard(now, born);
        }
    }

    /// Calls a hand-off off; what may still come of it is dropped. It ends for the module once its host is
    /// told: guards against a next hand-off that overtakes the call-off on its way, and so is a second copy.
    fn stop(&mut self, id: HandOffId, outcome: Outcome) {
        let Some(out) = self.hand_offs.get_mut(&id).filter(|out| out.stopping.is_none()) else { return };
        let off = out.way.call_off();
        let _ = out.mailbox.send(ToHost::NeverMind(id));
        if off {
            let never_ran = if outcome == Outcome::TimedOut { Outcome::Moot } else { outcome };
            self.ended(id, never_ran, None, clock::now());
        } else {
            out.stopping = Some(outcome);
        }
    }

    /// What has not begun to go out by now never does, by no fault of its host: guards against attempts that wait for
    /// connections and come together once these are up.
    fn not_begun(&mut self, id: HandOffId) {
        if let Some(out) = self.hand_offs.get(&id).filter(|out| out.way.call_off()) {
            let _ = out.mailbox.send(ToHost::NeverMind(id));
            self.ended(id, Outcome::Moot, None, clock::now());
        }
    }

    fn pull(&mut self) {
        let now = clock::now();
        while let Some(decision) = self.brain.next(now) {
            match decision {
                Decision::HandOff { visit, host, until, latest, fill } => {
                    self.hand_off(now, visit, host, [until, latest], fill)
                }
                Decision::Cancel { visit, number } => self.stop(HandOffId(visit, number), Outcome::Cancelled),
                Decision::TurnBack { visit, retry_after } => {
                    self.sharing.iter_mut().for_each(Sharing::turned_back);
                    self.finish(visit, |id| msgpack::turned_back(id, retry_after), None);
                }
                Decision::WriteOff { visit } => {
                    self.sharing.iter_mut().for_each(Sharing::written_off);
                    self.finish(visit, msgpack::written_off, None);
                }
                Decision::Wake { after } => self.due.put(now + after, Due::Wake),
                Decision::Probe { host } => self.probe(now, host),
                Decision::Log(line) => tracing::info!("module: {line}"),
            }
        }
    }

    fn probe(&mut self, now: Time, host: HostId) {
        let Some(known) = self.hosts.get(&host) else { return };
        self.last_probe += 1;
        let number = ProbeNo(self.last_probe);
        let _ = known.mailbox.send(ToHost::Probe(number));
        self.probes.insert(number, host);
        self.due.put(now + self.config.reach.connect_limit, Due::Probe(number));
    }

    /// What a host told, or nothing within the time for a connection to come up.
    fn probed(&mut self, number: ProbeNo, report: Report) {
        if let Some(host) = self.probes.remove(&number) {
            self.brain.probed(clock::now(), host, report);
        }
    }

    fn hand_off(
        &mut self,
        now: Time,
        visit: VisitId,
        host: HostId,
        [until, latest]: [Time; 2],
        fill: Option<Fill>,
    ) {
        let Some(open) = self.visits.get_mut(&visit) else { return };
        self.sharing.iter_mut().for_each(Sharing::handed_off);
        let id = HandOffId(visit, HandOffNo(open.hand_offs));
        open.hand_offs = open.hand_offs.saturating_add(1);
        if !open.wanted.is() {
            self.close(visit, false);
            self.brain.ended(now, Ended { last: true, ..never_sent(id, Outcome::Moot) });
            return;
        }
        let read = std::mem::replace(&mut open.read, now);
        let asked = &open.asked;
        let writes = self.config.settings.bands.get(usize::from(open.band.0)).is_some_and(|band| band.writes);
        let source = fill.filter(|fill| fill.source != host).and_then(|fill| self.hosts.get(&fill.source));
        let hand_off = HandOff {
            id,
            txn: asked.txn.clone(),
            fields: fields(asked, fill, source.map(|known| &known.name[..])),
            body: asked.body.clone(),
            seen: asked.cached.clone(),
            copy: fill.is_some() && !writes,
            fills: source.is_some() && fill.is_some_and(|fill| !fill.held),
            until,
            latest,
            wanted: open.wanted.clone(),
            way: Way::default(),
        };
        let way = hand_off.way.clone();
        let Some((mailbox, host_name)) =
            self.hosts.get(&host).map(|known| (known.mailbox.clone(), &known.name))
        else {
            self.brain.ended(now, never_sent(id, Outcome::ConnectFailed));
            return;
        };
        let mut record = None;
        if let Some(keeper) = self.keeper.as_mut().filter(|keeper| keeper.records_hand_offs()) {
            let effect = self.config.settings.bands.get(usize::from(open.band.0)).map(|band| band.effect);
            let told = MayHaveRun {
                band: String::from_utf8_lossy(&open.asked.band).into_owned(),
                at: clock::unix_at(now).0,
                host: host.0,
                host_name: host_name.clone(),
                memory: None,
            };
            let effect = effect.unwrap_or(Effect::Idempotent);
            if let Before::Record(found) = keeper.visits.hand_off(visit, open.name(), effect, told) {
                keeper.record(id, found);
                record = Some(Box::new(hand_off.clone()));
            }
        }
        let waits = record.is_some();
        self.hand_offs.insert(
            id,
            Out { host, mailbox, decided: now, sent: now, read, way, fill, stopping: None, waits: record },
        );
        self.due.put(until, Due::Until(id));
        if latest < until {
            self.due.put(latest, Due::Latest(id));
        }
        if !waits {
            self.send(id, hand_off, now);
        }
    }

    /// A hand-off goes to its host; its time counts from then. Without a record that is the round's own time: guards
    /// against a stall of this process that looks like a host's faster answers before it.
    fn send(&mut self, id: HandOffId, hand_off: HandOff, at: Time) {
        let Some(out) = self.hand_offs.get_mut(&id) else { return };
        if out.mailbox.send(ToHost::HandOff(hand_off)) {
            out.sent = at;
            self.due.put(at + self.config.reach.connect_limit, Due::Connect(id));
        } else {
            self.ended(id, Outcome::ConnectFailed, None, clock::now());
        }
    }

    /// A hand-off's record is on disk, or it was refused. One that was called off meanwhile is not there any more.
    fn recorded(&mut self, id: HandOffId, taken: Taken) {
        let Some(keeper) = &mut self.keeper else { return };
        let may_go = keeper.visits.taken(id.0, taken);
        let Some(hand_off) = self.hand_offs.get_mut(&id).and_then(|out| out.waits.take()) else { return };
        if may_go {
            self.send(id, *hand_off, clock::now());
        } else {
            // Not the host's fault, and another would be refused alike: the visit is given up at once.
            self.ended(id, Outcome::Moot, None, clock::now());
            self.brain.give_up(id.0);
        }
    }

    /// A host that was listed anew meanwhile has another number.
    fn cut(&mut self, number: HostNo) {
        let known = self.hosts.iter().find(|(_, known)| known.mailbox.number == number);
        let Some((&id, known)) = known else { return };
        let name = &known.name[..];
        tracing::info!(host = name, "host {:x} is {name}: its connections ended, it may be new", id.0);
        self.brain.cut(clock::now(), id);
    }

    pub fn changed(&mut self, change: Change) {
        self.hear_stamps(&change);
        let now = clock::now();
        match change {
            Change::List { whole, hosts } => self.relisted(now, hosts, whole),
            Change::Purge(purge) => self.purged(now, &purge),
        }
    }

    fn relisted(&mut self, now: Time, told: Vec<Listed>, whole: bool) {
        let clocks = Clocks { now, wall: clock::wall(), change_clock: &self.change_clock };
        let Applied { hosts, lost, faults } = self.list.apply(&clocks, told, whole);
        for (name, fault) in faults {
            tracing::warn!(host = &name[..], "list: host {name}: {fault}");
        }
        let started: BTreeMap<HostId, Option<UnixTime>> =
            hosts.iter().map(|host| (host.listing.host, host.started)).collect();
        let entries: Vec<Listing> =
            hosts.iter().map(|host| host.listing).chain(lost.iter().copied()).collect();
        let kept: BTreeSet<HostId> = hosts.iter().map(|host| host.listing.host).collect();
        let missing = self.hosts.keys().filter(|id| whole && !kept.contains(id)).copied();
        let gone: Vec<HostId> = missing.chain(lost.iter().map(|lost| lost.host)).collect();
        let void = self.void_sources(&entries, &gone);
        gone.into_iter().for_each(|id| self.retire(id));
        hosts.into_iter().for_each(|host| self.listed(host));
        self.brain.listed(now, &entries, whole);
        let fills = |out: &Out| out.fill.is_some_and(|fill| void.contains(&fill.source));
        let stale = self.hand_offs.iter().filter(|(_, out)| fills(out));
        self.decide_anew(stale.map(|(id, _)| *id).collect());
        if let Some(sharing) = &mut self.sharing {
            for entry in &entries {
                sharing.listed(&mut self.brain, entry, started.get(&entry.host).copied().flatten());
            }
        }
    }

    /// Hosts that are no longer what they were when they were chosen to fill from: they leave, or a later start tells
    /// that the process is another one.
    fn void_sources(&self, entries: &[Listing], gone: &[HostId]) -> BTreeSet<HostId> {
        let is_new =
            |entry: &Listing| self.hosts.get(&entry.host).is_some_and(|known| known.since < entry.since);
        let void = entries.iter().filter(|entry| entry.phase != Phase::Ready || is_new(entry));
        void.map(|entry| entry.host).chain(gone.iter().copied()).collect()
    }

    /// Of these hand-offs what has not begun to go out never does, and is nobody's fault: guards against one that goes
    /// out as it was decided before what was told since, of a purge or of its source.
    fn decide_anew(&mut self, stale: Vec<HandOffId>) {
        for id in stale {
            let Some(out) = self.hand_offs.get(&id).filter(|out| out.way.call_off()) else { continue };
            let _ = out.mailbox.send(ToHost::NeverMind(id));
            self.ended(id, Outcome::Unsent, None, clock::now());
        }
    }

    /// Nothing is kept for a host that has gone; its actor ends by itself once nothing is out there.
    fn retire(&mut self, id: HostId) {
        if let Some(known) = self.hosts.remove(&id) {
            self.sharing.iter_mut().for_each(|sharing| sharing.unlisted(id, true));
            let _ = known.mailbox.send(ToHost::Retire);
        }
    }

    fn listed(&mut self, host: Listed) {
        let Listed { listing, name, address, .. } = host;
        let (id, since) = (listing.host, listing.since);
        tracing::info!(host = &name[..], phase = ?listing.phase, "list: host {:x} is {name}, {:?}, weight {:.1}", id.0, listing.phase, listing.weight);
        let known = self.hosts.get(&id);
        let (Some(address), false) = (address, listing.phase == Phase::Gone) else {
            self.retire(id);
            return;
        };
        // A process that started anew has new connections, wherever it listens.
        if let Some(known) = known.filter(|known| known.address == address && known.since >= since) {
            let _ = known.mailbox.send(ToHost::Drains(listing.phase == Phase::Draining));
            return;
        }
        self.retire(id);
        let mailbox = self.actors.join(&name, address);
        self.hosts.insert(id, Known { name, address, since, mailbox });
    }

    fn sweep(&mut self, now: Time) {
        self.due.put(now + SWEEP, Due::Sweep);
        self.actors.sweep(now);
        self.redate(now);
        self.look_at_log();
        self.sweeps += 1;
        if self.sweeps.is_multiple_of(TOLD) {
            if let Some(keeper) = &mut self.keeper {
                keeper.sweep();
            }
            self.tell_spent();
        }
    }

    /// Guards rule 5 while the change log is not heard. Of drains that it may tell meanwhile nothing can be guarded: any host
    /// may drain, and only to send to none would be safe.
    fn look_at_log(&mut self) {
        // Changes that come by carriers are proven by the fleet.
        if self.sharing.as_ref().is_some_and(Sharing::has_carriers) {
            return;
        }
        let silent_for = clock::now() - self.log_known;
        let is_unheard = silent_for + SWEEP >= TOLD_AT_LATEST + self.config.settings.purge_grace;
        if std::mem::replace(&mut self.log_unheard, is_unheard) == is_unheard {
            return;
        }
        self.brain.unheard(is_unheard.then_some(TOLD_AT_LATEST));
        let ms = silent_for.0 / 1000;
        if is_unheard {
            // What waits to go out was decided without that bound.
            let fills = self.hand_offs.iter().filter(|(_, out)| out.fill.is_some());
            self.decide_anew(fills.map(|(id, _)| *id).collect());
            tracing::warn!(
                "changelog not heard for {ms} ms: copies are asked for that no purge since can bind"
            );
        } else {
            tracing::info!("changelog heard again: copies of any age will do but for purges that are known");
        }
    }

    fn redate(&mut self, now: Time) {
        let clocks = Clocks { now, wall: clock::wall(), change_clock: &self.change_clock };
        for (id, since) in self.list.redate(&clocks) {
            self.brain.redated(id, since);
            self.hosts.get_mut(&id).into_iter().for_each(|known| known.since = Some(since));
            self.sharing.iter_mut().for_each(|sharing| sharing.redated(id, since));
        }
    }

    fn tell_spent(&mut self) {
        let spent = &self.spent;
        tracing::info!(
            "spent: in {} out {} mailbox {} timers {}; open {} unread {} kB clients {}",
            spent.inward.line(),
            spent.outward.line(),
            spent.mailbox.line(),
            spent.timers.line(),
            spent.open_most.swap(0, Relaxed),
            spent.unread_most.swap(0, Relaxed) / 1024,
            self.clients.len()
        );
    }

    /// By then what is still open after SIGTERM is given up.
    fn last_answers(&self, now: Time) -> Time {
        self.stopping.unwrap_or(now) + self.config.longest().min(KILLED_MOST) + LAST_ANSWERS
    }

    /// Has each connection ended once nothing is owed on it, and the process once none is left; until then it serves
    /// on what comes. Guards against an end from outside: what would still be open then is given up in time to be told.
    fn leave(&mut self, now: Time) {
        self.front.go_to(Stage::Leaving);
        let unread: usize = self.clients.values().map(|client| client.outlet.waiting()).sum();
        let last = self.last_answers(now);
        if now > last {
            let open: Vec<VisitId> = self.visits.keys().copied().collect();
            open.into_iter().for_each(|visit| self.brain.give_up(visit));
            self.pull();
        }
        if self.visits.is_empty() && unread == 0 && self.front.is_empty() || now > last + LAST_WRITES {
            self.tell_spent();
            tracing::info!("stopped: {} visits open, {unread} answers unread", self.visits.len());
            self.done = true;
        } else {
            self.due.put(now + STOP_LOOK, Due::Leave);
        }
    }
}

fn never_sent(HandOffId(visit, number): HandOffId, outcome: Outcome) -> Ended {
    let (note, took) = (Note::Untold, Span::ZERO);
    Ended { visit, number, outcome, note, took, report: Report::default(), last: false }
}

/// The fields of a hand-off; the module's times become milliseconds, rounded so that no older copy will do.
fn fields(asked: &Asked, fill: Option<Fill>, source: Option<&str>) -> String {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut fields = String::with_capacity(160);
    let _ = write!(fields, "c={},k={},p={}", text(&asked.band), text(&asked.item), asked.block);
    if let Some(unique) = &asked.unique {
        let _ = write!(fields, ",i={}", text(unique));
    }
    if let Some(cached) = &asked.cached {
        let _ = write!(fields, ",seen={}", text(cached));
    }
    if let Some(fill) = fill {
        if let Some(source) = source {
            let _ = write!(fields, ",from={source}");
        }
        if fill.rank > 0 {
            let _ = write!(fields, ",rank={}", fill.rank);
        }
        if fill.oldest > Span::ZERO {
            let _ = write!(fields, ",oldest={}", (fill.oldest.0 / 1000).max(1));
        }
        let modes = [(fill.join, "collapse"), (fill.held, "only-if-cached"), (fill.renew, "refresh")];
        let modes: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !modes.is_empty() {
            let _ = write!(fields, ",mode={}", modes.join("+"));
        }
    }
    fields
}

#[cfg(test)]
mod tests;
