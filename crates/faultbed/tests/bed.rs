//! Error positions of the notation, each check of the judge on constructed histories with and without a
//! violation, and scenarios played with the built program.
use cherrypass_faultbed::judge;
use cherrypass_faultbed::notation::{parse, Fault};
use cherrypass_faultbed::notes::{parse_events, Absences, Note, Outcome, TimedNotes};
use cherrypass_faultbed::play::{play, PlayResult, Setup};
use test_case::test_case;

const HEAD: &str = "dispatchers d1 d2 at edge\norigin o1 transfers 3\nfor 5\n";

#[test_case("at 1 brake d1", "line 4, column 6"; "an unknown fault")]
#[test_case("at x cut d1 d2", "line 4, column 4"; "not a number")]
#[test_case("at 1 kill d9", "line 4: there is no d9"; "an unknown process")]
#[test_case("load d1 5 per second", "line 4, column 11"; "text after the end of a statement")]
#[test_case("fleet { limits: { origin: 3 }", "line 4"; "an unclosed brace")]
#[test_case("program d1 newer", "line 4, column 17"; "an unknown build")]
#[test_case("form 1 d9", "line 4: there is no d9"; "a form of an unknown process")]
#[test_case("at 1 disk d1 burn", "line 4, column 14"; "an unknown disk order")]
#[test_case("clock d1 3", "line 4, column 9"; "a clock rate out of bounds")]
#[test_case("caches c1 transfers 5", "line 4"; "caches without a location")]
fn errors_name_their_position(line: &str, place: &str) {
    let message = parse(&format!("{HEAD}{line}\n")).unwrap_err().to_string();
    assert!(message.contains(place), "{message}");
}

#[test]
fn fleet_settings_and_faults_are_parsed() {
    let text = format!(
        "{HEAD}fleet {{ limits: {{ origin: 3 }} }} # so\nat 1 for 2 lose 0.5 d1 > d2\nat 2 restart d1 new\n"
    );
    let found = parse(&text).unwrap();
    assert_eq!(found.fleet.as_deref(), Some("{ limits: { origin: 3 } }"));
    assert_eq!(found.faults[0].duration, Some(2.0));
    assert_eq!(found.faults[1].fault, Fault::Restart { who: "d1".into(), new: true });
}

const S: u64 = 1_000_000;

fn request(at: u64, visit: u64, class: &str) -> (u64, Note) {
    let (dispatcher, class) = ("d1".to_owned(), class.to_owned());
    (at, Note::RequestSent { visit, dispatcher, class, object: 7, limit: S })
}

fn answered(at: u64, visit: u64, outcome: Outcome, created_at: Option<u64>) -> (u64, Note) {
    (at, Note::Answered { visit, outcome, created_at })
}

fn executed(at: u64, visit: u64) -> (u64, Note) {
    (at, Note::Executed { host: "o1".into(), visit, class: "once".into() })
}

fn host(at: u64, what: fn(String) -> Note) -> (u64, Note) {
    (at, what("c1".into()))
}

fn hand_off(host: String) -> Note {
    Note::HandOffArrived { host, visit: 1, is_fill: false, wait: None, earliest: 0 }
}

fn waits(at: u64, ms: u64) -> (u64, Note) {
    waits_since(at, at, ms)
}

/// A hand-off that arrived between two times.
fn waits_since(earliest: u64, latest: u64, ms: u64) -> (u64, Note) {
    let (host, wait) = ("c1".to_owned(), Some(ms));
    (latest, Note::HandOffArrived { host, visit: 1, is_fill: false, wait, earliest })
}

fn written(at: u64, visit: u64) -> (u64, Note) {
    (at, Note::RequestWritten { visit })
}

fn draining(host: String) -> Note {
    Note::HostListed { host, state: "terminating" }
}

fn overloaded(host: String) -> Note {
    Note::HostOverloaded { host }
}

