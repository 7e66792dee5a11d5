//! The followers a member carries: what goes to each and when, who is slow, and who goes elsewhere.
use super::log::Log;
use super::{About, Class, Echo, Effect, Fence, Have, Said, Set, Stamp};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Frames on the way to one follower.
const MOST_FLYING: usize = 64;

pub(super) type Logs = BTreeMap<MemberId, Log>;

/// Where a follower stands in a source's numbers.
#[derive(Clone, Debug, Default)]
struct Place {
    incarnation: Incarnation,
    acked: u64,
    sent: u64,
    /// What isn't acknowledged: up to which number, by which frame.
    frames: VecDeque<(u64, u64)>,
}

impl Place {
    fn new(incarnation: Incarnation, number: u64) -> Place {
        Place { incarnation, acked: number, sent: number, frames: VecDeque::new() }
    }

    fn acked(&mut self, number: u64) {
        self.acked = self.acked.max(number);
        self.sent = self.sent.max(self.acked);
        while self.frames.front().is_some_and(|(up_to, _)| *up_to <= self.acked) {
            self.frames.pop_front();
        }
    }

    /// All goes out again that isn't acknowledged.
    fn rewind(&mut self) {
        self.sent = self.acked;
        self.frames.clear();
    }
}

#[derive(Clone, Copy, Debug)]
struct Proposal {
    fence: Fence,
    first: Time,
    told: Time,
}

#[derive(Clone, Debug)]
struct Carried {
    fence: Fence,
    /// The highest number of a fence told to anyone.
    told_number: u64,
    places: BTreeMap<MemberId, Place>,
    /// Its clock as it last told it, and when that came.
    stamp: Option<(Stamp, Time)>,
    frame: u64,
    /// Frames not known to have come: number, bytes, when.
    flying: VecDeque<(u64, usize, Time)>,
    round_trip: Option<Span>,
    heard: Time,
    told: Time,
    /// Times in a row nothing came back in time.
    silent: u32,
    class: Class,
    /// Since when it lags, and since when it doesn't.
    lags: Option<Time>,
    keeps_up: Option<Time>,
    proposal: Option<Proposal>,
    /// When it came by a move, and when a move was last begun.
    moved: Option<Time>,
    proposed: Option<Time>,
    /// It was slow and isn't any more: it goes where there is most room.
    leaves: bool,
}

impl Carried {
    fn new(now: Time, fence: Fence, have: &[Have], class: Class) -> Carried {
        let place = |have: &Have| (have.source, Place::new(have.incarnation, have.number));
        Carried {
            fence,
            told_number: fence.number,
            places: have.iter().map(place).collect(),
            stamp: None,
            frame: 0,
            flying: VecDeque::new(),
            round_trip: None,
            heard: now,
            told: Time(0),
            silent: 0,
            class,
            lags: None,
            keeps_up: None,
            proposal: None,
            moved: None,
            proposed: None,
            leaves: false,
        }
    }

    /// Up to where it was sent a source's items, and acknowledged them.
    fn place(&self, source: MemberId, log: &Log) -> Option<(u64, u64)> {
        match self.places.get(&source) {
            Some(place) if place.incarnation > log.incarnation => None,
            Some(place) if place.incarnation == log.incarnation => Some((place.sent, place.acked)),
            _ => Some((0, 0)),
        }
    }

    /// How long the oldest item it hasn't acknowledged has waited here.
    fn lag(&self, now: Time, logs: &Logs) -> Span {
        let waits = |(source, log): (&MemberId, &Log)| log.waits_since(self.place(*source, log)?.1);
        logs.iter().filter_map(waits).min().map_or(Span::ZERO, |since| now - since)
    }

    /// When what went out counts as lost.
    fn resend_after(&self, set: &Set) -> Span {
        let usual = set.resend.max(self.round_trip.map_or(Span::ZERO, |span| span.times(2.0)));
        let times = if self.class.slow { 1 << self.silent.min(3) } else { 1 };
        Span(usual.0 * times)
    }

