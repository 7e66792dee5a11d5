//! Statuses: to whom they are sent, and what is kept of those of other members.
use super::messages::{Hello, RolloutMessage};
use super::state::{KnownRunner, Peer, Rollout};
use crate::common::{Incarnation, MemberId};
use cherrypass::time::Time;
use rand::Rng;
use std::collections::BTreeSet;

/// Least number of members that a status is sent to each time.
const MIN_HELLO_TARGETS: usize = 2;
/// The fraction of `silence_limit` within which all others are sent a status while nobody runs the rollout;
/// the rest allows for losses.
const HELLO_ROUND_FRACTION: f64 = 0.8;

impl Peer {
    /// Notes a status: `number` is the version being rolled out, `own` the receiver's run.
    fn note_status(&mut self, now: Time, hello: &Hello, number: u64, own: Incarnation) {
        if hello.incarnation > self.incarnation {
            let is_first = self.incarnation == Incarnation::default();
            if !is_first && (self.in_force == number || hello.in_force == number) {
                self.restarts = self.restarts.saturating_add(1);
            }
            (self.incarnation, self.windows_seen, self.own_windows_seen) = (hello.incarnation, 0, 0);
        }
        self.last_heard = Some(now);
        self.in_force = hello.in_force;
        self.starts = hello.starts;
        if hello.is_runner {
            let (run, number) = hello.windows_seen;
            self.own_windows_seen = if run == own { number } else { 0 };
        }
    }
}

impl Rollout {
    /// Sends this member's status: to the runner and two random members; from the runner, or the member that
    /// halted, to all.
    pub(super) fn send_hellos(&mut self, now: Time) {
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + self.settings.hello_interval;
        let step = self.state.chosen;
        let is_halter = self.state.halt.as_ref().is_some_and(|halt| halt.by == self.own)
            && self.rolling_step().is_some_and(|step| self.is_halted(&step));
        let mut to: BTreeSet<MemberId> = BTreeSet::new();
        if self.running_since.is_some() || is_halter || std::mem::take(&mut self.hello_to_all) {
            to.extend(self.peers.keys());
        } else {
            to.extend(self.runner.map(|runner| runner.id));
            to.extend(self.further_hello_targets());
        }
        for id in to {
            let Some(peer) = self.peers.get(&id) else { continue };
            let is_runner = self.runner.is_some_and(|runner| runner.id == id);
            let last = if is_runner { peer.own_windows_seen } else { u64::MAX - 1 };
            let windows = self
                .closed_windows
                .range(last + 1..)
                .map(|(n, closed)| (*n, now - closed.middle, closed.window))
                .collect();
            let hello = Hello {
                incarnation: self.incarnation,
                is_able: self.is_able(),
                is_runner: self.running_since.is_some(),
                step,
                halt: self.state.halt.clone().filter(|halt| (halt.number, halt.run) >= step.key()),
                in_force: self.active.number,
                starts: self.state.starts,
                windows_seen: (peer.incarnation, peer.windows_seen),
                windows,
            };
            self.send(id, RolloutMessage::Hello(Box::new(hello)));
        }
    }

    /// Further receivers of the status: two at random. While nobody runs the rollout as many in turn as are
    /// needed for each member to hear all others within less than `silence_limit`. Guards against a large
    /// fleet in which no member ever hears the majority that a runner needs.
    fn further_hello_targets(&mut self) -> Vec<MemberId> {
        let others: Vec<MemberId> = self.peers.keys().copied().collect();
        let rounds = self.settings.silence_limit.as_seconds() / self.settings.hello_interval.as_seconds()
            * HELLO_ROUND_FRACTION;
        let share = (others.len() as f64 / rounds).ceil() as usize;
        if self.runner.is_some() || share <= MIN_HELLO_TARGETS {
            let count = MIN_HELLO_TARGETS.min(others.len());
            return (0..count).map(|_| others[self.rng.gen_range(0..others.len())]).collect();
        }
        let first = self.next_hello_peer % others.len();
        self.next_hello_peer = first + share;
        others.iter().cycle().skip(first).take(share).copied().collect()
    }

    /// Handles another member's status.
    pub(super) fn handle_hello(&mut self, now: Time, from: MemberId, mut hello: Hello) {
        self.learn_step(now, from, hello.step);
        if let Some(halt) = hello.halt.take() {
            self.handle_halt(halt);
        }
        let (number, own) = (self.state.chosen.version.number, self.incarnation);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if hello.incarnation < peer.incarnation {
            return;
        }
        peer.note_status(now, &hello, number, own);
        if self.running_since.is_some() {
            self.record_windows(now, from, hello.windows);
        }
        if hello.is_runner && hello.is_able {
            self.note_runner(now, from);
        }
    }

    /// Another member runs the rollout. Of several the one with the least id goes on.
    fn note_runner(&mut self, now: Time, from: MemberId) {
        if self.present_runner(now).is_none_or(|runner| from <= runner.id) {
            self.runner = Some(KnownRunner { id: from, last_heard: now });
        }
        if self.running_since.is_some() && from < self.own {
            self.step_down(now);
        }
    }
}
