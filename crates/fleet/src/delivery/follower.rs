//! The follower: receives the change log's changes from a carrier and reads the log itself if there is none.
use super::messages::{ChangeNumber, DeliveryMessage, Echo, Effect, Reason, Record, Stamp};
use super::settings::{Settings, MIN_CLOCK_RATIO};
use crate::common::{rendezvous_order, MemberId};
use cherrypass::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Own stamps that are remembered; an echo of an older one proves nothing.
const REMEMBERED_STAMPS: usize = 64;
/// After a pass over all carriers without success the wait doubles, up to this many times
/// [`Settings::carrier_timeout`]. Guards against all followers asking at their full rate while every carrier is
/// lost or full.
const MAX_WAIT_FACTOR: f64 = 8.0;
/// The fraction of [`Settings::carrier_timeout`] within which a carrier has to answer a request. It answers at
/// once, and a lost request costs less than a carrier that is given up.
const ANSWER_FRACTION: f64 = 0.5;

/// A follower's side of the delivery.
pub struct Follower {
    settings: Settings,
    /// All carriers, in the order in which this follower asks them.
    carriers: Vec<MemberId>,
    /// The index of the carrier, or of the one that is asked.
    candidate: usize,
    is_carried: bool,
    /// The index of another carrier that is asked while the present one proves nothing new, and when it was
    /// asked.
    probed_carrier: usize,
    last_probe: Time,
    /// Carriers asked without success in this pass over all of them, and passes without success.
    tried_in_pass: usize,
    failed_passes: i32,
    last_asked: Time,
    last_heard: Time,
    last_sent: Time,
    last: ChangeNumber,
    /// When a carrier last delivered or proved anything new.
    last_progress: Time,
    /// All changes that the log had at this time have been delivered or read.
    known_up_to: Time,
    stamps: VecDeque<(Stamp, Time)>,
    /// The carrier's latest stamp, and when it was received.
    carrier_stamp: Option<(Stamp, Time)>,
    reads_log: bool,
    /// When the log is to be read directly, if no carrier proves anything before.
    read_log_at: Time,
    rng: Pcg64Mcg,
    effects: VecDeque<Effect>,
}

impl Follower {
    /// `last`: the last change that is known at the start.
    pub fn new(
        settings: Settings,
        own: MemberId,
        carriers: &[MemberId],
        last: ChangeNumber,
        seed: u64,
        now: Time,
    ) -> Follower {
        let mut follower = Follower {
            carriers: rendezvous_order(own, carriers.iter().copied()),
            candidate: 0,
            is_carried: false,
            probed_carrier: 0,
            last_probe: now,
            tried_in_pass: 0,
            failed_passes: 0,
            last_asked: now,
            last_heard: now,
            last_sent: now,
            last,
            last_progress: now,
            known_up_to: now,
            stamps: VecDeque::new(),
            carrier_stamp: None,
            reads_log: false,
            read_log_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            effects: VecDeque::new(),
            settings,
        };
        follower.postpone_log_reading(now);
        follower.ask_candidate(now);
        follower
    }

    /// The next effect. Call until there is none after each call.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The last change that was delivered, or that the process read itself.
    pub fn last(&self) -> ChangeNumber {
        self.last
    }

    /// Whether the log is read directly.
    pub fn reads_log(&self) -> bool {
        self.reads_log
    }

    /// The carrier, if one has been heard.
    pub fn carrier(&self) -> Option<MemberId> {
        self.carriers.get(self.candidate).copied().filter(|_| self.is_carried)
    }

    /// Notes that this process has read the log itself up to `last`; `asked`: when the request was sent, if
    /// its answer was complete.
    pub fn note_log_read(&mut self, last: ChangeNumber, asked: Option<Time>) {
        self.last = self.last.max(last);
        if let Some(asked) = asked.filter(|_| last >= self.last) {
            self.advance_known_up_to(asked);
        }
    }

    fn advance_known_up_to(&mut self, at: Time) {
        if at > self.known_up_to {
            self.known_up_to = at;
            self.effects.push_back(Effect::KnownUpTo(at));
        }
    }

