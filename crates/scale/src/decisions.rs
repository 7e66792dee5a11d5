//! Measures the processor time of decisions by number of hosts: runs the decision module on synthetic visits
//! in one thread, without sockets.
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
const CACHES_PER_PARENT: usize = 10;
const OBJECT_COUNT: u64 = 10_000;
/// Time between two visits: 750 per second.
const VISIT_INTERVAL: Span = Span(1_333);
const HAND_OFF_TIME: Span = Span::millis(20);
const VISIT_DEADLINE: Span = Span::millis(2_000);
/// One in so many visits is run as warm-up before timing starts.
const WARM_UP_DIVISOR: u32 = 5;

/// Result for one number of hosts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct DecisionCost {
    pub hosts: usize,
    /// Locations that the hosts are spread over; the dispatcher's own is the first.
    pub locations: usize,
    pub visits: u32,
    /// Processor time per visit: arrival, decision and end.
    #[serde(rename = "micros")]
    pub micros_per_visit: f64,
    /// Hand-offs of the timed visits; about one per visit.
    pub hand_offs: u32,
}

fn settings() -> Settings {
    let class = ClassSettings {
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
        classes: vec![class],
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

/// A list of hosts: caches, a parent for every `CACHES_PER_PARENT` of them, and an origin.
fn host_list(hosts: usize, locations: usize) -> Vec<Listing> {
    let parents = (hosts / (CACHES_PER_PARENT + 1)).max(1);
    let kind = |host: usize| match host {
        0 => ORIGIN,
        host if host <= parents => PARENT,
        _ => CACHE,
    };
    let id = |host: usize| 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(host as u64 + 1);
    (0..hosts).map(|host| listing(id(host), kind(host), host % locations)).collect()
}

/// Processor seconds of this thread.
fn thread_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
    nanoseconds.unwrap_or(0.0) / 1e9
}

struct Benchmark {
    engine: DecisionEngine,
    now: Time,
    hand_offs: u32,
    random_state: u64,
}

impl Benchmark {
    fn run_visit(&mut self, id: u32) {
        self.now = self.now + VISIT_INTERVAL;
        // A linear congruential step picks the object.
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let object = ObjectId((self.random_state >> 33) % OBJECT_COUNT);
        let (class, group, deadline) = (ClassId(0), GroupId(0), self.now + VISIT_DEADLINE);
        let id = VisitId(id);
        self.engine
            .visit_arrived(self.now, Visit { id, class, object, group, part: 0, kilobytes: None, deadline });
        let mut handed_off = false;
        while let Some(decision) = self.engine.next_decision(self.now) {
            handed_off |= matches!(decision, Decision::HandOff { visit, .. } if visit == id);
        }
        if handed_off {
            self.hand_offs += 1;
            let (outcome, note, report) = (Outcome::Served, Note::Hit, Report::default());
            let number = HandOffNumber(0);
            self.engine.hand_off_ended(
                self.now,
                HandOffEnd {
                    visit: id,
                    number,
                    outcome,
                    note,
                    duration: HAND_OFF_TIME,
                    report,
                    is_final: true,
                },
            );
            while self.engine.next_decision(self.now).is_some() {}
        }
    }
}

/// Measures the cost per visit with `hosts` hosts spread over `locations` locations.
pub fn measure(hosts: usize, locations: usize, visits: u32, seed: u64) -> DecisionCost {
    let now = Time(1_000_000_000);
    let mut engine = DecisionEngine::new(settings(), seed, now);
    engine.update_hosts(now, &host_list(hosts, locations), true);
    let mut benchmark = Benchmark { engine, now, hand_offs: 0, random_state: seed | 1 };
    let warm_up = visits / WARM_UP_DIVISOR;
    (0..warm_up).for_each(|id| benchmark.run_visit(id));
    benchmark.hand_offs = 0;
    let before = thread_seconds();
    (warm_up..warm_up + visits).for_each(|id| benchmark.run_visit(id));
    let micros_per_visit = (thread_seconds() - before) * 1e6 / f64::from(visits);
    DecisionCost { hosts, locations, visits, micros_per_visit, hand_offs: benchmark.hand_offs }
}
