//! Starts the hand-offs that the decision module decides: builds, records and sends them.
use super::hand_off_fields;
use super::state::{HandOffTimers, HostEntry, OpenVisit, PendingHandOff, Router, Timer};
use crate::clock;
use crate::config::Config;
use crate::durable_state::StateRecorder;
use crate::fleet_connection::FleetConnection;
use crate::host_messages::{HandOff, SendState, ToHost};
use crate::ids::HandOffId;
use cherrypass::calls::{Fill, HandOffEnd, Note, Outcome, Report};
use cherrypass::ids::{HandOffNumber, HostId, VisitId};
use cherrypass::settings::{ClassSettings, Effect};
use cherrypass::time::{Span, Time};
use cherrypass_keep::visits::{InDoubtVisit, WriteAhead, WriteResult};
use std::collections::BTreeMap;

/// How long a hand-off is held back while its client's input is read.
const CLIENT_INPUT_WAIT: Span = Span::millis(5);

/// A hand-off as the decision module decided it.
pub(super) struct DecidedHandOff {
    pub(super) visit: VisitId,
    pub(super) host: HostId,
    /// Deadline for the answer.
    pub(super) deadline: Time,
    /// Sending must not start after this.
    pub(super) latest_start: Time,
    pub(super) fill: Option<Fill>,
}

impl Router {
    /// Starts a hand-off. It is sent at once, or once its record is stored if it needs one.
    pub(super) fn start_hand_off(&mut self, now: Time, decided: &DecidedHandOff) {
        let Some(open) = self.visits.get_mut(&decided.visit) else { return };
        self.fleet_connection.iter_mut().for_each(FleetConnection::count_hand_off);
        let id = HandOffId(decided.visit, HandOffNumber(open.hand_off_count));
        open.hand_off_count = open.hand_off_count.saturating_add(1);
        if !open.cancel.is_live() {
            self.end_without_client(now, id);
            return;
        }
        let triggered_at = std::mem::replace(&mut open.last_event_at, now);
        let hand_off = new_hand_off(id, open, decided, &self.config, &self.hosts);
        let send_state = hand_off.send_state.clone();
        let Some(host) = self.hosts.get(&decided.host) else {
            self.engine.hand_off_ended(now, never_sent_end(id, Outcome::ConnectFailed));
            return;
        };
        let mailbox = host.mailbox.clone();
        let recorder = self.recorder.as_mut().filter(|recorder| recorder.records_hand_offs());
        let awaits_record = recorder.is_some_and(|recorder| {
            let effect = class_settings(&self.config, open).map(|class| class.effect);
            let effect = effect.unwrap_or(Effect::Idempotent);
            write_record(recorder, id, open, effect, in_doubt_visit(now, open, decided.host, host))
        });
        let held_back = awaits_record.then(|| Box::new(hand_off.clone()));
        let pending = PendingHandOff {
            host: decided.host,
            mailbox,
            decided_at: now,
            sent_at: now,
            triggered_at,
            send_state,
            fill: decided.fill,
            cancelled_as: None,
            held_back,
            timers: self.start_timers(id, decided),
        };
        self.hand_offs.insert(id, pending);
        if !awaits_record {
            self.send_hand_off(id, hand_off, now);
        }
    }

    /// Closes the visit of a hand-off whose client has left; the hand-off is not sent.
    fn end_without_client(&mut self, now: Time, id: HandOffId) {
        self.close_visit(id.0, false);
        let end = HandOffEnd { is_final: true, ..never_sent_end(id, Outcome::Expired) };
        self.engine.hand_off_ended(now, end);
    }

    fn start_timers(&mut self, id: HandOffId, decided: &DecidedHandOff) -> HandOffTimers {
        let DecidedHandOff { deadline, latest_start, .. } = *decided;
        let answer_timeout = self.timers.push(deadline, Timer::AnswerTimeout(id));
        let latest_start =
            (latest_start < deadline).then(|| self.timers.push(latest_start, Timer::LatestStart(id)));
        HandOffTimers { answer_timeout: Some(answer_timeout), latest_start, connect_timeout: None }
    }

    /// Sends a hand-off to its host, whose response time counts from `at`. Without a record that is the time of the
    /// router's round, so that a stall of this process is not taken for a host that answers more slowly than before.
    fn send_hand_off(&mut self, id: HandOffId, hand_off: HandOff, at: Time) {
        let Some(pending) = self.hand_offs.get_mut(&id) else { return };
        if pending.mailbox.send(ToHost::HandOff(hand_off)) {
            pending.sent_at = at;
            let connect_timeout = self.config.host_connections.connect_timeout;
            let timer = self.timers.push(at + connect_timeout, Timer::ConnectTimeout(id));
            let previous = pending.timers.connect_timeout.replace(timer);
            previous.into_iter().for_each(|timer| self.timers.cancel(timer));
        } else {
            self.end_hand_off(id, Outcome::ConnectFailed, None, clock::now());
        }
    }

