//! The runner of a rollout: which member it is, what members report to it, and when it promotes or halts.
use super::figures::{self, compare, prune, Comparison, Figures, WindowFigures, Windows};
use super::messages::{Hello, RolloutMessage};
use super::state::{Change, ClosedWindow, KnownRunner, OpenWindow, Peer, PendingChange, Rollout};
use super::step::{Halt, Phase, Step};
use super::version::Version;
use crate::common::{Incarnation, MemberId};
use cherrypass::time::{Span, Time};
use rand::Rng;
use std::collections::BTreeSet;

/// Least number of members that a status is sent to each time.
const MIN_HELLO_TARGETS: usize = 2;
/// The fraction of `silence_limit` within which all others are sent a status while nobody runs the rollout;
/// the rest allows for losses.
const HELLO_ROUND_FRACTION: f64 = 0.8;

/// The windows of dispatchers that get the version in this stage, that got it before, and of the others.
#[derive(Default)]
struct Groups<'a> {
    new: Vec<&'a Windows>,
    old: Vec<&'a Windows>,
    without_version: Vec<&'a Windows>,
}

impl<'a> Groups<'a> {
    /// The first window in which all dispatchers that are new in this stage have the version; windows in
    /// between count for neither side.
    fn first_common_window(&self, since: u64, number: u64) -> Option<u64> {
        let first_with_version = |windows: &&Windows| {
            let first = windows.range(since..).find(|(_, w)| w.number == Some(number));
            first.map(|(index, _)| *index)
        };
        let first: Option<Vec<u64>> = self.new.iter().map(first_with_version).collect();
        first?.into_iter().max()
    }

    /// Dispatchers without the version, or if all have it, those that had it before this stage.
    fn reference(&self) -> &[&'a Windows] {
        if self.without_version.is_empty() {
            &self.old
        } else {
            &self.without_version
        }
    }
}