    /// Handles a message; senders that are no carriers are ignored.
    pub fn receive(&mut self, now: Time, from: MemberId, message: DeliveryMessage) {
        let Some(index) = self.carriers.iter().position(|carrier| *carrier == from) else { return };
        match message {
            DeliveryMessage::Changes { log, after, records, newest, age, stamp, echo }
                if log == self.settings.log =>
            {
                // Evaluated before this message, which may be the first one in a while with anything new.
                let was_stalled = self.is_stalled(now);
                let (before, has_all) = (self.last, self.deliver_new(after, records));
                if self.last > before {
                    self.last_progress = now;
                }
                if has_all && self.last >= newest {
                    self.apply_carrier_proof(now, echo, age);
                }
                self.note_carrier(now, index, stamp, was_stalled);
            }
            DeliveryMessage::NotCarried { reason, .. } if index == self.candidate => {
                self.handle_refusal(now, reason)
            }
            DeliveryMessage::Leaving if index == self.candidate => self.ask_next_candidate(now),
            _ => {}
        }
    }

    /// Delivers the new ones of these records. Returns whether no change before them is missing.
    fn deliver_new(&mut self, after: ChangeNumber, records: Vec<Record>) -> bool {
        let Some(delivered) = self.last.0.checked_sub(after.0) else { return false };
        let delivered = usize::try_from(delivered).unwrap_or(usize::MAX);
        if delivered < records.len() {
            let first = self.last.next();
            let records: Vec<Record> = records.into_iter().skip(delivered).collect();
            self.last = self.last.plus(records.len());
            self.effects.push_back(Effect::Deliver { first, records });
        }
        true
    }

    /// Advances the time up to which all changes are known: the carrier had this process's stamp for
    /// `echo.held` before it sent the message, and `age` before sending it the log had nothing newer.
    fn apply_carrier_proof(&mut self, now: Time, echo: Echo, age: Span) {
        let Some((_, sent_at)) = self.stamps.iter().find(|(stamp, _)| *stamp == echo.stamp) else { return };
        let sent = (*sent_at + echo.held.times(MIN_CLOCK_RATIO)).min(now);
        let at = sent - age;
        if at > self.known_up_to {
            self.last_progress = now;
        }
        self.advance_known_up_to(at);
        if now - at <= self.settings.max_log_age {
            self.postpone_log_reading(now);
            self.set_reads_log(false);
        }
    }

    /// Notes a message with changes. A carrier other than the present one is asked to stop, unless the present
    /// one is stalled and this is the one that was probed: then it takes over.
    fn note_carrier(&mut self, now: Time, index: usize, stamp: Stamp, was_stalled: bool) {
        if index != self.candidate {
            let takes_over = self.is_carried && index == self.probed_carrier && was_stalled;
            let replaced = if takes_over { self.candidate } else { index };
            self.effects
                .push_back(Effect::Send { to: self.carriers[replaced], message: DeliveryMessage::Unfollow });
            if !takes_over {
                return;
            }
            // It has as long as any newly asked carrier to prove something.
            (self.candidate, self.last_asked) = (index, now);
        }
        (self.is_carried, self.tried_in_pass, self.failed_passes, self.last_heard) = (true, 0, 0, now);
        self.carrier_stamp = Some((stamp, now));
        self.acknowledge(now);
    }

    fn handle_refusal(&mut self, now: Time, reason: Reason) {
        if reason == Reason::NotHeld {
            // Spreads the followers that lack the change over this span.
            self.read_log_at =
                self.read_log_at.min(now + self.settings.carrier_timeout.times(self.rng.gen_range(0.0..1.0)));
        }
        if reason == Reason::OtherLog {
            let carrier = self.carriers[self.candidate].0;
            self.effects.push_back(Effect::Log(format!("carrier {carrier:x} reads another change log")));
        }
        self.ask_next_candidate(now);
    }

    /// Acknowledges to the carrier, or asks the candidate to carry.
    fn acknowledge(&mut self, now: Time) {
        let Some(to) = self.carriers.get(self.candidate).copied() else { return };
        self.last_sent = now;
        let echo = self.carrier_stamp.map(|(stamp, received)| Echo { stamp, held: now - received });
        self.send_follow(now, to, echo);
    }

