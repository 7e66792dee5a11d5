//! Who is there. The operators' file lists the members; this room tells how each stands, by asking some of
//! them in turn, by what others say, and by suspicions that the suspect may refute before they become a
//! verdict.
//!
//! After SWIM (Das, Gupta, Motivala 2002) with the waits of phi accrual (Hayashibara et al. 2004) and the
//! local health of Lifeguard (Dadgar, Phillips, Currey 2018). Options, bounds and figures:
//! docs/fleet-members.md.
mod links;
mod table;

use crate::common::{Incarnation, MemberId};
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, Time};
use links::Links;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use table::Table;
pub use table::{Claim, Standing};

/// More listed members than these are passed over.
pub const MOST_LISTED: usize = 4096;
/// Words in a piece of the table, and words of a message that are read.
const PIECE: usize = 256;
const MOST_READ: usize = 512;
/// Words a message carries beside what it is for.
const NEWS: usize = 24;
/// Asks for others that are out at once, asks whose answer may still come late, messages and lines that wait.
const FOR_OTHERS: usize = 256;
const LATE: usize = 64;
const MOST_READY: usize = 8192;
const MOST_LINES: usize = 64;
/// Compares of whole tables soon after a start and what else may have left many words unheard.
const COMPARE_SOON: u32 = 8;
/// A count above it is void: guards against a word that its subject could not refute any more.
const MOST_COUNT: u32 = 1 << 30;
/// Checks of suspects at one waking; the others' turn comes with the next.
const CHECKS: usize = 16;

#[derive(Clone, Debug, PartialEq)]
pub struct Set {
    /// A member asks one other each round.
    pub round: Span,
    /// Between two asks for the same answer.
    pub again: Span,
    /// The least and the most mean time of an answer that waits are made from.
    pub gap: [Span; 2],
    /// The phi of silence at which others are asked to ask, one that was asked to says it heard nothing, a
    /// member is suspected, and an ask is given up.
    pub phi: [f64; 4],
    /// How many others are asked to ask.
    pub through: usize,
    /// A suspicion's wait in rounds: so many, and so many for each doubling of the members.
    pub wait: [f64; 2],
    /// A word is told so many times for each doubling of the members.
    pub tellings: u32,
    /// A member not known to be there is asked once in so many rounds.
    pub lost_every: u64,
    /// Whole tables are compared with one other once in so many rounds.
    pub compare_every: u64,
    /// This process stood still where it was not woken for longer: silence counts anew.
    pub still: Span,
    /// How far another's incarnation may be ahead of this one's clock.
    pub ahead: Span,
}

impl Default for Set {
    fn default() -> Set {
        Set {
            round: Span::millis(250),
            again: Span::millis(100),
            gap: [Span::millis(20), Span::millis(500)],
            phi: [2.0, 4.0, 8.0, 12.0],
            through: 3,
            wait: [4.0, 1.5],
            tellings: 4,
            lost_every: 4,
            compare_every: 40,
            still: Span::millis(500),
            ahead: Span(24 * 3_600_000_000),
        }
    }
}

/// Why settings can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    #[error("a round and the time between two asks must be 10 ms to 60 s: set them within it")]
    Times,
    #[error("the least mean time of an answer must be above 0 and not above the most, that at most 10 s")]
    Gap,
    #[error("the four phis must rise from above 0 to at most 50: set them in this order")]
    Phi,
    #[error("a suspicion's wait must be 1 to 1,000 rounds, and 0 to 1,000 for each doubling: set it within")]
    Wait,
    #[error("a stand-still must be at least two of the timer's 50 ms: a lower one takes each wake for one")]
    Still,
}

impl SetError {
    pub fn code(&self) -> &'static str {
        match self {
            SetError::Times => "members-times",
            SetError::Gap => "members-gap",
            SetError::Phi => "members-phi",
            SetError::Wait => "members-wait",
            SetError::Still => "members-still",
        }
    }
}

