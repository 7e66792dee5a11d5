//! A feed from any member to all and to those who only follow, which no slow follower drags.
//!
//! Items are numbered by source (a member's run, from 1). A source pushes each round's items to all members;
//! what is lost on the way is seen by a gap or by what members tell each other they have, and comes from any
//! of them. Each member carries a group of followers and sends to each what it lacks by its acknowledged
//! place in every source's numbers; nothing is queued for a follower. One too far behind gets what still
//! matters instead of all. docs/fleet-feed.md has the choice and the bounds.
mod carry;
mod follower;
mod log;
mod set;

use crate::common::{Incarnation, MemberId};
use carry::{Carrier, Logs, Others};
use cherrypass::time::{Span, Time};
pub use follower::Follower;
pub use log::{Echo, Item, Segment, Stamp};
use log::{Found, Log};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
pub use set::Set;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Why an item wasn't published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("an item's key has {key} and its value {value} bytes, more than fit; publish it in parts")]
    TooBig { key: usize, value: usize },
    #[error("too many items still hold; let them run out sooner, use fewer keys, or raise feed.state_*")]
    Full,
}

impl Refused {
    pub fn code(&self) -> &'static str {
        match self {
            Refused::TooBig { .. } => "feed-too-big",
            Refused::Full => "feed-full",
        }
    }
}

/// Up to which number of a source one has everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    pub source: MemberId,
    pub incarnation: Incarnation,
    pub number: u64,
}

/// Who carries a follower: of two the greater holds. A follower's new run voids all fences of the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// The follower's.
    pub incarnation: Incarnation,
    pub number: u64,
    pub carrier: MemberId,
}

/// What a follower is taken for; it goes along with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    pub slow: bool,
    /// How often it was slow of late: its way back takes longer each time.
    pub relapses: u8,
}

/// A member's word on itself as a carrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    /// Those that aren't slow, and those that are.
    pub followers: u16,
    pub slow: u16,
    /// Bytes a round that nobody takes.
    pub room: u32,
    /// Lower median of its followers' lags, and how far it is behind itself.
    pub lag: Span,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    // Between members.
    /// What the teller has; only what it names is compared.
    Have {
        stamp: Stamp,
        about: About,
        have: Vec<Have>,
    },
    /// What follows these numbers is asked for.
    Want {
        stamp: Stamp,
        have: Vec<Have>,
    },
    /// `answer`: to a `Want`.
    Items {
        echo: Option<Echo>,
        answer: bool,
        segments: Vec<Segment>,
    },
    Take {
        follower: MemberId,
        fence: Fence,
        stamp: Option<Stamp>,
        have: Vec<Have>,
        class: Class,
    },
    Taken {
        follower: MemberId,
        fence: Fence,
    },
    Full {
        follower: MemberId,
        fence: Fence,
    },
    // From a follower.
    Ask {
        fence: Fence,
        stamp: Stamp,
        class: Class,
        have: Vec<Have>,
    },
    /// Everything up to the frame has come that will come; the places of the sources that frames told of.
    Ack {
        fence: Fence,
        frame: u64,
        stamp: Stamp,
        have: Vec<Have>,
    },
    Released {
        fence: Fence,
    },
    // To a follower.
    Carry {
        fence: Fence,
        frame: u64,
        echo: Option<Echo>,
        class: Class,
        segments: Vec<Segment>,
    },
    Moved {
        fence: Fence,
    },
    Refuse {
        fence: Fence,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Tell {
        to: MemberId,
        said: Said,
    },
    /// The next item of a source. `age` is an upper bound.
    Deliver {
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        key: Vec<u8>,
        value: Vec<u8>,
        age: Span,
    },
    /// Instead of all items up to a number those of them that still matter, in order: the others were
    /// replaced by a later item of their key (here or still to come), or have run out.
    State {
        source: MemberId,
        incarnation: Incarnation,
        up_to: u64,
        items: Vec<Item>,
    },
    Log(String),
}

