//! Error positions of the notation, each check of the judge on made-up histories with and without a
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
#[test_case("load d1 5 per second", "line 4, column 11"; "more than fits")]
#[test_case("fleet { limits: { origin: 3 }", "line 4"; "braces that don't match")]
#[test_case("program d1 newer", "line 4, column 17"; "a build of no name")]
#[test_case("form 1 d9", "line 4: there is no d9"; "a form of nobody")]
#[test_case("at 1 disk d1 burn", "line 4, column 14"; "an unknown order to a disk")]
#[test_case("clock d1 3", "line 4, column 9"; "a clock out of bounds")]
#[test_case("caches c1 transfers 5", "line 4"; "caches without a location")]
fn a_mistake_has_its_place(line: &str, place: &str) {
    let said = parse(&format!("{HEAD}{line}\n")).unwrap_err().to_string();
    assert!(said.contains(place), "{said}");
}

#[test]
fn faults_are_read_as_written() {
    let text = format!(
        "{HEAD}fleet {{ limits: {{ origin: 3 }} }} # so\nat 1 for 2 lose 0.5 d1 > d2\nat 2 restart d1 new\n"
    );
    let found = parse(&text).unwrap();
    assert_eq!(found.fleet.as_deref(), Some("{ limits: { origin: 3 } }"));
    assert_eq!(found.faults[0].duration, Some(2.0));
    assert_eq!(found.faults[1].fault, Fault::Restart { who: "d1".into(), new: true });
}

const S: u64 = 1_000_000;

fn asked(at: u64, visit: u64, band: &str) -> (u64, Note) {
    let (dispatcher, band) = ("d1".to_owned(), band.to_owned());
    (at, Note::RequestSent { visit, dispatcher, class: band, object: 7, limit: S })
}

fn answered(at: u64, visit: u64, word: Outcome, born: Option<u64>) -> (u64, Note) {
    (at, Note::Answered { visit, outcome: word, born })
}

fn ran(at: u64, visit: u64) -> (u64, Note) {
    (at, Note::Executed { host: "o1".into(), visit, class: "once".into() })
}

fn host(at: u64, what: fn(String) -> Note) -> (u64, Note) {
    (at, what("c1".into()))
}

fn came(host: String) -> Note {
    Note::HandOffArrived { host, visit: 1, is_fill: false, wait: None }
}

fn waits(at: u64, ms: u64) -> (u64, Note) {
    (at, Note::HandOffArrived { host: "c1".into(), visit: 1, is_fill: false, wait: Some(ms) })
}

fn drains(host: String) -> Note {
    Note::HostListed { host, state: "terminating" }
}

fn fell(host: String) -> Note {
    Note::HostOverloaded { host }
}

#[test_case(vec![asked(S, 1, "read"), answered(S + 100, 1, Outcome::Served, Some(S))], None; "all well")]
#[test_case(vec![asked(S, 1, "read")], Some("no answer"); "rule 1, none")]
#[test_case(vec![asked(S, 1, "read"), answered(S, 1, Outcome::Served, None), answered(S, 1, Outcome::Served, None)], Some("2 answers"); "rule 1, two")]
#[test_case(vec![asked(S, 1, "read"), answered(3 * S, 1, Outcome::Refused, None)], Some("late"); "rule 1, late")]
#[test_case(vec![asked(S, 1, "once"), ran(S, 1), ran(S, 1), answered(S, 1, Outcome::Served, None)], Some("ran 2 times"); "rule 2, twice")]
#[test_case(vec![asked(S, 1, "once"), ran(S, 1), answered(S, 1, Outcome::Refused, None)], Some("was refused"); "rule 2, called harmless")]
#[test_case(vec![host(S, drains), host(9 * S, came)], Some("which is draining"); "rule 3")]
#[test_case(vec![host(S, drains), host(S + 1, came)], None; "rule 3, within the grace")]
#[test_case(vec![host(S, fell)], Some("was overloaded"); "rule 4")]
#[test_case(vec![asked(S, 1, "read"), waits(S + 1, 1_149), answered(S + 100, 1, Outcome::Served, None)], None; "the deadline told, within the slack")]
#[test_case(vec![asked(S, 1, "read"), waits(S + S / 2, 800), answered(S + S / 2, 1, Outcome::Served, None)], Some("deadline"); "the deadline told, too long")]
#[test_case(vec![asked(S, 1, "read"), (S + 9, Note::CrossedClose { visit: 1 })], None; "what crossed an orderly end")]
#[test_case(vec![(S, Note::Purged { object: 7 }), asked(9 * S, 1, "read"), answered(9 * S, 1, Outcome::Served, Some(S - 9))], Some("older than its purge"); "rule 5")]
fn the_judge_of_the_rules(noted: TimedNotes, words: Option<&str>) {
    let broken = judge::check_rules(&noted, &[]);
    match words {
        None => assert!(broken.is_empty(), "{broken:?}"),
        Some(words) => assert!(broken.len() == 1 && broken[0].contains(words), "{broken:?}"),
    }
}

