//! Runs the timers that are due, and the periodic checks.
use super::state::{Router, Timer, SWEEP_INTERVAL};
use crate::clock;
use crate::host_messages::ToHost;
use crate::ids::HandOffId;
use cherrypass::calls::Report;
use cherrypass::time::Time;
use std::sync::atomic::Ordering::Relaxed;

const SWEEPS_PER_REPORT: u32 = 40;

impl Router {
    pub(super) fn run_timers(&mut self) {
        let now = clock::now();
        while let Some(at) = self.timers.next_due().filter(|at| *at <= now) {
            let Some(timer) = self.timers.pop(now) else { return };
            self.latencies.timers.record(now - at);
            match timer {
                Timer::Wake => self.engine.tick(clock::now()),
                Timer::AnswerTimeout(id) => self.time_out_answer(id, now),
                Timer::ConnectTimeout(id) => self.time_out_connect(id),
                Timer::SendHeldBack(id) => self.send_held_back(id),
                Timer::ChangesAnnounced => self.apply_announced_changes(),
                Timer::LatestStart(id) => self.expire_unsent(id),
                Timer::ProbeTimeout(probe) => self.end_probe(probe, Report::default()),
                Timer::Sweep => self.sweep(now),
                Timer::CloseConnections => self.close_connections(now),
            }
        }
    }

    /// Tells the host that a hand-off was not written within the connect limit.
    fn time_out_connect(&self, id: HandOffId) {
        let pending = self.hand_offs.get(&id);
        if let Some(pending) = pending.filter(|pending| pending.send_state.written_at().is_none()) {
            let _ = pending.mailbox.send(ToHost::ConnectTimeout(id));
        }
    }

    fn sweep(&mut self, now: Time) {
        self.timers.push(now + SWEEP_INTERVAL, Timer::Sweep);
        self.host_actors.sweep(now);
        self.update_start_times(now);
        self.check_unread_changes();
        self.sweep_count += 1;
        if self.sweep_count.is_multiple_of(SWEEPS_PER_REPORT) {
            if let Some(recorder) = &mut self.recorder {
                recorder.remove_expired();
            }
            self.log_latencies();
        }
    }

    pub(super) fn log_latencies(&mut self) {
        let latencies = &self.latencies;
        tracing::info!(
            "spent: in {} out {} mailbox {} timers {}; open {} unread {} kB clients {}",
            latencies.inbound.summarize(),
            latencies.outbound.summarize(),
            latencies.mailbox.summarize(),
            latencies.timers.summarize(),
            latencies.max_open_visits.swap(0, Relaxed),
            latencies.max_unread_bytes.swap(0, Relaxed) / 1024,
            self.clients.len()
        );
    }
}
