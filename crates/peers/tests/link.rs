//! Wire format: round trips in both forms; corrupted or malformed datagrams are rejected.
use cherrypass::ids::LocationId;
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_peers::link::{
    decode, encode, form_for, Envelope, LinkError, LocationByte, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES,
};
use proptest::prelude::*;

const FLEET: &str = "shop";

fn envelope(payload: &[u8], from: u64, kind: u8) -> Envelope<'_> {
    let (from, incarnation) = (MemberId(from), Incarnation(from ^ 77));
    Envelope {
        newest_form: 2,
        fleet: FLEET,
        sender: from,
        incarnation,
        location: Some(LocationByte(kind)),
        kind,
        payload,
    }
}

proptest! {
    #[test]
    fn messages_round_trip(payload in prop::collection::vec(any::<u8>(), 0..2000), from: u64, kind: u8) {
        let sent = envelope(&payload, from, kind);
        let form2 = encode(2, &sent).unwrap();
        prop_assert_eq!(decode(&form2, FLEET), Ok(sent));
        let form1 = encode(1, &sent).unwrap();
        prop_assert_eq!(decode(&form1, FLEET), Ok(Envelope { location: None, ..sent }));
        prop_assert_eq!(decode(&form2, "other"), Err(LinkError::OtherFleet));
    }

    /// Form 2 detects any changed byte, and both forms any truncation.
    #[test]
    fn corruption_is_detected(payload in prop::collection::vec(any::<u8>(), 1..200), at: prop::sample::Index, bits in 1u8..) {
        let sent = envelope(&payload, 9, 3);
        let mut form2 = encode(2, &sent).unwrap();
        let form1 = encode(1, &sent).unwrap();
        prop_assert!(decode(&form1[..at.index(form1.len())], FLEET).is_err());
        prop_assert!(decode(&form2[..at.index(form2.len())], FLEET).is_err());
        let at = at.index(form2.len());
        form2[at] ^= bits;
        // A changed first byte may turn it into form 1, which has no checksum.
        prop_assume!(form2[0] == 2);
        prop_assert!(decode(&form2, FLEET).is_err());
    }

    #[test]
    fn malformed_datagrams_are_rejected(mut bytes in prop::collection::vec(any::<u8>(), 0..300), form in 0u8..4) {
        bytes.insert(0, form);
        prop_assert!(decode(&bytes, FLEET).is_err());
    }
}

/// Older builds, limited to 256 locations, encode the index as one byte; larger indices are sent as their low
/// byte.
#[test]
fn location_is_encoded_as_its_low_byte() {
    for (place, byte) in [(0, 0u8), (127, 127), (200, 200), (255, 255), (456, 200), (1_023, 255)] {
        let location = Some(LocationByte::of(LocationId(place)));
        let sent = Envelope { location, ..envelope(b"word", 9, 3) };
        let form2 = encode(2, &sent).unwrap();
        let expected = (2u8, 2u8, FLEET, MemberId(9), Incarnation(9 ^ 77), byte, 3u8, &b"word"[..]);
        let expected = postcard::to_stdvec(&expected).unwrap();
        assert_eq!(form2[..form2.len() - 4], expected);
        assert_eq!(decode(&form2, FLEET).unwrap().location, Some(LocationByte(byte)));
    }
}

#[test]
fn size_limits_are_enforced() {
    let long = vec![0; MAX_PAYLOAD_BYTES + 1];
    assert_eq!(encode(2, &envelope(&long, 1, 1)), None);
    let most = encode(2, &envelope(&long[1..], u64::MAX, 255)).unwrap();
    assert!(most.len() <= MAX_DATAGRAM_BYTES && decode(&most, FLEET).is_ok());
    assert_eq!(decode(&vec![1; MAX_DATAGRAM_BYTES + 1], FLEET), Err(LinkError::TooLong));
    assert_eq!(decode(&[9, 9], FLEET), Err(LinkError::UnsupportedForm(9)));
    // A declared length of 16 GB without content.
    assert_eq!(decode(&[1, 2, 0xff, 0xff, 0xff, 0xff, 0x3f], FLEET), Err(LinkError::Malformed));
    assert_eq!([form_for(2, 1), form_for(1, 2), form_for(2, 9), form_for(2, 0)], [1, 1, 2, 1]);
}
