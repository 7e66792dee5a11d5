//! Measures the cost of idle fleet members in one process on loopback: threads, memory and CPU time of each.
//! Arguments: number of members (9), duration in seconds (30), and `all` to enable event log and control
//! listener.
use cherrypass::ids::LocationId;
use cherrypass_fleet::{limits, node, rollout, verdicts};
use cherrypass_peers::{Member, Peers, Settings};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

fn field(file: &str, name: &str) -> f64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default().to_owned();
    line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// CPU time so far in seconds, at 100 ticks per second.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<f64> = text.split_whitespace().skip(13).take(2).filter_map(|x| x.parse().ok()).collect();
    fields.iter().sum::<f64>() / 100.0
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let count: u32 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(9);
    let seconds = std::env::args().nth(2).and_then(|n| n.parse().ok()).unwrap_or(30);
    let all_on = std::env::args().nth(3).is_some_and(|arg| arg == "all");
    let events = std::env::temp_dir().join(format!("cherrypass-idle-{}.jsonl", std::process::id()));
    let free = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
    let at = free.iter().map(UdpSocket::local_addr).collect::<Result<Vec<SocketAddr>, _>>()?;
    drop(free);
    let name = |i: usize| format!("d{i}");
    let before = [field("/proc/self/status", "VmRSS:"), field("/proc/self/status", "Threads:")];
    let members = at.iter().enumerate();
    let members: Vec<Member> = members
        .map(|(i, at)| Member { name: name(i), address: *at, location: LocationId(i as u16 / 3) })
        .collect();
    let mut all = Vec::new();
    for (i, at) in at.iter().enumerate() {
        let mut settings = Settings::new("shop", &name(i), *at);
        settings.members = members.clone();
        if all_on {
            settings.events = Some(events.clone());
            settings.control = Some(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?);
        }
        let limits = limits::Settings {
            origin: Some(40.0),
            retries_per_s: Some(20.0),
            limits_cold_hosts: true,
            ..limits::Settings::default()
        };
        settings.protocols = node::Settings {
            limits: Some(limits),
            verdicts: Some(verdicts::Settings::default()),
            rollout: Some(rollout::Settings::default()),
            ..node::Settings::default()
        };
        all.push(Peers::start(settings, None, |_| {}, |_| {})?);
    }
    std::thread::sleep(Duration::from_secs(10));
    let (started, used) = (Instant::now(), cpu_seconds());
    std::thread::sleep(Duration::from_secs(seconds));
    let used = (cpu_seconds() - used) / started.elapsed().as_secs_f64() / f64::from(count);
    let after = [field("/proc/self/status", "VmRSS:"), field("/proc/self/status", "Threads:")];
    let each = |i: usize| (after[i] - before[i]) / f64::from(count);
    println!(
        "{count} members, each: {} threads, {:.0} kB, {:.3}% of a core idle",
        each(1),
        each(0),
        used * 100.0
    );
    let _ = std::fs::remove_file(&events);
    Ok(())
}
