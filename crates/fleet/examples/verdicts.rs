//! Prints the tables of docs/fleet-verdicts.md from a simulation in virtual time: the dispatchers of one
//! location have little traffic each, and a cache fails. Each case runs with and without shared verdicts, on
//! the same visits and faults.
//! `cargo run --release -p cherrypass-fleet --example verdicts [seeds [reporters [location_fraction]]]`
use cherrypass::calls::*;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::*;
use cherrypass::settings::{ClassSettings, ColdStart, Effect as Repeats, Settings};
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::verdicts::{self, Effect, Finding, FindingKind, Message, UsedBy, Verdicts};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const START: Time = Time(1_000_000_000);
const CACHES: u64 = 8;
const PARENTS: u64 = 2;
const ORIGIN: HostId = HostId(100);
const FAULTY: HostId = HostId(3);
const FAULT_START: Span = Span::millis(20_000);
const FAULT_END: Span = Span::millis(40_300);
const RESTARTED: Span = Span::millis(26_000);
const LIST_DELAY: Span = Span::millis(3_000);
const END: Span = Span::millis(60_000);
const QUOTED_TIME: Span = Span::millis(1_000);
const SENDING_SECONDS: f64 = 0.03;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Every answer is an error, without delay.
    Errors,
    /// Half of the answers are errors.
    HalfErrors,
    /// No answers for 20.3 s, and then it works.
    HangsForAWhile,
    /// The same, with errors.
    ErrorsForAWhile,
    /// No answers.
    Hangs,
    /// Connections are refused, for good.
    Refuses,
    /// Connections are refused, and it returns cold; the list reports that late.
    Restarts,
    /// No host fails; this many dispatchers lose most of their traffic.
    Links(u32),
}

#[derive(Clone, Copy)]
struct Case {
    fault: Fault,
    dispatchers: u32,
    visits_a_second: f64,
    seed: u64,
    shared: bool,
    thresholds: (u8, f64),
}

enum Event {
    Round(usize),
    Tick(usize),
    Arrives(usize),
    Ends { of: usize, visit: VisitId, number: u8, outcome: Outcome, note: Note },
    Delivered { to: usize, from: usize, message: Message, at: Time },
    Listed,
}

struct Dispatcher {
    engine: DecisionEngine,
    verdicts: Verdicts,
    arrivals: Pcg64Mcg,
    bad_link: bool,
    next: u32,
    /// Time of arrival, hand-offs so far, and whether one went to the faulty host.
    visits: BTreeMap<VisitId, (Time, u8, bool)>,
    /// When each running hand-off began.
    out: BTreeMap<(VisitId, u8), Time>,
    /// Hosts with own findings at the last look.
    unhealthy: BTreeSet<HostId>,
    verdicts_in_use: BTreeMap<HostId, (Option<Time>, Time)>,
}

/// Measurements of one run.
#[derive(Default)]
struct Measured {
    /// By dispatcher, the time from the fault until it first stopped using the host.
    out: BTreeMap<usize, Span>,
    /// By dispatcher, the time from the end of the fault until it used the host again, or to the end of the
    /// run.
    back: BTreeMap<usize, Span>,
    lost: u64,
    wasted: u64,
    /// All visits, for comparison.
    visits: u64,
    wrong_own: u64,
    wrong_by_verdict: u64,
    /// Times of hand-offs to the host after its restart.
    to_cold: Vec<Time>,
    oldest: Span,
    messages: u64,
}

struct Simulation {
    case: Case,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    number: u64,
    dispatchers: Vec<Dispatcher>,
    held: BTreeSet<(HostId, ObjectId)>,
    link: Pcg64Mcg,
    weight: f64,
    measured: Measured,
}