#[test]
fn who_was_away_is_not_blamed_for_silence() {
    let noted = vec![asked(S, 1, "read")];
    assert!(judge::check_rules(&noted, &[("d1".into(), S / 2, 2 * S)]).is_empty());
    assert!(!judge::check_rules(&noted, &[("d2".into(), S / 2, 2 * S)]).is_empty());
}

/// A process that ended after SIGTERM had to answer all requests sent before.
#[test_case(2 * S, S, true; "asked while it was gone")]
#[test_case(S, S + 40_000, true; "crossed its end")]
#[test_case(S, S + 60_000, false; "asked before its end")]
fn who_ended_as_told_owes_what_came_before(asked_at: u64, gone: u64, excused: bool) {
    let noted = vec![asked(asked_at, 1, "read")];
    let ended = [("d1".to_owned(), gone, 3 * S)];
    let absences = Absences { unavailable: &[], terminated: &ended, log_silences: &[] };
    assert_eq!(judge::check_rules_with_absences(&noted, &absences).is_empty(), excused);
}

/// Entries of a change log without answers count as known after 7 s, or 2 s after it answers again.
#[test_case((S, 20 * S), 9 * S + 60_000, false; "still silent, past 7 s and the grace")]
#[test_case((S, 20 * S), 8 * S, true; "still silent, within them")]
#[test_case((S, 2 * S), 6 * S, false; "back, past 2 s and the grace")]
#[test_case((S, 2 * S), 4 * S, true; "back, within them")]
fn a_purge_in_a_silent_log_counts(silent: (u64, u64), asked_at: u64, well: bool) {
    let purged = (S, Note::Purged { object: 7 });
    let noted = vec![purged, asked(asked_at, 1, "read"), answered(asked_at, 1, Outcome::Served, Some(S - 9))];
    let absences = Absences { unavailable: &[], terminated: &[], log_silences: &[silent] };
    assert_eq!(judge::check_rules_with_absences(&noted, &absences).is_empty(), well);
}

fn part(t: u64, me: &str, amount: f64, until: u64, after: f64) -> String {
    format!(
        r#"{{"t":{t},"me":"{me}","inc":1,"e":"part","key":"origin","amount":{amount},"until":{until},"after":{after}}}"#
    )
}

#[test_case(&[part(1, "a", 6.0, 50, 2.0), part(2, "b", 4.0, 90, 4.0)], None; "all well")]
#[test_case(&[part(1, "a", 6.0, 50, 2.0), part(2, "b", 4.0, 90, 4.0), part(49, "b", 5.0, 90, 5.0)], Some("11.000"); "lent before it ran out")]
#[test_case(&[part(1, "a", 6.0, 50, 2.0), part(2, "b", 4.0, 90, 4.0), part(51, "b", 8.0, 90, 4.0)], None; "lent after it ran out")]
#[test_case(&[part(1, "a", 6.0, 50, 6.0), part(2, "b", 4.0, 60, 9.0)], Some("15.000"); "falls back to more")]
fn the_judge_of_a_sum(lines: &[String], words: Option<&str>) {
    let broken = judge::check_limit_sum(&parse_events(&lines.join("\n")), &[], "origin", 10.0);
    match words {
        None => assert!(broken.is_empty(), "{broken:?}"),
        Some(words) => assert!(broken.len() == 1 && broken[0].contains(words), "{broken:?}"),
    }
}

