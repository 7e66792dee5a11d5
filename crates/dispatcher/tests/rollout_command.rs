//! `cherrypass rollout …` against a fake control listener: output and exit code.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use test_case::test_case;

/// Answers one request with the given response; the thread returns the request.
fn fake_dispatcher(status: u16, body: &'static str) -> (SocketAddr, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut request, mut buffer) = (Vec::new(), [0; 4096]);
        let is_complete = |request: &[u8]| {
            let text = String::from_utf8_lossy(request).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
            let head = head.to_ascii_lowercase();
            let length =
                head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
            body.len() >= length.unwrap_or(0)
        };
        while !is_complete(&request) {
            let count = stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the request ended early");
            request.extend(&buffer[..count]);
        }
        write!(stream, "HTTP/1.1 {status} So\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        String::from_utf8(request).unwrap()
    };
    (address, std::thread::spawn(serve))
}

fn rollout(control: SocketAddr, arguments: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_cherrypass");
    let result = Command::new(program)
        .args(["rollout", "--control", &control.to_string()])
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let output = [result.stdout, result.stderr].map(|bytes| String::from_utf8(bytes).unwrap()).concat();
    (result.status.code().unwrap(), output)
}

const ROLLING: &str = r#"{"rollout": {"number": 2, "phase": "rolling", "stage": 0, "stages": 3, "in_force": 0,
    "halt": null, "runner": "d3", "able": true, "waits": null, "may_come": null}}"#;
const HALTED: &str =
    r#"{"rollout": {"number": 2, "phase": "halted", "in_force": 2, "halt": {"by": "d1", "why": "late"}}}"#;

#[test_case(200, ROLLING, "halt", 0, "rules 2: rolling, stage 0, the last is 2; in force there: 0; run by d3"; "accepted")]
#[test_case(200, HALTED, "status", 3, "rules 2 are halted: d1 found: late"; "halted")]
#[test_case(200, ROLLING, "status", 0, "rules 2: rolling"; "rolling")]
#[test_case(400, "rollout-busy: version 2 is on its way", "back", 1, "version 2 is on its way"; "refused while another rollout runs")]
#[test_case(400, "rollout-number: number 0 can't be used", "back", 2, "number 0 can't be used"; "refused for an invalid number")]
#[test_case(503, "the fleet has stopped", "resume", 1, "the fleet has stopped"; "the fleet has stopped")]
#[test_case(200, "hello", "status", 1, "does not answer as a dispatcher does"; "not a dispatcher")]
fn each_answer_has_its_exit_code(status: u16, body: &'static str, command: &str, code: i32, words: &str) {
    let (control, _) = fake_dispatcher(status, body);
    let (exit_code, output) = rollout(control, &[command]);
    assert!(exit_code == code && output.contains(words), "{exit_code}: {output}");
}

#[test]
fn no_listener_is_a_failure() {
    let control = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (code, output) = rollout(control, &["status"]);
    assert!(
        code == 1 && output.contains("does not answer") && output.lines().count() == 1,
        "{code}: {output}"
    );
}

#[test_case("{ number: 2, rules: { fleet: { limits: { origin: 4 } } }, plan: { order: ['edge'], first: 0.1, hold_s: 5, visits: 9 } }", ""; "valid")]
#[test_case("{ number: 2, rules: { fleet: { limits: { orign: 4 } } }, plan: { order: ['edge'] } }", "rules.fleet.limits.orign: unknown field"; "an unknown key")]
#[test_case("{ number: 2, rules: {}, plan: { order: ['edge'], first: 10 } }", "plan.first: 10 is not within 0.001 and 1"; "a value out of range")]
#[test_case("{ number: 2, rules: {} }", "plan.order: expected the locations in the order of the rollout"; "no plan")]
#[test_case("{ number: 2,\n  rules: }", "line 2"; "not Jsonnet")]
fn a_document_is_checked_before_it_is_sent(text: &str, expected_error: &str) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("rules.jsonnet");
    std::fs::write(&file, text).unwrap();
    let (control, request) = fake_dispatcher(200, ROLLING);
    let (code, output) = rollout(control, &["start", file.to_str().unwrap()]);
    assert_eq!(code, if expected_error.is_empty() { 0 } else { 2 }, "{output}");
    assert!(output.contains(expected_error) && output.lines().count() == 1, "{output}");
    if expected_error.is_empty() {
        let request = request.join().unwrap();
        let body: serde_json::Value =
            serde_json::from_str(request.split("\r\n\r\n").nth(1).unwrap()).unwrap();
        assert_eq!(
            (&body["order"], &body["number"], &body["plan"]["first"]),
            (&"start".into(), &2.into(), &100.into())
        );
        assert_eq!(body["text"], r#"{"fleet":{"limits":{"origin":4}}}"#);
    }
}
