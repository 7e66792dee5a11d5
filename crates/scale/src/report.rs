//! Results of a run, as JSON and as Markdown tables.
use crate::changelog::LogTraffic;
use crate::decisions::DecisionCost;
use crate::delivery::DeliveryResult;
use crate::delivery_sockets::SocketDeliveryResult;
use crate::process::ResourceUsage;
use crate::processes::ProcessesResult;
use crate::run::{difference, PhaseResult, SizeResult};
use crate::slopes::Line;
use crate::state::MemberHeap;
use crate::traffic::{TrafficByKind, CHANGE_LOG_KIND, KIND_NAMES};
use crate::virtual_time::VirtualResult;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Fleet size and budgets of control traffic that results are extrapolated to and compared with.
pub const TARGET_DISPATCHERS: f64 = 10_000.0;
pub const VISITS_PER_DISPATCHER_S: f64 = 750.0;
pub const LINK_BUDGET_BYTES_PER_S: f64 = 7_000.0;
pub const CORE_BUDGET: f64 = 0.018;
pub const MEMORY_BUDGET_KB: f64 = 256.0 * 1024.0;
pub const CHANGE_LOG_MACHINES: f64 = 22.0;
pub const PURGE_BUDGET_MS: f64 = 1_100.0;
pub const CONFIGURATION_BUDGET_MS: f64 = 6_000.0;
/// Largest relative deviation from the fitted line that is not reported as off.
pub const MAX_DEVIATION: f64 = 0.25;

/// Results of all parts of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Results {
    pub seed: u64,
    /// Lines are fitted to sizes up to this one.
    pub fit_to: usize,
    pub sockets: Vec<SizeResult>,
    #[serde(rename = "virtually")]
    pub virtual_runs: Vec<VirtualResult>,
    #[serde(default)]
    pub delivery: Vec<DeliveryResult>,
    #[serde(default)]
    pub delivery_sockets: Vec<SocketDeliveryResult>,
    #[serde(default)]
    pub processes: Vec<ProcessesResult>,
    pub state: Vec<MemberHeap>,
    pub decisions: Vec<DecisionCost>,
}

/// A metric by fleet size with its fitted line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Slope {
    #[serde(rename = "what")]
    pub metric: String,
    pub line: Line,
    /// (size, value) for all sizes, also those outside the fit.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Replaces the line by the mean of the fitted sizes, for metrics that don't depend on size.
    fn constant(mut self, fit_to: usize) -> Slope {
        let fitted = self.points.iter().filter(|(size, _)| *size <= fit_to as f64);
        let values: Vec<f64> = fitted.map(|(_, value)| *value).collect();
        let base = values.iter().sum::<f64>() / values.len().max(1) as f64;
        self.line = Line { base, slope: 0.0 };
        self
    }

    fn fitted(metric: impl Into<String>, points: Vec<(f64, f64)>, fit_to: usize) -> Slope {
        let fitted: Vec<(f64, f64)> =
            points.iter().copied().filter(|(size, _)| *size <= fit_to as f64).collect();
        Slope { metric: metric.into(), line: Line::fit(&fitted), points }
    }
}

/// Name of the phase that lines are fitted to: no events but the change log's load.
const QUIET_PHASE: &str = "quiet";

fn quiet_phase(size: &SizeResult) -> Option<&PhaseResult> {
    size.phases.iter().find(|phase| phase.name == QUIET_PHASE)
}

fn mean(usages: &[ResourceUsage], metric: impl Fn(&ResourceUsage) -> f64) -> f64 {
    usages.iter().map(metric).sum::<f64>() / usages.len().max(1) as f64
}

fn cores(used: &ResourceUsage) -> f64 {
    used.cores.values().sum()
}

/// Sum of both directions of one kind: messages or bytes.
fn both_directions(all: &TrafficByKind, kind: usize, in_bytes: bool) -> f64 {
    let of =
        |direction: usize| if in_bytes { all[direction][kind].bytes } else { all[direction][kind].messages };
    of(0) + of(1)
}

fn link_bytes(all: &TrafficByKind) -> f64 {
    (0..CHANGE_LOG_KIND).map(|kind| both_directions(all, kind, true)).sum()
}

