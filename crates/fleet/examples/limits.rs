//! Prints the tables of docs/fleet-limits.md from a simulation in virtual time:
//! `cargo run --release -p cherrypass-fleet --example limits [below-one]`
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::limits::{Effect, LimitKey, Limits, Message, Settings};
use cherrypass_fleet::simulation::{Link, Network, Node};
use std::collections::BTreeMap;

const TOTAL: f64 = 1000.0;

struct Member {
    limits: Limits,
    demand: f64,
}

impl Node for Member {
    type Message = Message;
    fn receive(&mut self, now: Time, from: MemberId, message: Message) {
        self.limits.receive(now, from, message);
    }
    fn tick(&mut self, now: Time) {
        self.limits.set_demand(now, LimitKey::Origin, self.demand);
        self.limits.tick(now);
    }
    fn next_message(&mut self, now: Time) -> Option<(MemberId, Message)> {
        loop {
            match self.limits.next_effect()? {
                Effect::Send { to, message } => return Some((to, message)),
                Effect::Allowance { key, .. } => self.limits.confirm_applied(now, key),
                Effect::Log(_) => {}
            }
        }
    }
}

struct Fleet {
    network: Network<Member>,
    members: Vec<MemberId>,
}

impl Fleet {
    fn new(n: usize, seed: u64, loss_rate: f64) -> Fleet {
        Fleet::with_total(n, seed, loss_rate, TOTAL)
    }

    fn with_total(n: usize, seed: u64, loss_rate: f64, total: f64) -> Fleet {
        let settings = Settings { origin: Some(total), ..Settings::default() };
        let members: Vec<MemberId> = (0..n).map(|i| MemberId::of(&format!("d{i}"))).collect();
        let mut network = Network::new(seed, settings.interval);
        network.link = Link { loss_rate, duplication_rate: loss_rate / 4.0, ..Link::default() };
        for (i, id) in members.iter().enumerate() {
            let rate = 0.99 + 0.02 * (i % 3) as f64 / 2.0;
            network.start(*id, rate, |now| {
                let limits =
                    Limits::new(settings.clone(), *id, Incarnation(1), &members, seed + i as u64, now);
                Member { limits, demand: 0.0 }
            });
        }
        let mut fleet = Fleet { network, members };
        fleet.run(5.0);
        fleet
    }

    fn set_demand(&mut self, i: usize, demand: f64) {
        self.network.call(self.members[i], |member, _| member.demand = demand);
    }

    fn run(&mut self, seconds: f64) {
        self.network.run(Span::seconds(seconds), |_| {});
    }

    /// What a member may use now and has demand for, as a fraction of the limit.
    fn used(&self, i: usize) -> f64 {
        let id = self.members[i];
        let (Some(member), Some(clock)) = (self.network.node(id), self.network.clock(id)) else { return 0.0 };
        member.limits.allowance(clock, LimitKey::Origin).at(clock).min(member.demand) / TOTAL
    }

    fn sum(&self) -> f64 {
        (0..self.members.len()).map(|i| self.used(i)).sum()
    }

    /// Seconds until this much is in use; `None` after 60 s.
    fn until(&mut self, used: f64) -> Option<f64> {
        let start = self.network.now;
        while (self.network.now - start).as_seconds() < 60.0 {
            if self.sum() >= used {
                return Some((self.network.now - start).as_seconds());
            }
            self.run(0.01);
        }
        None
    }

    /// Messages per second: maximum and mean over the members; and the least that was in use meanwhile.
    fn messages(&mut self, seconds: f64) -> (f64, f64, f64) {
        self.network.sent_messages = BTreeMap::new();
        let mut least = f64::MAX;
        for _ in 0..(seconds * 100.0) as usize {
            self.run(0.01);
            least = least.min(self.sum());
        }
        let sent: Vec<f64> = self.network.sent_messages.values().map(|sent| *sent as f64 / seconds).collect();
        let (most, sum) = (sent.iter().copied().fold(0.0, f64::max), sent.iter().sum::<f64>());
        (most, sum / self.members.len() as f64, least)
    }
}

fn median_and_worst(seconds: &mut [Option<f64>]) -> String {
    let Some(mut known) = seconds.iter().copied().collect::<Option<Vec<f64>>>() else {
        return "never".into();
    };
    known.sort_by(f64::total_cmp);
    format!("{:.2} ({:.2})", known[known.len() / 2], known[known.len() - 1])
}

