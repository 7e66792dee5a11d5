//! Carries out the decisions of the module.
use super::hand_offs::DecidedHandOff;
use super::state::{Router, Timer};
use crate::clock;
use crate::fleet_connection::FleetConnection;
use crate::ids::HandOffId;
use crate::msgpack;
use cherrypass::calls::{Decision, Outcome};

impl Router {
    /// Carries out the decisions that the module has made, once what they are made by is recent enough.
    pub(super) fn carry_out_decisions(&mut self) {
        let mut now = clock::now();
        if !self.lease.is_valid(now) {
            self.catch_up(now);
            now = clock::now();
        }
        while let Some(decision) = self.engine.next_decision(now) {
            match decision {
                Decision::HandOff { visit, host, times_out_at, send_before, fill } => {
                    let (deadline, latest_start) = (times_out_at, send_before);
                    let decided = DecidedHandOff { visit, host, deadline, latest_start, fill };
                    self.start_hand_off(now, &decided);
                }
                Decision::Cancel { visit, number } => {
                    self.cancel_hand_off(HandOffId(visit, number), Outcome::Cancelled)
                }
                Decision::Refuse { visit, retry_after } => {
                    self.fleet_connection.iter_mut().for_each(FleetConnection::count_refused);
                    self.finish_visit(visit, |id| msgpack::refused(id, retry_after), None);
                }
                Decision::Fail { visit } => {
                    self.fleet_connection.iter_mut().for_each(FleetConnection::count_failed);
                    self.finish_visit(visit, msgpack::failed, None);
                }
                Decision::Wake { after } => {
                    self.timers.push(now + after, Timer::Wake);
                }
                Decision::Probe { host } => self.send_probe(now, host),
                Decision::Log(line) => tracing::info!("module: {line}"),
            }
        }
    }
}