    fn acked(&mut self, now: Time, frame: u64, stamp: Stamp, have: &[Have]) {
        self.heard = now;
        self.silent = 0;
        // Stamps that come late must not replace newer ones: an echo of an older one is a looser bound.
        if self.stamp.is_none_or(|(known, _)| known < stamp) {
            self.stamp = Some((stamp, now));
        }
        let frame = frame.min(self.frame);
        while let Some((number, _, at)) = self.flying.front().copied().filter(|flying| flying.0 <= frame) {
            self.flying.pop_front();
            if number == frame {
                let now_took = now - at;
                self.round_trip =
                    Some(self.round_trip.map_or(now_took, |usual| Span((usual.0 * 7 + now_took.0) / 8)));
            }
        }
        for have in have {
            // Only sources that frames told of have a place.
            let Some(place) = self.places.get_mut(&have.source) else { continue };
            if place.incarnation == have.incarnation {
                place.acked(have.number);
            }
        }
        // What a frame up to this one carried has come by now, or not at all.
        for place in self.places.values_mut() {
            if place.frames.front().is_some_and(|(_, carried_by)| *carried_by <= frame) {
                place.rewind();
            }
        }
    }

    /// Begins a move.
    fn offer(&mut self, now: Time, own: MemberId, to: MemberId) -> Effect {
        self.told_number += 1;
        let fence = Fence { number: self.told_number, carrier: to, ..self.fence };
        self.proposal = Some(Proposal { fence, first: now, told: now });
        self.proposed = Some(now);
        take(own, self)
    }

    /// The next frame of what it lacks, and its bytes.
    fn fill(&mut self, now: Time, logs: &Logs, set: &Set) -> Option<(Said, usize)> {
        if self.flying.front().is_some_and(|(_, _, at)| now - *at > self.resend_after(set)) {
            self.silent = self.silent.saturating_add(1);
            self.flying.clear();
            self.places.values_mut().for_each(Place::rewind);
        }
        let flying: usize = self.flying.iter().map(|(_, bytes, _)| bytes).sum();
        let window = if self.class.slow { set.slow_window } else { set.window };
        // One that was silent is asked with little.
        let window = if self.class.slow && self.silent > 0 { 1 } else { window };
        if flying >= window
            || self.flying.len() >= MOST_FLYING
            || self.stamp.is_none() && !self.flying.is_empty()
        {
            return None;
        }
        let (mut bytes, mut segments) = (0, Vec::new());
        for (source, log) in logs {
            if segments.len() >= set.most_segments || bytes >= set.frame_bytes {
                break;
            }
            let Some((sent, _)) = self.place(*source, log) else { continue };
            let room = set.frame_bytes - bytes;
            let Some((segment, cost)) = log.segment(now, *source, sent, room) else { continue };
            // The first item goes in whatever its size: a frame that has something already takes no big one
            // more.
            if bytes > 0 && cost > room {
                continue;
            }
            let place = self.places.entry(*source).or_default();
            if place.incarnation != log.incarnation {
                *place = Place::new(log.incarnation, 0);
            }
            place.sent = segment.up_to;
            place.frames.push_back((segment.up_to, self.frame + 1));
            bytes += cost;
            segments.push(segment);
        }
        if segments.is_empty() {
            return None;
        }
        let said = self.say(now, segments);
        self.flying.push_back((self.frame, bytes, now));
        Some((said, bytes))
    }

    fn say(&mut self, now: Time, segments: Vec<super::Segment>) -> Said {
        self.frame += 1;
        self.told = now;
        let echo = self.stamp.map(|(stamp, at)| Echo { stamp, held: now - at });
        Said::Carry { fence: self.fence, frame: self.frame, echo, class: self.class, segments }
    }
}

/// What one round of deciding needs of the others.
pub(super) struct Others<'a> {
    /// What the living others last told of themselves, and when.
    pub about: &'a [(MemberId, About, Time)],
    /// How far this member itself is behind the sources.
    pub behind: Span,
}

impl Others<'_> {
    fn with_followers(&self) -> usize {
        self.about.iter().filter(|(_, about, _)| about.followers > 0).count()
    }
}

#[derive(Clone, Debug)]
pub(super) struct Carrier {
    own: MemberId,
    carried: BTreeMap<MemberId, Carried>,
    /// Who begins the next round, of the others and of the slow ones.
    turn: [MemberId; 2],
    /// Bytes a round to followers that aren't slow.
    usual: f64,
    lag: Span,
    /// Since when all of them lag against the other members' followers.
    all_lag: Option<Time>,
    woken: Time,
    quiet_until: Time,
    pub moves: u64,
}

impl Carrier {
    pub fn new(own: MemberId, now: Time) -> Carrier {
        Carrier {
            own,
            carried: BTreeMap::new(),
            turn: [MemberId(0); 2],
            usual: 0.0,
            lag: Span::ZERO,
            all_lag: None,
            woken: now,
            quiet_until: now,
            moves: 0,
        }
    }

