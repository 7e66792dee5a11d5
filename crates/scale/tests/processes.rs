//! Processes of followers: checks of recorded histories, link faults, truncated notes, settings errors, and a
//! short run with the built program.
use cherrypass_scale::processes::checker::{check_notes, History, Incarnation, Violation};
use cherrypass_scale::processes::link::{Direction, Link, LinkEffect, LinkFault};
use cherrypass_scale::processes::notes::{read, Event, Note, Notes};
use cherrypass_scale::processes::{run, RunContext};
use cherrypass_scale::settings::{decode, load, Bounds};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use test_case::test_case;

const FOLLOWER: usize = 7;

/// Changes 1 to 5 are published at 100, 200 and so on; those before 450 must have arrived by the end.
fn history() -> History {
    History { published_at: vec![100, 200, 300, 400, 500], known_change: 1, complete_until: 450 }
}

fn notes(events: &[(u64, Event)]) -> Vec<Note> {
    events.iter().map(|(at, event)| Note { follower: FOLLOWER, at_us: *at, event: *event }).collect()
}

use Event::{KnownUpTo, Started, Took};

/// Starts at 150, receives all changes and proves it.
const VALID_EVENTS: [(u64, Event); 6] =
    [(150, Started), (210, Took(2)), (310, Took(3)), (410, Took(4)), (460, KnownUpTo(455)), (510, Took(5))];

#[test]
fn a_valid_history_has_no_violations() {
    let findings = check_notes(&history(), &[Incarnation { notes: notes(&VALID_EVENTS), was_killed: false }]);
    assert_eq!(findings.violations, []);
    assert_eq!((findings.followers_at_end, findings.delays.len(), findings.max_unproven), (1, 4, 310));
}

#[test_case(1, None, Violation::Gap { follower: FOLLOWER, last: 1, received: 3 }; "a missing change")]
#[test_case(2, Some((310, Took(2))), Violation::Repeat { follower: FOLLOWER, last: 2, received: 2 }; "a repeated change")]
#[test_case(5, Some((510, Took(9))), Violation::Unknown { follower: FOLLOWER, received: 9 }; "an unpublished change")]
#[test_case(4, Some((460, KnownUpTo(501))), Violation::ClaimedButMissing { follower: FOLLOWER, number: 5, up_to: 501 }; "a claim that includes the last change")]
#[test_case(2, Some((310, KnownUpTo(301))), Violation::ClaimedButMissing { follower: FOLLOWER, number: 3, up_to: 301 }; "a claim before the last change")]
#[test_case(4, Some((460, KnownUpTo(449))), Violation::Unproven { follower: FOLLOWER, proven_up_to: 449 }; "incomplete proof at the end")]
fn each_violation_is_found(index: usize, other: Option<(u64, Event)>, expected: Violation) {
    let mut events = VALID_EVENTS.to_vec();
    match other {
        Some(other) => events[index] = other,
        None => drop(events.remove(index)),
    }
    let findings = check_notes(&history(), &[Incarnation { notes: notes(&events), was_killed: false }]);
    assert!(findings.violations.contains(&expected), "{:?}", findings.violations);
}

#[test]
fn a_follower_without_the_last_change_is_incomplete_unless_killed() {
    let events = notes(&VALID_EVENTS[..3]);
    let check = |was_killed| check_notes(&history(), &[Incarnation { notes: events.clone(), was_killed }]);
    assert_eq!(check(false).violations[0], Violation::Incomplete { follower: FOLLOWER, last: 3 });
    assert_eq!(check(true).violations, []);
}

#[test]
fn a_claim_covers_only_changes_published_before_it() {
    // A change published at 300 need not be covered by a claim up to 300.
    let events = [(150, Started), (210, Took(2)), (305, KnownUpTo(300))];
    let findings = check_notes(&history(), &[Incarnation { notes: notes(&events), was_killed: true }]);
    assert_eq!(findings.violations, []);
}