    fn send_follow(&mut self, now: Time, to: MemberId, echo: Option<Echo>) {
        let stamp = self.stamps.back().map_or(now.0, |(stamp, _)| now.0.max(stamp.0 + 1));
        let stamp = Stamp(stamp);
        self.stamps.push_back((stamp, now));
        if self.stamps.len() > REMEMBERED_STAMPS {
            self.stamps.pop_front();
        }
        let message = DeliveryMessage::Follow { log: self.settings.log, last: self.last, stamp, echo };
        self.effects.push_back(Effect::Send { to, message });
    }

    fn ask_candidate(&mut self, now: Time) {
        (self.last_asked, self.last_heard, self.is_carried, self.carrier_stamp) = (now, now, false, None);
        self.acknowledge(now);
    }

    /// Asks the next carrier, without a pause until all were asked.
    fn ask_next_candidate(&mut self, now: Time) {
        if self.carriers.is_empty() {
            return;
        }
        self.candidate = (self.candidate + 1) % self.carriers.len();
        self.tried_in_pass += 1;
        if self.tried_in_pass < self.carriers.len() {
            return self.ask_candidate(now);
        }
        self.failed_passes += 1;
        (self.last_asked, self.is_carried, self.carrier_stamp) = (now, false, None);
    }

    /// Whether all carriers were asked without success.
    fn has_tried_all(&self) -> bool {
        self.tried_in_pass >= self.carriers.len()
    }

    /// How long the candidate has to answer, or until the next pass begins.
    fn answer_timeout(&self) -> Span {
        self.settings.carrier_timeout.times(match self.has_tried_all() {
            true => 2.0_f64.powi(self.failed_passes).min(MAX_WAIT_FACTOR),
            false => ANSWER_FRACTION,
        })
    }

    fn postpone_log_reading(&mut self, now: Time) {
        self.read_log_at = now + self.settings.fallback_delay.times(self.rng.gen_range(1.0..2.0));
    }

    fn set_reads_log(&mut self, reads: bool) {
        if self.reads_log != reads {
            self.reads_log = reads;
            self.effects.push_back(Effect::ReadLog(reads));
        }
    }

    /// The periodic timer.
    pub fn tick(&mut self, now: Time) {
        if now >= self.read_log_at {
            self.set_reads_log(true);
        }
        if self.is_carried && self.is_stalled(now) && now - self.last_probe > self.settings.max_log_age {
            self.probe_another(now);
        }
        if self.is_carried && now - self.last_heard > self.settings.carrier_timeout {
            self.leave_carrier(now);
        } else if !self.is_carried && now - self.last_asked > self.answer_timeout() {
            self.handle_timeout(now);
        } else if self.is_carried && now - self.last_sent >= self.settings.heartbeat {
            self.acknowledge(now);
        }
    }

    /// Whether the carrier has delivered and proved nothing new for long.
    fn is_stalled(&self, now: Time) -> bool {
        now - self.last_progress.max(self.last_asked) > self.settings.max_log_age + self.settings.max_log_age
    }

    /// Asks the other carriers one after another while the present one stays. Guards against followers that
    /// all leave their carriers when the log itself is lost, and later return to all of them at once.
    fn probe_another(&mut self, now: Time) {
        self.last_probe = now;
        self.probed_carrier = (self.probed_carrier + 1) % self.carriers.len();
        if self.probed_carrier == self.candidate {
            self.probed_carrier = (self.probed_carrier + 1) % self.carriers.len();
        }
        if self.probed_carrier != self.candidate {
            self.send_follow(now, self.carriers[self.probed_carrier], None);
        }
    }

    fn leave_carrier(&mut self, now: Time) {
        let to = self.carriers[self.candidate];
        self.effects.push_back(Effect::Send { to, message: DeliveryMessage::Unfollow });
        self.ask_next_candidate(now);
    }

    /// The candidate did not answer, or the wait between passes is over.
    fn handle_timeout(&mut self, now: Time) {
        if self.has_tried_all() {
            self.tried_in_pass = 0;
            return self.ask_candidate(now);
        }
        self.ask_next_candidate(now);
    }

    /// Announces the shutdown of this process to the carrier.
    pub fn shut_down(&mut self) {
        if let Some(to) = self.carrier() {
            self.effects.push_back(Effect::Send { to, message: DeliveryMessage::Unfollow });
        }
    }
}