#[test_case(vec![request(S, 1, "read"), answered(S + 100, 1, Outcome::Served, Some(S))], None; "an answer in time")]
#[test_case(vec![request(S, 1, "read")], Some("no answer"); "rule 1, no answer")]
#[test_case(vec![request(S, 1, "read"), answered(S, 1, Outcome::Served, None), answered(S, 1, Outcome::Served, None)], Some("2 answers"); "rule 1, two answers")]
#[test_case(vec![request(S, 1, "read"), answered(3 * S, 1, Outcome::Refused, None)], Some("late"); "rule 1, a late answer")]
#[test_case(vec![request(S, 1, "once"), executed(S, 1), executed(S, 1), answered(S, 1, Outcome::Served, None)], Some("ran 2 times"); "rule 2, executed twice")]
#[test_case(vec![request(S, 1, "once"), executed(S, 1), answered(S, 1, Outcome::Refused, None)], Some("was refused"); "rule 2, refused after execution")]
#[test_case(vec![host(S, draining), host(9 * S, hand_off)], Some("which is draining"); "rule 3, a hand-off to a draining host")]
#[test_case(vec![host(S, draining), host(S + 1, hand_off)], None; "rule 3, a hand-off within the grace period")]
#[test_case(vec![host(S, overloaded)], Some("was overloaded"); "rule 4, an overloaded cold host")]
#[test_case(vec![request(S, 1, "read"), waits(S + 1, 1_149), answered(S + 100, 1, Outcome::Served, None)], None; "an announced wait within the slack")]
#[test_case(vec![request(S, 1, "read"), waits(S + S / 2, 800), answered(S + S / 2, 1, Outcome::Served, None)], Some("deadline"); "an announced wait that is too long")]
#[test_case(vec![request(S, 1, "read"), waits_since(S + 1, S + S / 2, 1_149), answered(S + S / 2, 1, Outcome::Served, None)], None; "an announced wait read together with a later hand-off")]
#[test_case(vec![request(S, 1, "read"), waits_since(S + S / 2, S + S / 2 + 1, 651), answered(S + S / 2 + 1, 1, Outcome::Served, None)], Some("deadline"); "an announced wait that is too long at the earliest arrival")]
#[test_case(vec![request(S, 1, "read"), written(S + S / 2, 1), waits(S + S / 2, 1_150), answered(S + S / 2, 1, Outcome::Served, None)], None; "an announced wait for a request written late")]
#[test_case(vec![request(S, 1, "read"), written(S + S / 2, 1), waits(S + S / 2, 1_151), answered(S + S / 2, 1, Outcome::Served, None)], Some("deadline"); "an announced wait that is too long for a request written late")]
#[test_case(vec![request(S, 1, "read"), waits_since(S + 1, S + S / 2, 1_149), answered(S + S / 2, 1, Outcome::Served, None)], None; "an announced wait, read together with a later hand-off")]
#[test_case(vec![request(S, 1, "read"), waits_since(S + S / 2, S + S / 2 + 1, 651), answered(S + S / 2 + 1, 1, Outcome::Served, None)], Some("deadline"); "an announced wait that is too long at the earliest arrival")]
#[test_case(vec![request(S, 1, "read"), written(S + S / 2, 1), waits(S + S / 2, 1_150), answered(S + S / 2, 1, Outcome::Served, None)], None; "an announced wait for a request that was written late")]
#[test_case(vec![request(S, 1, "read"), written(S + S / 2, 1), waits(S + S / 2, 1_151), answered(S + S / 2, 1, Outcome::Served, None)], Some("deadline"); "an announced wait that is too long for a request that was written late")]
#[test_case(vec![(S, Note::NotSent { visit: 1 })], None; "a request that its client did not send")]
#[test_case(vec![request(S, 1, "read"), (S + 9, Note::CrossedClose { visit: 1 })], None; "a request that crossed the close of its connection")]
#[test_case(vec![(S, Note::Purged { object: 7 }), request(9 * S, 1, "read"), answered(9 * S, 1, Outcome::Served, Some(S - 9))], Some("older than its purge"); "rule 5, a copy older than its purge")]
fn checks_the_five_rules(notes: TimedNotes, expected: Option<&str>) {
    let violations = judge::check_rules(&notes, &[]);
    match expected {
        None => assert!(violations.is_empty(), "{violations:?}"),
        Some(text) => assert!(violations.len() == 1 && violations[0].contains(text), "{violations:?}"),
    }
}