fn main() {
    if std::env::args().any(|arg| arg == "below-one") {
        return below_one();
    }
    println!("seconds: median (worst) of the seeds; lease 2 s, drain 1 s, round 50 ms, links 1 to 5 ms");
    println!(
        "one has all demand | n | lost | to 0.95 | least in use after | most messages/s | mean messages/s"
    );
    for n in [3, 8, 30, 100, 300] {
        for loss_rate in [0.0, 0.2] {
            let seeds = if n < 100 { 20 } else { 5 };
            let (mut times, mut messages) = (Vec::new(), (0.0f64, 0.0f64, f64::MAX));
            for seed in 0..seeds {
                let mut fleet = Fleet::new(n, seed, loss_rate);
                fleet.set_demand(0, TOTAL);
                times.push(fleet.until(0.95));
                fleet.run(5.0);
                let (most, mean, least) = fleet.messages(10.0);
                messages = (messages.0.max(most), messages.1.max(mean), messages.2.min(least));
            }
            let (most, mean, least) = messages;
            println!(
                "| {n} | {loss_rate} | {} | {least:.3} | {most:.0} | {mean:.1} |",
                median_and_worst(&mut times)
            );
        }
    }
    println!("demand moves from one to another | n | to 0.95");
    for n in [8, 30, 100, 300] {
        let mut times: Vec<Option<f64>> = (0..5)
            .map(|seed| {
                let mut fleet = Fleet::new(n, seed, 0.0);
                fleet.set_demand(0, TOTAL);
                fleet.run(20.0);
                fleet.set_demand(0, 0.0);
                fleet.set_demand(1, TOTAL);
                fleet.until(0.95)
            })
            .collect();
        println!("| {n} | {} |", median_and_worst(&mut times));
    }
    println!("one had all, then all have full demand | n | all at 0.9 shares | least, most share | mean messages/s");
    for n in [8, 30, 100, 300] {
        let mut fleet = Fleet::new(n, 1, 0.0);
        fleet.set_demand(0, TOTAL);
        fleet.run(20.0);
        (0..n).for_each(|i| fleet.set_demand(i, TOTAL));
        let start = fleet.network.now;
        let after = loop {
            fleet.run(0.05);
            let passed = (fleet.network.now - start).as_seconds();
            if passed > 60.0 || (0..n).all(|i| fleet.used(i) * n as f64 > 0.9) {
                break passed;
            }
        };
        fleet.run(10.0);
        let (_, mean, _) = fleet.messages(10.0);
        let shares: Vec<f64> = (0..n).map(|i| fleet.used(i) * n as f64).collect();
        let (least, most) =
            (shares.iter().copied().fold(9.0, f64::min), shares.iter().copied().fold(0.0, f64::max));
        println!("| {n} | {after:.2} | {least:.3} {most:.3} | {mean:.1} |");
    }
    println!("half have demand for two shares | n | to 0.95 | least in use after | mean messages/s");
    for n in [8, 30, 100, 300] {
        let mut fleet = Fleet::new(n, 1, 0.0);
        (0..n / 2).for_each(|i| fleet.set_demand(i, 2.0 * TOTAL / n as f64));
        let mut time = [fleet.until(0.95)];
        fleet.run(10.0);
        let (_, mean, least) = fleet.messages(10.0);
        println!("| {n} | {} | {least:.3} | {mean:.1} |", median_and_worst(&mut time));
    }
    below_one();
}

fn below_one() {
    println!(
        "shares below one, 120 s | n | limit | with demand | hand-offs in use | longest without | messages/s"
    );
    for (n, total, demanding) in
        [(30, 4.0, 1), (30, 4.0, 2), (30, 4.0, 30), (300, 40.0, 20), (300, 40.0, 80), (300, 40.0, 300)]
    {
        let mut fleet = Fleet::with_total(n, 1, 0.0, total);
        (0..demanding).for_each(|i| fleet.set_demand(i, if demanding == 1 { 9.0 } else { 1.0 }));
        fleet.run(60.0);
        fleet.network.sent_messages = BTreeMap::new();
        let most = total.min(if demanding == 1 { 9.0 } else { demanding as f64 });
        let (mut used, mut without, mut longest) = (0.0, vec![0.0f64; demanding], 0.0f64);
        for _ in 0..1200 {
            fleet.run(0.1);
            for (i, without) in without.iter_mut().enumerate() {
                let hand_offs = (fleet.used(i) * TOTAL + 1e-9).floor();
                used += hand_offs / most / 1200.0;
                *without = if hand_offs > 0.0 { 0.0 } else { *without + 0.1 };
                longest = longest.max(*without);
            }
        }
        let sent = fleet.network.sent_messages.values().sum::<u64>() as f64 / 120.0 / n as f64;
        println!("| {n} | {total} | {demanding} | {used:.2} | {longest:.0} | {sent:.1} |");
    }
}