    pub fn about(&self, set: &Set) -> About {
        let slow = self.carried.values().filter(|one| one.class.slow).count();
        let places = self.carried.len() < set.most_followers;
        let room = set.budget as f64 - self.usual - slow as f64 * f64::from(self.need());
        let room = if places { room.max(0.0) as u32 } else { 0 };
        About { followers: (self.carried.len() - slow) as u16, slow: slow as u16, room, lag: self.lag }
    }

    /// What one follower takes of a round's budget, bytes.
    fn need(&self) -> u32 {
        let count = self.carried.values().filter(|one| !one.class.slow).count();
        (self.usual / count.max(1) as f64) as u32 + 1
    }

    pub fn carried(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.carried.iter().map(|(id, one)| (*id, one.class.slow))
    }

    /// Followers' places and frames in flight.
    pub fn size(&self) -> (usize, usize) {
        let sizes = self.carried.values().map(|one| (one.places.len(), one.flying.len()));
        sizes.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// A follower's own word.
    pub fn heard_follower(
        &mut self,
        now: Time,
        from: MemberId,
        said: Said,
        set: &Set,
        out: &mut VecDeque<Effect>,
    ) {
        match said {
            Said::Ask { fence, stamp, class, have } if fence.carrier == self.own => {
                if have.len() > set.most_sources {
                    return;
                }
                let known = self.carried.get(&from);
                if known.is_some_and(|known| known.fence >= fence) {
                    return;
                }
                if known.is_none() && self.carried.len() >= set.most_followers {
                    out.push_back(Effect::Tell { to: from, said: Said::Refuse { fence } });
                    return;
                }
                let mut carried = Carried::new(now, fence, &have, class);
                carried.stamp = Some((stamp, now));
                carried.moved = class.slow.then_some(now);
                self.carried.insert(from, carried);
            }
            Said::Ack { fence, frame, stamp, have } => {
                let Some(carried) = self.carried.get_mut(&from) else { return };
                if carried.fence == fence && have.len() <= set.most_sources {
                    carried.acked(now, frame, stamp, &have);
                }
            }
            // Another carries it by a newer fence.
            Said::Released { fence } if self.carried.get(&from).is_some_and(|known| known.fence < fence) => {
                self.carried.remove(&from);
            }
            _ => {}
        }
    }

    /// Another member's word on a move.
    pub fn heard_member(
        &mut self,
        now: Time,
        from: MemberId,
        said: Said,
        set: &Set,
        out: &mut VecDeque<Effect>,
    ) {
        match said {
            Said::Take { follower, fence, stamp, have, class } if fence.carrier == self.own => {
                if have.len() > set.most_sources {
                    return;
                }
                let known = self.carried.get(&follower).map(|known| known.fence);
                let room = self.carried.len() < set.most_followers;
                let said = match known {
                    Some(known) if known >= fence => Said::Taken { follower, fence },
                    None if !room => Said::Full { follower, fence },
                    _ => {
                        let mut carried = Carried::new(now, fence, &have, class);
                        // How long the other held it is left out: the bound only gets looser.
                        carried.stamp = stamp.map(|stamp| (stamp, now));
                        carried.moved = Some(now);
                        self.carried.insert(follower, carried);
                        Said::Taken { follower, fence }
                    }
                };
                out.push_back(Effect::Tell { to: from, said });
            }
            Said::Taken { follower, fence } if fence.carrier == from => {
                let proposed = self.carried.get(&follower).and_then(|one| one.proposal);
                if proposed.is_some_and(|proposal| proposal.fence == fence) {
                    self.carried.remove(&follower);
                    self.moves += 1;
                    out.push_back(Effect::Tell { to: follower, said: Said::Moved { fence } });
                }
            }
            Said::Full { follower, fence } => {
                if let Some(one) = self.carried.get_mut(&follower) {
                    if one.proposal.is_some_and(|proposal| proposal.fence == fence) {
                        one.proposal = None;
                    }
                }
            }
            _ => {}
        }
    }

    pub fn woken(&mut self, now: Time, logs: &Logs, others: &Others, set: &Set, out: &mut VecDeque<Effect>) {
        // After standing still itself, nobody's lag is the follower's.
        if now - self.woken > Span(set.round.0 * 4) {
            self.quiet_until = now + set.slow_after;
        }
        self.woken = now;
        self.carried.retain(|_, one| now - one.heard <= set.gone_after);
        if set.regroup {
            self.group(now, logs, others, set);
            self.propose(now, others, set, out);
        }
        self.send(now, logs, set, out);
    }

    fn send(&mut self, now: Time, logs: &Logs, set: &Set, out: &mut VecDeque<Effect>) {
        let mut left = set.budget;
        for slow in [false, true] {
            let turn = self.turn[usize::from(slow)];
            let ids: Vec<MemberId> = self
                .carried
                .range(turn..)
                .chain(self.carried.range(..turn))
                .filter(|(_, one)| one.class.slow == slow)
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                let Some(one) = self.carried.get_mut(&id) else { continue };
                while left > 0 {
                    let Some((said, bytes)) = one.fill(now, logs, set) else { break };
                    left = left.saturating_sub(bytes);
                    out.push_back(Effect::Tell { to: id, said });
                }
                if left == 0 {
                    self.turn[usize::from(slow)] = id;
                    break;
                }
            }
            if !slow {
                self.usual += ((set.budget - left) as f64 - self.usual) / 20.0;
            }
        }
        for (id, one) in self.carried.iter_mut().filter(|(_, one)| now - one.told >= set.beat) {
            out.push_back(Effect::Tell { to: *id, said: one.say(now, Vec::new()) });
        }
    }

