//! What a decision costs by the number of hosts: the module on made-up visits, in one thread, without sockets.
use cherrypass::calls::{Decision, HandOffEnd, Listing, Note, Outcome, Phase, Report, Visit};
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::{
    CellId, ClassId, GroupId, HandOffNumber, HostId, KindId, LocationId, ObjectId, VisitId,
};
use cherrypass::settings::{ClassSettings, Effect, Settings};
use cherrypass::time::{Span, Time};
use serde::{Deserialize, Serialize};

const CACHE: KindId = KindId(0);
const PARENT: KindId = KindId(1);
const ORIGIN: KindId = KindId(2);
/// One parent for so many caches, and one origin.
const CACHES_A_PARENT: usize = 10;
const OBJECTS: u64 = 10_000;
/// Between two visits: 750 a second.
const GAP: Span = Span(1_333);
const TOOK: Span = Span::millis(20);
const LIMIT: Span = Span::millis(2_000);
/// The part of all visits that go before any are timed.
const WARMS: u32 = 5;

/// What one number of hosts came to.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Cost {
    pub hosts: usize,
    /// Locations that they are spread over, the own one first.
    pub locations: usize,
    pub visits: u32,
    /// Processor microseconds of a visit: arrival, decision, end.
    pub micros: f64,
    /// Hand-offs that came of the timed visits; near one each.
    pub hand_offs: u32,
}

fn settings() -> Settings {
    let band = ClassSettings {
        effect: Effect::Idempotent,
        target_latency: Span::millis(500),
        target_stretch: 2.0,
        fresh_for: Span::ZERO,
        stale_for: Span::ZERO,
        is_write: false,
    };
    Settings {
        dispatchers: 1,
        location_dispatchers: 1,
        classes: vec![band],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        has_weights: true,
        has_stable_weights: true,
        may_bypass_caches: true,
        can_cancel: true,
        max_hand_offs: 6,
        ..Settings::default()
    }
}

fn listing(host: u64, kind: KindId, location: usize) -> Listing {
    let (location, cell, weight) = (LocationId(location as u16), CellId(0), 1e6);
    Listing { host: HostId(host), location, kind, cell, weight, started_at: None, phase: Phase::Ready }
}

/// So many hosts: caches with a parent for each ten, and an origin.
fn list(hosts: usize, locations: usize) -> Vec<Listing> {
    let parents = (hosts / (CACHES_A_PARENT + 1)).max(1);
    let kind = |host: usize| match host {
        0 => ORIGIN,
        host if host <= parents => PARENT,
        _ => CACHE,
    };
    let id = |host: usize| 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(host as u64 + 1);
    (0..hosts).map(|host| listing(id(host), kind(host), host % locations)).collect()
}

/// This thread's processor seconds.
fn processor() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
    nanoseconds.unwrap_or(0.0) / 1e9
}

struct Play {
    brain: DecisionEngine,
    now: Time,
    hand_offs: u32,
    chance: u64,
}

impl Play {
    fn visit(&mut self, id: u32) {
        self.now = self.now + GAP;
        // A multiplicative step is chance enough for which object.
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let object = ObjectId((self.chance >> 33) % OBJECTS);
        let (band, group, deadline) = (ClassId(0), GroupId(0), self.now + LIMIT);
        let id = VisitId(id);
        self.brain.visit_arrived(
            self.now,
            Visit { id, class: band, object, group, part: 0, kilobytes: None, deadline },
        );
        let mut handed = false;
        while let Some(decision) = self.brain.next_decision(self.now) {
            handed |= matches!(decision, Decision::HandOff { visit, .. } if visit == id);
        }
        if handed {
            self.hand_offs += 1;
            let (outcome, note, report) = (Outcome::Served, Note::Hit, Report::default());
            let number = HandOffNumber(0);
            self.brain.hand_off_ended(
                self.now,
                HandOffEnd { visit: id, number, outcome, note, duration: TOOK, report, is_final: true },
            );
            while self.brain.next_decision(self.now).is_some() {}
        }
    }
}

/// Times so many visits with so many hosts, spread over so many locations.
pub fn time(hosts: usize, locations: usize, visits: u32, seed: u64) -> Cost {
    let now = Time(1_000_000_000);
    let mut brain = DecisionEngine::new(settings(), seed, now);
    brain.update_hosts(now, &list(hosts, locations), true);
    let mut play = Play { brain, now, hand_offs: 0, chance: seed | 1 };
    let warm = visits / WARMS;
    (0..warm).for_each(|id| play.visit(id));
    play.hand_offs = 0;
    let before = processor();
    (warm..warm + visits).for_each(|id| play.visit(id));
    let micros = (processor() - before) * 1e6 / f64::from(visits);
    Cost { hosts, locations, visits, micros, hand_offs: play.hand_offs }
}