#[test_case(&[part(1, "a", 2.0, 90, 1.0), part(60, "a", 9.0, 120, 1.0), part(95, "a", 9.5, 120, 1.0)], true; "held in the last third")]
#[test_case(&[part(70, "a", 9.0, 80, 1.0), part(85, "a", 9.5, 120, 1.0)], false; "lapsed meanwhile")]
#[test_case(&[part(70, "a", 9.5, 95, 1.0)], false; "lapsed before the end")]
#[test_case(&[part(1, "a", 9.5, 200, 9.5), part(70, "b", 1.0, 200, 1.0)], false; "nothing told of who has most")]
fn the_judge_of_use(lines: &[String], well: bool) {
    let broken = judge::check_limit_used(&parse_events(&lines.join("\n")), "origin", 9.0, (0, 100));
    assert_eq!(broken.is_empty(), well, "{broken:?}");
}

fn held(me: &str, who: &str, standing: &str) -> String {
    format!(r#"{{"t":{S},"me":"{me}","inc":1,"e":"member","who":"{who}","standing":"{standing}"}}"#)
}

#[test_case(&[("d1", "d2", "alive"), ("d2", "d1", "alive")], 1, None; "all agree")]
#[test_case(&[("d1", "d2", "dead"), ("d2", "d1", "alive")], 1, Some("reports d2 as dead"); "one is held dead")]
#[test_case(&[("d1", "d2", "alive")], 1, Some("reports d1 as unheard"); "one never heard")]
#[test_case(&[("d1", "d2", "alive"), ("d2", "d1", "alive")], 18, Some("too close to the end"); "a fault at the end")]
fn the_judge_of_members(told: &[(&str, &str, &str)], fault: u64, words: Option<&str>) {
    let lines: Vec<String> = told.iter().map(|(me, who, standing)| held(me, who, standing)).collect();
    let played = PlayResult {
        notes: vec![(fault * S, Note::Fault { what: "one".into() })],
        events: parse_events(&lines.join("\n")),
        load_span: (0, 20 * S),
        ..PlayResult::default()
    };
    let broken = judge::check_agreement(&parse(TWO).unwrap(), &played);
    match words {
        None => assert!(broken.is_empty(), "{broken:?}"),
        Some(words) => assert!(broken.len() == 1 && broken[0].contains(words), "{broken:?}"),
    }
}

fn fed(e: &str, n: u64) -> String {
    format!(r#"{{"t":{n},"me":"a","inc":1,"e":"{e}","source":"b","sinc":1,"n":{n}}}"#)
}

#[test_case(&[fed("deliver", 1), fed("deliver", 2)], true; "in order")]
#[test_case(&[fed("deliver", 1), fed("deliver", 3)], false; "a gap")]
#[test_case(&[fed("deliver", 1), fed("deliver", 1)], false; "a repeat")]
#[test_case(&[fed("deliver", 1), fed("state", 5), fed("deliver", 6)], true; "a state covers a gap")]
#[test_case(&[fed("deliver", 1), fed("state", 5), fed("deliver", 5)], false; "a repeat of a state")]
fn the_judge_of_the_feed(lines: &[String], well: bool) {
    let broken = judge::check_feed(&parse_events(&lines.join("\n")));
    assert_eq!(broken.is_empty(), well, "{broken:?}");
}

#[test_case(10_000.0, true; "young enough")]
#[test_case(900.0, false; "too old")]
fn the_judge_of_ages(most: f64, well: bool) {
    let line = r#"{"t":1,"me":"a","inc":1,"e":"hearsay","host":"9","kind":"shut","tellers":2,"age_ms":950}"#;
    assert_eq!(judge::check_verdict_ages(&parse_events(line), most).is_empty(), well);
}

#[test_case(&[1, 2, 3], true; "forward")]
#[test_case(&[1, 3, 2], false; "back unasked")]
fn the_judge_of_versions(numbers: &[u64], well: bool) {
    let line = |n: &u64| format!(r#"{{"t":{n},"me":"a","inc":1,"e":"rules","number":{n}}}"#);
    let lines: Vec<String> = numbers.iter().map(line).collect();
    assert_eq!(judge::check_versions(&parse_events(&lines.join("\n"))).is_empty(), well);
}

#[test]
fn a_program_that_obeys_no_faults_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let setup = Setup { program: "/bin/true".as_ref(), older_program: None, folder: folder.path(), seed: 1 };
    let scenario = parse(&format!("{HEAD}at 1 disk d1 full\n")).unwrap();
    let said = play(&scenario, setup).err().unwrap().to_string();
    assert!(said.contains("does not support disk and clock faults"), "{said}");
}

fn ruled(me: &str, number: u64) -> String {
    format!(r#"{{"t":1,"me":"{me}","inc":1,"e":"rules","number":{number}}}"#)
}

fn standing(number: u64, phase: &str, in_force: u64) -> serde_json::Value {
    serde_json::json!({ "number": number, "phase": phase, "in_force": in_force })
}

const TWO: &str = "dispatchers d1 at edge\ndispatchers d2 at far\norigin o1 transfers 3\nfor 5\n";

#[test_case(&[ruled("d1", 2)], "halted", None; "halted in the first location")]
#[test_case(&[ruled("d1", 2)], "back", None; "taken back")]
#[test_case(&[ruled("d1", 2), ruled("d2", 2)], "halted", Some("d2 is not in edge"); "it came to the second")]
#[test_case(&[], "halted", Some("no process ever had rules 2"); "it never began")]
#[test_case(&[ruled("d1", 2)], "rolling", Some("reports rules 2 as \"rolling\""); "not halted")]
fn the_judge_of_halts(lines: &[String], phase: &str, words: Option<&str>) {
    let standings = [("d1".to_owned(), standing(2, phase, 0))].into();
    let broken =
        judge::check_halted(&parse(TWO).unwrap(), &parse_events(&lines.join("\n")), &standings, 2, "edge");
    match words {
        None => assert!(broken.is_empty(), "{broken:?}"),
        Some(words) => assert!(broken.len() == 1 && broken[0].contains(words), "{broken:?}"),
    }
    let never = judge::check_never_in_force(&parse_events(&lines.join("\n")), 2);
    assert_eq!(never.len(), lines.len());
}

#[test_case(&[("d1", 2), ("d2", 2)], 0; "all have it")]
#[test_case(&[("d1", 2), ("d2", 0)], 1; "one has not")]
#[test_case(&[("d1", 2)], 1; "one does not tell")]
fn the_judge_of_the_end(told: &[(&str, u64)], broken: usize) {
    let told = told.iter().map(|(who, number)| (who.to_string(), standing(2, "full", *number))).collect();
    let scenario = parse(TWO).unwrap();
    assert_eq!(judge::check_final_version(&scenario, &[], 9, &told, 2).len(), broken);
    let away = [("d2".to_owned(), 3, 9)];
    assert_eq!(
        judge::check_final_version(&scenario, &away, 9, &told, 2).len(),
        0,
        "who is away is not asked"
    );
    assert_eq!(judge::check_accepted_orders(&[("start".to_owned(), broken == 0)], 1).len(), broken);
}

/// Plays scenarios with the program in the tests' target folder, which the workspace's tests build.
#[test_case(include_str!("../scenarios/hosts.bed"); "hosts")]
#[test_case(include_str!("../scenarios/forms.bed"); "two forms")]
#[test_case(include_str!("../scenarios/delivery.bed"); "changes by carriers")]
#[test_case(include_str!("../scenarios/stood_still.bed"); "stood still")]
fn holds(text: &str) {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().unwrap().parent().unwrap().join("cherrypass");
    assert!(program.exists(), "{} is not built: cargo build first", program.display());
    let scenario = parse(text).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let seed = 1;
    let played =
        play(&scenario, Setup { program: &program, older_program: None, folder: folder.path(), seed })
            .unwrap();
    let broken = judge::judge(&scenario, &played);
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}\n{:#?}", judge::figures(&played));
}