fn select_windows(group: &[&Windows], is_compared: impl Fn(u64, &WindowFigures) -> bool) -> Vec<Windows> {
    let select = |windows: &&Windows| {
        windows.iter().filter(|(p, c)| is_compared(**p, c)).map(|(p, c)| (*p, *c)).collect()
    };
    group.iter().map(select).collect()
}

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

    /// Keeps the windows that another member reports, and counts the visits of the stage.
    fn record_windows(&mut self, now: Time, from: MemberId, windows: Vec<(u64, Span, WindowFigures)>) {
        let since = self.window_index(self.step_learned);
        let (window_span, [before, after]) = (self.settings.window, self.settings.max_windows);
        let number = self.state.chosen.version.number;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let mut visits = 0;
        for (n, age, window) in windows.into_iter().take(before + after) {
            if n <= peer.windows_seen || age.0 >= now.0 {
                continue;
            }
            peer.windows_seen = n;
            let index = (now - age).0 / window_span.0;
            let figures = window.figures.clamped();
            if index >= since && window.number == Some(number) {
                visits += figures.visits;
            }
            peer.windows.insert(index, WindowFigures { figures, ..window });
        }
        prune(&mut peer.windows, since, before, after);
        self.stage_visits = self.stage_visits.saturating_add(visits);
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

    /// The runner, unless it has not been heard for too long.
    fn present_runner(&self, now: Time) -> Option<KnownRunner> {
        self.runner.filter(|runner| now - runner.last_heard < self.settings.runner_timeout)
    }

    /// The index of the window that contains a time.
    fn window_index(&self, at: Time) -> u64 {
        at.0 / self.settings.window.0
    }

    /// Closes the open window once its time is over.
    pub(super) fn close_window(&mut self, now: Time) {
        let OpenWindow { window, started } = self.open_window;
        if now - started < self.settings.window {
            return;
        }
        let middle = started + (now - started).times(0.5);
        if now - started < self.settings.window.times(1.5) {
            self.closed_windows.insert(self.next_window, ClosedWindow { window, middle });
            let is_current_version = window.number == Some(self.state.chosen.version.number);
            if self.running_since.is_some() && is_current_version && middle >= self.step_learned {
                self.stage_visits = self.stage_visits.saturating_add(window.figures.visits);
            }
            self.next_window += 1;
            let [before, after] = self.settings.max_windows;
            prune(&mut self.closed_windows, self.stage_first_window, before, after);
        }
        let window = WindowFigures { number: Some(self.active.number), figures: Figures::default() };
        self.open_window = OpenWindow { window, started: now };
    }

    /// Resets what was counted for the stage, after a new step.
    pub(super) fn reset_stage(&mut self) {
        self.stage_first_window = self.next_window;
        (self.stage_visits, self.comparisons, self.next_comparison, self.has_passed) = (0, 0, 0, false);
    }

    fn step_down(&mut self, now: Time) {
        self.running_since = None;
        self.take_over_at = now + self.settings.runner_timeout;
        if !self.is_order_pending() {
            (self.pending_change, self.attempt) = (None, None);
        }
    }

    fn is_majority_reachable(&self, now: Time) -> bool {
        let is_reachable =
            |peer: &Peer| peer.last_heard.is_some_and(|at| now - at <= self.settings.silence_limit);
        self.peers.values().filter(|peer| is_reachable(peer)).count() + 1 >= self.majority()
    }

    /// Runs the rollout, if this member is the runner or becomes it.
    pub(super) fn drive_rollout(&mut self, now: Time) {
        // Guards against halts by a runner that hears nobody because of its own link.
        if self.running_since.is_some() && !(self.is_able() && self.is_majority_reachable(now)) {
            return self.step_down(now);
        }
        if self.running_since.is_none() && !self.try_take_over(now) {
            return;
        }
        let (step, latest) = (self.state.chosen, self.latest());
        if let Some(halt) = self.state.halt.clone().filter(|_| latest.promotes() && self.is_halted(&latest)) {
            return self.settle_halt(now, halt);
        }
        if latest.at > step.at {
            // Finishes a change that another member began.
            if self.pending_change.is_none() && now >= self.next_attempt_at {
                self.begin_attempt(now, None);
            }
            return;
        }
        if step.phase == Phase::Rolling && self.pending_change.is_none() {
            self.evaluate_stage(now, step);
        }
    }

    /// Becomes the runner if there has been none for long enough.
    fn try_take_over(&mut self, now: Time) -> bool {
        if self.present_runner(now).is_some() || !self.is_able() || !self.is_majority_reachable(now) {
            self.take_over_at =
                self.take_over_at.max(now + self.settings.runner_timeout.times(self.rng.gen_range(0.1..0.5)));
            return false;
        }
        if now < self.take_over_at {
            return false;
        }
        self.running_since = Some(now);
        self.runner = None;
        for peer in self.peers.values_mut() {
            (peer.windows_seen, peer.restarts) = (0, 0);
            peer.windows.clear();
        }
        self.reset_stage();
        self.next_hello = now;
        true
    }

    /// Changes the step because of a known halt, also where the version is in force everywhere: the member
    /// that halted had not heard of that.
    fn settle_halt(&mut self, now: Time, halt: Halt) {
        let is_settling = self.attempt.as_ref().is_some_and(|attempt| !attempt.is_promoting());
        let has_pending_halt =
            matches!(self.pending_change, Some(PendingChange { change: Change::Halt(_), .. }));
        if !is_settling && !has_pending_halt && !self.is_order_pending() {
            self.attempt = None;
            self.set_pending_change(now, Change::Halt(halt));
        }
    }

    /// Halts the rollout, waits, or promotes it to the next stage.
    fn evaluate_stage(&mut self, now: Time, step: Step) {
        let Some(version) = self.documents.get(&step.version).cloned() else { return };
        let lacks_version = match self.check_dispatchers(now, &step, &version) {
            Ok(lacks_version) => lacks_version,
            Err(reason) => return self.halt(now, reason),
        };
        if self.halt_if_worse(now, step, &version, false) {
            return;
        }
        if now < self.step_learned + version.plan.hold {
            return;
        }
        let has_enough_visits = self.stage_visits >= version.plan.visits;
        let has_passed = self.has_passed || step.resumed == Some(step.stage);
        if lacks_version.is_none() && has_enough_visits && has_passed {
            if !self.halt_if_worse(now, step, &version, true) {
                self.set_pending_change(now, Change::Promote(step));
            }
            return;
        }
        self.halt_if_overdue(now, &step, &version, lacks_version);
    }

    /// Checks the dispatchers that should have the version. Returns one that lacks it, if any; the error is
    /// the reason of a halt.
    fn check_dispatchers(
        &self,
        now: Time,
        step: &Step,
        version: &Version,
    ) -> Result<Option<MemberId>, String> {
        let since = self.running_since.unwrap_or(now);
        let mut lacks_version = None;
        for id in version.included_dispatchers(&self.listed, step.stage) {
            let Some(peer) = self.peers.get(&id) else {
                if self.active != step.version {
                    lacks_version = Some(id);
                }
                continue;
            };
            let silent = now - peer.last_heard.unwrap_or(since).max(since);
            let fault = if peer.is_dead {
                Some("died")
            } else if silent > self.settings.silence_limit {
                Some("is unreachable")
            } else if peer.starts.max(peer.restarts) >= 2 {
                Some("was restarted twice")
            } else {
                None
            };
            if let Some(fault) = fault {
                return Err(format!("dispatcher {:016x}, which has the version, {fault}", id.0));
            }
            if peer.in_force != version.number {
                lacks_version = Some(id);
            }
        }
        if self.state.starts >= 2 {
            let own = self.own.0;
            return Err(format!("dispatcher {own:016x}, which has the version, was restarted twice"));
        }
        Ok(lacks_version)
    }

    /// Halts a stage that is not complete long after its hold.
    fn halt_if_overdue(
        &mut self,
        now: Time,
        step: &Step,
        version: &Version,
        lacks_version: Option<MemberId>,
    ) {
        // A new runner first has to receive the members' windows again.
        let since = self.step_learned.max(self.running_since.unwrap_or(now));
        if now - since <= version.plan.hold + self.settings.stage_overtime {
            return;
        }
        let why = match lacks_version {
            Some(id) => format!("dispatcher {:016x} has not put the version in force", id.0),
            None => format!("too few figures: {} of {} visits", self.stage_visits, version.plan.visits),
        };
        self.halt(now, format!("stage {}: {why}", step.stage));
    }

    /// Halts if the figures are worse; returns whether it did.
    fn halt_if_worse(&mut self, now: Time, step: Step, version: &Version, is_last: bool) -> bool {
        let Comparison::Worse { measure, by, p } = self.compare_figures(step, version, is_last) else {
            return false;
        };
        let (name, stage) = (measure.name(), step.stage);
        self.halt(now, format!("stage {stage}: {name} worse by {by:.3} (p {p:.1e})"));
        true
    }

    /// Compares the figures before a stage ends, and whenever there are half as many windows again as at the
    /// last comparison. The k-th comparison of a stage gets 1/k(k+1) of the stage's share of the false alarm
    /// rate, so that all comparisons together get that share.
    fn compare_figures(&mut self, step: Step, version: &Version, is_last: bool) -> Comparison {
        let own = self.own_windows();
        let groups = self.group_windows(&own, &step, version);
        let since = self.window_index(self.step_learned);
        let Some(first) = groups.first_common_window(since, version.number) else {
            return Comparison::TooFewWindows;
        };
        let with = select_windows(&groups.new, |index, window| match index >= first {
            true => window.number == Some(version.number),
            false => index < since && window.number != Some(version.number),
        });
        let without = select_windows(groups.reference(), |index, window| {
            (index >= first || index < since) && window.number.is_some()
        });
        let windows = with.iter().map(|w| w.range(first..).count()).max().unwrap_or(0);
        let last = with.iter().filter_map(|w| w.last_key_value()).map(|(index, _)| *index).max().unwrap_or(0);
        if windows < figures::MIN_WINDOWS_SINCE || (last < self.next_comparison && !is_last) {
            return Comparison::TooFewWindows;
        }
        let k = f64::from(self.comparisons + 1);
        let alpha = self.settings.false_halt_rate / f64::from(version.stages()) / (k * (k + 1.0));
        let with: Vec<&Windows> = with.iter().collect();
        let without: Vec<&Windows> = without.iter().collect();
        let comparison = compare(&with, &without, first, alpha);
        if comparison != Comparison::TooFewWindows {
            self.note_comparison(&comparison, last + (windows as u64).div_ceil(2));
        }
        comparison
    }

    /// This member's closed windows, by index.
    fn own_windows(&self) -> Windows {
        self.closed_windows.values().map(|closed| (self.window_index(closed.middle), closed.window)).collect()
    }

    /// The windows of all members, grouped by when they get the version.
    fn group_windows<'a>(&'a self, own: &'a Windows, step: &Step, version: &Version) -> Groups<'a> {
        let before = step.stage.checked_sub(1);
        let have_before =
            before.map(|stage| version.included_dispatchers(&self.listed, stage)).unwrap_or_default();
        let have_now = version.included_dispatchers(&self.listed, step.stage);
        let mut groups = Groups::default();
        for id in self.listed.keys() {
            let windows =
                if *id == self.own { Some(own) } else { self.peers.get(id).map(|peer| &peer.windows) };
            let Some(windows) = windows else { continue };
            if have_before.contains(id) {
                groups.old.push(windows);
            } else if have_now.contains(id) {
                groups.new.push(windows);
            } else {
                groups.without_version.push(windows);
            }
        }
        groups
    }

    fn note_comparison(&mut self, comparison: &Comparison, next: u64) {
        self.comparisons += 1;
        self.next_comparison = next;
        // Guards against a short hold time, after which a comparison of few windows would promote a harmful
        // version.
        let is_enough = |windows: usize| windows >= figures::MIN_WINDOWS_TO_PASS;
        self.has_passed = matches!(comparison, Comparison::NotWorse { windows, .. } if is_enough(*windows));
    }
}