impl Results {
    /// Adds the results of another run.
    pub fn add(&mut self, other: Results) {
        self.fit_to = self.fit_to.max(other.fit_to);
        self.sockets.extend(other.sockets);
        self.virtual_runs.extend(other.virtual_runs);
        self.delivery.extend(other.delivery);
        self.delivery_sockets.extend(other.delivery_sockets);
        self.processes.extend(other.processes);
        self.state.extend(other.state);
        self.decisions.extend(other.decisions);
    }

    fn points(&self, metric: impl Fn(&SizeResult, &PhaseResult) -> f64) -> Vec<(f64, f64)> {
        let point = |size: &SizeResult| Some((size.size as f64, metric(size, quiet_phase(size)?)));
        self.sockets.iter().filter_map(point).collect()
    }

    /// Metrics per second of the quiet phase by size, on sockets.
    pub fn slopes(&self) -> Vec<Slope> {
        let (fit_to, mut slopes) = (self.fit_to, Vec::new());
        for (kind, name) in KIND_NAMES.iter().enumerate() {
            for (unit, in_bytes) in [("messages/s", false), ("bytes/s", true)] {
                let points = self.points(|_, phase| both_directions(&phase.simulated_mean, kind, in_bytes));
                let slope = Slope::fitted(format!("{name}: {unit} in and out"), points, fit_to);
                slopes.push(if kind == CHANGE_LOG_KIND { slope.constant(fit_to) } else { slope });
            }
        }
        slopes.push(Slope::fitted(
            "link: bytes/s in and out",
            self.points(|_, phase| link_bytes(&phase.simulated_mean)),
            fit_to,
        ));
        let cores = self.points(|_, phase| mean(&phase.real_usage, cores) * 100.0);
        slopes.push(Slope::fitted("real dispatcher: % of a core", cores, fit_to));
        let resident = self.points(|_, phase| mean(&phase.real_usage, |used| used.resident_kb as f64));
        slopes.push(Slope::fitted("real dispatcher: resident kB", resident, fit_to));
        slopes.push(Slope::fitted(
            "simulated dispatcher: resident kB",
            self.points(|size, _| size.simulated_kb),
            fit_to,
        ));
        slopes
    }

    fn line(&self, metric: &str) -> Line {
        let slopes = self.slopes();
        slopes.iter().find(|slope| slope.metric == metric).map(|slope| slope.line).unwrap_or_default()
    }

    /// Change log traffic and core seconds per answer at the largest fitted size; at larger ones simulated
    /// dispatchers may lack processor time and poll less.
    fn change_log_use(&self) -> Option<(&SizeResult, LogTraffic, f64)> {
        let fitted = self.sockets.iter().filter(|size| size.size <= self.fit_to);
        let size = fitted.max_by_key(|size| size.followers)?;
        let phase = quiet_phase(size)?;
        Some((size, phase.change_log, phase.change_log_cores / phase.change_log.answers.messages.max(1.0)))
    }