fn settings(dispatchers: u32) -> Settings {
    let cold = |share: f64, seconds: u64| ColdStart {
        initial_share: share,
        ramp: Span::millis(seconds * 1000),
        overload_factor: 2.0,
        overload_window: Span::millis(2000),
    };
    Settings {
        dispatchers,
        location: LocationId(0),
        location_dispatchers: dispatchers,
        classes: vec![ClassSettings {
            effect: Repeats::Idempotent,
            target_latency: QUOTED_TIME,
            target_stretch: 0.0,
            fresh_for: Span::ZERO,
            stale_for: Span::ZERO,
            is_write: false,
        }],
        parent_kind: Some(KindId(1)),
        origin_kind: Some(KindId(2)),
        has_weights: true,
        has_stable_weights: true,
        transfer_kb_per_s: 5000.0,
        location_link_kb_per_s: vec![500_000.0],
        may_bypass_caches: true,
        joins_fills: true,
        reports_fill_source: true,
        can_cancel: true,
        max_hand_offs: 4,
        max_retry_after: Span::millis(2000),
        cold_cache: cold(0.2, 15),
        cold_parent: cold(0.1, 20),
        ..Settings::default()
    }
}

fn caches() -> impl Iterator<Item = HostId> {
    (1..=CACHES).map(HostId)
}

impl Simulation {
    fn new(case: Case) -> Simulation {
        let load = f64::from(case.dispatchers) * case.visits_a_second / CACHES as f64 * SENDING_SECONDS;
        let mut simulation = Simulation {
            case,
            now: START,
            events: BTreeMap::new(),
            number: 0,
            dispatchers: Vec::new(),
            held: BTreeSet::new(),
            link: Pcg64Mcg::seed_from_u64(case.seed ^ 0x77),
            weight: load / 0.6,
            measured: Measured::default(),
        };
        let verdict_settings = verdicts::Settings {
            reporters: case.thresholds.0,
            location_fraction: case.thresholds.1,
            ..verdicts::Settings::default()
        };
        for of in 0..case.dispatchers as usize {
            let seed = case.seed << 16 | of as u64;
            let (own, run) = (MemberId(of as u64), Incarnation(1));
            let mut dispatcher = Dispatcher {
                engine: DecisionEngine::new(settings(case.dispatchers), seed, START),
                verdicts: Verdicts::new(verdict_settings.clone(), own, LocationId(0), run, seed, START),
                arrivals: Pcg64Mcg::seed_from_u64(seed ^ 0x1111 << 40),
                bad_link: matches!(case.fault, Fault::Links(n) if of < n as usize),
                next: 0,
                visits: BTreeMap::new(),
                out: BTreeMap::new(),
                unhealthy: BTreeSet::new(),
                verdicts_in_use: BTreeMap::new(),
            };
            let parents = (11..11 + PARENTS).map(HostId);
            let hosts: Vec<_> = caches().chain(parents).chain([ORIGIN]).collect();
            let list: Vec<_> = hosts.iter().map(|host| simulation.listing(*host, Time(1))).collect();
            dispatcher.engine.update_hosts(START, &list, true);
            for host in hosts {
                let used_by = if host.0 <= CACHES { UsedBy::Location(LocationId(0)) } else { UsedBy::All };
                dispatcher.verdicts.update_host(START, host, Some(Incarnation(1)), used_by);
            }
            for other in (0..case.dispatchers as usize).filter(|other| *other != of) {
                dispatcher.verdicts.set_alive(START, MemberId(other as u64), LocationId(0), true);
            }
            let first = Span::seconds(dispatcher.arrivals.gen_range(0.0..1.0 / case.visits_a_second));
            simulation.put(START + first, Event::Arrives(of));
            simulation.put(START + Span(10_000 * of as u64 / 31), Event::Round(of));
            simulation.put(START + Span(50_000 * of as u64 / 31), Event::Tick(of));
            simulation.dispatchers.push(dispatcher);
        }
        if case.fault == Fault::Restarts {
            simulation.put(START + RESTARTED + LIST_DELAY, Event::Listed);
        }
        simulation
    }

    fn listing(&self, host: HostId, since: Time) -> Listing {
        let kind = if host == ORIGIN { 2 } else { u16::from(host.0 > CACHES) };
        let weight = if kind == 0 { self.weight } else { 20.0 * self.weight };
        let location = LocationId(if kind == 0 { 0 } else { 9 });
        let since = Some(since);
        Listing {
            host,
            location,
            kind: KindId(kind),
            cell: CellId(0),
            weight,
            started_at: since,
            phase: Phase::Ready,
        }
    }

