//! Comparison of the figures of dispatchers with the version and without it.
use super::figures::{self, compare, Comparison, WindowFigures, Windows};
use super::state::Rollout;
use super::step::Step;
use super::version::Version;
use cherrypass::time::Time;

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

impl Rollout {
    /// Halts if the figures are worse; returns whether it did.
    pub(super) fn halt_if_worse(&mut self, now: Time, step: Step, version: &Version, is_last: bool) -> bool {
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
