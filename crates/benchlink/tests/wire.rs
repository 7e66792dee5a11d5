//! Hand-written frames through the whole adapter.
use cherrypass_benchlink::serve;
use test_case::test_case;

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "zone": 1, "unknown": {"skipped": true},
 "services": [{"aim": 500000, "deadline": 6000000, "effect": "idempotent"}],
 "bounds": {"max_attempts": 6, "cancel": true, "retry_after": true, "max_retry_after": 100000},
 "rules": {"cold_from": 0.2, "overload_factor": 2.0},
 "domain": {"source_kind": 2, "may_pass_by": true}, "weight_source": "rough"}"#;

fn record(parts: &[&[u8]]) -> Vec<u8> {
    let mut record = parts.concat();
    record.resize(48, 0);
    record
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = records.len() * 48 + tail.len();
    let mut frame = 1u32.to_le_bytes().to_vec();
    frame.extend(5_000_000u64.to_le_bytes());
    frame.extend((length as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(records.concat());
    frame.extend(tail);
    frame
}

fn start(settings: &str) -> Vec<u8> {
    let range = [0u32.to_le_bytes(), (settings.len() as u32).to_le_bytes()].concat();
    record(&[&256u16.to_le_bytes(), &[3, 0], &9u64.to_le_bytes(), &range])
}

fn arrival(deadline: u64) -> Vec<u8> {
    let head =
        [&258u16.to_le_bytes()[..], &[3, 0], &77u32.to_le_bytes(), &[0; 4], &8u64.to_le_bytes()].concat();
    record(&[&head, &[0], &[0; 4], &deadline.to_le_bytes()])
}

/// A list with one cache at 10.0.0.1:8080, and the event that refers to it.
fn list(offset: usize) -> [Vec<u8>; 2] {
    let range = [(offset as u32).to_le_bytes(), 1u32.to_le_bytes()].concat();
    let content = record(&[&267u16.to_le_bytes(), &[2, 0], &range]);
    [content, record(&[&257u16.to_le_bytes(), &[3, 0], &[4], &[0; 4], &[2, 0]])]
}

fn entry() -> Vec<u8> {
    [&[1, 10, 0, 0, 1, 0x90, 0x1f][..], &6f32.to_le_bytes(), &[0, 0, 0], &[0; 8], &[1]].concat()
}

fn answer(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    serve(input, &mut output).map(|()| output).map_err(|error| error.to_string())
}

#[test]
fn a_visit_is_handed_off_to_the_listed_cache() {
    let [content, changed] = list(SETTINGS.len());
    let tail = [SETTINGS.as_bytes(), &entry()].concat();
    let reply = answer(&frame(&[start(SETTINGS), content, changed, arrival(11_000_000)], &tail)).unwrap();
    assert_eq!(&reply[..8], &[1, 0, 0, 0, 2, 0, 0, 0]);
    let sent = reply[12..].chunks(40).find(|action| action[0] == 8).expect("a read_through");
    assert_eq!(&sent[2..14], &[3, 0, 77, 0, 0, 0, 10, 0, 0, 1, 0x90, 0x1f]);
}

#[test]
fn end_of_input_stops_the_adapter_and_an_empty_batch_gets_an_empty_reply() {
    assert_eq!(answer(&[]), Ok(vec![]));
    assert_eq!(answer(&frame(&[], &[])).unwrap(), [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test_case(frame(&[], &[])[..7].to_vec(), "header ends"; "short header")]
#[test_case(frame(&[arrival(1)], &[])[..40].to_vec(), "frame ends"; "short frame")]
#[test_case([&frame(&[], &[])[..12], &[255; 8]].concat(), "don't fit"; "lengths that do not fit")]
#[test_case(frame(&[record(&[&999u16.to_le_bytes()])], &[]), "unknown event code 999"; "unknown code")]
#[test_case(frame(&[start(SETTINGS)], b"{"), "outside the tail"; "offset outside the tail")]
#[test_case(frame(&[start("{")], b"{"), "aren't JSON"; "settings that are not JSON")]
#[test_case(frame(&[start("{}")], b"{}"), "the settings are missing the list /services"; "settings that lack a key")]
#[test_case(frame(&[arrival(1)], &[]), "has not started"; "unknown instance")]
fn invalid_input_is_reported(input: Vec<u8>, expected: &str) {
    let error = answer(&input).expect_err("an error");
    assert!(error.contains(expected), "{error}");
}