impl Effect {
    fn hand_over(
        out: &mut VecDeque<Effect>,
        source: MemberId,
        incarnation: Incarnation,
        up_to: u64,
        items: Vec<Item>,
        whole: bool,
    ) {
        if !whole {
            out.push_back(Effect::State { source, incarnation, up_to, items });
            return;
        }
        for Item { number, key, value, age, .. } in items {
            out.push_back(Effect::Deliver { source, incarnation, number, key, value, age });
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    dead: bool,
    /// Its clock as it last told it, and when that came.
    stamp: Option<(Stamp, Time)>,
    about: Option<(About, Time)>,
}

impl Peer {
    fn echo(&self, now: Time) -> Option<Echo> {
        self.stamp.map(|(stamp, at)| Echo { stamp, held: now - at })
    }
}

/// A source's number that someone has and this member hasn't.
#[derive(Clone, Debug)]
struct Missing {
    incarnation: Incarnation,
    number: u64,
    teller: MemberId,
    since: Time,
    /// When it was last told, and whether by more than one: a wrong number must not make this one feel
    /// behind.
    told: Time,
    vouched: bool,
}

/// A member's side.
#[derive(Clone, Debug)]
pub struct Feed {
    set: Set,
    own: MemberId,
    incarnation: Incarnation,
    peers: BTreeMap<MemberId, Peer>,
    followers: BTreeSet<MemberId>,
    logs: Logs,
    carrier: Carrier,
    missing: BTreeMap<MemberId, Missing>,
    wanted: Option<Time>,
    tries: u32,
    /// Bytes left of this round for those that lack something.
    repair: usize,
    /// Of the own items, up to which all members were told once.
    pushed: u64,
    /// Sources of which something came since the last round.
    news: BTreeSet<MemberId>,
    /// The order in which the others are told, and who is next.
    ring: Vec<MemberId>,
    turn: usize,
    told: Time,
    stamps: f64,
    expired: Time,
    chance: Pcg64Mcg,
    out: VecDeque<Effect>,
}

impl Feed {
    /// `members`: all listed ones (at most `Set::most_sources`), this one among them or not; `followers`:
    /// those who may ask to be carried.
    pub fn new(
        set: Set,
        own: MemberId,
        incarnation: Incarnation,
        members: &[MemberId],
        followers: &[MemberId],
        seed: u64,
        now: Time,
    ) -> Feed {
        let peers: BTreeMap<MemberId, Peer> = (members.iter().filter(|id| **id != own))
            .take(set.most_sources - 1)
            .map(|id| (*id, Peer::default()))
            .collect();
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut ring: Vec<MemberId> = peers.keys().copied().collect();
        ring.shuffle(&mut chance);
        Feed {
            own,
            incarnation,
            followers: followers.iter().copied().collect(),
            logs: BTreeMap::from([(own, Log::new(incarnation))]),
            carrier: Carrier::new(own, now),
            missing: BTreeMap::new(),
            wanted: None,
            tries: 0,
            repair: set.repair,
            pushed: 0,
            news: BTreeSet::new(),
            turn: 0,
            told: Time(0),
            stamps: ring.len() as f64,
            ring,
            peers,
            expired: now,
            chance,
            out: VecDeque::new(),
            set,
        }
    }

    #[allow(clippy::should_implement_trait)]
    /// To be pulled until there is none after each call, before the next: what is told has ages of that time.
    pub fn next(&mut self) -> Option<Effect> {
        self.out.pop_front()
    }

    /// Gives an item to all; it is replaced by the next one of its key and runs out after `hold`. Its number.
    pub fn publish(&mut self, now: Time, key: Vec<u8>, value: Vec<u8>, hold: Span) -> Result<u64, Refused> {
        if !self.set.takes(&key, &value) {
            return Err(Refused::TooBig { key: key.len(), value: value.len() });
        }
        let Some(log) = self.logs.get_mut(&self.own) else { return Err(Refused::Full) };
        let hold = hold.min(log::LONGEST);
        let number = log.up_to + 1;
        let item = Item { number, key, value, hold, age: Span::ZERO };
        log.expire(now, &self.set);
        if !log.fits(&self.set, &item) {
            return Err(Refused::Full);
        }
        log.take(now, vec![item], number, true, &self.set);
        Ok(number)
    }

    /// The members room's word.
    pub fn standing(&mut self, _now: Time, who: MemberId, alive: bool) {
        if let Some(peer) = self.peers.get_mut(&who) {
            peer.dead = !alive;
        }
    }

    /// Proposes a follower to another member, as before a planned stop; it goes on being carried until that
    /// one has taken it.
    pub fn give(&mut self, now: Time, follower: MemberId, to: MemberId) {
        if self.peers.contains_key(&to) {
            let offer = self.carrier.give(now, follower, to);
            self.out.extend(offer);
        }
    }

    /// The followers carried, and whether they count as slow.
    pub fn carried(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.carrier.carried()
    }

    pub fn about(&self) -> About {
        self.carrier.about(&self.set)
    }

    /// Followers that went to another by a move this member began.
    pub fn moves(&self) -> u64 {
        self.carrier.moves
    }

    /// Items and bytes held of all sources; followers' places and frames in flight.
    pub fn size(&self) -> (usize, usize, usize, usize) {
        let (items, bytes) =
            self.logs.values().map(Log::size).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let (places, flying) = self.carrier.size();
        (items, bytes, places, flying)
    }

    pub fn heard(&mut self, now: Time, from: MemberId, said: Said) {
        if self.peers.contains_key(&from) {
            self.heard_member(now, from, said);
        } else if self.followers.contains(&from) {
            self.carrier.heard_follower(now, from, said, &self.set, &mut self.out);
        }
    }

    fn heard_member(&mut self, now: Time, from: MemberId, said: Said) {
        if let Said::Have { stamp, .. } | Said::Want { stamp, .. } = &said {
            let Some(peer) = self.peers.get_mut(&from) else { return };
            // One that comes late must not replace a newer one: an echo of an older one is a looser bound.
            if peer.stamp.is_none_or(|(known, _)| known < *stamp) {
                peer.stamp = Some((*stamp, now));
            }
        }
        match said {
            Said::Have { about, have, .. } if have.len() <= self.set.most_sources => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.about = Some((about, now));
                }
                let mut ahead = Vec::new();
                for have in have {
                    let own = self.have(have.source);
                    let theirs = (have.incarnation, have.number);
                    match own.map(|own| (own.incarnation, own.number)) {
                        Some(ours) if ours > theirs => ahead.extend(own),
                        Some(ours) if ours == theirs => {}
                        _ => self.lacks(now, from, have),
                    }
                }
                if !ahead.is_empty() {
                    self.tell_have(now, from, ahead);
                }
                self.want(now, from, false);
            }
            Said::Want { have, .. } if have.len() <= self.set.most_sources => self.answer(now, from, &have),
            Said::Items { echo, answer, segments } => {
                let transit = echo.and_then(|echo| echo.transit(now, self.incarnation));
                for segment in segments.into_iter().take(self.set.most_segments) {
                    self.take(now, from, segment, transit);
                }
                self.want(now, from, answer);
            }
            Said::Take { follower, .. } if !self.followers.contains(&follower) => {}
            said => self.carrier.heard_member(now, from, said, &self.set, &mut self.out),
        }
    }