impl Set {
    /// Settings of an operators' file pass it before they are taken.
    pub fn check(&self) -> Result<(), SetError> {
        let timely = |span: Span| (Span::millis(10)..=Span::millis(60_000)).contains(&span);
        let [base, doubling] = self.wait;
        let [first, .., last] = self.phi;
        let rules = [
            (timely(self.round) && timely(self.again), SetError::Times),
            (Span::ZERO < self.gap[0] && self.gap[0] <= self.gap[1], SetError::Gap),
            (self.gap[1] <= Span::millis(10_000), SetError::Gap),
            (first > 0.0 && last <= 50.0 && self.phi.windows(2).all(|two| two[0] < two[1]), SetError::Phi),
            ((1.0..=1e3).contains(&base) && (0.0..=1e3).contains(&doubling), SetError::Wait),
            (self.still >= Span::millis(100), SetError::Still),
        ];
        rules.into_iter().find(|(kept, _)| !kept).map_or(Ok(()), |(_, error)| Err(error))
    }
}

/// What goes between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    /// The sender's word on itself.
    pub own: Claim,
    pub body: Body,
    pub words: Vec<(MemberId, Claim)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Ask {
        number: u32,
    },
    Answer {
        number: u32,
    },
    /// Ask this member for me.
    Through {
        number: u32,
        whom: MemberId,
    },
    /// I did; it was heard or not.
    Word {
        number: u32,
        whom: MemberId,
        heard: bool,
    },
    /// What all words known to me sum up to.
    Compare {
        digest: u64,
    },
    /// Mine sum up to the same.
    Same,
    /// Mine differ: all words known to me from one id to another.
    Piece {
        low: MemberId,
        high: MemberId,
    },
    News,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Tell {
        to: MemberId,
        said: Said,
    },
    Changed {
        who: MemberId,
        standing: Standing,
        incarnation: Incarnation,
    },
    /// This member's own links are the trouble (or no more): it misses answers from most of those it asks.
    OwnTrouble(bool),
    /// A newer process runs under this one's name; this one says no more.
    SteppedDown,
    Log(String),
}

/// An ask whose answer is waited for.
struct Ask {
    who: usize,
    number: u32,
    /// When it was sent first, and when it goes out next.
    at: Time,
    again: Time,
    /// Others were asked to ask; one of them answered, and one heard nothing.
    through: bool,
    helped: bool,
    silent: bool,
}

/// An ask for another member.
struct ForOther {
    to: MemberId,
    /// Its number there, and here.
    theirs: u32,
    number: u32,
    whom: usize,
    at: Time,
    again: Time,
}

struct Suspicion {
    since: Time,
    /// This member began it.
    mine: bool,
    check: Time,
}

/// One member's view of all.
pub struct Members {
    set: Set,
    own: usize,
    started: Time,
    woken: Time,
    /// The last message of anyone.
    heard: Time,
    chance: Pcg64Mcg,
    table: Table,
    links: Links,
    asks: Vec<Ask>,
    /// Asks given up.
    late: VecDeque<(u32, usize, Time)>,
    for_others: Vec<ForOther>,
    suspicions: BTreeMap<usize, Suspicion>,
    /// Those still to be asked in this turn.
    turn: Vec<usize>,
    next_round: Time,
    rounds: u64,
    number: u32,
    /// It has compared its table with another's since its start.
    joined: bool,
    /// So many compares follow soon.
    compare_soon: u32,
    trouble: bool,
    trouble_told: bool,
    stepped_down: bool,
    stepped_down_told: bool,
    void_line: Option<Time>,
    ready: VecDeque<(MemberId, Said)>,
    lines: VecDeque<String>,
}

impl Members {
    /// `own` should be listed; where it isn't, it counts as listed in the first location.
    pub fn new(
        set: Set,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[(MemberId, LocationId)],
        seed: u64,
        now: Time,
    ) -> Members {
        let mut all: Vec<_> = listed.iter().copied().filter(|(id, _)| *id != own).collect();
        all.truncate(MOST_LISTED - 1);
        let location = listed.iter().find(|(id, _)| *id == own).map_or(LocationId(0), |(_, at)| *at);
        all.push((own, location));
        let mut table = Table::new(&all, now);
        let own = table.find(own).unwrap_or_default();
        table.take(own, Claim { incarnation, count: 0, standing: Standing::Alive }, true);
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let next_round = now + set.round.times(chance.gen_range(0.0..1.0));
        let rounds = chance.gen_range(0..set.compare_every.max(1));
        Members {
            set,
            own,
            started: now,
            woken: now,
            heard: now,
            chance,
            table,
            links: Links::default(),
            asks: Vec::new(),
            late: VecDeque::new(),
            for_others: Vec::new(),
            suspicions: BTreeMap::new(),
            turn: Vec::new(),
            next_round,
            rounds,
            number: 0,
            joined: false,
            compare_soon: COMPARE_SOON,
            trouble: false,
            trouble_told: false,
            stepped_down: false,
            stepped_down_told: false,
            void_line: None,
            ready: VecDeque::new(),
            lines: VecDeque::new(),
        }
    }