    pub fn give(&mut self, now: Time, follower: MemberId, to: MemberId) -> Option<Effect> {
        self.carried.get_mut(&follower).map(|one| one.offer(now, follower, to))
    }

    fn group(&mut self, now: Time, logs: &Logs, others: &Others, set: &Set) {
        let lags: BTreeMap<MemberId, Span> =
            self.carried.iter().map(|(id, one)| (*id, one.lag(now, logs))).collect();
        let mut group: Vec<Span> =
            self.carried.iter().filter(|(_, one)| !one.class.slow).map(|(id, _)| lags[id]).collect();
        group.sort();
        let own = lower_median(&group);
        self.lag = own.unwrap_or(Span::ZERO) + others.behind;
        let limit = |usual: Span| usual.times(set.slow_times) + set.slow_floor;
        // What the others told since before this member's followers began to lag says nothing of now.
        let told = |after: Time| {
            let fresh = others.about.iter().filter(|(_, about, at)| about.followers > 0 && *at >= after);
            let mut told: Vec<Span> = fresh.map(|(_, about, _)| about.lag).collect();
            told.sort();
            (told.len(), lower_median(&told))
        };
        let fleet = told(now - set.about_for).1;
        // So many of the others must have told since.
        let enough = others.with_followers().clamp(1, 3);
        let cause = fleet.is_some_and(|fleet| {
            let lag = |one: &&Span| **one + others.behind > limit(fleet);
            group.len() >= 2 && group.iter().filter(lag).count() * 5 >= group.len() * 4
        });
        match (cause, self.all_lag) {
            (false, _) => self.all_lag = None,
            (true, None) => self.all_lag = Some(now),
            _ => {}
        }
        let usual = if group.len() >= 3 { own } else { fleet };
        let mut shown = usual.or(fleet).unwrap_or(Span::ZERO);
        if cause {
            shown = shown.max(own.unwrap_or(Span::ZERO));
        }
        let mut found = false;
        for (id, one) in &mut self.carried {
            let lag = lags[id];
            if lag > limit(shown) && now >= self.quiet_until {
                one.keeps_up = None;
                one.lags = one.lags.or(Some(now));
            } else {
                one.lags = None;
                if Span(lag.0 * 2) <= limit(shown) && now - one.heard <= Span(set.beat.0 * 3) {
                    one.keeps_up = one.keeps_up.or(Some(now));
                } else {
                    one.keeps_up = None;
                }
            }
            let lags_for = one.lags.map_or(Span::ZERO, |since| now - since);
            let keeps_for = one.keeps_up.map_or(Span::ZERO, |since| now - since);
            let back_after = Span(set.back_after.0 << one.class.relapses.min(16)).min(set.back_most);
            // A group of one or two shows nothing: the others' word since then must.
            let vouched = || {
                group.len() >= 3
                    || one.lags.is_some_and(|since| {
                        let (count, fleet) = told(since);
                        count >= enough && fleet.is_some_and(|fleet| lag > limit(fleet))
                    })
            };
            if !one.class.slow && !cause && lags_for >= set.slow_after && vouched() {
                one.class.slow = true;
                one.proposal = None;
                found = true;
            } else if one.class.slow && keeps_for >= back_after {
                one.class.slow = false;
                one.leaves = true;
                one.class.relapses = one.class.relapses.saturating_add(1);
                one.proposal = None;
                one.keeps_up = None;
            } else if !one.class.slow && one.class.relapses > 0 && keeps_for >= Span(set.back_most.0 * 2) {
                one.class.relapses -= 1;
                one.keeps_up = None;
            }
        }
        if found {
            // The others may have lagged because of these alone.
            self.carried.values_mut().filter(|one| !one.class.slow).for_each(|one| one.lags = None);
        }
        self.all_lag = self.all_lag.filter(|since| {
            let waits = now - *since < set.cause_after;
            let (count, since_then) = told(*since);
            waits || count < enough || since_then.is_some_and(|fleet| self.lag > limit(fleet))
        });
    }