    fn stamp(&self, now: Time) -> Stamp {
        Stamp { run: self.incarnation, clock: now.0 }
    }

    fn have(&self, source: MemberId) -> Option<Have> {
        self.logs.get(&source).map(|log| Have { source, incarnation: log.incarnation, number: log.up_to })
    }

    /// Someone has more of a source.
    fn lacks(&mut self, now: Time, teller: MemberId, have: Have) {
        if !self.peers.contains_key(&have.source) || have.number == 0 {
            return;
        }
        let Have { incarnation, number, .. } = have;
        let first = Missing { incarnation, number, teller, since: now, told: now, vouched: false };
        let known = self.missing.entry(have.source).or_insert(first);
        known.told = now;
        known.vouched |= known.teller != teller;
        if (known.incarnation, known.number) < (incarnation, number) {
            (known.incarnation, known.number, known.teller) = (incarnation, number, teller);
        }
    }

    fn take(&mut self, now: Time, from: MemberId, segment: Segment, transit: Option<Span>) {
        let (source, incarnation) = (segment.source, segment.incarnation);
        if !self.peers.contains_key(&source) {
            return;
        }
        let (up_to, head) = (segment.up_to, segment.head);
        let at = self.have(source);
        let found = segment.against(&self.set, at, transit.unwrap_or(Span::ZERO));
        match found {
            Found::Wrong | Found::Known => return,
            Found::New { items, whole } if transit.is_some() => {
                if at.is_none_or(|at| at.incarnation != incarnation) {
                    self.logs.insert(source, Log::new(incarnation));
                }
                let Some(log) = self.logs.get_mut(&source) else { return };
                let handed = log.handed;
                log.handed = handed.max(up_to);
                let mut fresh = items.clone();
                log.take(now, items, up_to, whole, &self.set);
                self.news.insert(source);
                if up_to > handed {
                    fresh.retain(|item| item.number > handed);
                    let whole = fresh.len() as u64 == up_to - handed;
                    Effect::hand_over(&mut self.out, source, incarnation, up_to, fresh, whole);
                }
            }
            // Without an echo nothing bounds its age: the answer to a want has one.
            _ => {}
        }
        let now_at = self.have(source).map(|have| (have.incarnation, have.number));
        if now_at.is_none_or(|at| at < (incarnation, head)) {
            self.lacks(now, from, Have { source, incarnation, number: head });
        }
    }