    fn put(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn is_faulty(&self) -> bool {
        let since = self.now - START;
        let host = !matches!(self.case.fault, Fault::Links(_));
        let over =
            matches!(self.case.fault, Fault::HangsForAWhile | Fault::ErrorsForAWhile) && since >= FAULT_END;
        host && since >= FAULT_START && !over && !(self.case.fault == Fault::Restarts && since >= RESTARTED)
    }

    fn run(mut self) -> Measured {
        while let Some(((at, _), event)) = self.events.pop_first().filter(|e| e.0 .0 < START + END) {
            self.now = at;
            match event {
                Event::Round(of) => {
                    self.put(at + Span(10_000), Event::Round(of));
                    self.dispatchers[of].engine.tick(at);
                    self.carry_out_decisions(of);
                }
                Event::Tick(of) => {
                    self.put(at + Span(50_000), Event::Tick(of));
                    self.dispatchers[of].verdicts.tick(at);
                    self.exchange_findings(of);
                }
                Event::Arrives(of) => self.arrives(of),
                Event::Ends { of, visit, number, outcome, note } => {
                    self.ends(of, visit, number, outcome, note)
                }
                Event::Delivered { to, from, message, at: sent } => {
                    let verdicts = &mut self.dispatchers[to].verdicts;
                    verdicts.receive(at, MemberId(from as u64), LocationId(0), at - sent, message);
                    self.carry_out_effects(to);
                }
                Event::Listed => {
                    let since = START + RESTARTED;
                    let entry = self.listing(FAULTY, since);
                    for of in 0..self.dispatchers.len() {
                        let dispatcher = &mut self.dispatchers[of];
                        dispatcher.engine.update_hosts(at, &[entry], false);
                        let back = self.measured.back.get_mut(&of);
                        back.into_iter().for_each(|back| *back = (*back).min(LIST_DELAY));
                        let by = UsedBy::Location(LocationId(0));
                        dispatcher.verdicts.update_host(at, FAULTY, Some(Incarnation(since.0)), by);
                        self.carry_out_decisions(of);
                        self.carry_out_effects(of);
                    }
                }
            }
        }
        self.measured
    }

    fn arrives(&mut self, of: usize) {
        let (now, rate) = (self.now, self.case.visits_a_second);
        let dispatcher = &mut self.dispatchers[of];
        let gap = -(1.0 - dispatcher.arrivals.gen::<f64>()).ln() / rate;
        // Popularity is skewed: a few objects get most visits.
        let object = ObjectId((1.0 / (1.0 - dispatcher.arrivals.gen::<f64>() * 0.998)).powf(1.2) as u64);
        dispatcher.next += 1;
        let id = VisitId(dispatcher.next);
        dispatcher.visits.insert(id, (now, 0, false));
        let kilobytes = Some(SENDING_SECONDS * 5000.0);
        let (class, group, deadline) = (ClassId(0), GroupId(0), now + Span::millis(4_000));
        dispatcher
            .engine
            .visit_arrived(now, Visit { id, class, object, group, part: 0, kilobytes, deadline });
        self.measured.visits += 1;
        self.put(now + Span::seconds(gap), Event::Arrives(of));
        self.carry_out_decisions(of);
    }

    fn ends(&mut self, of: usize, visit: VisitId, number: u8, outcome: Outcome, note: Note) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[of];
        let Some(sent) = dispatcher.out.remove(&(visit, number)) else { return };
        let last = outcome == Outcome::Served;
        let (took, report, number) = (now - sent, Report::default(), HandOffNumber(number));
        dispatcher.engine.hand_off_ended(
            now,
            HandOffEnd { visit, number, outcome, note, duration: took, report, is_final: last },
        );
        if last {
            self.end_visit(of, visit, true);
        }
        self.carry_out_decisions(of);
    }