#[test]
fn unavailable_processes_are_excused() {
    let notes = vec![request(S, 1, "read")];
    assert!(judge::check_rules(&notes, &[("d1".into(), S / 2, 2 * S)]).is_empty());
    assert!(!judge::check_rules(&notes, &[("d2".into(), S / 2, 2 * S)]).is_empty());
}

/// A process that ended after SIGTERM had to answer all requests sent before.
#[test_case(2 * S, S, true; "sent while the process was down")]
#[test_case(S, S + 40_000, true; "crossed the end of the process")]
#[test_case(S, S + 60_000, false; "sent before the end of the process")]
fn terminated_processes_answer_earlier_requests(asked_at: u64, gone: u64, excused: bool) {
    let notes = vec![request(asked_at, 1, "read")];
    let ended = [("d1".to_owned(), gone, 3 * S)];
    let absences = Absences { unavailable: &[], terminated: &ended, log_silences: &[] };
    assert_eq!(judge::check_rules_with_absences(&notes, &absences).is_empty(), excused);
}

/// Entries of a change log without answers count as known after 7 s, or 2 s after it answers again.
#[test_case((S, 20 * S), 9 * S + 60_000, false; "no answer yet, after 7 s and the grace period")]
#[test_case((S, 20 * S), 8 * S, true; "no answer yet, within 7 s and the grace period")]
#[test_case((S, 2 * S), 6 * S, false; "answering again, after 2 s and the grace period")]
#[test_case((S, 2 * S), 4 * S, true; "answering again, within 2 s and the grace period")]
fn purges_in_a_silent_log_count_with_a_delay(silent: (u64, u64), asked_at: u64, expected: bool) {
    let purged = (S, Note::Purged { object: 7 });
    let notes =
        vec![purged, request(asked_at, 1, "read"), answered(asked_at, 1, Outcome::Served, Some(S - 9))];
    let absences = Absences { unavailable: &[], terminated: &[], log_silences: &[silent] };
    assert_eq!(judge::check_rules_with_absences(&notes, &absences).is_empty(), expected);
}

fn allowance_event(t: u64, me: &str, amount: f64, until: u64, after: f64) -> String {
    format!(
        r#"{{"t":{t},"me":"{me}","inc":1,"e":"part","key":"origin","amount":{amount},"until":{until},"after":{after}}}"#
    )
}

#[test_case(&[allowance_event(1, "a", 6.0, 50, 2.0), allowance_event(2, "b", 4.0, 90, 4.0)], None; "a sum within the limit")]
#[test_case(&[allowance_event(1, "a", 6.0, 50, 2.0), allowance_event(2, "b", 4.0, 90, 4.0), allowance_event(49, "b", 5.0, 90, 5.0)], Some("11.000"); "lent before it expired")]
#[test_case(&[allowance_event(1, "a", 6.0, 50, 2.0), allowance_event(2, "b", 4.0, 90, 4.0), allowance_event(51, "b", 8.0, 90, 4.0)], None; "lent after it expired")]
#[test_case(&[allowance_event(1, "a", 6.0, 50, 6.0), allowance_event(2, "b", 4.0, 60, 9.0)], Some("15.000"); "a larger amount after expiry")]
fn checks_the_sum_of_a_limit(lines: &[String], expected: Option<&str>) {
    let violations = judge::check_limit_sum(&parse_events(&lines.join("\n")), &[], "origin", 10.0);
    match expected {
        None => assert!(violations.is_empty(), "{violations:?}"),
        Some(text) => assert!(violations.len() == 1 && violations[0].contains(text), "{violations:?}"),
    }
}