    /// All tables as Markdown.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for size in &self.sockets {
            size_text(&mut text, size);
        }
        if !self.sockets.is_empty() {
            self.slopes_text(&mut text);
        }
        self.virtual_text(&mut text);
        self.delivery_text(&mut text);
        self.delivery_sockets_text(&mut text);
        self.processes_text(&mut text);
        self.state_text(&mut text);
        self.decisions_text(&mut text);
        if !self.sockets.is_empty() {
            self.budgets_text(&mut text);
        }
        text
    }

    fn slopes_text(&self, text: &mut String) {
        let _ = writeln!(
            text,
            "\nLinear fits of the quiet phase on sockets, per second and dispatcher, fitted up to size {}\n",
            self.fit_to
        );
        let _ = writeln!(text, "| metric | base | per dispatcher | at {TARGET_DISPATCHERS} | measured (deviation from the fit) |\n| --- | --- | --- | --- | --- |");
        for Slope { metric, line, points } in self.slopes() {
            let deviation = |(size, measured): &(f64, f64)| {
                let deviation = measured / line.at(*size).max(f64::EPSILON) - 1.0;
                format!("{size}: {measured:.2} ({deviation:+.2})")
            };
            let points: Vec<String> = points.iter().map(deviation).collect();
            let (base, slope, at, points) =
                (line.base, line.slope, line.at(TARGET_DISPATCHERS), points.join("; "));
            let _ = writeln!(text, "| {metric} | {base:.3} | {slope:.5} | {at:.1} | {points} |");
        }
    }

    fn virtual_text(&self, text: &mut String) {
        if self.virtual_runs.is_empty() {
            return;
        }
        let _ = writeln!(text, "\nVirtual time, all subsystems, quiet: per second and member, in and out\n");
        let _ = writeln!(text, "| members | kind | messages | bytes | bytes by the fit | deviation | |\n| --- | --- | --- | --- | --- | --- | --- |");
        for result in &self.virtual_runs {
            for (kind, name) in KIND_NAMES.iter().enumerate().take(CHANGE_LOG_KIND) {
                let line = self.line(&format!("{name}: bytes/s in and out"));
                let (measured, expected) =
                    (both_directions(&result.mean_traffic, kind, true), line.at(result.size as f64));
                let deviation = if expected > 0.0 { measured / expected - 1.0 } else { 0.0 };
                let role = if result.size > self.fit_to { "check" } else { "fitted" };
                let verdict =
                    if deviation.abs() <= MAX_DEVIATION { role.to_owned() } else { format!("{role}: off") };
                let messages = both_directions(&result.mean_traffic, kind, false);
                let _ = writeln!(
                    text,
                    "| {} | {} | {messages:.2} | {measured:.0} | {expected:.0} | {deviation:+.2} | {verdict} |",
                    result.size, name
                );
            }
        }
    }

    fn delivery_text(&self, text: &mut String) {
        for result in &self.delivery {
            let DeliveryResult { followers, carriers, phases, .. } = result;
            let _ = writeln!(
                text,
                "\nDelivery to {followers} followers by {carriers} carriers, virtual time; {:.0} heap bytes per \
                 follower at the start, {:.0} with all processes at the end; {:.0} microseconds per \
                 follower and simulated second\n",
                result.follower_heap_bytes, result.end_heap_bytes, result.micros_per_follower_second
            );
            let _ = writeln!(text, "| phase, s | follower bytes/s in and out, max | messages/s | carrier bytes/s out, max | messages/s | max followers per carrier | delay ms p50, p99, max | max unproven, for s | max reading the log |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            for row in phases {
                let _ = writeln!(
                    text,
                    "| {}, {} | {:.0}, {:.0} | {:.1} | {:.0}, {:.0} | {:.0} | {} | {}, {}, {} | {}, {:.1} | {} |",
                    row.name,
                    row.seconds,
                    row.follower_bytes,
                    row.follower_bytes_max,
                    row.follower_messages,
                    row.carrier_bytes_out,
                    row.carrier_bytes_out_max,
                    row.carrier_messages,
                    row.max_followers_per_carrier,
                    row.delay_p50_ms,
                    row.delay_p99_ms,
                    row.delay_max_ms,
                    row.max_unproven,
                    row.unproven_s,
                    row.max_log_readers
                );
            }
        }
    }

    /// Socket results next to the quiet phase of virtual time.
    fn delivery_sockets_text(&self, text: &mut String) {
        if self.delivery_sockets.is_empty() {
            return;
        }
        let _ = writeln!(text, "\nDelivery on sockets, quiet phase\n");
        let _ = writeln!(text, "| followers, carriers | bytes/s (deviation from virtual time) | messages/s | delay ms p50, p99, max | complete | began to read the log |\n| --- | --- | --- | --- | --- | --- |");
        for row in &self.delivery_sockets {
            let quiet = self.delivery.iter().find(|result| result.followers == row.followers);
            let quiet = quiet.and_then(|result| result.phases.iter().find(|phase| phase.name == QUIET_PHASE));
            let deviation = quiet
                .map_or("-".to_owned(), |quiet| format!("{:+.2}", row.bytes / quiet.follower_bytes - 1.0));
            let _ = writeln!(
                text,
                "| {}, {} | {:.0} ({deviation}) | {:.1} | {}, {}, {} | {} | {} |",
                row.followers,
                row.carriers,
                row.bytes,
                row.messages,
                row.delay_p50_ms,
                row.delay_p99_ms,
                row.delay_max_ms,
                row.complete_followers,
                row.log_read_starts
            );
        }
    }

    fn processes_text(&self, text: &mut String) {
        if self.processes.is_empty() {
            return;
        }
        let _ = writeln!(text, "\nDelivery between processes, with faults\n");
        let _ = writeln!(text, "| carriers, followers on processes | s, changes, faults | violations | followers at the end | delay ms p50, p99, max | catch-ups, max ms | max unproven ms | began to read the log | bytes/s, messages/s | carrier cores, MB | log requests/s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for row in &self.processes {
            let _ = writeln!(
                text,
                "| {}, {} on {} | {:.0}, {}, {} | {} | {} | {:.0}, {:.0}, {:.0} | {}, {:.0} | {:.0} | {} | {:.0}, {:.1} | {:.3}, {:.1} | {:.0} |",
                row.carriers,
                row.followers,
                row.processes,
                row.seconds,
                row.changes,
                row.faults,
                row.violation_count,
                row.followers_at_end,
                row.delay_p50_ms,
                row.delay_p99_ms,
                row.delay_max_ms,
                row.catch_ups,
                row.catch_up_max_ms,
                row.unproven_max_ms,
                row.log_read_starts,
                row.bytes,
                row.messages,
                row.carrier_cores,
                row.carrier_kb as f64 / 1024.0,
                row.log_requests_per_s
            );
            for violation in &row.violations {
                let _ = writeln!(text, "\nVIOLATION {violation}");
            }
        }
    }

    fn state_text(&self, text: &mut String) {
        if self.state.is_empty() {
            return;
        }
        let _ = writeln!(text, "\nHeap bytes per member by subsystem, virtual time\n");
        let _ = writeln!(text, "| members | members | limits | verdicts and feed | rollout | all |\n| --- | --- | --- | --- | --- | --- |");
        for heap in &self.state {
            let MemberHeap { size, members, limits, verdicts, rollout, all } = heap;
            let _ = writeln!(
                text,
                "| {size} | {members:.0} | {limits:.0} | {verdicts:.0} | {rollout:.0} | {all:.0} |"
            );
        }
    }

    fn decisions_text(&self, text: &mut String) {
        let Some(first) = self.decisions.first() else { return };
        let _ = writeln!(text, "\nProcessor time per decision by number of hosts\n");
        let _ = writeln!(text, "| hosts | locations | microseconds | relative to {} hosts | of a core at {VISITS_PER_DISPATCHER_S} visits/s |\n| --- | --- | --- | --- | --- |", first.hosts);
        for cost in &self.decisions {
            let _ = writeln!(
                text,
                "| {} | {} | {:.1} | {:.2} | {:.1}% |",
                cost.hosts,
                cost.locations,
                cost.micros_per_visit,
                cost.micros_per_visit / first.micros_per_visit,
                cost.micros_per_visit * VISITS_PER_DISPATCHER_S / 1e4
            );
        }
    }

    /// Each budget, the extrapolated need at `TARGET_DISPATCHERS`, and their ratio.
    fn budgets_text(&self, text: &mut String) {
        let Some((size, log, answer_core)) = self.change_log_use() else { return };
        let link = self.line("link: bytes/s in and out");
        let changes = self.line("change log: bytes/s in and out");
        let (cores, resident) =
            (self.line("real dispatcher: % of a core"), self.line("real dispatcher: resident kB"));
        let answers = log.answers.messages / size.followers.max(1) as f64 * TARGET_DISPATCHERS;
        let purges = quiet_phase(size).map(|phase| phase.purges).unwrap_or_default();
        let rows = [
            (
                "link, bytes/s",
                LINK_BUDGET_BYTES_PER_S,
                link.at(TARGET_DISPATCHERS),
                link.size_reaching(LINK_BUDGET_BYTES_PER_S),
            ),
            ("change log, bytes/s", LINK_BUDGET_BYTES_PER_S, changes.at(TARGET_DISPATCHERS), None),
            (
                "core, %",
                CORE_BUDGET * 100.0,
                cores.at(TARGET_DISPATCHERS),
                cores.size_reaching(CORE_BUDGET * 100.0),
            ),
            (
                "memory, MB",
                MEMORY_BUDGET_KB / 1024.0,
                resident.at(TARGET_DISPATCHERS) / 1024.0,
                resident.size_reaching(MEMORY_BUDGET_KB),
            ),
            (
                "change log, cores for its answers, one per machine",
                CHANGE_LOG_MACHINES,
                answers * answer_core,
                None,
            ),
            (
                "purges, ms to the last follower (measured, not extrapolated)",
                PURGE_BUDGET_MS,
                purges.last_follower_max_ms,
                None,
            ),
        ];
        let _ = writeln!(text, "\nBudgets at {TARGET_DISPATCHERS} dispatchers, quiet phase, by the fits\n");
        let _ = writeln!(
            text,
            "| budget | value | needed | ratio | exceeded at size |\n| --- | --- | --- | --- | --- |"
        );
        for (metric, budget, needed, reached_at) in rows {
            let reached_at = reached_at.map_or("-".to_owned(), |size| format!("{size:.0}"));
            let _ = writeln!(
                text,
                "| {metric} | {budget:.1} | {needed:.1} | {:.2} | {reached_at} |",
                needed / budget
            );
        }
    }
}

