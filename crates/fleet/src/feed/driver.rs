//! Entry points: messages and the periodic timer.
use super::carrier::{Context, LoadReport, OtherCarriers};
use super::log::ReceivedStamp;
use super::messages::FeedMessage;
use super::state::Feed;
use crate::common::MemberId;
use cherrypass::time::{Span, Time};

impl Feed {
    /// Handles a message; senders that are not listed are ignored.
    pub fn receive(&mut self, now: Time, from: MemberId, message: FeedMessage) {
        if self.peers.contains_key(&from) {
            self.handle_member(now, from, message);
        } else if self.followers.contains(&from) {
            let mut context = Context { now, settings: &self.settings, effects: &mut self.effects };
            self.carrier.handle_follower(from, message, &mut context);
        }
    }

    fn handle_member(&mut self, now: Time, from: MemberId, message: FeedMessage) {
        if let FeedMessage::Positions { stamp, .. } | FeedMessage::Request { stamp, .. } = &message {
            let Some(peer) = self.peers.get_mut(&from) else { return };
            ReceivedStamp::update(&mut peer.stamp, now, *stamp);
        }
        let max_sources = self.settings.max_sources;
        match message {
            FeedMessage::Positions { load, positions, .. } if positions.len() <= max_sources => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.load = Some((load, now));
                }
                self.handle_positions(now, from, positions);
            }
            FeedMessage::Request { positions, .. } if positions.len() <= max_sources => {
                self.answer_request(now, from, &positions);
            }
            FeedMessage::Segments { echo, is_answer, segments } => {
                let transit = echo.and_then(|echo| echo.transit(now, self.incarnation));
                for segment in segments.into_iter().take(self.settings.max_segments) {
                    self.apply_segment(now, from, segment, transit);
                }
                self.request_missing(now, from, is_answer);
            }
            FeedMessage::OfferMove { follower, .. } if !self.followers.contains(&follower) => {}
            message => {
                let mut context = Context { now, settings: &self.settings, effects: &mut self.effects };
                self.carrier.handle_member(from, message, &mut context);
            }
        }
    }

    /// The periodic timer, called every `Settings::interval`.
    pub fn tick(&mut self, now: Time) {
        self.repair_bytes_left = self.settings.repair_bytes;
        self.push_own_items(now);
        self.report_positions(now);
        self.repair(now);
        self.expire_items(now);
        let reports = self.fresh_load_reports(now);
        let others = OtherCarriers { reports: &reports, own_lag: self.own_lag(now) };
        let mut context = Context { now, settings: &self.settings, effects: &mut self.effects };
        self.carrier.tick(&self.logs, &others, &mut context);
    }

    fn expire_items(&mut self, now: Time) {
        if now - self.last_expiry < Span::seconds(1.0) {
            return;
        }
        self.last_expiry = now;
        for log in self.logs.values_mut() {
            log.expire(now, &self.settings);
        }
    }

    /// The latest load reports of live members.
    fn fresh_load_reports(&self, now: Time) -> Vec<LoadReport> {
        self.peers
            .iter()
            .filter(|(_, peer)| !peer.is_dead)
            .filter_map(|(id, peer)| {
                let (load, received) = peer.load?;
                Some(LoadReport { member: *id, load, received })
            })
            .filter(|report| now - report.received <= self.settings.report_lifetime)
            .collect()
    }
}
