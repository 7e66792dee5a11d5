//! The carrier: reads the change log and passes its changes on to followers.
use super::held::HeldChanges;
use super::messages::{ChangeNumber, DeliveryMessage, Echo, Effect, LogId, Reason, Record, Stamp};
use super::settings::{Settings, MAX_CLOCK_RATIO};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Messages per follower whose last change is remembered, to detect a loss by the echo.
const REMEMBERED_MESSAGES: usize = 8;
/// Unacknowledged changes are resent after this many batches, doubled each time up to the maximum.
const RESEND_BATCHES: f64 = 3.0;
const MAX_RESEND_TIMEOUT: Span = Span::millis(4_000);
/// Full messages that may be sent in a row to a follower that lacks more than one message holds.
const BURST_MESSAGES: f64 = 4.0;

/// The state of one follower.
struct FollowerState {
    incarnation: Incarnation,
    acknowledged: ChangeNumber,
    /// The last change that was sent.
    sent: ChangeNumber,
    /// When the last message was sent, and the last one with changes.
    last_sent: Time,
    last_sent_changes: Time,
    /// Whether there were more changes than fitted into that message.
    has_more: bool,
    last_heard: Time,
    /// Its latest stamp, and when it was received.
    stamp: Stamp,
    stamp_received: Time,
    /// When unacknowledged changes count as lost.
    resend_at: Time,
    resend_timeout: Span,
    /// Bytes that may be sent now, and when they were last refilled.
    allowance_bytes: f64,
    allowance_updated: Time,
    sent_messages: VecDeque<(Stamp, ChangeNumber)>,
}

impl FollowerState {
    fn is_behind(&self, newest: ChangeNumber) -> bool {
        self.sent < newest
    }

    /// Refills by one full message per batch, up to a burst.
    fn refill_allowance(&mut self, now: Time, settings: &Settings) {
        let message = settings.message_bytes as f64;
        let earned =
            message * (now - self.allowance_updated).as_seconds() / settings.batch_interval.as_seconds();
        self.allowance_bytes = (self.allowance_bytes + earned).min(BURST_MESSAGES * message);
        self.allowance_updated = now;
    }

    /// The follower has all changes up to `last`. If it has less than the message named by the echo
    /// contained, that message or an earlier one was lost.
    fn acknowledge(&mut self, now: Time, last: ChangeNumber, echo: Option<Echo>, batch: Span) {
        if last > self.acknowledged {
            self.resend_timeout = batch.times(RESEND_BATCHES);
            self.resend_at = now + self.resend_timeout;
        }
        self.acknowledged = last;
        self.sent = self.sent.max(last);
        let echoed = echo.and_then(|echo| self.sent_messages.iter().find(|(stamp, _)| *stamp == echo.stamp));
        if echoed.is_some_and(|(_, up_to)| last < *up_to) {
            self.sent = last;
            // Resends without waiting for the next batch.
            self.last_sent_changes = Time::default();
        }
    }

    /// Rewinds to the last acknowledged change after a timeout.
    fn check_for_losses(&mut self, now: Time) {
        if self.acknowledged < self.sent && now >= self.resend_at {
            self.sent = self.acknowledged;
            self.resend_timeout = (self.resend_timeout + self.resend_timeout).min(MAX_RESEND_TIMEOUT);
            self.resend_at = now + self.resend_timeout;
        }
    }
}

/// A carrier's side of the delivery.
pub struct Carrier {
    settings: Settings,
    changes: HeldChanges,
    /// The latest time at which the log had nothing newer than what is held.
    log_known_at: Option<Time>,
    followers: BTreeMap<MemberId, FollowerState>,
    /// The first follower that the bytes of a tick did not suffice for.
    next_served: Option<MemberId>,
    last_stamp: Stamp,
    effects: VecDeque<Effect>,
}

