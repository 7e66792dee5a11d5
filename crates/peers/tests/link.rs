//! Wire format: round trips in both forms; corrupted or malformed datagrams are rejected.
use cherrypass::ids::LocationId;
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_peers::link::{
    decode, encode, form_for, Envelope, LinkError, LocationByte, DATAGRAM_MOST, PAYLOAD_MOST,
};
use proptest::prelude::*;

const FLEET: &str = "shop";

fn envelope(payload: &[u8], from: u64, kind: u8) -> Envelope<'_> {
    let (from, incarnation) = (MemberId(from), Incarnation(from ^ 77));
    Envelope { reads: 2, fleet: FLEET, from, incarnation, location: Some(LocationByte(kind)), kind, payload }
}

proptest! {
    #[test]
    fn read_as_written(payload in prop::collection::vec(any::<u8>(), 0..2000), from: u64, kind: u8) {
        let told = envelope(&payload, from, kind);
        let two = encode(2, &told).unwrap();
        prop_assert_eq!(decode(&two, FLEET), Ok(told));
        let one = encode(1, &told).unwrap();
        prop_assert_eq!(decode(&one, FLEET), Ok(Envelope { location: None, ..told }));
        prop_assert_eq!(decode(&two, "other"), Err(LinkError::OtherFleet));
    }

    /// Form 2 detects any changed byte, and both forms any truncation.
    #[test]
    fn changes_are_noticed(payload in prop::collection::vec(any::<u8>(), 1..200), at: prop::sample::Index, bits in 1u8..) {
        let told = envelope(&payload, 9, 3);
        let mut two = encode(2, &told).unwrap();
        let one = encode(1, &told).unwrap();
        prop_assert!(decode(&one[..at.index(one.len())], FLEET).is_err());
        prop_assert!(decode(&two[..at.index(two.len())], FLEET).is_err());
        let at = at.index(two.len());
        two[at] ^= bits;
        // A changed first byte may turn it into form 1, which has no checksum.
        prop_assume!(two[0] == 2);
        prop_assert!(decode(&two, FLEET).is_err());
    }

    #[test]
    fn nonsense_is_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..300), form in 0u8..4) {
        bytes.insert(0, form);
        prop_assert!(decode(&bytes, FLEET).is_err());
    }
}

/// Older builds, limited to 256 locations, encode the index as one byte; larger indices are sent as their low
/// byte.
#[test]
fn a_location_is_a_byte_as_it_was() {
    for (place, byte) in [(0, 0u8), (127, 127), (200, 200), (255, 255), (456, 200), (1_023, 255)] {
        let location = Some(LocationByte::of(LocationId(place)));
        let told = Envelope { location, ..envelope(b"word", 9, 3) };
        let two = encode(2, &told).unwrap();
        let before = (2u8, 2u8, FLEET, MemberId(9), Incarnation(9 ^ 77), byte, 3u8, &b"word"[..]);
        let before = postcard::to_stdvec(&before).unwrap();
        assert_eq!(two[..two.len() - 4], before);
        assert_eq!(decode(&two, FLEET).unwrap().location, Some(LocationByte(byte)));
    }
}

#[test]
fn lengths_have_an_end() {
    let long = vec![0; PAYLOAD_MOST + 1];
    assert_eq!(encode(2, &envelope(&long, 1, 1)), None);
    let most = encode(2, &envelope(&long[1..], u64::MAX, 255)).unwrap();
    assert!(most.len() <= DATAGRAM_MOST && decode(&most, FLEET).is_ok());
    assert_eq!(decode(&vec![1; DATAGRAM_MOST + 1], FLEET), Err(LinkError::TooLong));
    assert_eq!(decode(&[9, 9], FLEET), Err(LinkError::UnsupportedForm(9)));
    // A declared length of 16 GB without content.
    assert_eq!(decode(&[1, 2, 0xff, 0xff, 0xff, 0xff, 0x3f], FLEET), Err(LinkError::Malformed));
    assert_eq!([form_for(2, 1), form_for(1, 2), form_for(2, 9), form_for(2, 0)], [1, 1, 2, 1]);
}
