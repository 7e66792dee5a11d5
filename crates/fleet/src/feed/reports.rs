//! Reports of positions to other members, and what their reports show to be missing here.
use super::effects::Effect;
use super::messages::FeedMessage;
use super::position::Position;
use super::state::{Feed, Missing};
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use rand::Rng;

impl Feed {
    /// Compares another member's positions with the own ones: reports those that are ahead, and requests what
    /// is missing.
    pub(super) fn handle_positions(&mut self, now: Time, from: MemberId, positions: Vec<Position>) {
        let mut ahead = Vec::new();
        for position in positions {
            let own = self.position_of(position.source);
            let theirs = (position.incarnation, position.number);
            match own.map(|own| (own.incarnation, own.number)) {
                Some(ours) if ours > theirs => ahead.extend(own),
                Some(ours) if ours == theirs => {}
                _ => self.note_missing(now, from, position),
            }
        }
        if !ahead.is_empty() {
            self.send_positions(now, from, ahead);
        }
        self.request_missing(now, from, false);
    }

    /// Notes that another member has more items of a source.
    pub(super) fn note_missing(&mut self, now: Time, reported_by: MemberId, position: Position) {
        if !self.peers.contains_key(&position.source) || position.number == 0 {
            return;
        }
        let Position { incarnation, number, .. } = position;
        let new =
            Missing { incarnation, number, reported_by, since: now, last_reported: now, is_confirmed: false };
        let missing = self.missing.entry(position.source).or_insert(new);
        missing.last_reported = now;
        missing.is_confirmed |= missing.reported_by != reported_by;
        if (missing.incarnation, missing.number) < (incarnation, number) {
            (missing.incarnation, missing.number, missing.reported_by) = (incarnation, number, reported_by);
        }
    }

    /// How far this member lags behind the sources.
    pub(super) fn own_lag(&self, now: Time) -> Span {
        // Numbers that no member has reported for a while no longer exist anywhere.
        let lately = Span(self.settings.heartbeat.0 * 6);
        let counts = |missing: &&Missing| missing.is_confirmed && now - missing.last_reported <= lately;
        let lags = self.missing.values().filter(counts).map(|missing| now - missing.since);
        lags.max().unwrap_or(Span::ZERO)
    }

    fn send_positions(&mut self, now: Time, to: MemberId, positions: Vec<Position>) {
        let message = FeedMessage::Positions { stamp: self.stamp(now), load: self.load(), positions };
        self.effects.push_back(Effect::Send { to, message });
    }

    /// Reports positions: changed ones to two random members, all of them to one member every
    /// `report_interval`, and a stamp to each member within `stamp_interval`.
    pub(super) fn report_positions(&mut self, now: Time) {
        if self.peer_order.is_empty() {
            return;
        }
        self.report_updated_sources(now);
        let is_full_report = now - self.last_full_report >= self.settings.report_interval;
        let reports = self.due_reports().max(usize::from(is_full_report));
        let mut positions: Vec<Position> = Vec::new();
        if is_full_report {
            self.last_full_report = now;
            positions = self.logs.keys().filter_map(|source| self.position_of(*source)).collect();
        }
        for _ in 0..reports {
            self.stamp_credit -= 1.0;
            let to = self.peer_order[self.next_peer % self.peer_order.len()];
            self.next_peer = (self.next_peer + 1) % self.peer_order.len();
            self.send_positions(now, to, std::mem::take(&mut positions));
        }
        self.stamp_credit = self.stamp_credit.max(0.0);
    }

    /// Reports sources with new items to two random members.
    fn report_updated_sources(&mut self, now: Time) {
        let updated = std::mem::take(&mut self.updated_sources);
        let updated: Vec<Position> =
            updated.into_iter().filter_map(|source| self.position_of(source)).collect();
        if updated.is_empty() {
            return;
        }
        for _ in 0..self.peer_order.len().min(2) {
            let to = self.peer_order[self.rng.gen_range(0..self.peer_order.len())];
            self.send_positions(now, to, updated.clone());
        }
    }

    /// The reports that are due for their stamps.
    fn due_reports(&mut self) -> usize {
        let members = self.peer_order.len() as f64;
        self.stamp_credit +=
            members * self.settings.interval.as_seconds() / self.settings.stamp_interval.as_seconds();
        self.stamp_credit = self.stamp_credit.min(members);
        self.stamp_credit as usize
    }
}