#[test]
fn a_restarted_follower_receives_all_changes_again() {
    let again =
        notes(&[(420, Started), (430, Took(2)), (431, Took(3)), (440, Took(4)), (470, KnownUpTo(460))]);
    let killed = Incarnation { notes: notes(&VALID_EVENTS[..3]), was_killed: true };
    let findings = check_notes(&history(), &[killed, Incarnation { notes: again, was_killed: false }]);
    assert_eq!(findings.violations, []);
    // Nothing was missing at the first start; four changes were at the second.
    assert_eq!(findings.catch_up_times, [0, 20]);
}

#[test]
fn a_truncated_last_note_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("notes");
    let mut file = Notes::create(&path).unwrap();
    for note in notes(&VALID_EVENTS) {
        file.add(&note).unwrap();
    }
    file.flush().unwrap();
    drop(file);
    let mut file = std::fs::OpenOptions::new().append(true).open(&path).unwrap();
    file.write_all(b"{\"follower\":7,\"at\":51").unwrap();
    assert_eq!(read(&path).unwrap(), notes(&VALID_EVENTS));
}

fn socket() -> (Arc<UdpSocket>, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    let address = socket.local_addr().unwrap();
    (Arc::new(socket), address)
}

/// Sends one datagram each way at `now`; returns whether they have arrived by `later`, at the carrier and
/// from it.
fn transfer(faults: &[LinkFault], other_carrier: bool, now: u64, later: u64) -> [bool; 2] {
    let ((own, address), (carrier, carrier_address)) = (socket(), socket());
    let concerned = if other_carrier { address } else { carrier_address };
    let fault = |fault: &LinkFault| LinkFault { carrier: fault.carrier.map(|_| concerned), ..fault.clone() };
    let mut link = Link::new(own, faults.iter().map(fault).collect(), 1);
    carrier.send_to(b"down", address).unwrap();
    link.receive(now, &mut [0; 100]);
    link.send(now, carrier_address, b"up");
    let received = link.next_received(later).is_some();
    [carrier.recv(&mut [0; 100]).is_ok(), received]
}

fn fault(effect: LinkEffect, direction: Direction) -> LinkFault {
    LinkFault { from: 100, until: 200, direction, carrier: None, effect }
}

#[test_case(LinkEffect::Lose(1.0), Direction::Both, 150, 150, [false, false]; "during a cut")]
#[test_case(LinkEffect::Lose(1.0), Direction::Both, 99, 99, [true, true]; "before a cut")]
#[test_case(LinkEffect::Lose(1.0), Direction::Both, 200, 200, [true, true]; "after a cut")]
#[test_case(LinkEffect::Lose(1.0), Direction::ToCarriers, 150, 150, [false, true]; "a cut towards carriers")]
#[test_case(LinkEffect::Lose(1.0), Direction::FromCarriers, 150, 150, [true, false]; "a cut from carriers")]
#[test_case(LinkEffect::Lose(0.0), Direction::Both, 150, 150, [true, true]; "no loss")]
#[test_case(LinkEffect::Stall, Direction::Both, 150, 199, [false, false]; "during a stall")]
#[test_case(LinkEffect::Stall, Direction::Both, 150, 200, [true, true]; "after a stall")]
#[test_case(LinkEffect::Delay(1, 1), Direction::Both, 150, 1_149, [false, false]; "before the end of the delay")]
#[test_case(LinkEffect::Delay(1, 1), Direction::Both, 150, 1_150, [true, true]; "after the delay")]
fn a_link_fault_applies_in_its_span_and_direction(
    effect: LinkEffect,
    direction: Direction,
    now: u64,
    later: u64,
    expected: [bool; 2],
) {
    assert_eq!(transfer(&[fault(effect, direction)], false, now, later), expected);
}

