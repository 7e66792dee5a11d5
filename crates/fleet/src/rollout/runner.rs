//! The runner of a rollout: which member it is, what members report to it, and when it promotes or halts.
use super::figures::prune;
use super::*;

/// Least number of members that a status is sent to each time.
const MIN_HELLO_TARGETS: usize = 2;
/// The fraction of `silence_limit` within which all others are sent a status while nobody runs the rollout;
/// the rest allows for losses.
const HELLO_ROUND_FRACTION: f64 = 0.8;

/// What is known of another member.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    last_heard: Option<Time>,
    incarnation: Incarnation,
    in_force: u64,
    starts: u8,
    /// Restarts seen since this member runs the rollout, in its present run.
    restarts: u8,
    pub(super) is_dead: bool,
    /// The number of its last window that was received.
    windows_seen: u64,
    windows: Windows,
    /// The number of this member's last window that the other has received.
    own_windows_seen: u64,
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
            to.extend(self.runner.map(|(id, _)| id));
            to.extend(self.further_hello_targets());
        }
        for id in to {
            let Some(peer) = self.peers.get(&id) else { continue };
            let is_runner = self.runner.is_some_and(|(runner, _)| runner == id);
            let last = if is_runner { peer.own_windows_seen } else { u64::MAX - 1 };
            let windows = self
                .closed_windows
                .range(last + 1..)
                .map(|(n, (at, window))| (*n, now - *at, *window))
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
    pub(super) fn handle_hello(&mut self, now: Time, from: MemberId, hello: Hello) {
        self.learn_step(now, from, hello.step);
        if let Some(halt) = hello.halt {
            self.handle_halt(halt);
        }
        let since = self.window_index(self.step_learned);
        let (window_span, max_windows) = (self.settings.window, self.settings.max_windows);
        let (is_running, number, own) =
            (self.running_since.is_some(), self.state.chosen.version.number, self.incarnation);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if hello.incarnation < peer.incarnation {
            return;
        }
        if hello.incarnation > peer.incarnation {
            if peer.incarnation != Incarnation::default()
                && (peer.in_force == number || hello.in_force == number)
            {
                peer.restarts = peer.restarts.saturating_add(1);
            }
            (peer.incarnation, peer.windows_seen, peer.own_windows_seen) = (hello.incarnation, 0, 0);
        }
        peer.last_heard = Some(now);
        peer.in_force = hello.in_force;
        peer.starts = hello.starts;
        if hello.windows_seen.0 == own && hello.is_runner {
            peer.own_windows_seen = hello.windows_seen.1;
        } else if hello.is_runner {
            peer.own_windows_seen = 0;
        }
        if is_running {
            let mut visits = 0;
            for (n, age, window) in hello.windows.into_iter().take(max_windows[0] + max_windows[1]) {
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
            prune(&mut peer.windows, since, max_windows[0], max_windows[1]);
            self.stage_visits = self.stage_visits.saturating_add(visits);
        }
        if hello.is_runner && hello.is_able {
            let current = self.runner.filter(|(_, at)| now - *at < self.settings.runner_timeout);
            if current.is_none_or(|(id, _)| from <= id) {
                self.runner = Some((from, now));
            }
            if self.running_since.is_some() && from < self.own {
                self.step_down(now);
            }
        }
    }

    /// The index of the window that contains a time.
    fn window_index(&self, at: Time) -> u64 {
        at.0 / self.settings.window.0
    }

    /// Closes the open window once its time is over.
    pub(super) fn close_window(&mut self, now: Time) {
        let (window, started) = self.open_window;
        if now - started < self.settings.window {
            return;
        }
        let middle = started + (now - started).times(0.5);
        if now - started < self.settings.window.times(1.5) {
            self.closed_windows.insert(self.next_window, (middle, window));
            let is_current_version = window.number == Some(self.state.chosen.version.number);
            if self.running_since.is_some() && is_current_version && middle >= self.step_learned {
                self.stage_visits = self.stage_visits.saturating_add(window.figures.visits);
            }
            self.next_window += 1;
            let [before, after] = self.settings.max_windows;
            prune(&mut self.closed_windows, self.stage_first_window, before, after);
        }
        self.open_window =
            (WindowFigures { number: Some(self.active.number), figures: Figures::default() }, now);
    }

    /// Resets what was counted for the stage, after a new step.
    pub(super) fn reset_stage(&mut self) {
        self.stage_first_window = self.next_window;
        (self.stage_visits, self.comparisons, self.next_comparison, self.has_passed) = (0, 0, 0, false);
    }

    fn step_down(&mut self, now: Time) {
        self.running_since = None;
        self.take_over_at = now + self.settings.runner_timeout;
        if !self.is_order_pending {
            (self.pending_change, self.attempt) = (None, None);
        }
    }

    fn is_majority_reachable(&self, now: Time) -> bool {
        let is_reachable =
            |peer: &Peer| peer.last_heard.is_some_and(|at| now - at <= self.settings.silence_limit);
        self.peers.values().filter(|peer| is_reachable(peer)).count() + 1 >= self.majority()
    }

    pub(super) fn drive_rollout(&mut self, now: Time) {
        let has_runner = self.runner.is_some_and(|(_, at)| now - at < self.settings.runner_timeout);
        // Guards against halts by a runner that hears nobody because of its own link.
        if self.running_since.is_some() && !(self.is_able() && self.is_majority_reachable(now)) {
            return self.step_down(now);
        }
        if self.running_since.is_none() {
            if has_runner || !self.is_able() || !self.is_majority_reachable(now) {
                self.take_over_at = self
                    .take_over_at
                    .max(now + self.settings.runner_timeout.times(self.rng.gen_range(0.1..0.5)));
                return;
            }
            if now < self.take_over_at {
                return;
            }
            self.running_since = Some(now);
            self.runner = None;
            for peer in self.peers.values_mut() {
                (peer.windows_seen, peer.restarts) = (0, 0);
                peer.windows.clear();
            }
            self.reset_stage();
            self.next_hello = now;
        }
        let (step, latest) = (self.state.chosen, self.latest());
        if let Some(halt) = self.state.halt.clone().filter(|_| latest.promotes() && self.is_halted(&latest)) {
            // Also where the version is in force everywhere: the member that halted had not heard of that.
            let is_settling = self.attempt.as_ref().is_some_and(|attempt| !attempt.is_promoting());
            let has_pending_halt = matches!(self.pending_change, Some((Change::Halt(_), _)));
            if !is_settling && !has_pending_halt && !self.is_order_pending {
                self.attempt = None;
                self.pending_change = Some((Change::Halt(halt), now));
            }
            return;
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

    /// Halts the rollout, waits, or promotes it to the next stage.
    fn evaluate_stage(&mut self, now: Time, step: Step) {
        let Some(version) = self.documents.get(&step.version).cloned() else { return };
        let with: Vec<MemberId> =
            version.included_dispatchers(&self.listed, step.stage).into_iter().collect();
        let since = self.running_since.unwrap_or(now);
        let mut lacks_version = None;
        for id in &with {
            let Some(peer) = self.peers.get(id) else {
                if self.active != step.version {
                    lacks_version = Some(*id);
                }
                continue;
            };
            let silent = now - peer.last_heard.unwrap_or(since).max(since);
            let why = if peer.is_dead {
                Some("died")
            } else if silent > self.settings.silence_limit {
                Some("is unreachable")
            } else if peer.starts.max(peer.restarts) >= 2 {
                Some("was restarted twice")
            } else {
                None
            };
            if let Some(why) = why {
                return self.halt(now, format!("dispatcher {:016x}, which has the version, {why}", id.0));
            }
            if peer.in_force != version.number {
                lacks_version = Some(*id);
            }
        }
        if self.state.starts >= 2 {
            return self.halt(
                now,
                format!("dispatcher {:016x}, which has the version, was restarted twice", self.own.0),
            );
        }
        if self.halt_if_worse(now, step, &version, false) {
            return;
        }
        let hold = self.step_learned + version.plan.hold;
        if now < hold {
            return;
        }
        let visits = self.stage_visits;
        let has_passed = self.has_passed || step.resumed == Some(step.stage);
        if lacks_version.is_none() && visits >= version.plan.visits && has_passed {
            if self.halt_if_worse(now, step, &version, true) {
                return;
            }
            self.pending_change = Some((Change::Promote(step), now));
            return;
        }
        // A new runner first has to receive the members' windows again.
        if now - self.step_learned.max(since) > version.plan.hold + self.settings.stage_overtime {
            let why = match lacks_version {
                Some(id) => format!("dispatcher {:016x} has not put the version in force", id.0),
                None => format!("too few figures: {visits} of {} visits", version.plan.visits),
            };
            self.halt(now, format!("stage {}: {why}", step.stage));
        }
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
        let since = self.window_index(self.step_learned);
        let before = step.stage.checked_sub(1);
        let have_before =
            before.map(|stage| version.included_dispatchers(&self.listed, stage)).unwrap_or_default();
        let have_now = version.included_dispatchers(&self.listed, step.stage);
        let mut own: Windows = BTreeMap::new();
        for (at, window) in self.closed_windows.values() {
            own.insert(self.window_index(*at), *window);
        }
        let (mut new, mut old, mut without_version) = (Vec::new(), Vec::new(), Vec::new());
        for id in self.listed.keys() {
            let windows =
                if *id == self.own { Some(&own) } else { self.peers.get(id).map(|peer| &peer.windows) };
            let Some(windows) = windows else { continue };
            let group = if have_before.contains(id) {
                &mut old
            } else if have_now.contains(id) {
                &mut new
            } else {
                &mut without_version
            };
            group.push((*id, windows));
        }
        // The first window in which all dispatchers that are new in this stage have the version; windows in
        // between count for neither side.
        let first_with_version = |windows: &Windows| {
            let first = windows.range(since..).find(|(_, w)| w.number == Some(version.number));
            first.map(|(index, _)| *index)
        };
        let Some(first) = new.iter().map(|(_, w)| first_with_version(w)).collect::<Option<Vec<u64>>>() else {
            return Comparison::TooFewWindows;
        };
        let Some(first) = first.into_iter().max() else { return Comparison::TooFewWindows };
        let select = |group: &[(MemberId, &Windows)], is_new: bool| -> Vec<Windows> {
            let is_compared = |index: u64, window: &WindowFigures| match (is_new, index >= first) {
                (true, true) => window.number == Some(version.number),
                (true, false) => index < since && window.number != Some(version.number),
                (false, late) => (late || index < since) && window.number.is_some(),
            };
            group
                .iter()
                .map(|(_, w)| w.iter().filter(|(p, c)| is_compared(**p, c)).map(|(p, c)| (*p, *c)).collect())
                .collect()
        };
        // Compares with dispatchers without the version, or if all have it, with those that had it before
        // this stage.
        let reference = if without_version.is_empty() { &old } else { &without_version };
        let (with, without) = (select(&new, true), select(reference, false));
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
            self.comparisons += 1;
            self.next_comparison = last + (windows as u64).div_ceil(2);
            // Guards against a short hold time, after which a comparison of few windows would promote a
            // harmful version.
            let is_enough = |windows: usize| windows >= figures::MIN_WINDOWS_TO_PASS;
            self.has_passed =
                matches!(comparison, Comparison::NotWorse { windows, .. } if is_enough(windows));
        }
        comparison
    }
}
