//! Windows of figures: the own ones, and those that other members report.
use super::figures::{prune, Figures, WindowFigures};
use super::state::{ClosedWindow, OpenWindow, Rollout};
use crate::common::MemberId;
use cherrypass::time::{Span, Time};

impl Rollout {
    /// Keeps the windows that another member reports, and counts the visits of the stage.
    pub(super) fn record_windows(
        &mut self,
        now: Time,
        from: MemberId,
        windows: Vec<(u64, Span, WindowFigures)>,
    ) {
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

    /// The index of the window that contains a time.
    pub(super) fn window_index(&self, at: Time) -> u64 {
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
}
