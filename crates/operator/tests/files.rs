//! Decoding of the operators' file: defaults, and the message for each invalid value.
use cherrypass::time::Span;
use cherrypass_operator::fleet::UnprovenCopies;
use cherrypass_operator::{load, Error, HandOffDurability, OperatorFile};
use test_case::test_case;

fn read(text: &str) -> Result<OperatorFile, Error> {
    use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, SeqCst);
    let path = std::env::temp_dir().join(format!("operator-{}-{number}.jsonnet", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let found = load(&path);
    std::fs::remove_file(path).unwrap();
    found
}

#[test]
fn absent_sections_are_off() {
    assert_eq!(read("{}").unwrap(), OperatorFile::default());
    let store = read(
        "local d = '/var/lib/' + std.asciiLower('CP'); { store: { dir: d, remember_visits_s: 60 * 2 } }",
    );
    let store = store.unwrap().store.unwrap();
    assert_eq!(store.dir.to_str(), Some("/var/lib/cp"));
    assert_eq!((store.hand_offs, store.visit_retention), (HandOffDurability::Written, Span::seconds(120.0)));
}

/// A fleet of two members with the given keys added or replaced.
fn fleet(overrides: &str) -> String {
    format!(
        "local m(n, a) = {{ name: n, address: '127.0.0.1:' + a, location: 'edge' }};
        {{ fleet: {{ name: 'shop', me: 'd1', listen: '127.0.0.1:7001', members: [m('d1', 7001), m('d2', 7002)] }} + {{ {overrides} }} }}"
    )
}

#[test]
fn keys_absent_from_a_fleet_are_off_or_have_defaults() {
    let found = read(&fleet("limits: { origin: 40 }")).unwrap().fleet.unwrap();
    assert_eq!((found.members.len(), &found.verdicts, &found.rollout), (2, &None, &None));
    let limits = found.limits.unwrap();
    assert_eq!((limits.origin, limits.retries_per_s, limits.shares_cold_budgets), (Some(40.0), None, false));
    assert_eq!((limits.lease, limits.floor), (Span::millis(2_000), 0.04));
    assert!(read(&fleet("rollout: { order: ['edge'] }, verdicts: {}")).is_ok());
}

#[test]
fn a_dispatcher_that_only_receives_changes_need_not_be_listed() {
    let delivery = "delivery: { log: 'main', carriers: ['d1', 'd2'] }";
    let found = read(&fleet(&format!("me: 'd4711', {delivery}"))).unwrap().fleet.unwrap();
    let delivery = found.delivery.unwrap();
    assert_eq!((delivery.followers_per_carrier, delivery.unproven), (1_024, UnprovenCopies::Strict));
    assert_eq!((delivery.fallback_after, delivery.max_proof_age), (Span::millis(3_000), Span::millis(1_100)));
    assert_eq!(read(&fleet("limits: { origin: 40 }")).unwrap().fleet.unwrap().delivery, None);
}

#[test_case("delivery: { log: '', carriers: ['d1'] }", "fleet.delivery.log", "is not a name"; "a log without a name")]
#[test_case("delivery: { log: 'main', carriers: [] }", "fleet.delivery.carriers", "at least one member"; "no carriers")]
#[test_case("delivery: { log: 'main', carriers: ['d2', 'd9'] }", "fleet.delivery.carriers[1]", "'d9' is not one of the members"; "a carrier that is no member")]
#[test_case("delivery: { log: 'main', carriers: ['d2', 'd2'] }", "fleet.delivery.carriers[1]", "'d2' is listed twice"; "a duplicate carrier")]
#[test_case("delivery: { log: 'main', carriers: ['d1'], proof_ms: 10 }", "fleet.delivery.proof_ms", "10 is not within 500"; "a proof age below the minimum")]
#[test_case("delivery: { log: 'main', carriers: ['d1'], unproven: 'never' }", "fleet.delivery.unproven", "unknown variant `never`"; "an unknown variant")]
#[test_case("me: 'd3', delivery: { log: 'main', carriers: ['d1'] }, limits: { origin: 4 }", "fleet.me", "must leave out `limits`, `verdicts` and `rollout`"; "limits without membership")]
#[test_case("me: 'd3'", "fleet.me", "'d3' is not one of the members"; "an own name that is not listed")]
#[test_case("members: []", "fleet.me", "not one of the members"; "no members")]
#[test_case("members: [m('d1', 1), m('d1', 2)]", "fleet.members[1].name", "'d1' is already used by fleet.members[0]"; "a duplicate name")]
#[test_case("followers: [{ name: 'd2', address: '127.0.0.1:9' }]", "fleet.followers[0].name", "is already used by fleet.members[1]"; "a follower with a member's name")]
#[test_case("members: [m('d1', 1), m('d2', 1)]", "fleet.members[1].address", "127.0.0.1:1 is already used by fleet.members[0]"; "a duplicate address")]
#[test_case("members: [m('d1', 1) + { location: '' }]", "fleet.members[0].location", "expected the name of a location"; "no location")]
#[test_case("members: [m('d%d' % n, n) for n in std.range(1, 1025)]", "fleet.members", "1025 entries exceed the maximum of 1024"; "too many members")]
#[test_case("members: [m('d1', '1:1')]", "fleet.members[0].address", "invalid socket address"; "an invalid address")]
#[test_case("control: '192.0.2.1:7101'", "fleet.control", "not a loopback address"; "a control address that is not loopback")]
#[test_case("limits: { floor: 1.5 }", "fleet.limits.floor", "1.5 is not within 0 and 1"; "a floor out of bounds")]
#[test_case("limits: { origin: 0 }", "fleet.limits.origin", "0 is not within 1 and"; "a limit of zero")]
#[test_case("limits: { lease_ms: 600 }, every_ms: 100", "fleet.limits.lease_ms", "600 is less than 10 times every_ms, 100"; "a lease that is too short")]
#[test_case("verdicts: { tellers: 0 }", "fleet.verdicts.tellers", "0 is not within 1 and 64"; "no reporters")]
#[test_case("verdict: {}", "fleet.verdict", "unknown field `verdict`"; "an unknown section of a fleet")]
#[test_case("rollout: { order: ['edge', 'north'] }", "fleet.rollout.order", "no member is in location 'north'"; "an unknown location")]
#[test_case("rollout: { order: [] }", "fleet.rollout.order", "'edge' is missing"; "a missing location")]
fn an_invalid_fleet_is_one_line_with_the_key_path(overrides: &str, path: &str, expected: &str) {
    let message = read(&fleet(overrides)).unwrap_err().to_string();
    assert!(
        message.contains(&format!("{path}: ")) && message.contains(expected) && !message.contains('\n'),
        "{message}"
    );
}

#[test_case(r#"{"fleet": {"limits": {"origin": 20}, "verdicts": {"heed": false, "tellers": 1, "part": 0}}}"#, ""; "every key that rules can set")]
#[test_case(r#"{"fleet": {"verdicts": {"tellers": 0}}}"#, "fleet.verdicts.tellers: 0 is not within 1 and 64"; "no reporters in rules")]
#[test_case("{}", ""; "empty rules")]
#[test_case("", "EOF while parsing"; "no JSON")]
#[test_case(r#"{"store": {}}"#, "store: unknown field `store`"; "a section that rules can't set")]
#[test_case(r#"{"fleet": {"limits": {"lease_ms": 1}}}"#, "fleet.limits.lease_ms: unknown field"; "a key that rules can't set")]
#[test_case(r#"{"fleet": {"limits": {"origin": 0.1}}}"#, "fleet.limits.origin: 0.1 is not within 1 and"; "a limit out of range in rules")]
#[test_case(r#"{"fleet": {"limits": {"further_per_s": 9}}}"#, "fleet.limits.further_per_s: the operators' file sets no such limit"; "a limit that the file does not set")]
fn rules_are_checked_against_the_file(text: &str, expected_error: &str) {
    let file = read(&fleet("limits: { origin: 40 }, verdicts: {}")).unwrap().fleet.unwrap();
    let message =
        cherrypass_operator::rules::decode(text, &file).map_or_else(|e| e.to_string(), |_| String::new());
    assert!(
        message.contains(expected_error)
            && message.is_empty() == expected_error.is_empty()
            && !message.contains('\n'),
        "{message}"
    );
}

#[test_case("{ stor: {} }", "stor", "unknown field `stor`"; "an unknown section")]
#[test_case("{ store: { dir: 'x', siz: 1 } }", "store.siz", "unknown field `siz`"; "an unknown key")]
#[test_case("{ store: {} }", "store", "missing field `dir`"; "a missing key")]
#[test_case("{ store: { dir: 7 } }", "store.dir", "expected path string"; "a wrong type")]
#[test_case("{ store: { dir: 'x', background: { core_share: 2 } } }", "store.background.core_share", "2 is not within 0.001 and 1"; "out of range")]
#[test_case("{ store: { dir: 'x', hand_offs: 'often' } }", "store.hand_offs", "expected one of `off`, `written`, `synced`"; "an unknown enum value")]
#[test_case("{ store: {\n  dir: 'x' ++ } }", "line 2", "cannot evaluate"; "not Jsonnet")]
#[test_case("{ store: { dir: error 'set me' } }", "set me", "cannot evaluate"; "an explicit error")]
#[test_case("local a = import 'missing.libsonnet'; a", "missing.libsonnet", "cannot evaluate"; "a missing import")]
fn an_invalid_file_is_one_line_with_its_position(text: &str, position: &str, expected: &str) {
    let message = read(text).unwrap_err().to_string();
    assert!(message.contains(position) && message.contains(expected) && !message.contains('\n'), "{message}");
}
