//! Segments from other members, and repair of losses.
use super::effects::Effect;
use super::log::{Item, Segment, SegmentCheck, SourceLog};
use super::messages::FeedMessage;
use super::position::Position;
use super::state::Feed;
use crate::common::MemberId;
use cherrypass::time::{Span, Time};
use rand::seq::SliceRandom;

impl Feed {
    pub(super) fn apply_segment(
        &mut self,
        now: Time,
        from: MemberId,
        segment: Segment,
        transit: Option<Span>,
    ) {
        let (source, incarnation) = (segment.source, segment.incarnation);
        if !self.peers.contains_key(&source) {
            return;
        }
        let (up_to, head) = (segment.up_to, segment.head);
        let at = self.position_of(source);
        match segment.check_against(&self.settings, at, transit.unwrap_or(Span::ZERO)) {
            SegmentCheck::Invalid | SegmentCheck::Known => return,
            SegmentCheck::New { items, is_complete } if transit.is_some() => {
                if at.is_none_or(|at| at.incarnation != incarnation) {
                    self.logs.insert(source, SourceLog::new(incarnation));
                }
                self.append_items(now, source, up_to, items, is_complete);
            }
            // Without an echo the age of the items has no bound; the answer to a request has one.
            _ => {}
        }
        let reached = self.position_of(source).map(|position| (position.incarnation, position.number));
        if reached.is_none_or(|at| at < (incarnation, head)) {
            self.note_missing(now, from, Position { source, incarnation, number: head });
        }
    }

    /// Appends new items of a source, and delivers those that have not been delivered.
    fn append_items(&mut self, now: Time, source: MemberId, up_to: u64, items: Vec<Item>, is_complete: bool) {
        let Some(log) = self.logs.get_mut(&source) else { return };
        let (incarnation, delivered) = (log.incarnation, log.delivered_up_to);
        log.delivered_up_to = delivered.max(up_to);
        let mut fresh = items.clone();
        log.append(now, items, up_to, is_complete, &self.settings);
        self.updated_sources.insert(source);
        if up_to > delivered {
            fresh.retain(|item| item.number > delivered);
            let is_complete = fresh.len() as u64 == up_to - delivered;
            Effect::push_items(&mut self.effects, source, incarnation, up_to, fresh, is_complete);
        }
    }

    /// Requests what is missing from the member that reported it and from a random one in turn: the former
    /// may have failed.
    pub(super) fn repair(&mut self, now: Time) {
        if self.missing.is_empty() {
            return;
        }
        let reporter = self.missing.values().next().map(|missing| missing.reported_by);
        let other = self.peer_order.choose(&mut self.rng).copied();
        let to = if self.request_attempts.is_multiple_of(2) { reporter } else { other };
        self.request_attempts = self.request_attempts.wrapping_add(1);
        if let Some(to) = to.or(other) {
            self.request_missing(now, to, false);
        }
    }

    /// Requests missing items. `has_answer`: the last request was answered, so the next one may be sent at
    /// once.
    pub(super) fn request_missing(&mut self, now: Time, to: MemberId, has_answer: bool) {
        self.forget_outdated_missing(now);
        let is_request_pending =
            self.last_request.is_some_and(|at| now - at < Span(self.settings.interval.0 * 3));
        if self.missing.is_empty() {
            self.last_request = None;
            self.request_attempts = 0;
        } else if has_answer || !is_request_pending {
            self.last_request = Some(now);
            let positions = self.missing.iter().take(self.settings.max_segments).map(|(source, missing)| {
                self.position_of(*source).unwrap_or(Position {
                    source: *source,
                    incarnation: missing.incarnation,
                    number: 0,
                })
            });
            let message = FeedMessage::Request { stamp: self.stamp(now), positions: positions.collect() };
            self.effects.push_back(Effect::Send { to, message });
        }
    }

    /// Forgets what has arrived, and what no member has reported lately.
    fn forget_outdated_missing(&mut self, now: Time) {
        let logs = &self.logs;
        let lifetime = self.settings.report_lifetime;
        self.missing.retain(|source, missing| {
            let at = logs.get(source).map(|log| (log.incarnation, log.up_to));
            now - missing.last_reported <= lifetime
                && at.is_none_or(|at| at < (missing.incarnation, missing.number))
        });
    }

    /// Answers a request within this round's repair budget.
    pub(super) fn answer_request(&mut self, now: Time, to: MemberId, positions: &[Position]) {
        let (mut segments, mut bytes) = (Vec::new(), 0);
        let max_bytes = self.settings.frame_bytes.min(self.repair_bytes_left);
        for position in positions {
            if segments.len() >= self.settings.max_segments || bytes >= max_bytes {
                break;
            }
            let Some(log) =
                self.logs.get(&position.source).filter(|log| log.incarnation >= position.incarnation)
            else {
                continue;
            };
            let after = if log.incarnation == position.incarnation { position.number } else { 0 };
            let Some((segment, cost)) = log.segment(now, position.source, after, max_bytes - bytes) else {
                continue;
            };
            if bytes > 0 && bytes + cost > max_bytes {
                continue;
            }
            bytes += cost;
            segments.push(segment);
        }
        if segments.is_empty() {
            return;
        }
        self.repair_bytes_left = self.repair_bytes_left.saturating_sub(bytes);
        let echo = self.peers.get(&to).and_then(|peer| peer.echo(now));
        self.effects.push_back(Effect::Send {
            to,
            message: FeedMessage::Segments { echo, is_answer: true, segments },
        });
    }
}