fn size_text(text: &mut String, size: &SizeResult) {
    let SizeResult { size: count, real_dispatchers, followers, simulated_kb, phases, exited_cleanly } = size;
    let _ = writeln!(
        text,
        "\n{count} dispatchers, {real_dispatchers} of them real; {followers} simulated ones follow the change log; \
         {simulated_kb:.0} kB per simulated one; real ones exited {}\n",
        if *exited_cleanly { "well" } else { "badly" }
    );
    let _ = writeln!(text, "| phase | kind | out/s | bytes out/s | in/s | bytes in/s | max bytes out/s | real out/s | real bytes out/s | real in/s | real bytes in/s |");
    let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for phase in phases {
        for (kind, name) in KIND_NAMES.iter().enumerate() {
            let ([sent, received], [real_sent, real_received]) = (
                phase.simulated_mean.map(|direction| direction[kind]),
                phase.real_mean.map(|direction| direction[kind]),
            );
            let max = phase.simulated_max[0][kind];
            let _ = writeln!(
                text,
                "| {} | {name} | {:.2} | {:.0} | {:.2} | {:.0} | {:.0} | {:.2} | {:.0} | {:.2} | {:.0} |",
                phase.name,
                sent.messages,
                sent.bytes,
                received.messages,
                received.bytes,
                max.bytes,
                real_sent.messages,
                real_sent.bytes,
                real_received.messages,
                real_received.bytes
            );
        }
    }
    let _ = writeln!(text);
    for phase in phases {
        phase_text(text, phase);
    }
}