#[test]
fn a_fault_of_one_carrier_affects_no_other() {
    let mut cut = fault(LinkEffect::Lose(1.0), Direction::Both);
    cut.carrier = Some(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert_eq!(transfer(&[cut.clone()], false, 150, 150), [false, false]);
    assert_eq!(transfer(&[cut], true, 150, 150), [true, true]);
}

fn settings(fault: Value) -> Value {
    json!({
        "topology": { "regions": ["r"], "zones": [{ "name": "z", "region": "r" }],
            "sites": [{ "name": "s", "zone": "z" }] },
        "processes": [{ "carriers": 2, "processes": 2, "followers": 10, "followers_a_carrier": 10,
            "fallback_ms": 5000, "purges_per_s": 10, "seconds": 20, "faults": [fault] }],
    })
}

#[test_case(json!({"at_s": 1, "for_s": 1, "what": {"kill": "c2"}}), "processes[0].faults[0].what: 'c2' is not valid here"; "no such carrier")]
#[test_case(json!({"at_s": 1, "for_s": 1, "what": {"stall": {"process": "c0"}}}), "processes[0].faults[0].what: 'c0' is not valid"; "a link of a carrier")]
#[test_case(json!({"at_s": 1, "for_s": 1, "what": {"stall": {"process": "p0", "carrier": "p1"}}}), "what: 'p1' is not valid"; "a link to a process that is no carrier")]
#[test_case(json!({"at_s": 1, "for_s": 1, "what": {"lose": {"part": 2, "between": {"process": "p0"}}}}), "what.lose.part: 2 is not between"; "a loss rate above 1")]
#[test_case(json!({"at_s": 1, "for_s": 15, "what": "log_lost"}), "processes[0].faults[0].for_s: 15 is not between"; "a fault that ends too late")]
#[test_case(json!({"at_s": 1, "for_s": 1, "what": "flood"}), "processes[0].faults[0].what"; "an unknown fault")]
fn a_settings_error_names_its_path(fault: Value, expected: &str) {
    let found = decode("file", settings(fault)).unwrap_err().to_string();
    assert!(found.contains(expected) && !found.contains('\n'), "{found}");
}

fn program() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_scale")).parent().unwrap().join("cherrypass");
    assert!(program.exists(), "{} is not built: cargo build first", program.display());
    program
}

fn context<'a>(
    settings: &'a cherrypass_scale::settings::Settings,
    program: &'a Path,
    zones: &'a [String],
) -> RunContext<'a> {
    RunContext {
        program,
        tool: Path::new(env!("CARGO_BIN_EXE_scale")),
        settings: &settings.processes[0],
        zones,
        seed: settings.seed,
        bounds: &settings.bounds,
        progress: &|_| {},
    }
}

/// A carrier is killed, followers are killed, stopped and cut off, and the log goes down: all followers must
/// end complete and proven, without a false claim.
#[test]
fn followers_in_processes_survive_faults() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("settings/processes_small.jsonnet");
    let settings = load(&file).unwrap();
    let (program, zones) = (program(), vec!["zone-1".to_owned()]);
    let found = run(&context(&settings, &program, &zones)).unwrap();
    assert_eq!(found.violation_count, 0, "{:#?}", found.violations);
    // All run to the end; the twenty of the killed process catch up twice.
    assert_eq!((found.followers_at_end, found.catch_ups), (40, 60));
    assert!(found.changes > 500, "{}", found.changes);
    // The operator's budget for control traffic.
    assert!(found.bytes < 7_000.0, "{}", found.bytes);
}

#[test]
fn a_run_beyond_its_process_bound_does_not_start() {
    let mut settings = decode("file", settings(json!({"at_s": 1, "for_s": 1, "what": "log_lost"}))).unwrap();
    settings.bounds = Bounds { processes: 4, ..Bounds::default() };
    let (program, zones) = (program(), vec!["z".to_owned()]);
    let found = run(&context(&settings, &program, &zones)).unwrap_err().to_string();
    assert!(found.contains("bounds.processes: the run needs 5, the limit is 4"), "{found}");
}

#[test]
fn a_missing_program_is_reported() {
    let settings = decode("file", settings(json!({"at_s": 1, "for_s": 1, "what": "log_lost"}))).unwrap();
    let (program, zones) = (PathBuf::from("/nonexistent/cherrypass"), vec!["z".to_owned()]);
    let found = run(&context(&settings, &program, &zones)).unwrap_err().to_string();
    assert!(found.contains("/nonexistent/cherrypass") && !found.contains('\n'), "{found}");
}
