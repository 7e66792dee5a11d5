//! The codecs fed a byte at a time, and with arbitrary bytes.
use bytes::BytesMut;
use cherrypass::calls::{Note, Outcome};
use cherrypass_dispatcher::msgpack::{self, Message};
use cherrypass_dispatcher::resp::{self, Begun};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const VISIT: &[u8] = b"\x94\x00\x07\xa5video\x92\x85\xa3txn\xb09b1f03aa5c7e2d41\xa5limit\xa41500\xa4item\
    \xb07f3a9c21e0b4d655\xa5block\xa13\xa6family\xa217\xc4\x03abc";
const ANSWER: &[u8] = b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$4\r\nDONE\r\n$62\r\n\
    ver=4be0,born=17,note=fetched_root,waited=12,load=x1:2.5;q:1.0\r\n$3\r\na\r\n\r\n";

#[test]
fn a_visit_byte_by_byte() {
    let mut buffer = BytesMut::new();
    for (place, byte) in VISIT.iter().enumerate() {
        assert_eq!(msgpack::next(&mut buffer), Ok(None), "whole after {place} bytes");
        buffer.extend_from_slice(&[*byte]);
    }
    let Ok(Some(Message::Visit(7, asked))) = msgpack::next(&mut buffer) else { panic!("no visit") };
    assert_eq!(
        (&asked.band[..], &asked.body[..], asked.block, asked.group.0),
        (&b"video"[..], &b"abc"[..], 3, 17)
    );
    assert_eq!((asked.object.0, asked.limit.0), (0x7f3a_9c21_e0b4_d655, 1_500_000));
    assert!(buffer.is_empty());
}

#[test]
fn an_answer_byte_by_byte() {
    let mut buffer = BytesMut::new();
    for byte in ANSWER {
        assert!(matches!(resp::next(&mut buffer), Ok(Begun::Short(1..))));
        buffer.extend_from_slice(&[*byte]);
    }
    let Ok(Begun::Answer(answer)) = resp::next(&mut buffer) else { panic!("no answer") };
    assert_eq!((answer.outcome, answer.note), (Outcome::Settled, Note::FilledByOrigin));
    assert_eq!((answer.report.link_full, &answer.body[..]), (Some(2.5), &b"a\r\n"[..]));
    assert!(buffer.is_empty());
}

/// Neither takes more than was there, nor memory for what a length only claims.
#[test]
fn arbitrary_bytes() {
    let mut chance = Pcg64Mcg::seed_from_u64(7);
    for round in 0..20_000 {
        let mut bytes = [VISIT, ANSWER][round % 2].to_vec();
        for _ in 0..chance.gen_range(1..4) {
            let place = chance.gen_range(0..bytes.len());
            bytes[place] = chance.next_u32() as u8;
        }
        let mut buffer = BytesMut::from(&bytes[..]);
        while !buffer.is_empty() && matches!(msgpack::next(&mut buffer), Ok(Some(_))) {}
        let mut buffer = BytesMut::from(&bytes[..]);
        while !buffer.is_empty() && matches!(resp::next(&mut buffer), Ok(Begun::Answer(_) | Begun::Spoilt)) {}
        assert!(buffer.capacity() <= 2 * bytes.len() + 64);
    }
}
