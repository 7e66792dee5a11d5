//! The five rooms as one: what comes from others goes to its room, what one room says of a member or an item goes to
//! the rooms that need it, and what has to leave the house comes out by `next`.
use crate::common::{Incarnation, MemberId};
use crate::feed::{self, Feed};
use crate::limits::{self, Key, Limits};
use crate::members::{self, Members, Standing};
use crate::rollout::{self, Rollout};
use crate::verdicts::{self, Finding, Kind, UsedBy, Verdicts};
use cherrypass::ids::{HostId, LocationId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// What the feed's keys of verdicts begin with.
const VERDICT: u8 = b'v';

/// A room that is absent is off.
#[derive(Clone, Debug, Default)]
pub struct Set {
    pub members: members::Set,
    pub limits: Option<limits::Set>,
    pub verdicts: Option<verdicts::Set>,
    /// Only there with verdicts or followers.
    pub feed: feed::Set,
    pub rollout: Option<rollout::Set>,
}

/// What goes between members.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Members(members::Said),
    Limits(limits::Message),
    Feed(feed::Said),
    Rollout(rollout::Said),
}

/// What was not taken of another's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Void {
    /// Of no one listed, or of a follower that says what only members say.
    Unlisted,
    /// Of a run that a newer one has followed, or that is to start in the future.
    Run,
    /// The room it is for is off here.
    Off,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Tell {
        to: MemberId,
        message: Message,
    },
    /// The dispatcher's part of a limit; `Fleet::taken` once it is in force there.
    Part {
        key: Key,
        amount: f64,
        until: Time,
        after: f64,
    },
    Hearsay {
        host: HostId,
        since: Option<Incarnation>,
        kind: Kind,
        weight: f64,
        until: Time,
        age: Span,
        tellers: u8,
    },
    Withdraw {
        host: HostId,
    },
    /// To be synced; then `Fleet::kept`.
    Keep {
        ticket: u64,
        record: rollout::Record,
    },
    /// Rules in force here from now on; or `Fleet::not_taken`.
    InForce {
        number: u64,
        text: String,
    },
    Changed {
        who: MemberId,
        standing: Standing,
        incarnation: Incarnation,
    },
    OwnTrouble(bool),
    /// A newer process runs under this one's name: this one says no more.
    SteppedDown,
    /// An item of the feed came, or a state instead of all items up to a number.
    Delivered {
        source: MemberId,
        incarnation: Incarnation,
        number: u64,
        state: bool,
    },
    Log(String),
}

pub struct Fleet {
    own: MemberId,
    locations: BTreeMap<MemberId, LocationId>,
    followers: Vec<MemberId>,
    members: Members,
    limits: Option<Limits>,
    verdicts: Option<Verdicts>,
    feed: Option<Feed>,
    rollout: Option<Rollout>,
    stepped_down: bool,
    ready: VecDeque<Effect>,
}

