//! A full disk under standard output and standard error (`/dev/full`): commands keep their exit codes, and a dispatcher
//! serves without its log. docs/store.md and `sockets/store_disk_full.txt` have full disks under the store.
#[allow(dead_code)]
#[path = "discovery/bed.rs"]
mod bed;

use bed::*;
use std::fs::{File as DiskFile, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::time::Instant;
use test_case::test_case;

fn full() -> DiskFile {
    OpenOptions::new().write(true).open("/dev/full").unwrap()
}

fn cherrypass(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cherrypass"));
    command.args(arguments).stdin(Stdio::null());
    command
}

/// Guards against a panic in place of the documented exit code.
#[test_case(&["serve", "--config", "/nonexistent"], 2; "serve with a missing configuration")]
#[test_case(&["check", "--config", "/nonexistent"], 2; "check of a missing configuration")]
#[test_case(&["store", "stats", "/nonexistent"], 1; "a store that does not exist")]
#[test_case(&["rollout", "status", "--control", "127.0.0.1:1"], 1; "a rollout without a dispatcher")]
fn an_error_keeps_its_exit_code(arguments: &[&str], code: i32) {
    let status = cherrypass(arguments).stderr(full()).status().unwrap();
    assert_eq!(status.code(), Some(code));
}

/// Guards against output that is lost without a word.
#[test]
fn output_that_cannot_be_written_is_an_error() {
    let output = cherrypass(&["version"]).stdout(full()).stderr(Stdio::piped()).spawn().unwrap();
    let output = output.wait_with_output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{errors}");
    assert!(errors.contains("cannot write the output"), "{errors}");
}

/// A free address; another process could take it before the dispatcher does.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn connect(to: SocketAddr) -> Client {
    let end = Instant::now() + STEP_TIMEOUT;
    loop {
        match Client::connect(to) {
            Ok(client) => return client,
            Err(error) => assert!(Instant::now() < end, "{error}"),
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Guards against a dispatcher that fails with its log.
#[test]
fn a_dispatcher_serves_without_its_log() {
    let (log, hosts, listen) = (FakeChangeLog::start(), FakeHosts::new(), free_address());
    let (a, origin) = (hosts.start("a"), hosts.start("o"));
    let known = body(&[list(1, true, &[("a", a, "in_service"), ("o", origin, "in_service")])]);
    let file = File::new(&config(&listen.to_string(), log.address, &known, 192));
    let mut command = cherrypass(&["serve", "--log", "debug", "--config"]);
    let mut child = command.arg(&file.0).stderr(full()).spawn().unwrap();
    let mut client = connect(listen);
    for object in 0..50 {
        client.send_request(object).unwrap();
        hosts.next_request().answer();
        assert_eq!(client.answer().unwrap(), Answer::Served);
    }
    drop(client);
    assert!(Command::new("kill").arg(child.id().to_string()).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