fn phase_text(text: &mut String, phase: &PhaseResult) {
    let deviation = difference(phase);
    let threads: Vec<String> = phase.real_usage.first().map_or(Vec::new(), |used| {
        let share =
            |name: &String| mean(&phase.real_usage, |used| used.cores.get(name).copied().unwrap_or(0.0));
        used.cores.keys().map(|name| format!("{name} {:.2}%", share(name) * 100.0)).collect()
    });
    let (purges, configurations) = (&phase.purges, &phase.configurations);
    let _ = writeln!(
        text,
        "{}: median real dispatcher relative to the median simulated one: messages {:+.1}%, bytes {:+.1}%. \
         Real: {:.0} kB, {:.2}% of a core ({}). All simulated ones {:.2} cores, the change log {:.2}; it received {:.0} requests per \
         second, {} connections. Purges: {} deliveries, p50 {:.1} ms, p99 {:.1}, max {:.1}; to the last follower p50 \
         {:.1}, max {:.1} ({} of {} reached all). Configurations: p50 {:.1} ms, max {:.1} ({} of {} reached all).\n",
        phase.name,
        deviation.messages * 100.0,
        deviation.bytes * 100.0,
        mean(&phase.real_usage, |used| used.resident_kb as f64),
        mean(&phase.real_usage, cores) * 100.0,
        threads.join(", "),
        phase.simulated_cores,
        phase.change_log_cores,
        phase.change_log.requests.messages,
        phase.change_log_connections,
        purges.deliveries,
        purges.p50_ms,
        purges.p99_ms,
        purges.max_ms,
        purges.last_follower_p50_ms,
        purges.last_follower_max_ms,
        purges.complete_changes,
        purges.changes,
        configurations.p50_ms,
        configurations.max_ms,
        configurations.complete_changes,
        configurations.changes
    );
}
