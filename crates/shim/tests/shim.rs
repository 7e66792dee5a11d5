//! Faults are injected at about the configured rate and counted, and other calls are unaffected. Each case
//! runs this test program again with the library loaded.
use cherrypass_shim::control::Call;
use cherrypass_shim::{Fault, Shim};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

const INSIDE: &str = "CHERRYPASS_SHIM_INSIDE";
const TRIES: usize = 400;

/// The part that runs in the process with the shim; the parent reads its output.
fn run_case(name: &str) {
    match name {
        "clock" => {
            let monotonic = Instant::now();
            let unix = || SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
            let before = unix();
            println!("wall {before}");
            std::io::stdin().read_exact(&mut [0]).unwrap();
            println!("wall {}", unix());
            println!("monotonic {}", monotonic.elapsed().as_millis());
        }
        "connect" => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let failed = (0..TRIES).filter(|_| {
                let refused = TcpStream::connect(address)
                    .is_err_and(|error| error.raw_os_error() == Some(libc::ENETUNREACH));
                if !refused {
                    drop(listener.accept().unwrap());
                }
                refused
            });
            println!("failed {}", failed.count());
        }
        "short" => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut to = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let (mut from, _) = listener.accept().unwrap();
            let sent: Vec<u8> = (0..TRIES).map(|number| number as u8).collect();
            to.write_all(&sent).unwrap();
            let mut received = vec![0; TRIES];
            from.read_exact(&mut received).unwrap();
            assert_eq!(sent, received);
            println!("same");
        }
        "sync" => {
            let file = tempfile::tempfile().unwrap();
            let error = file.sync_data().unwrap_err();
            assert_eq!(error.raw_os_error(), Some(libc::EIO));
            assert_eq!((&file).write(b"x").unwrap_err().kind(), ErrorKind::StorageFull);
            println!("failed");
        }
        other => panic!("no such case: {other}"),
    }
}

/// Entry point of the process with the shim; does nothing in a normal run.
#[test]
fn child() {
    if let Ok(name) = std::env::var(INSIDE) {
        run_case(&name);
    }
}

fn run(shim: &Shim, name: &str, meanwhile: impl FnOnce(&Shim)) -> String {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "child", "--nocapture"]).envs(shim.environment().unwrap()).env(INSIDE, name);
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
    std::thread::sleep(Duration::from_millis(300));
    meanwhile(shim);
    // Only the clock case reads this.
    let _ = child.stdin.take().unwrap().write_all(b"x");
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn numbers(output: &str, label: &str) -> Vec<i64> {
    let lines = output.lines().filter_map(|line| line.split_once(&format!("{label} ")));
    lines.map(|(_, number)| number.trim().parse().unwrap()).collect()
}

#[test]
fn the_wall_clock_is_stepped_and_the_monotonic_one_is_not() {
    let shim = Shim::new(1).unwrap();
    let output = run(&shim, "clock", |shim| {
        shim.step_wall_clock(Duration::ZERO, Duration::from_secs(3600)).unwrap();
    });
    let wall = numbers(&output, "wall");
    let monotonic = numbers(&output, "monotonic")[0];
    assert!((wall[1] - wall[0] - monotonic + 3_600_000).abs() < 100, "{output}");
    assert!(monotonic < 60_000, "{output}");
    let [calls, shifted] = shim.counts(Call::WallClock).unwrap();
    assert!(calls > shifted && shifted > 0, "{calls} {shifted}");
}

#[test]
fn calls_fail_at_the_rate_and_are_counted() {
    let shim = Shim::new(7).unwrap();
    shim.set_fault(Call::Connect, Fault { per_million: 300_000, outcome: libc::ENETUNREACH }).unwrap();
    let failed = numbers(&run(&shim, "connect", |_| {}), "failed")[0] as usize;
    assert!(failed > TRIES / 5 && failed < TRIES * 2 / 5, "{failed}");
    assert_eq!(shim.counts(Call::Connect).unwrap(), [TRIES as u64, failed as u64]);
}

#[test]
fn short_reads_and_writes_lose_nothing() {
    let shim = Shim::new(7).unwrap();
    shim.set_fault(Call::ShortRead, Fault { per_million: 1_000_000, outcome: 3 }).unwrap();
    shim.set_fault(Call::ShortWrite, Fault { per_million: 1_000_000, outcome: 7 }).unwrap();
    assert!(run(&shim, "short", |_| {}).contains("same"));
    assert!(shim.counts(Call::ShortRead).unwrap()[1] >= TRIES as u64 / 3);
    assert!(shim.counts(Call::ShortWrite).unwrap()[1] >= TRIES as u64 / 7);
}

#[test]
fn file_writes_and_syncs_fail() {
    let shim = Shim::new(7).unwrap();
    shim.set_fault(Call::FileSync, Fault { per_million: 1_000_000, outcome: libc::EIO }).unwrap();
    shim.set_fault(Call::FileWrite, Fault { per_million: 1_000_000, outcome: libc::ENOSPC }).unwrap();
    assert!(run(&shim, "sync", |_| {}).contains("failed"));
    assert_eq!(shim.counts(Call::FileSync).unwrap()[1], 1);
}