    /// Ends a visit. It counts as lost if it had a hand-off to the faulty host and no answer in time.
    fn end_visit(&mut self, of: usize, visit: VisitId, served: bool) {
        let Some((arrived, _, met)) = self.dispatchers[of].visits.remove(&visit) else { return };
        let in_time = served && self.now - arrived <= QUOTED_TIME;
        self.measured.lost += u64::from(met && !in_time);
    }

    fn carry_out_decisions(&mut self, of: usize) {
        let now = self.now;
        while let Some(decision) = self.dispatchers[of].engine.next_decision(now) {
            match decision {
                Decision::HandOff { visit, host, fill, .. } => self.hand_off(of, visit, host, fill),
                Decision::Cancel { visit, number } => {
                    let (outcome, note) = (Outcome::Cancelled, Note::Unspecified);
                    self.put(now, Event::Ends { of, visit, number: number.0, outcome, note });
                }
                Decision::Refuse { visit, .. } | Decision::Fail { visit } => self.end_visit(of, visit, false),
                Decision::Log(line) => self.logged(of, &line),
                Decision::Probe { .. } | Decision::Wake { .. } => {}
            }
        }
        self.carry_out_effects(of);
    }

    fn hand_off(&mut self, of: usize, visit: VisitId, host: HostId, fill: Option<Fill>) {
        let (now, faulty) = (self.now, self.is_faulty() && host == FAULTY);
        let cold = self.case.fault == Fault::Restarts && host == FAULTY && now >= START + RESTARTED;
        let fault = self.case.fault;
        let dispatcher = &mut self.dispatchers[of];
        let Some(visit_state) = dispatcher.visits.get_mut(&visit) else { return };
        let number = visit_state.1;
        visit_state.1 += 1;
        visit_state.2 |= faulty;
        self.measured.wasted += u64::from(faulty);
        self.measured.to_cold.extend(cold.then_some(now));
        dispatcher.out.insert((visit, number), now);
        // Seeded by the visit, for the same outcomes with and without sharing.
        let mut rng = Pcg64Mcg::seed_from_u64(
            self.case.seed ^ (of as u64) << 40 ^ u64::from(visit.0) << 4 ^ u64::from(number),
        );
        let object = ObjectId(u64::from(visit.0) % 97);
        let held = fill.is_none_or(|f| f.source == host) || !self.held.insert((host, object));
        let quick = Span::seconds(rng.gen_range(0.5..1.5) * SENDING_SECONDS);
        let at_once = Span::seconds(rng.gen_range(0.004..0.02));
        let fails = match fault {
            _ if dispatcher.bad_link && now >= START + FAULT_START && rng.gen_bool(0.9) => {
                Some((Outcome::TimedOut, Span::millis(3_900)))
            }
            Fault::HalfErrors if faulty => rng.gen_bool(0.5).then_some((Outcome::Error, at_once)),
            Fault::Errors | Fault::ErrorsForAWhile if faulty => Some((Outcome::Error, at_once)),
            Fault::Hangs | Fault::HangsForAWhile if faulty => Some((Outcome::TimedOut, Span::millis(3_900))),
            _ if faulty => Some((Outcome::ConnectFailed, Span(500))),
            _ => None,
        };
        let (outcome, note, after) = match fails {
            Some((outcome, after)) => (outcome, Note::Unspecified, after),
            None if held => (Outcome::Served, Note::Hit, quick),
            None => (Outcome::Served, Note::Filled, quick.times(3.0)),
        };
        self.put(now + after, Event::Ends { of, visit, number, outcome, note });
    }

    fn logged(&mut self, of: usize, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let end = if self.case.fault == Fault::Restarts { RESTARTED } else { FAULT_END };
        if let ["host", "3", what, ..] = words[..] {
            let since = self.now - START;
            if what.starts_with("readmitted") && since >= end {
                self.measured.back.insert(of, Span(since.0 - end.0));
            } else if what == "ejected:" && since < end {
                self.measured.back.insert(of, Span(END.0 - end.0));
            } else if what.starts_with("readmitted") {
                self.measured.back.remove(&of);
            }
        }
        let ["host", id, "ejected:", ..] = words[..] else { return };
        let host = HostId(u64::from_str_radix(id, 16).unwrap_or(0));
        if host == FAULTY && !matches!(self.case.fault, Fault::Links(_)) {
            let since = self.now - (START + FAULT_START);
            self.measured.out.entry(of).or_insert(since);
        } else if !self.dispatchers[of].bad_link {
            let is_reported = line.contains("reported");
            self.measured.wrong_by_verdict += u64::from(is_reported);
            self.measured.wrong_own += u64::from(!is_reported);
        }
    }

