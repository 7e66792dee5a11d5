//! Connects the decision module with the fleet. Shares of limits and findings of other dispatchers go into
//! the module; its own findings, demand and usage go to the fleet. No decisions are made here. Values from
//! the fleet are valid until an `Instant`, and the remaining time is passed to the module again and again, so
//! that a step of the system clock can't keep an expired share in force.
mod counters;
mod demand;
mod findings;
mod hosts;
mod proof;
mod reports;
mod rules;
mod settings;
mod shares;
mod state;

use self::demand::DEMAND_WINDOW;
pub use self::settings::{fleet_settings, Error};
pub use self::state::FleetConnection;
use self::state::Share;
use crate::carried_changes::Delivery;
use crate::clock;
use crate::inbox::Input;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::settings::Settings;
use cherrypass_operator::fleet::Fleet;
use cherrypass_peers as peers;
use cherrypass_peers::delivery::DeliveryEvent;
use cherrypass_peers::{FindingKind, FromFleet, Peers, ToFleet};
use cherrypass_store::store::Store;
use crossbeam_channel::{unbounded, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of the exchanges between module and fleet.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

impl FleetConnection {
    /// Joins the fleet, whose messages go to the router's mailbox.
    pub fn start(
        fleet: &Fleet,
        peers_settings: peers::Settings,
        settings: &Settings,
        store: Option<Arc<Store>>,
        router: Sender<Input>,
    ) -> Result<FleetConnection, Error> {
        let (to_log_thread, from_fleet) = unbounded();
        let receive = move |from| {
            let _ = match from {
                // That thread forwards how much is known, in order with the changes that it has applied.
                FromFleet::Delivery(delivered) => to_log_thread.send(delivered).is_ok(),
                from => router.send(Input::Fleet(from)).is_ok(),
            };
        };
        let peers = Peers::start(peers_settings, store, receive, |line| tracing::info!("{line}"))?;
        let sender = peers.sender();
        let delivery = fleet.delivery.as_ref().map(|delivery| Delivery {
            from_fleet,
            to_fleet: Box::new({
                let sender = sender.clone();
                move |message| sender.send(message)
            }),
            is_carrier: delivery.carriers.contains(&fleet.own_name),
        });
        let send = Box::new(move |message| sender.send(message));
        Ok(FleetConnection { _peers: Some(peers), delivery, ..FleetConnection::with(fleet, settings, send) })
    }

    /// Takes the channels for the thread that follows the change log.
    pub fn take_delivery(&mut self) -> Option<Delivery> {
        self.delivery.take()
    }

    /// Handles a message of the fleet.
    pub fn handle(&mut self, engine: &mut DecisionEngine, message: FromFleet) {
        match message {
            FromFleet::Allowance { key, number, amount, until, after } => {
                self.share_allotted(engine, key, number, Share { amount, until, after })
            }
            FromFleet::Verdict { kind: FindingKind::Slow, .. } => {}
            FromFleet::Verdict { .. } if !self.rules.fleet.verdicts.uses_findings => {}
            FromFleet::Verdict { host, started_at, kind: FindingKind::Restarted, until, .. } => {
                self.host_restarted(engine, host, started_at, until)
            }
            FromFleet::Verdict { host, started_at, until, .. } => {
                self.host_reported(engine, host, started_at, until)
            }
            FromFleet::WithdrawVerdict { host } => self.withdraw_report(engine, host),
            FromFleet::Delivery(DeliveryEvent::CompleteUpTo(at)) => self.changes_known_up_to(engine, at),
            FromFleet::Delivery(DeliveryEvent::Changes { .. } | DeliveryEvent::ReadLogDirectly(_)) => {}
            FromFleet::Rules { number, text } => self.handle_rules(engine, number, &text),
        }
    }

    /// How long until the next exchange ([`FleetConnection::exchange`]) is due.
    pub fn until_next_exchange(&self) -> Duration {
        self.next_exchange.saturating_duration_since(Instant::now())
    }

    /// Exchanges the current state between module and fleet, in both directions.
    pub fn exchange(&mut self, engine: &mut DecisionEngine) {
        let (now, instant) = (clock::now(), Instant::now());
        self.next_exchange = instant + EXCHANGE_INTERVAL;
        self.exchanges += 1;
        self.update_proof(engine);
        self.apply_shares(engine);
        self.renew_reports(engine, now, instant);
        if self.fleet.verdicts.is_some() {
            self.send_findings(engine, now);
        }
        self.send_ejections(engine);
        self.send_demand(engine, now);
        if self.exchanges.is_multiple_of(DEMAND_WINDOW) {
            (self.send)(ToFleet::Figures(std::mem::take(&mut self.counters)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cherrypass::calls::{Decision, HandOffEnd, Note, Outcome, Report, Visit};
    use cherrypass::calls::{Listing, Phase, SharedLimit};
    use cherrypass::ids::{CellId, GroupId, HandOffNumber, KindId, ObjectId, VisitId};
    use cherrypass::ids::{ClassId, HostId, LocationId};
    use cherrypass::settings::{ClassSettings, ColdStart, Effect};
    use cherrypass::time::Span;
    use cherrypass_peers::LimitKey;
    use crossbeam_channel::{unbounded, Receiver};
    use std::collections::BTreeMap;

    const CACHE_COUNT: u64 = 4;
    const ORIGIN: HostId = HostId(9);

    fn class(is_write: bool) -> ClassSettings {
        let (target_latency, zero) = (Span::millis(500), Span::ZERO);
        ClassSettings {
            effect: Effect::Idempotent,
            target_latency,
            target_stretch: 2.0,
            fresh_for: zero,
            stale_for: zero,
            is_write,
        }
    }

    /// A decision module with four caches, the first of them cold, and an origin; and its connection to a
    /// fleet of two. Messages to the fleet arrive at the receiver.
    fn start() -> (DecisionEngine, FleetConnection, Receiver<ToFleet>) {
        let text = r#"{"fleet": {"name": "shop", "me": "d1", "listen": "127.0.0.1:0", "verdicts": {},
            "limits": {"origin": 40, "further_per_s": 20, "cold": true, "floor": 0.1},
            "members": [{"name": "d1", "address": "127.0.0.1:1", "location": "edge"},
                        {"name": "d2", "address": "127.0.0.1:2", "location": "edge"}]}}"#;
        let fleet = cherrypass_operator::decode("test", serde_json::from_str(text).unwrap()).unwrap();
        let (initial_share, ramp, overload_factor, overload_window) =
            (0.2, Span::seconds(60.0), 2.0, Span::seconds(2.0));
        let settings = Settings {
            dispatchers: 2,
            location_dispatchers: 2,
            classes: vec![class(false), class(true)],
            origin_kind: Some(KindId(2)),
            has_weights: true,
            has_stable_weights: true,
            may_bypass_caches: true,
            can_cancel: true,
            max_hand_offs: 6,
            cold_cache: ColdStart { initial_share, ramp, overload_factor, overload_window },
            ..Settings::default()
        };
        let mut engine = DecisionEngine::new(settings.clone(), 7, clock::now());
        let (sender, sent) = unbounded();
        let mut connection = FleetConnection::with(
            &fleet.fleet.unwrap(),
            &settings,
            Box::new(move |message| drop(sender.send(message))),
        );
        connection.set_initial_shares(&mut engine);
        let entries: Vec<Listing> = (1..=CACHE_COUNT).map(HostId).chain([ORIGIN]).map(entry).collect();
        engine.update_hosts(clock::now(), &entries, true);
        entries.iter().for_each(|entry| {
            connection.host_listed(&mut engine, entry, entry.started_at.map(clock::to_unix))
        });
        (engine, connection, sent)
    }

    fn entry(host: HostId) -> Listing {
        let (location, cell) = (LocationId(0), CellId(0));
        let kind = KindId(if host == ORIGIN { 2 } else { 0 });
        let since = Some(clock::now()).filter(|_| host == HostId(1));
        Listing { host, location, kind, cell, weight: 20.0, started_at: since, phase: Phase::Ready }
    }

    /// Starts visits of a request class; returns the host of each, with no entry for refused ones.
    fn visits(engine: &mut DecisionEngine, first: u32, count: u32, class: u16) -> BTreeMap<u32, HostId> {
        let (now, mut sent_to) = (clock::now(), BTreeMap::new());
        for id in first..first + count {
            let (object, deadline) = (ObjectId(u64::from(id)), now + Span::seconds(6.0));
            let (class, group, visit) = (ClassId(class), GroupId(0), VisitId(id));
            engine.visit_arrived(
                now,
                Visit { id: visit, class, object, group, part: 0, kilobytes: None, deadline },
            );
            while let Some(decision) = engine.next_decision(now) {
                if let Decision::HandOff { visit, host, .. } = decision {
                    sent_to.insert(visit.0, host);
                }
            }
        }
        sent_to
    }

    fn end(engine: &mut DecisionEngine, sent_to: &BTreeMap<u32, HostId>, fails: impl Fn(HostId) -> bool) {
        for (id, host) in sent_to {
            let outcome = if fails(*host) { Outcome::TimedOut } else { Outcome::Served };
            let (visit, number, note) = (VisitId(*id), HandOffNumber(0), Note::Unspecified);
            let (took, report) = (Span::millis(100), Report::default());
            engine.hand_off_ended(
                clock::now(),
                HandOffEnd { visit, number, outcome, note, duration: took, report, is_final: true },
            );
        }
        while engine.next_decision(clock::now()).is_some() {}
    }

    #[test]
    fn shares_expire_by_themselves_and_demand_is_sent() {
        let (mut engine, mut connection, sent) = start();
        assert_eq!(visits(&mut engine, 0, 5, 1).len(), 0, "no share is allotted yet");
        let until = Instant::now() + Duration::from_millis(60);
        let share = |key, number, amount, after| FromFleet::Allowance { key, number, amount, until, after };
        connection.handle(&mut engine, share(LimitKey::Origin, 3, 6.0, 0.0));
        connection.handle(&mut engine, share(LimitKey::ColdHost(HostId(77)), 4, 1.0, 1.0));
        assert_eq!(visits(&mut engine, 10, 9, 1).len(), 6);
        connection.exchange(&mut engine);
        let all: Vec<ToFleet> = sent.try_iter().collect();
        assert!(all.contains(&ToFleet::AllowanceApplied { key: LimitKey::Origin, number: 3 }));
        assert!(
            !all.iter().any(|message| matches!(
                message,
                ToFleet::AllowanceApplied { key: LimitKey::ColdHost(_), .. }
            )),
            "the host is not listed"
        );
        let demand = |wanted: LimitKey| {
            let find = |message: &ToFleet| match message {
                ToFleet::Demand { key, amount } if *key == wanted => Some(*amount),
                _ => None,
            };
            all.iter().find_map(find)
        };
        assert!(demand(LimitKey::Origin).unwrap() > 6.0, "demand exceeds the share");
        assert!(
            demand(LimitKey::ColdHost(HostId(1))).is_some()
                && demand(LimitKey::ColdHost(HostId(2))).is_none()
        );
        std::thread::sleep(Duration::from_millis(80));
        end(&mut engine, &(0..30).map(|id| (id, ORIGIN)).collect(), |_| false);
        assert_eq!(visits(&mut engine, 30, 4, 1).len(), 0, "the share has expired without a further call");
    }

    #[test]
    fn rules_change_limits_and_invalid_rules_change_nothing() {
        let (mut engine, mut connection, sent) = start();
        let until = Instant::now() + Duration::from_secs(9);
        let key = LimitKey::Origin;
        connection
            .handle(&mut engine, FromFleet::Allowance { key, number: 1, amount: 8.0, until, after: 0.0 });
        let mut rules = |number: u64, text: &str| {
            connection.handle(&mut engine, FromFleet::Rules { number, text: text.into() });
            let before = engine.take_limit_usage(clock::now(), SharedLimit::Origin).used as u32;
            visits(&mut engine, 100 * number as u32, 9, 1).len() as u32 + before
        };
        assert_eq!(rules(1, r#"{"fleet": {"limits": {"origin": 20}}}"#), 4);
        assert_eq!(rules(2, r#"{"fleet": {"limits": {"origin": 0}}}"#), 4);
        assert!(sent.try_iter().any(|message| matches!(message, ToFleet::RulesRejected { number: 2, .. })));
        assert_eq!(rules(0, ""), 8);
    }

    #[test]
    fn own_findings_are_sent_and_those_of_others_are_not_repeated() {
        let (mut engine, mut connection, sent) = start();
        let bad = HostId(3);
        for first in [100, 200, 300, 400] {
            let sent_to = visits(&mut engine, first, 60, 0);
            end(&mut engine, &sent_to, |host| host == bad);
        }
        connection.exchange(&mut engine);
        connection.exchange(&mut engine);
        let all: Vec<ToFleet> = sent.try_iter().collect();
        let found =
            |message: &&ToFleet| matches!(message, ToFleet::Finding(f) if f.host == bad && f.evidence > 0);
        assert_eq!(all.iter().filter(found).count(), 1, "an unchanged finding was sent again");
        assert!(all.contains(&ToFleet::HostEjected { host: bad, by_reports: false }));
        // Host 2 is ejected only because of others' reports, and returns when they are withdrawn. Own
        // successes take precedence for 2 s.
        let (host, until) = (HostId(2), Instant::now() + Duration::from_secs(9));
        let (kind, weight, age, reporters) = (FindingKind::Failing, 0.5, Span::ZERO, 2);
        std::thread::sleep(Duration::from_millis(2_050));
        connection.handle(
            &mut engine,
            FromFleet::Verdict { host, started_at: None, kind, weight, until, age, reporters },
        );
        connection.exchange(&mut engine);
        let all: Vec<ToFleet> = sent.try_iter().collect();
        assert!(all.contains(&ToFleet::HostEjected { host, by_reports: true }));
        assert!(
            !all.iter().any(|message| matches!(message, ToFleet::Finding(f) if f.host == host)),
            "a report of others was repeated"
        );
        connection.handle(&mut engine, FromFleet::WithdrawVerdict { host });
        engine.tick(clock::now());
        connection.exchange(&mut engine);
        assert!(sent.try_iter().any(|message| message == ToFleet::HostReadmitted { host }));
    }
}