impl Carrier {
    /// `last`: the last change that the configuration includes; earlier ones are not carried.
    pub fn new(settings: Settings, last: ChangeNumber) -> Carrier {
        let changes = HeldChanges::new(last, settings.max_held_bytes);
        Carrier {
            settings,
            changes,
            log_known_at: None,
            followers: BTreeMap::new(),
            next_served: None,
            last_stamp: Stamp(0),
            effects: VecDeque::new(),
        }
    }

    /// The next effect. Call until there is none after each call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Number of followers carried.
    pub fn followers(&self) -> usize {
        self.followers.len()
    }

    /// Whether a follower is carried.
    pub fn carries(&self, follower: MemberId) -> bool {
        self.followers.contains_key(&follower)
    }

    /// The last change that it knows of.
    pub fn newest(&self) -> ChangeNumber {
        self.changes.newest()
    }

    /// Bytes of the changes that it holds.
    pub fn held_bytes(&self) -> usize {
        self.changes.bytes()
    }

    /// Adds a change that was read from the log.
    pub fn add_change(&mut self, number: ChangeNumber, record: Record) {
        self.changes.push(number, record);
    }

    /// Notes a complete answer of the log: at `asked` the log had nothing newer than the changes read.
    pub fn note_log_answer(&mut self, asked: Time) {
        self.log_known_at = self.log_known_at.max(Some(asked));
    }

    /// Handles a follower's message.
    pub fn receive(&mut self, now: Time, from: MemberId, incarnation: Incarnation, message: DeliveryMessage) {
        match message {
            DeliveryMessage::Follow { log, last, stamp, echo } => {
                if let Err(reason) = self.handle_follow(now, from, incarnation, log, last, (stamp, echo)) {
                    self.refuse(from, reason);
                }
            }
            DeliveryMessage::Unfollow => {
                self.followers.remove(&from);
            }
            DeliveryMessage::Changes { .. }
            | DeliveryMessage::NotCarried { .. }
            | DeliveryMessage::Leaving => {}
        }
    }

    fn refuse(&mut self, to: MemberId, reason: Reason) {
        let (log, retry_after) = (self.settings.log, self.settings.carrier_timeout);
        let message = DeliveryMessage::NotCarried { log, reason, retry_after };
        self.effects.push_back(Effect::Send { to, message });
    }

    fn handle_follow(
        &mut self,
        now: Time,
        from: MemberId,
        incarnation: Incarnation,
        log: LogId,
        last: ChangeNumber,
        (stamp, echo): (Stamp, Option<Echo>),
    ) -> Result<(), Reason> {
        if log != self.settings.log {
            return Err(Reason::OtherLog);
        }
        let existing = self.followers.get(&from);
        if existing.is_some_and(|state| incarnation < state.incarnation) {
            return Ok(());
        }
        let is_new = existing.is_none_or(|state| state.incarnation < incarnation);
        if is_new {
            self.check_capacity(now, from)?;
            self.followers.insert(from, self.new_follower(now, incarnation, last));
        }
        let Some(state) = self.followers.get_mut(&from) else { return Ok(()) };
        // Guards against reordered acknowledgements.
        if stamp < state.stamp {
            return Ok(());
        }
        (state.last_heard, state.stamp, state.stamp_received) = (now, stamp, now);
        state.acknowledge(now, last, echo, self.settings.batch_interval);
        if is_new {
            self.send_changes(now, from);
        }
        Ok(())
    }

    /// Whether one more follower can be carried.
    fn check_capacity(&self, now: Time, follower: MemberId) -> Result<(), Reason> {
        if self.followers.len() >= self.settings.max_followers && !self.followers.contains_key(&follower) {
            return Err(Reason::Full);
        }
        match self.log_known_at {
            Some(asked) if now - asked <= self.settings.max_log_age => Ok(()),
            _ => Err(Reason::Stale),
        }
    }