    /// Passes findings of the module to the verdicts, and verdicts to the module, on every tick.
    fn exchange_findings(&mut self, of: usize) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[of];
        let mut unhealthy = BTreeSet::new();
        for finding in dispatcher.engine.findings(now) {
            let kind = match finding.condition {
                HostCondition::Restarted => FindingKind::Restarted,
                HostCondition::Ejected { cause: EjectionCause::Failing, is_unreachable: false } => {
                    FindingKind::Failing
                }
                HostCondition::Ejected { .. } => FindingKind::Unreachable,
            };
            unhealthy.extend((kind != FindingKind::Restarted).then_some(finding.host));
            let (host, evidence, age) =
                (finding.host, finding.evidence_count, now - finding.last_evidence_at);
            let since = finding.since.map(|at| Incarnation(at.0));
            dispatcher.verdicts.report_finding(now, Finding { host, since, kind, evidence, age });
        }
        dispatcher
            .unhealthy
            .difference(&unhealthy)
            .for_each(|host| dispatcher.verdicts.report_recovery(now, *host));
        dispatcher.unhealthy = unhealthy;
        let refuted: Vec<HostId> = dispatcher.engine.refuted_reports(now).collect();
        refuted.into_iter().for_each(|host| dispatcher.verdicts.refute(now, host));
        for (host, (since, until)) in dispatcher.verdicts_in_use.clone() {
            dispatcher.engine.apply_peer_report(now, host, since, ReportedCondition::Bad, until);
        }
        self.carry_out_decisions(of);
    }

    fn carry_out_effects(&mut self, of: usize) {
        let now = self.now;
        while let Some(effect) = self.dispatchers[of].verdicts.next_effect() {
            if !self.case.shared {
                continue;
            }
            match effect {
                Effect::Publish { message, .. } => {
                    self.measured.messages += 1;
                    for to in (0..self.dispatchers.len()).filter(|to| *to != of) {
                        let delay = Span(self.link.gen_range(1_000..5_000));
                        self.put(now + delay, Event::Delivered { to, from: of, message, at: now });
                    }
                }
                Effect::Verdict { host, since, kind, age, until, .. } => {
                    self.measured.oldest = self.measured.oldest.max(age);
                    let (dispatcher, since) = (&mut self.dispatchers[of], since.map(|run| Time(run.0)));
                    let word = if kind == FindingKind::Restarted {
                        ReportedCondition::Restarted
                    } else {
                        ReportedCondition::Bad
                    };
                    if word == ReportedCondition::Bad {
                        dispatcher.verdicts_in_use.insert(host, (since, until));
                    }
                    dispatcher.engine.apply_peer_report(now, host, since, word, until);
                }
                Effect::Withdraw { host } => {
                    let dispatcher = &mut self.dispatchers[of];
                    let since = dispatcher.verdicts_in_use.remove(&host).and_then(|verdict| verdict.0);
                    dispatcher.engine.apply_peer_report(now, host, since, ReportedCondition::Bad, now);
                }
                Effect::Log(line) => println!("  {line}"),
            }
        }
    }
}

/// Number of two-second windows with more hand-offs than the cold host can take, N: above N + 3 sqrt(N) + 3.
fn overloaded_windows(measured: &Measured, weight: f64) -> usize {
    let rules = settings(1).cold_cache;
    let over = measured.to_cold.iter().enumerate().filter(|(first, from)| {
        let sent =
            measured.to_cold[*first..].iter().take_while(|at| **at < **from + rules.overload_window).count()
                as f64;
        let age = (**from - (START + RESTARTED)).as_seconds() / rules.ramp.as_seconds();
        let warm = (rules.initial_share + (1.0 - rules.initial_share) * age).min(1.0);
        let borne =
            rules.overload_factor * warm * weight / SENDING_SECONDS * rules.overload_window.as_seconds();
        age < 1.0 && sent > borne + 3.0 * borne.sqrt() + 3.0
    });
    over.count()
}