    /// Holds a hand-off back for a while, in which its client's input is read.
    pub(super) fn hold_back(&mut self, id: HandOffId, hand_off: Box<HandOff>) {
        let Some(pending) = self.hand_offs.get_mut(&id) else { return };
        pending.held_back = Some(hand_off);
        self.timers.push(clock::now() + CLIENT_INPUT_WAIT, Timer::SendHeldBack(id));
    }

    /// Sends a hand-off that was held back, unless it was cancelled meanwhile.
    pub(super) fn send_held_back(&mut self, id: HandOffId) {
        if let Some(hand_off) = self.hand_offs.get_mut(&id).and_then(|pending| pending.held_back.take()) {
            self.send_hand_off(id, *hand_off, clock::now());
        }
    }

    /// The store has accepted or rejected a hand-off's record. The hand-off may have been cancelled
    /// meanwhile.
    pub(super) fn record_stored(&mut self, id: HandOffId, result: WriteResult) {
        let Some(recorder) = &mut self.recorder else { return };
        let may_be_sent = recorder.visits.record_result(id.0, result);
        let Some(hand_off) = self.hand_offs.get_mut(&id).and_then(|pending| pending.held_back.take()) else {
            return;
        };
        if may_be_sent {
            self.send_hand_off(id, *hand_off, clock::now());
        } else {
            // Not the host's fault, and another record would be rejected too: the visit is given up at once.
            self.end_hand_off(id, Outcome::Expired, None, clock::now());
            self.engine.finish_unserved(id.0);
        }
    }
}

fn class_settings<'a>(config: &'a Config, open: &OpenVisit) -> Option<&'a ClassSettings> {
    config.settings.classes.get(usize::from(open.class.0))
}

/// Builds the message to the host.
fn new_hand_off(
    id: HandOffId,
    open: &OpenVisit,
    decided: &DecidedHandOff,
    config: &Config,
    hosts: &BTreeMap<HostId, HostEntry>,
) -> HandOff {
    let (request, fill) = (&open.request, decided.fill);
    let is_write = class_settings(config, open).is_some_and(|class| class.is_write);
    let source = fill.filter(|fill| fill.source != decided.host).and_then(|fill| hosts.get(&fill.source));
    HandOff {
        id,
        txn: request.txn.clone(),
        fields: hand_off_fields::encode(request, fill, source.map(|source| &source.name[..])),
        body: request.body.clone(),
        client_tag: request.cached_tag.clone(),
        expects_copy: fill.is_some() && !is_write,
        can_miss: source.is_none() || fill.is_some_and(|fill| fill.cached_only),
        deadline: decided.deadline,
        visit_deadline: open.deadline(),
        latest_start: decided.latest_start,
        cancel: open.cancel.clone(),
        send_state: SendState::default(),
    }
}

/// The record of a hand-off that may have been executed when the process ends.
fn in_doubt_visit(now: Time, open: &OpenVisit, host: HostId, entry: &HostEntry) -> InDoubtVisit {
    InDoubtVisit {
        class_name: String::from_utf8_lossy(&open.request.class).into_owned(),
        sent_at: clock::to_unix(now).0,
        boot_time: clock::boot_now(),
        host: host.0,
        host_name: entry.name.clone(),
        repeat_window: None,
    }
}

/// Has the record of a hand-off stored if it needs one; returns whether it does.
fn write_record(
    recorder: &mut StateRecorder,
    id: HandOffId,
    open: &OpenVisit,
    effect: Effect,
    in_doubt_visit: InDoubtVisit,
) -> bool {
    match recorder.visits.register_hand_off(id.0, open.key(), effect, in_doubt_visit) {
        WriteAhead::Required(record) => {
            recorder.write_hand_off_record(id, record);
            true
        }
        _ => false,
    }
}

/// The end of a hand-off that was not sent.
fn never_sent_end(HandOffId(visit, number): HandOffId, outcome: Outcome) -> HandOffEnd {
    let (note, took) = (Note::Unspecified, Span::ZERO);
    HandOffEnd { visit, number, outcome, note, duration: took, report: Report::default(), is_final: false }
}