    fn propose(&mut self, now: Time, others: &Others, set: &Set, out: &mut VecDeque<Effect>) {
        let fresh = || others.about.iter().filter(|(_, _, at)| now - *at <= set.about_for);
        let since = self.all_lag.filter(|since| now - *since >= set.cause_after);
        let told = |since: Time| {
            others.about.iter().filter(move |(_, about, at)| about.followers > 0 && *at >= since)
        };
        let told = since.map_or(0, |since| told(since).count());
        let leave = told > 0 && told >= others.with_followers().min(3);
        let (mut own, need) = (self.about(set), self.need());
        let least = fresh().map(|(_, about, _)| about.lag).min().unwrap_or(Span::ZERO);
        let is_well = |about: &About| about.lag <= least.times(set.slow_times) + set.slow_floor;
        let fits = || fresh().filter(|(_, about, _)| about.room >= need && is_well(about));
        let widest = || fits().max_by_key(|(id, about, _)| (about.room, *id));
        let mut begun = 0;
        for (id, one) in &mut self.carried {
            if let Some(proposal) = &mut one.proposal {
                if now - proposal.first > set.propose_for {
                    one.proposal = None;
                } else if now - proposal.told >= set.ask_every {
                    proposal.told = now;
                    out.push_back(take(*id, one));
                }
                continue;
            }
            // Room comes and goes; a slow one gains little by following it.
            let stay = Span(set.stay.0 * if one.class.slow { 10 } else { 1 });
            let rests = one.moved.is_some_and(|at| now - at < stay)
                || one.proposed.is_some_and(|at| now - at < set.propose_for);
            // Few at a time, so that what the others tell of their room keeps up with what they get.
            if begun >= set.moves_a_round || rests && !(one.leaves && one.proposed.is_none()) {
                continue;
            }
            let target = if one.class.slow {
                // The slow ones gather where most of them are, as long as there is room.
                let most = fits()
                    .max_by_key(|(id, about, _)| (about.slow, *id))
                    .filter(|(_, about, _)| about.slow > 0);
                match most {
                    Some((to, about, _)) if (about.slow, *to) > (own.slow, self.own) || own.room == 0 => most,
                    None if own.room == 0 => widest(),
                    _ => None,
                }
            } else if leave {
                // Spread: all others see the same room.
                let mut to: Vec<_> = fits().collect();
                to.sort_by_key(|(id, _, _)| *id);
                let at = one.fence.number as usize + begun + id.0 as usize;
                to.get(at % to.len().max(1)).copied()
            } else if std::mem::take(&mut one.leaves) {
                widest().filter(|(_, about, _)| about.room > own.room.saturating_add(need))
            } else {
                None
            };
            let Some((to, ..)) = target else { continue };
            out.push_back(one.offer(now, *id, *to));
            own.slow = own.slow.saturating_sub(u16::from(one.class.slow));
            begun += 1;
        }
    }
}

fn take(follower: MemberId, one: &Carried) -> Effect {
    let have = |(source, place): (&MemberId, &Place)| Have {
        source: *source,
        incarnation: place.incarnation,
        number: place.acked,
    };
    let fence = one.proposal.map_or(one.fence, |proposal| proposal.fence);
    let said = Said::Take {
        follower,
        fence,
        stamp: one.stamp.map(|stamp| stamp.0),
        have: one.places.iter().map(have).collect(),
        class: one.class,
    };
    Effect::Tell { to: fence.carrier, said }
}

fn lower_median(sorted: &[Span]) -> Option<Span> {
    sorted.get(sorted.len().saturating_sub(1) / 2).copied()
}