fn main() {
    let argument =
        |place: usize, or: f64| std::env::args().nth(place).and_then(|w| w.parse().ok()).unwrap_or(or);
    let (seeds, thresholds) = (argument(1, 10.0) as u64, (argument(2, 2.0) as u8, argument(3, 0.34)));
    let faults = [
        Fault::Errors,
        Fault::HalfErrors,
        Fault::Hangs,
        Fault::Refuses,
        Fault::ErrorsForAWhile,
        Fault::HangsForAWhile,
        Fault::Restarts,
        Fault::Links(1),
        Fault::Links(2),
        Fault::Links(3),
    ];
    println!("| fault | dispatchers | visits/s each | last stopped, alone (s) | shared | ratio | lost, alone | shared | ratio | hand-offs to it | shared | healthy removed, alone | shared | by verdict | cold overloaded, alone | shared | last resumed, alone (s) | shared | mean resumed, alone (s) | shared | oldest evidence (s) |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for fault in faults {
        for (dispatchers, rate) in [(8, 2.0), (8, 5.0), (8, 20.0), (30, 2.0), (30, 5.0), (30, 20.0)] {
            let (mut last, mut lost, mut wasted) = ([0.0; 2], [0; 2], [0; 2]);
            let (mut wrong, mut by_verdict, mut over, mut oldest) = ([0; 2], 0, [0; 2], Span::ZERO);
            let mut never = [0; 2];
            let mut back = [[0.0; 2]; 2];
            for seed in 1..=seeds {
                for shared in [false, true] {
                    let case = Case { fault, dispatchers, visits_a_second: rate, seed, shared, thresholds };
                    let simulation = Simulation::new(case);
                    let weight = simulation.weight;
                    let measured = simulation.run();
                    let place = usize::from(shared);
                    last[place] += measured.out.values().max().copied().unwrap_or(Span::ZERO).as_seconds()
                        / seeds as f64;
                    back[place][0] +=
                        measured.back.values().max().map_or(0.0, |b| b.as_seconds()) / seeds as f64;
                    back[place][1] += measured.back.values().map(|b| b.as_seconds()).sum::<f64>()
                        / (measured.back.len().max(1) as f64 * seeds as f64);
                    never[place] += dispatchers as usize - measured.out.len();
                    lost[place] += measured.lost;
                    wasted[place] += measured.wasted;
                    wrong[place] += measured.wrong_own;
                    over[place] += usize::from(overloaded_windows(&measured, weight) > 0);
                    by_verdict += measured.wrong_by_verdict;
                    oldest = oldest.max(measured.oldest);
                }
            }
            let over_at_all =
                matches!(fault, Fault::HangsForAWhile | Fault::ErrorsForAWhile | Fault::Restarts);
            let backs = if over_at_all {
                let [[last, mean], [last_shared, mean_shared]] = back;
                format!("{last:.1} | {last_shared:.1} | {mean:.1} | {mean_shared:.1}")
            } else {
                "| | |".to_string()
            };
            let part = |x: [u64; 2]| x[1] as f64 / x[0].max(1) as f64;
            let outs = if matches!(fault, Fault::Links(_)) {
                "| | |".to_string()
            } else {
                format!(
                    "{:.1} ({}) | {:.1} ({}) | {:.2}",
                    last[0],
                    never[0],
                    last[1],
                    never[1],
                    last[1] / last[0]
                )
            };
            let [wasted, wrong, over] =
                [wasted, wrong, over.map(|n| n as u64)].map(|[alone, shared]| format!("{alone} | {shared}"));
            println!(
                "| {fault:?} | {dispatchers} | {rate} | {outs} | {} | {} | {:.2} | {wasted} | {wrong} | {by_verdict} | {over} | {backs} | {:.1} |",
                lost[0], lost[1], part(lost), oldest.as_seconds(),
            );
        }
    }
}