    fn new_follower(&self, now: Time, incarnation: Incarnation, last: ChangeNumber) -> FollowerState {
        let resend_after = self.settings.batch_interval.times(RESEND_BATCHES);
        FollowerState {
            incarnation,
            acknowledged: last,
            sent: last,
            last_sent: Time::default(),
            last_sent_changes: Time::default(),
            has_more: false,
            last_heard: now,
            stamp: Stamp(0),
            stamp_received: now,
            resend_at: now + resend_after,
            resend_timeout: resend_after,
            allowance_bytes: BURST_MESSAGES * self.settings.message_bytes as f64,
            allowance_updated: now,
            sent_messages: VecDeque::new(),
        }
    }

    /// The periodic timer. Serves followers in turn, beginning with those for whom the bytes of the last tick
    /// did not suffice.
    pub fn tick(&mut self, now: Time) {
        let timeout = self.settings.follower_timeout;
        self.followers.retain(|_, state| now - state.last_heard <= timeout);
        let first = self.next_served.take();
        let order = self.followers.keys().filter(|id| Some(**id) >= first);
        let order = order.chain(self.followers.keys().filter(|id| Some(**id) < first));
        let order: Vec<MemberId> = order.copied().collect();
        let mut bytes_left = self.settings.round_bytes;
        for id in order {
            if !self.is_due(now, id) {
                continue;
            }
            if bytes_left < self.settings.message_bytes {
                self.next_served = self.next_served.or(Some(id));
                continue;
            }
            bytes_left = bytes_left.saturating_sub(self.send_changes(now, id));
        }
    }

    fn is_due(&mut self, now: Time, id: MemberId) -> bool {
        let (newest, settings) = (self.changes.newest(), &self.settings);
        let Some(state) = self.followers.get_mut(&id) else { return false };
        state.check_for_losses(now);
        state.refill_allowance(now, settings);
        // Changes that did not fit into the last message do not wait for the next batch.
        let may_send = state.has_more || now - state.last_sent_changes >= settings.batch_interval;
        let is_allowed = state.allowance_bytes >= settings.message_bytes as f64;
        now - state.last_sent >= settings.heartbeat || state.is_behind(newest) && may_send && is_allowed
    }

    /// Sends the changes a follower lacks, or a message that there are none; returns the bytes of the
    /// changes.
    fn send_changes(&mut self, now: Time, to: MemberId) -> usize {
        let Some(state) = self.followers.get_mut(&to) else { return 0 };
        let Some(records) = self.changes.after(state.sent, self.settings.message_bytes) else {
            // A follower that is ahead waits until this carrier has caught up.
            if state.sent <= self.changes.newest() {
                self.followers.remove(&to);
                self.refuse(to, Reason::NotHeld);
            }
            return 0;
        };
        let Some(known_at) = self.log_known_at else { return 0 };
        self.last_stamp = Stamp(self.last_stamp.0 + 1);
        let (after, bytes): (_, usize) = (state.sent, records.iter().map(|record| record.len()).sum());
        state.sent = after.plus(records.len());
        state.last_sent = now;
        if !records.is_empty() {
            state.last_sent_changes = now;
        }
        state.has_more = state.sent < self.changes.newest();
        state.allowance_bytes -= bytes as f64;
        state.sent_messages.push_back((self.last_stamp, state.sent));
        if state.sent_messages.len() > REMEMBERED_MESSAGES {
            state.sent_messages.pop_front();
        }
        let message = DeliveryMessage::Changes {
            log: self.settings.log,
            after,
            records,
            newest: self.changes.newest(),
            age: (now - known_at).times(MAX_CLOCK_RATIO),
            stamp: self.last_stamp,
            echo: Echo { stamp: state.stamp, held: now - state.stamp_received },
        };
        self.effects.push_back(Effect::Send { to, message });
        bytes
    }

    /// Announces the shutdown of this process to all followers.
    pub fn shut_down(&mut self) {
        for to in std::mem::take(&mut self.followers).into_keys() {
            self.effects.push_back(Effect::Send { to, message: DeliveryMessage::Leaving });
        }
    }
}
