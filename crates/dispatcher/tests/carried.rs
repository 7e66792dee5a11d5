//! The encoding of changes that carriers deliver.
use cherrypass_dispatcher::carried_changes::{decode, encode};
use serde_json::{json, Value};
use test_case::test_case;

/// Maximum size of a purge: one byte for its kind, ten and six for its numbers.
const MAX_PURGE_BYTES: usize = 17;

#[test_case(json!({"seq": 7, "invalidate": {"object": "7f3a9c21e0b4d655", "time": 1764576000123_u64}}), true; "a purge of an object")]
#[test_case(json!({"seq": 7, "invalidate": {"object": "ffffffffffffffff", "time": 1764576000123_u64}}), true; "a purge of the greatest object id")]
#[test_case(json!({"seq": 7, "invalidate": {"bucket": 255, "time": 1764576000480_u64}}), true; "a purge of a group")]
#[test_case(json!({"seq": 7, "invalidate": {"object": "7F3a", "time": 5}}), false; "a purge of an object that is not 16 hex digits")]
#[test_case(json!({"seq": 7, "invalidate": {"object": "7f3a9c21e0b4d655", "bucket": 3, "time": 5}}), false; "a purge of an object and a group")]
#[test_case(json!({"seq": 7, "invalidate": {"object": "7f3a9c21e0b4d655"}}), false; "a purge without a time")]
#[test_case(json!({"seq": 7, "invalidate": {"bucket": 5_000_000_000_u64, "time": 5}}), false; "a purge of a group out of range")]
#[test_case(json!({"seq": 7, "invalidate": {"bucket": 5, "time": 5}, "by": "x"}), false; "a purge with another key")]
#[test_case(json!({"seq": 7, "fleet": {"version": 7, "full": false, "servers": [{"id": "s-1", "state": "terminated"}]}}), false; "a host list")]
#[test_case(json!({"seq": 7, "configuration": {"a": [1, 2.5, null]}}), false; "an unknown kind of change")]
fn changes_survive_encoding_and_decoding(change: Value, is_short: bool) {
    let record = encode(&change);
    assert_eq!(record.len() <= MAX_PURGE_BYTES, is_short, "{} bytes", record.len());
    assert_eq!(decode(&record, 7), Some(change));
}

#[test_case(&[]; "an empty record")]
#[test_case(&[9]; "an unknown form")]
#[test_case(&[0, 1]; "a truncated record")]
#[test_case(&[2, 3, b'{', b'x', b'}']; "not JSON")]
#[test_case(&[2, 1, b'7']; "JSON that is not an object")]
fn malformed_changes_are_rejected(record: &[u8]) {
    assert_eq!(decode(record, 7), None);
}