    pub fn listed(&self) -> impl Iterator<Item = (MemberId, LocationId)> + '_ {
        self.table.entries.iter().map(|entry| (entry.id, entry.location))
    }

    /// None where it isn't listed.
    pub fn standing(&self, id: MemberId) -> Option<Standing> {
        self.table.find(id).map(|i| self.table.claim(i).standing)
    }

    /// The newest that was heard of; none where nothing was.
    pub fn incarnation(&self, id: MemberId) -> Option<Incarnation> {
        let claim = self.table.claim(self.table.find(id)?);
        (claim != Claim::NONE).then_some(claim.incarnation)
    }

    pub fn is_own_trouble(&self) -> bool {
        self.trouble
    }

    /// A message of any room came. False where it is void: of one that isn't listed, of an older incarnation,
    /// of one too far ahead, or this process has stepped down.
    pub fn came(&mut self, now: Time, from: MemberId, incarnation: Incarnation) -> bool {
        let Some(i) = self.table.find(from).filter(|_| !self.stepped_down) else { return false };
        let claim = Claim { incarnation, count: 0, standing: Standing::Alive };
        if !self.is_sound(now, i, claim) || incarnation < self.table.claim(i).incarnation {
            return false;
        }
        if i == self.own {
            self.of_own(now, claim);
            return false;
        }
        self.learn(now, i, claim, true);
        self.table.entries[i].heard = now;
        self.heard = now;
        true
    }

    pub fn heard(&mut self, now: Time, from: MemberId, said: Said) {
        let Some(i) = self.table.find(from).filter(|_| !self.stepped_down) else { return };
        if !self.came(now, from, said.own.incarnation) {
            // An older process under a listed name learns so of the newer one.
            if i != self.own && said.own.incarnation < self.table.claim(i).incarnation {
                self.tell(from, Body::News, Some(i));
            }
            return;
        }
        self.learn_if_sound(now, i, said.own, true);
        let news = !matches!(said.body, Body::Piece { .. });
        for &(who, claim) in said.words.iter().take(MOST_READ) {
            if let Some(j) = self.table.find(who) {
                self.learn_if_sound(now, j, claim, news);
            }
        }
        if self.stepped_down {
            return;
        }
        // Guards against two that answer each other without end, as where both find their own links in trouble.
        let mut told = said.body == Body::News;
        match said.body {
            Body::Ask { number } => {
                self.tell(from, Body::Answer { number }, None);
                told = true;
            }
            Body::Through { number, whom } => self.asked_for(now, from, number, whom),
            Body::Answer { number } => self.answered(now, i, number),
            Body::Word { number, whom, heard } => self.word(now, number, whom, heard),
            Body::Compare { digest } => self.compare(from, digest),
            Body::Same => self.joined = true,
            Body::Piece { low, high } => {
                self.joined = true;
                self.give_back(from, low, high, &said.words);
            }
            Body::News => {}
        }
        // One that speaks and isn't held alive may refute.
        if !told && !matches!(self.table.claim(i).standing, Standing::Alive | Standing::Left) {
            self.tell(from, Body::News, None);
        }
    }

    /// The periodic timer.
    pub fn woken(&mut self, now: Time) {
        if now - self.woken > self.set.still {
            self.stood_still(now);
        }
        self.woken = now;
        if self.is_silent() {
            return;
        }
        if now >= self.next_round {
            self.next_round = now.max(self.next_round + self.set.round);
            self.round(now);
        }
        self.wait_for_answers(now);
        self.wait_for_others(now);
        self.wait_for_verdicts(now);
    }

    /// This process leaves in order: it tells some members, asks no more, and answers until it is gone.
    pub fn leave(&mut self, now: Time) {
        if self.is_silent() {
            return;
        }
        let own = self.table.claim(self.own);
        self.table.take(self.own, Claim { count: own.count + 1, standing: Standing::Left, ..own }, true);
        (self.asks, self.for_others) = (Vec::new(), Vec::new());
        self.suspicions.clear();
        self.woken = now;
        for i in self.pick(8, &[], |standing| standing == Standing::Alive) {
            self.tell(self.table.entries[i].id, Body::News, Some(self.own));
        }
    }

    #[allow(clippy::should_implement_trait)] // Effects come as calls go on; it never ends for good.
    pub fn next(&mut self) -> Option<Effect> {
        if self.stepped_down {
            self.ready.clear();
            let first = !std::mem::replace(&mut self.stepped_down_told, true);
            return first.then_some(Effect::SteppedDown);
        }
        if self.trouble != self.trouble_told {
            self.trouble_told = self.trouble;
            return Some(Effect::OwnTrouble(self.trouble));
        }
        if let Some((who, standing, incarnation)) = self.table.changed(self.own) {
            return Some(Effect::Changed { who, standing, incarnation });
        }
        if let Some((to, said)) = self.ready.pop_front() {
            return Some(Effect::Tell { to, said });
        }
        self.lines.pop_front().map(Effect::Log)
    }

    fn is_silent(&self) -> bool {
        self.stepped_down || self.table.claim(self.own).standing == Standing::Left
    }

    fn log(&mut self, line: String) {
        if self.lines.len() < MOST_LINES {
            self.lines.push_back(line);
        }
    }

    fn number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn doublings(&self) -> f64 {
        (self.table.entries.len() as f64 + 1.0).log2()
    }

    /// So many others, by chance.
    fn pick(&mut self, most: usize, not: &[usize], fits: impl Fn(Standing) -> bool) -> Vec<usize> {
        let entries = self.table.entries.iter().enumerate();
        let fit = entries.filter(|(i, e)| *i != self.own && !not.contains(i) && fits(e.claim.standing));
        let mut found: Vec<usize> = fit.map(|(i, _)| i).collect();
        let (picked, _) = found.partial_shuffle(&mut self.chance, most);
        picked.to_vec()
    }

    /// Sends a message; it carries what is held of its receiver where that isn't alive, of one more, and
    /// news.
    fn tell(&mut self, to: MemberId, body: Body, about: Option<usize>) {
        let times = (f64::from(self.set.tellings) * self.doublings()).ceil() as u32;
        let trouble = self.trouble;
        let fits = |standing| !trouble || !matches!(standing, Standing::Suspect | Standing::Dead);
        let mut words = self.table.tell(NEWS, times, fits);
        let receiver = self.table.find(to).filter(|i| self.table.claim(*i).standing != Standing::Alive);
        for i in receiver.into_iter().chain(about) {
            let word = (self.table.entries[i].id, self.table.claim(i));
            if word.1 != Claim::NONE && fits(word.1.standing) && !words.contains(&word) {
                words.push(word);
            }
        }
        self.send(to, body, words);
    }

    fn send(&mut self, to: MemberId, body: Body, words: Vec<(MemberId, Claim)>) {
        if self.ready.len() < MOST_READY {
            let own = self.table.claim(self.own);
            self.ready.push_back((to, Said { own, body, words }));
        }
    }

    /// Guards against a word that nothing newer could ever replace, as a peer that lies or whose clock is
    /// wrong tells it.
    fn is_sound(&mut self, now: Time, i: usize, claim: Claim) -> bool {
        let clock = self.table.claim(self.own).incarnation.0.saturating_add((now - self.started).0);
        let newest = clock.saturating_add(self.set.ahead.0);
        if claim.incarnation.0 <= newest && claim.count <= MOST_COUNT && claim.standing != Standing::Unheard {
            return true;
        }
        if self.void_line.is_none_or(|at| now - at > Span::millis(10_000)) {
            self.void_line = Some(now);
            let (id, ahead) = (self.table.entries[i].id.0, self.set.ahead.as_seconds());
            self.log(format!(
                "members: a word on {id:x} is passed over: incarnation {} (at most {ahead} s ahead of this \
                 clock), count {}; compare the clocks of the machines",
                claim.incarnation.0, claim.count
            ));
        }
        false
    }

    fn learn_if_sound(&mut self, now: Time, i: usize, claim: Claim, news: bool) {
        if self.is_sound(now, i, claim) {
            self.learn(now, i, claim, news);
        }
    }

    fn learn(&mut self, now: Time, i: usize, claim: Claim, news: bool) {
        if i == self.own {
            return self.of_own(now, claim);
        }
        let before = self.table.claim(i).standing;
        if !self.table.take(i, claim, news) {
            return;
        }
        if before == Standing::Dead && claim.standing == Standing::Alive {
            // It may be one of many, as where a split heals.
            self.compare_soon = COMPARE_SOON;
        }
        if claim.standing == Standing::Suspect {
            let check = now + self.suspicion_wait().times(0.5);
            self.suspicions.insert(i, Suspicion { since: now, mine: false, check });
            return;
        }
        self.suspicions.remove(&i);
        if claim.standing >= Standing::Dead {
            self.asks.retain(|ask| ask.who != i);
            self.for_others.retain(|ask| ask.whom != i);
        }
    }

    /// A word on this process: a newer one under its name, or one to refute.
    fn of_own(&mut self, now: Time, claim: Claim) {
        let own = self.table.claim(self.own);
        if claim.incarnation > own.incarnation {
            self.stepped_down = true;
        } else if claim.incarnation == own.incarnation && claim > own && claim.standing != Standing::Alive {
            self.table.take(self.own, Claim { count: claim.count + 1, ..own }, true);
            // Soon, and to some at once: others may wait for it with a verdict.
            for i in self.pick(self.set.through, &[], |standing| standing == Standing::Alive) {
                self.tell(self.table.entries[i].id, Body::News, None);
            }
            self.heard = now;
        }
    }

    fn round(&mut self, now: Time) {
        self.rounds += 1;
        if !self.joined {
            for i in self.pick(self.set.through, &[], |_| true) {
                self.ask_to_compare(i);
            }
        } else if self.is_to_compare() {
            for i in self.pick(1, &[], |standing| standing == Standing::Alive) {
                self.ask_to_compare(i);
            }
        }
        if self.rounds.is_multiple_of(self.set.lost_every.max(1)) {
            for i in self.pick(1, &[], |standing| !matches!(standing, Standing::Alive | Standing::Suspect)) {
                let number = self.number();
                self.tell(self.table.entries[i].id, Body::Ask { number }, None);
            }
        }
        let Some(who) = self.next_in_turn() else { return };
        let (number, again) = (self.number(), now + self.set.again);
        let (through, helped, silent) = (false, false, false);
        self.asks.push(Ask { who, number, at: now, again, through, helped, silent });
        self.tell(self.table.entries[who].id, Body::Ask { number }, None);
    }

    /// Often after a start, a stand-still, own trouble and one held dead that is back, else seldom.
    fn is_to_compare(&mut self) -> bool {
        let quick = self.compare_soon > 0 && self.rounds.is_multiple_of(2);
        self.compare_soon -= u32::from(quick);
        quick || self.rounds.is_multiple_of(self.set.compare_every.max(1))
    }

    fn ask_to_compare(&mut self, i: usize) {
        let digest = self.table.digest();
        self.tell(self.table.entries[i].id, Body::Compare { digest }, None);
    }

    /// Each member alive once in a turn, in an order by chance.
    fn next_in_turn(&mut self) -> Option<usize> {
        for _ in 0..2 {
            while let Some(i) = self.turn.pop() {
                let is_out = self.asks.iter().any(|ask| ask.who == i);
                if self.table.claim(i).standing == Standing::Alive && !is_out {
                    return Some(i);
                }
            }
            self.turn = self.pick(usize::MAX, &[], |standing| standing == Standing::Alive);
        }
        None
    }

    fn wait_for_answers(&mut self, now: Time) {
        let mut asks = std::mem::take(&mut self.asks);
        asks.retain_mut(|ask| self.goes_on(now, ask));
        asks.append(&mut self.asks);
        self.asks = asks;
    }

    /// Asks again, asks through others, suspects, or gives the ask up.
    fn goes_on(&mut self, now: Time, ask: &mut Ask) -> bool {
        let entry = &self.table.entries[ask.who];
        let (id, silence) = (entry.id, now - ask.at.max(entry.heard));
        let [through, _, suspect, end] =
            self.set.phi.map(|phi| self.links.wait(phi, Some(&entry.answers), &self.set));
        if silence > suspect && ask.silent {
            self.links.ended(true);
            self.judge_links();
            let claim = self.table.claim(ask.who);
            if !self.trouble && claim.standing == Standing::Alive {
                self.learn(now, ask.who, claim.with(Standing::Suspect), true);
                let own = |s: &mut Suspicion| (s.mine, s.check) = (true, now);
                self.suspicions.get_mut(&ask.who).map(own);
            }
            self.give_up(ask);
            return false;
        }
        if now - ask.at > end {
            self.links.ended(ask.helped);
            self.judge_links();
            self.give_up(ask);
            return false;
        }
        if now >= ask.again {
            ask.again = now + self.set.again;
            self.tell(id, Body::Ask { number: ask.number }, None);
            if now - ask.at > through {
                let most = if ask.through { 1 } else { self.set.through };
                ask.through = true;
                self.ask_through(ask.number, ask.who, most);
            }
        }
        true
    }

    fn give_up(&mut self, ask: &Ask) {
        self.late.push_back((ask.number, ask.who, ask.at));
        if self.late.len() > LATE {
            self.late.pop_front();
        }
    }

    fn ask_through(&mut self, number: u32, who: usize, most: usize) {
        let whom = self.table.entries[who].id;
        for i in self.pick(most, &[who], |standing| standing == Standing::Alive) {
            self.tell(self.table.entries[i].id, Body::Through { number, whom }, Some(who));
        }
    }

    fn judge_links(&mut self) {
        let Some(bad) = self.links.are_bad().filter(|bad| *bad != self.trouble) else { return };
        self.trouble = bad;
        if !bad {
            // What refutes a suspicion may have been lost meanwhile.
            self.wait_anew(self.woken);
            self.compare_soon = COMPARE_SOON;
        }
    }

    fn answered(&mut self, now: Time, i: usize, number: u32) {
        if let Some(at) = self.asks.iter().position(|ask| ask.who == i && ask.number == number) {
            let ask = self.asks.swap_remove(at);
            self.links.answered(now - ask.at, &mut self.table.entries[i].answers, &self.set);
            self.links.ended(true);
            self.judge_links();
        } else if let Some(at) = self.late.iter().position(|&(n, who, _)| who == i && n == number) {
            let late = self.late.remove(at).map_or(now, |late| late.2);
            self.links.answered(now - late, &mut self.table.entries[i].answers, &self.set);
        }
        if let Some(at) = self.for_others.iter().position(|ask| ask.whom == i && ask.number == number) {
            let ask = self.for_others.swap_remove(at);
            let whom = self.table.entries[i].id;
            self.tell(ask.to, Body::Word { number: ask.theirs, whom, heard: true }, Some(i));
        }
    }

    /// Another asks this one to ask a third.
    fn asked_for(&mut self, now: Time, to: MemberId, theirs: u32, whom: MemberId) {
        let Some(i) = self.table.find(whom).filter(|_| !self.is_silent()) else { return };
        if i == self.own {
            return self.tell(to, Body::Answer { number: theirs }, None);
        }
        let known = |ask: &ForOther| ask.to == to && ask.theirs == theirs && ask.whom == i;
        if self.for_others.len() >= FOR_OTHERS || self.for_others.iter().any(known) {
            return;
        }
        let (number, again) = (self.number(), now + self.set.again);
        self.for_others.push(ForOther { to, theirs, number, whom: i, at: now, again });
        self.tell(whom, Body::Ask { number }, None);
    }

    fn wait_for_others(&mut self, now: Time) {
        let mut asks = std::mem::take(&mut self.for_others);
        asks.retain_mut(|ask| {
            let entry = &self.table.entries[ask.whom];
            let (whom, heard) = (entry.id, entry.heard > ask.at);
            let end = self.links.wait(self.set.phi[1], Some(&entry.answers), &self.set);
            if heard || now - ask.at > end {
                // Its word is worth nothing where its own links are the trouble.
                if heard || !self.trouble {
                    self.tell(ask.to, Body::Word { number: ask.theirs, whom, heard }, Some(ask.whom));
                }
                return false;
            }
            if now >= ask.again {
                ask.again = now + self.set.again;
                self.tell(whom, Body::Ask { number: ask.number }, None);
            }
            true
        });
        self.for_others = asks;
    }

    /// What one that was asked to ask says.
    fn word(&mut self, now: Time, number: u32, whom: MemberId, heard: bool) {
        let found = |ask: &Ask| ask.number == number && self.table.entries[ask.who].id == whom;
        let Some(at) = self.asks.iter().position(found) else { return };
        if !heard {
            (self.asks[at].helped, self.asks[at].silent) = (true, true);
            return;
        }
        let ask = self.asks.swap_remove(at);
        self.links.answered(now - ask.at, &mut self.table.entries[ask.who].answers, &self.set);
        self.links.ended(true);
        self.judge_links();
    }

    /// How long a suspicion can be refuted: what news and answer take to go round, and twice the wait for an
    /// answer.
    fn suspicion_wait(&self) -> Span {
        let [base, doubling] = self.set.wait;
        let round = self.set.round.times(base + doubling * self.doublings());
        round.max(self.links.wait(2.0 * self.set.phi[2], None, &self.set))
    }

    /// Checks suspects, and tells the verdict on one that has not refuted in time.
    fn wait_for_verdicts(&mut self, now: Time) {
        let wait = self.suspicion_wait();
        // Guards against verdicts while nothing can be heard that would refute them.
        let in_touch = !self.trouble && now - self.heard <= self.set.round.times(2.0);
        let suspicions = self.suspicions.iter();
        let over = suspicions.filter(|(_, s)| in_touch && now - s.since > wait).map(|(i, _)| *i);
        for i in over.collect::<Vec<_>>() {
            self.learn(now, i, self.table.claim(i).with(Standing::Dead), true);
        }
        let checks: Vec<(usize, bool)> = {
            let due = self.suspicions.iter().filter(|(_, s)| now >= s.check && (s.mine || !self.trouble));
            due.map(|(i, s)| (*i, s.mine)).take(CHECKS).collect()
        };
        for (i, mine) in checks {
            let next = if mine { self.set.again.times(2.0) } else { wait.times(0.25) };
            self.suspicions.entry(i).and_modify(|s| s.check = now + next);
            let number = self.number();
            self.tell(self.table.entries[i].id, Body::Ask { number }, None);
            if mine {
                self.ask_through(number, i, 1);
            }
        }
    }

    fn wait_anew(&mut self, now: Time) {
        let check = now + self.suspicion_wait().times(0.5);
        for suspicion in self.suspicions.values_mut() {
            (suspicion.since, suspicion.check) = (now, check.min(suspicion.check.max(now)));
        }
    }

    /// This process was not woken for long: what it heard nothing of meanwhile says nothing.
    fn stood_still(&mut self, now: Time) {
        let span = (now - self.woken).as_seconds();
        self.log(format!("members: not woken for {span:.1} s; silence counts anew"));
        self.asks.clear();
        self.late.clear();
        self.for_others.clear();
        self.links.forget();
        self.wait_anew(now);
        self.heard = now;
        self.compare_soon = COMPARE_SOON;
    }

    fn compare(&mut self, from: MemberId, digest: u64) {
        if digest == self.table.digest() {
            return self.tell(from, Body::Same, None);
        }
        let known: Vec<_> = self.table.known(MemberId(0), MemberId(u64::MAX)).collect();
        let pieces = known.chunks(PIECE);
        let last = pieces.len().saturating_sub(1);
        let mut low = MemberId(0);
        for (k, piece) in pieces.enumerate() {
            let end = piece.last().map_or(low, |(id, _)| *id);
            let high = if k == last { MemberId(u64::MAX) } else { end };
            self.send(from, Body::Piece { low, high }, piece.to_vec());
            low = MemberId(high.0.saturating_add(1));
        }
    }

    /// What is newer here than in another's piece.
    fn give_back(&mut self, to: MemberId, low: MemberId, high: MemberId, theirs: &[(MemberId, Claim)]) {
        let theirs: BTreeMap<MemberId, Claim> = theirs.iter().take(MOST_READ).copied().collect();
        let known = self.table.known(low, high);
        let newer = known.filter(|(id, claim)| theirs.get(id).is_none_or(|their| their < claim));
        let newer: Vec<_> = newer.take(PIECE).collect();
        if !newer.is_empty() {
            self.send(to, Body::News, newer);
        }
    }
}