impl Fleet {
    /// `listed`: all members, this one among them. `every`: the one periodic timer's. `kept`: what `Effect::Keep`
    /// gave out in earlier runs.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        set: Set,
        own: MemberId,
        incarnation: Incarnation,
        listed: &[(MemberId, LocationId)],
        followers: &[MemberId],
        kept: Vec<rollout::Record>,
        every: Span,
        seed: u64,
        now: Time,
    ) -> Fleet {
        let ids: Vec<MemberId> = listed.iter().map(|(id, _)| *id).collect();
        let locations: BTreeMap<MemberId, LocationId> = listed.iter().copied().collect();
        let location = locations.get(&own).copied().unwrap_or_default();
        let limits = set.limits.map(|set| {
            let set = limits::Set { round: every, ..set };
            Limits::new(set, own, incarnation, &ids, seed ^ 1, now)
        });
        let with_feed = set.verdicts.is_some() || !followers.is_empty();
        let feed = with_feed.then(|| {
            let set = feed::Set { round: every, ..set.feed };
            Feed::new(set, own, incarnation, &ids, followers, seed ^ 2, now)
        });
        let verdicts = set.verdicts.map(|set| Verdicts::new(set, own, location, incarnation, seed ^ 3, now));
        let rollout =
            set.rollout.map(|set| Rollout::new(set, own, location, incarnation, listed, kept, seed ^ 4, now));
        Fleet {
            own,
            locations,
            followers: followers.to_vec(),
            members: Members::new(set.members, own, incarnation, listed, seed, now),
            limits,
            verdicts,
            feed,
            rollout,
            stepped_down: false,
            ready: VecDeque::new(),
        }
    }

    pub fn has_stepped_down(&self) -> bool {
        self.stepped_down
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn limits(&self) -> Option<&Limits> {
        self.limits.as_ref()
    }

    pub fn feed(&self) -> Option<&Feed> {
        self.feed.as_ref()
    }

    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// A message of another. Where it is void nothing has changed.
    pub fn heard(
        &mut self,
        now: Time,
        from: MemberId,
        incarnation: Incarnation,
        message: Message,
    ) -> Result<(), Void> {
        if self.stepped_down {
            return Ok(());
        }
        if !self.locations.contains_key(&from) {
            return match (message, &mut self.feed) {
                (Message::Feed(said), Some(feed)) if self.followers.contains(&from) => {
                    feed.heard(now, from, said);
                    Ok(())
                }
                _ => Err(Void::Unlisted),
            };
        }
        let current = self.members.accept(now, from, incarnation);
        if let Message::Members(said) = message {
            // Also of an older run: it learns so of the newer one.
            self.members.receive(now, from, said);
            return if current { Ok(()) } else { Err(Void::Run) };
        }
        if !current {
            return Err(Void::Run);
        }
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.came(now, from, incarnation);
        }
        match (message, &mut self.limits, &mut self.feed, &mut self.rollout) {
            (Message::Limits(said), Some(limits), ..) => limits.receive(now, from, said),
            (Message::Feed(said), _, Some(feed), _) => feed.heard(now, from, said),
            (Message::Rollout(said), .., Some(rollout)) => rollout.heard(now, from, said),
            _ => return Err(Void::Off),
        }
        Ok(())
    }

    /// The one periodic timer.
    pub fn woken(&mut self, now: Time) {
        if let Some(limits) = &mut self.limits {
            limits.tick(now);
        }
        if self.stepped_down {
            return;
        }
        self.members.tick(now);
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.woken(now);
        }
        // What this round's verdicts publish goes out in this round.
        while let Some(effect) = self.next_of_verdicts(now) {
            self.ready.push_back(effect);
        }
        if let Some(feed) = &mut self.feed {
            feed.woken(now);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.woken(now);
        }
    }

    /// This process leaves in order.
    pub fn leave(&mut self, now: Time) {
        self.members.leave(now);
    }

    /// What the dispatcher would use of a limit if it could; to be told again at least every 10 s.
    pub fn wants(&mut self, now: Time, key: Key, amount: f64) {
        if let Some(limits) = &mut self.limits {
            limits.set_demand(now, key, amount);
        }
    }

    /// The last part that was pulled for this key is in force with the dispatcher.
    pub fn taken(&mut self, now: Time, key: Key) {
        if let Some(limits) = &mut self.limits {
            limits.confirm_applied(now, key);
        }
    }

    pub fn found(&mut self, now: Time, finding: Finding) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.found(now, finding);
        }
    }

    pub fn cleared(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.cleared(now, host);
        }
    }

    pub fn weighed(&mut self, now: Time, tellers: u8, part: f64) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.weighed(now, tellers, part);
        }
    }

    pub fn refuted(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.refuted(now, host);
        }
    }

    pub fn listed(&mut self, now: Time, host: HostId, since: Option<Incarnation>, used_by: UsedBy) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.listed(now, host, since, used_by);
        }
    }

    pub fn unlisted(&mut self, now: Time, host: HostId) {
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.unlisted(now, host);
        }
    }

    pub fn counted(&mut self, now: Time, figures: rollout::Figures) {
        if let Some(rollout) = &mut self.rollout {
            rollout.counted(now, figures);
        }
    }

    /// None where the rollout is off.
    pub fn order(&mut self, now: Time, order: rollout::Order) -> Option<Result<(), rollout::Error>> {
        Some(self.rollout.as_mut()?.order(now, order))
    }

    pub fn not_taken(&mut self, now: Time, number: u64, why: &str) {
        if let Some(rollout) = &mut self.rollout {
            rollout.refused(now, number, why);
        }
    }

    pub fn kept(&mut self, now: Time, ticket: u64, well: bool) {
        if let Some(rollout) = &mut self.rollout {
            rollout.kept(now, ticket, well);
        }
    }

    /// `now`: of the call before, for what is told has ages of that time.
    pub fn next(&mut self, now: Time) -> Option<Effect> {
        loop {
            let found = self.ready.pop_front().or_else(|| self.next_of_members(now));
            let found = found.or_else(|| self.next_of_limits());
            let found = found.or_else(|| self.next_of_feed(now));
            let found = found.or_else(|| self.next_of_verdicts(now));
            let found = found.or_else(|| self.next_of_rollout())?;
            // Guards against two processes under one name that both grant and vote.
            if !(self.stepped_down && matches!(found, Effect::Tell { .. } | Effect::InForce { .. })) {
                return Some(found);
            }
        }
    }

    fn next_of_members(&mut self, now: Time) -> Option<Effect> {
        Some(match self.members.next()? {
            members::Effect::Send { to, message } => Effect::Tell { to, message: Message::Members(message) },
            members::Effect::Changed { who, standing, incarnation } => {
                self.stands(now, who, !matches!(standing, Standing::Dead | Standing::Left));
                Effect::Changed { who, standing, incarnation }
            }
            members::Effect::LinksDegraded(trouble) => {
                if let Some(verdicts) = &mut self.verdicts {
                    verdicts.own_trouble(now, trouble);
                }
                Effect::OwnTrouble(trouble)
            }
            members::Effect::SteppedDown => {
                self.stepped_down = true;
                if let Some(limits) = &mut self.limits {
                    limits.step_down(now);
                }
                Effect::SteppedDown
            }
            members::Effect::Log(line) => Effect::Log(line),
        })
    }

    fn stands(&mut self, now: Time, who: MemberId, alive: bool) {
        if let Some(limits) = &mut self.limits {
            limits.set_alive(now, who, alive);
        }
        if let Some(feed) = &mut self.feed {
            feed.standing(now, who, alive);
        }
        if let (Some(verdicts), Some(location)) = (&mut self.verdicts, self.locations.get(&who)) {
            verdicts.standing(now, who, *location, alive);
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.standing(now, who, alive);
        }
    }

    fn next_of_limits(&mut self) -> Option<Effect> {
        Some(match self.limits.as_mut()?.next()? {
            limits::Effect::Send { to, message } => Effect::Tell { to, message: Message::Limits(message) },
            limits::Effect::Allowance { key, amount, until, after } => {
                Effect::Part { key, amount, until, after }
            }
            limits::Effect::Log(line) => Effect::Log(line),
        })
    }

    fn next_of_feed(&mut self, now: Time) -> Option<Effect> {
        Some(match self.feed.as_mut()?.next()? {
            feed::Effect::Tell { to, said } => Effect::Tell { to, message: Message::Feed(said) },
            feed::Effect::Deliver { source, incarnation, number, key, value, age } => {
                self.delivered(now, source, incarnation, &key, &value, age);
                Effect::Delivered { source, incarnation, number, state: false }
            }
            feed::Effect::State { source, incarnation, up_to, items } => {
                for item in items {
                    self.delivered(now, source, incarnation, &item.key, &item.value, item.age);
                }
                Effect::Delivered { source, incarnation, number: up_to, state: true }
            }
            feed::Effect::Log(line) => Effect::Log(line),
        })
    }

    /// What is published for a room that isn't known here is passed over.
    fn delivered(
        &mut self,
        now: Time,
        source: MemberId,
        incarnation: Incarnation,
        key: &[u8],
        value: &[u8],
        age: Span,
    ) {
        let location = self.locations.get(&source).copied();
        let (Some(verdicts), Some(location)) = (&mut self.verdicts, location) else { return };
        if key.first() != Some(&VERDICT) || source == self.own {
            return;
        }
        let said = postcard::from_bytes::<verdicts::Said>(value).ok();
        if let Some(said) = said.filter(|said| said.incarnation == incarnation) {
            verdicts.heard(now, source, location, age, said);
        }
    }

    fn next_of_verdicts(&mut self, now: Time) -> Option<Effect> {
        loop {
            return Some(match self.verdicts.as_mut()?.next()? {
                verdicts::Effect::Publish { key, said, hold } => match self.put(now, key, &said, hold) {
                    Some(line) => Effect::Log(line),
                    None => continue,
                },
                verdicts::Effect::Hearsay { host, since, kind, weight, until, age, tellers } => {
                    Effect::Hearsay { host, since, kind, weight, until, age, tellers }
                }
                verdicts::Effect::Withdraw { host } => Effect::Withdraw { host },
                verdicts::Effect::Log(line) => Effect::Log(line),
            });
        }
    }

    /// Why it could not be published.
    fn put(&mut self, now: Time, mut key: Vec<u8>, said: &verdicts::Said, hold: Span) -> Option<String> {
        key.insert(0, VERDICT);
        let value = postcard::to_stdvec(said).ok()?;
        let refused = self.feed.as_mut()?.publish(now, key, value, hold).err()?;
        Some(format!("verdicts: not told to others ({}): {refused}", refused.code()))
    }

    fn next_of_rollout(&mut self) -> Option<Effect> {
        Some(match self.rollout.as_mut()?.next()? {
            rollout::Effect::Tell { to, said } => Effect::Tell { to, message: Message::Rollout(said) },
            rollout::Effect::Keep { ticket, record } => Effect::Keep { ticket, record },
            rollout::Effect::InForce { number, text } => Effect::InForce { number, text },
            rollout::Effect::Log(line) => Effect::Log(line),
        })
    }
}