#[test_case(&[allowance_event(1, "a", 2.0, 90, 1.0), allowance_event(60, "a", 9.0, 120, 1.0), allowance_event(95, "a", 9.5, 120, 1.0)], true; "in force for the last third")]
#[test_case(&[allowance_event(70, "a", 9.0, 80, 1.0), allowance_event(85, "a", 9.5, 120, 1.0)], false; "expired before the next one")]
#[test_case(&[allowance_event(70, "a", 9.5, 95, 1.0)], false; "expired before the end")]
#[test_case(&[allowance_event(1, "a", 9.5, 200, 9.5), allowance_event(70, "b", 1.0, 200, 1.0)], false; "the largest allowance is not renewed in the last third")]
fn checks_the_use_of_a_limit(lines: &[String], expected: bool) {
    let violations = judge::check_limit_used(&parse_events(&lines.join("\n")), "origin", 9.0, (0, 100));
    assert_eq!(violations.is_empty(), expected, "{violations:?}");
}

fn member_event(me: &str, who: &str, state: &str) -> String {
    format!(r#"{{"t":{S},"me":"{me}","inc":1,"e":"member","who":"{who}","standing":"{state}"}}"#)
}

#[test_case(&[("d1", "d2", "alive"), ("d2", "d1", "alive")], 1, None; "all agree")]
#[test_case(&[("d1", "d2", "dead"), ("d2", "d1", "alive")], 1, Some("reports d2 as dead"); "a member is reported as dead")]
#[test_case(&[("d1", "d2", "alive")], 1, Some("reports d1 as unheard"); "a member is never reported")]
#[test_case(&[("d1", "d2", "alive"), ("d2", "d1", "alive")], 18, Some("too close to the end"); "a fault at the end")]
fn checks_the_agreement_of_members(reports: &[(&str, &str, &str)], fault: u64, expected: Option<&str>) {
    let lines: Vec<String> = reports.iter().map(|(me, who, state)| member_event(me, who, state)).collect();
    let played = PlayResult {
        notes: vec![(fault * S, Note::Fault { what: "one".into() })],
        events: parse_events(&lines.join("\n")),
        load_span: (0, 20 * S),
        ..PlayResult::default()
    };
    let violations = judge::check_agreement(&parse(TWO).unwrap(), &played);
    match expected {
        None => assert!(violations.is_empty(), "{violations:?}"),
        Some(text) => assert!(violations.len() == 1 && violations[0].contains(text), "{violations:?}"),
    }
}

fn feed_event(e: &str, n: u64) -> String {
    format!(r#"{{"t":{n},"me":"a","inc":1,"e":"{e}","source":"b","sinc":1,"n":{n}}}"#)
}

#[test_case(&[feed_event("deliver", 1), feed_event("deliver", 2)], true; "in order")]
#[test_case(&[feed_event("deliver", 1), feed_event("deliver", 3)], false; "a gap")]
#[test_case(&[feed_event("deliver", 1), feed_event("deliver", 1)], false; "a repeat")]
#[test_case(&[feed_event("deliver", 1), feed_event("state", 5), feed_event("deliver", 6)], true; "a state covers a gap")]
#[test_case(&[feed_event("deliver", 1), feed_event("state", 5), feed_event("deliver", 5)], false; "a repeat of a state")]
fn checks_the_feed(lines: &[String], expected: bool) {
    let violations = judge::check_feed(&parse_events(&lines.join("\n")));
    assert_eq!(violations.is_empty(), expected, "{violations:?}");
}

#[test_case(10_000.0, true; "within the maximum age")]
#[test_case(900.0, false; "above the maximum age")]
fn checks_verdict_ages(most: f64, expected: bool) {
    let line = r#"{"t":1,"me":"a","inc":1,"e":"hearsay","host":"9","kind":"shut","tellers":2,"age_ms":950}"#;
    assert_eq!(judge::check_verdict_ages(&parse_events(line), most).is_empty(), expected);
}

#[test_case(&[1, 2, 3], true; "increasing versions")]
#[test_case(&[1, 3, 2], false; "an older version without an order")]
fn checks_versions(numbers: &[u64], expected: bool) {
    let line = |n: &u64| format!(r#"{{"t":{n},"me":"a","inc":1,"e":"rules","number":{n}}}"#);
    let lines: Vec<String> = numbers.iter().map(line).collect();
    assert_eq!(judge::check_versions(&parse_events(&lines.join("\n"))).is_empty(), expected);
}

#[test]
fn programs_without_fault_support_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let setup = Setup { program: "/bin/true".as_ref(), older_program: None, folder: folder.path(), seed: 1 };
    let scenario = parse(&format!("{HEAD}at 1 disk d1 full\n")).unwrap();
    let message = play(&scenario, setup).err().unwrap().to_string();
    assert!(message.contains("does not support disk and clock faults"), "{message}");
}

fn rules_event(me: &str, number: u64) -> String {
    format!(r#"{{"t":1,"me":"{me}","inc":1,"e":"rules","number":{number}}}"#)
}

fn rollout_status(number: u64, phase: &str, in_force: u64) -> serde_json::Value {
    serde_json::json!({ "number": number, "phase": phase, "in_force": in_force })
}

const TWO: &str = "dispatchers d1 at edge\ndispatchers d2 at far\norigin o1 transfers 3\nfor 5\n";

#[test_case(&[rules_event("d1", 2)], "halted", None; "halted in the first location")]
#[test_case(&[rules_event("d1", 2)], "back", None; "reverted")]
#[test_case(&[rules_event("d1", 2), rules_event("d2", 2)], "halted", Some("d2 is not in edge"); "in force in the second location")]
#[test_case(&[], "halted", Some("no process ever had rules 2"); "never in force")]
#[test_case(&[rules_event("d1", 2)], "rolling", Some("reports rules 2 as \"rolling\""); "not halted")]
fn checks_halts(lines: &[String], phase: &str, expected: Option<&str>) {
    let statuses = [("d1".to_owned(), rollout_status(2, phase, 0))].into();
    let violations =
        judge::check_halted(&parse(TWO).unwrap(), &parse_events(&lines.join("\n")), &statuses, 2, "edge");
    match expected {
        None => assert!(violations.is_empty(), "{violations:?}"),
        Some(text) => assert!(violations.len() == 1 && violations[0].contains(text), "{violations:?}"),
    }
    let never = judge::check_never_in_force(&parse_events(&lines.join("\n")), 2);
    assert_eq!(never.len(), lines.len());
}

#[test_case(&[("d1", 2), ("d2", 2)], 0; "in force at all")]
#[test_case(&[("d1", 2), ("d2", 0)], 1; "not in force at one process")]
#[test_case(&[("d1", 2)], 1; "no status of one process")]
fn checks_the_final_version(versions: &[(&str, u64)], violations: usize) {
    let statuses =
        versions.iter().map(|(who, number)| (who.to_string(), rollout_status(2, "full", *number))).collect();
    let scenario = parse(TWO).unwrap();
    assert_eq!(judge::check_final_version(&scenario, &[], 9, &statuses, 2).len(), violations);
    let unavailable = [("d2".to_owned(), 3, 9)];
    assert_eq!(
        judge::check_final_version(&scenario, &unavailable, 9, &statuses, 2).len(),
        0,
        "who is away is not asked"
    );
    assert_eq!(judge::check_accepted_orders(&[("start".to_owned(), violations == 0)], 1).len(), violations);
}

/// Plays scenarios with the program in the tests' target folder, which the workspace's tests build.
#[test_case(include_str!("../scenarios/hosts.bed"); "host faults")]
#[test_case(include_str!("../scenarios/message_forms.bed"); "two message forms")]
#[test_case(include_str!("../scenarios/delivery.bed"); "delivery by carriers")]
#[test_case(include_str!("../scenarios/stopped_dispatcher.bed"); "a stopped dispatcher")]
#[test_case(include_str!("../scenarios/stopped_follower.bed"); "a stopped follower of carriers")]
fn scenario_holds(text: &str) {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().unwrap().parent().unwrap().join("cherrypass");
    assert!(program.exists(), "{} is not built: cargo build first", program.display());
    let scenario = parse(text).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let seed = 1;
    let played =
        play(&scenario, Setup { program: &program, older_program: None, folder: folder.path(), seed })
            .unwrap();
    let violations = judge::judge(&scenario, &played);
    if !violations.is_empty() {
        let logs = folder.keep();
        let figures = judge::figures(&played);
        panic!("seed {seed}, its logs are in {}: {violations:#?}\n{figures:#?}", logs.display());
    }
}