    /// Asks for what is missing; `on`: the last answer came, the next may be asked for at once.
    fn want(&mut self, now: Time, to: MemberId, on: bool) {
        let logs = &self.logs;
        let lasts = self.set.about_for;
        self.missing.retain(|source, missing| {
            let at = logs.get(source).map(|log| (log.incarnation, log.up_to));
            now - missing.told <= lasts && at.is_none_or(|at| at < (missing.incarnation, missing.number))
        });
        let waits = self.wanted.is_some_and(|at| now - at < Span(self.set.round.0 * 3));
        if self.missing.is_empty() {
            self.wanted = None;
            self.tries = 0;
        } else if on || !waits {
            self.wanted = Some(now);
            let have = self.missing.iter().take(self.set.most_segments).map(|(source, missing)| {
                self.have(*source).unwrap_or(Have {
                    source: *source,
                    incarnation: missing.incarnation,
                    number: 0,
                })
            });
            let said = Said::Want { stamp: self.stamp(now), have: have.collect() };
            self.out.push_back(Effect::Tell { to, said });
        }
    }

    fn answer(&mut self, now: Time, to: MemberId, have: &[Have]) {
        let (mut segments, mut bytes) = (Vec::new(), 0);
        let most = self.set.frame_bytes.min(self.repair);
        for have in have {
            if segments.len() >= self.set.most_segments || bytes >= most {
                break;
            }
            let Some(log) = self.logs.get(&have.source).filter(|log| log.incarnation >= have.incarnation)
            else {
                continue;
            };
            let after = if log.incarnation == have.incarnation { have.number } else { 0 };
            let Some((segment, cost)) = log.segment(now, have.source, after, most - bytes) else { continue };
            if bytes > 0 && bytes + cost > most {
                continue;
            }
            bytes += cost;
            segments.push(segment);
        }
        if segments.is_empty() {
            return;
        }
        self.repair = self.repair.saturating_sub(bytes);
        let echo = self.peers.get(&to).and_then(|peer| peer.echo(now));
        self.out.push_back(Effect::Tell { to, said: Said::Items { echo, answer: true, segments } });
    }

    fn tell_have(&mut self, now: Time, to: MemberId, have: Vec<Have>) {
        let said = Said::Have { stamp: self.stamp(now), about: self.about(), have };
        self.out.push_back(Effect::Tell { to, said });
    }

    pub fn woken(&mut self, now: Time) {
        self.repair = self.set.repair;
        self.push(now);
        self.tell(now);
        if !self.missing.is_empty() {
            // Now the one who told of it, now another: the teller may be gone.
            let teller = self.missing.values().next().map(|missing| missing.teller);
            let other = self.ring.choose(&mut self.chance).copied();
            let to = if self.tries.is_multiple_of(2) { teller } else { other };
            self.tries = self.tries.wrapping_add(1);
            if let Some(to) = to.or(other) {
                self.want(now, to, false);
            }
        }
        if now - self.expired >= Span::seconds(1.0) {
            self.expired = now;
            for log in self.logs.values_mut() {
                log.expire(now, &self.set);
            }
        }
        let about: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.dead)
            .filter_map(|(id, peer)| peer.about.map(|(about, at)| (*id, about, at)))
            .filter(|(.., at)| now - *at <= self.set.about_for)
            .collect();
        // What nobody told of lately is nowhere any more.
        let lately = Span(self.set.beat.0 * 6);
        let counts = |missing: &&Missing| missing.vouched && now - missing.told <= lately;
        let behind = self.missing.values().filter(counts).map(|missing| now - missing.since).max();
        let behind = behind.unwrap_or(Span::ZERO);
        let others = Others { about: &about, behind };
        self.carrier.woken(now, &self.logs, &others, &self.set, &mut self.out);
    }

    /// The own items since the last round, to all members.
    fn push(&mut self, now: Time) {
        let Some(log) = self.logs.get(&self.own) else { return };
        let Some((segment, _)) = log.segment(now, self.own, self.pushed, self.set.frame_bytes) else {
            return;
        };
        self.pushed = segment.up_to;
        for (to, peer) in self.peers.iter().filter(|(_, peer)| !peer.dead) {
            let said = Said::Items { echo: peer.echo(now), answer: false, segments: vec![segment.clone()] };
            self.out.push_back(Effect::Tell { to: *to, said });
        }
    }

    /// What came since the last round to two others; everything to one, now and then; a clock value to each.
    fn tell(&mut self, now: Time) {
        if self.ring.is_empty() {
            return;
        }
        let news = std::mem::take(&mut self.news);
        let news: Vec<Have> = news.into_iter().filter_map(|source| self.have(source)).collect();
        if !news.is_empty() {
            for _ in 0..self.ring.len().min(2) {
                let to = self.ring[self.chance.gen_range(0..self.ring.len())];
                self.tell_have(now, to, news.clone());
            }
        }
        let all = now - self.told >= self.set.tell_every;
        self.stamps +=
            self.ring.len() as f64 * self.set.round.as_seconds() / self.set.stamp_within.as_seconds();
        self.stamps = self.stamps.min(self.ring.len() as f64);
        let mut left = (self.stamps as usize).max(usize::from(all));
        let mut have: Vec<Have> = Vec::new();
        if all {
            self.told = now;
            have = self.logs.keys().filter_map(|source| self.have(*source)).collect();
        }
        while left > 0 {
            left -= 1;
            self.stamps -= 1.0;
            let to = self.ring[self.turn % self.ring.len()];
            self.turn = (self.turn + 1) % self.ring.len();
            self.tell_have(now, to, std::mem::take(&mut have));
        }
        self.stamps = self.stamps.max(0.0);
    }
}
