//! The codecs, fed byte by byte, with arbitrary bytes and with every MessagePack form.
use bytes::BytesMut;
use cherrypass::calls::{Note, Outcome};
use cherrypass_dispatcher::cancellation::{CancelToken, Liveness};
use cherrypass_dispatcher::client_input::ClientInput;
use cherrypass_dispatcher::connection::Connection;
use cherrypass_dispatcher::msgpack::{self, Framing, Message};
use cherrypass_dispatcher::resp::{self, Parsed};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

const VISIT: &[u8] = b"\x94\x00\x07\xa5video\x92\x85\xa3txn\xb09b1f03aa5c7e2d41\xa5limit\xa41500\xa4item\
    \xb07f3a9c21e0b4d655\xa5block\xa13\xa6family\xa217\xc4\x03abc";
const ANSWER: &[u8] = b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$4\r\nDONE\r\n$62\r\n\
    ver=4be0,born=17,note=fetched_root,waited=12,load=x1:2.5;q:1.0\r\n$3\r\na\r\n\r\n";

#[test]
fn a_visit_byte_by_byte() {
    let mut buffer = BytesMut::new();
    for (index, byte) in VISIT.iter().enumerate() {
        assert_eq!(msgpack::next(&mut buffer), Ok(None), "complete after {index} bytes");
        buffer.extend_from_slice(&[*byte]);
    }
    let Ok(Some(Message::Visit(7, request))) = msgpack::next(&mut buffer) else { panic!("no visit") };
    assert_eq!(
        (&request.class[..], &request.body[..], request.block, request.group.0),
        (&b"video"[..], &b"abc"[..], 3, 17)
    );
    assert_eq!((request.object.0, request.time_limit.0), (0x7f3a_9c21_e0b4_d655, 1_500_000));
    assert!(buffer.is_empty());
}

#[test]
fn an_answer_byte_by_byte() {
    let mut buffer = BytesMut::new();
    for byte in ANSWER {
        assert!(matches!(resp::next(&mut buffer), Ok(Parsed::Incomplete(1..))));
        buffer.extend_from_slice(&[*byte]);
    }
    let Ok(Parsed::Answer(answer)) = resp::next(&mut buffer) else { panic!("no answer") };
    assert_eq!((answer.outcome, answer.note), (Outcome::Served, Note::FilledByOrigin));
    assert_eq!((answer.report.link_load, &answer.body[..]), (Some(2.5), &b"a\r\n"[..]));
    assert!(buffer.is_empty());
}

/// Neither codec allocates memory for a length that is only claimed.
#[test]
fn arbitrary_bytes() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for round in 0..20_000 {
        let mut bytes = [VISIT, ANSWER][round % 2].to_vec();
        for _ in 0..rng.gen_range(1..4) {
            let index = rng.gen_range(0..bytes.len());
            bytes[index] = rng.next_u32() as u8;
        }
        let mut buffer = BytesMut::from(&bytes[..]);
        while !buffer.is_empty() && matches!(msgpack::next(&mut buffer), Ok(Some(_))) {}
        let mut buffer = BytesMut::from(&bytes[..]);
        while !buffer.is_empty()
            && matches!(resp::next(&mut buffer), Ok(Parsed::Answer(_) | Parsed::Unusable))
        {}
        assert!(buffer.capacity() <= 2 * bytes.len() + 64);
    }
}

/// One of MessagePack's encodings each for an integer, a string, binary data, an array and a map.
struct Forms {
    integer: fn(u8) -> Vec<u8>,
    string: fn(&[u8]) -> Vec<u8>,
    binary: fn(&[u8]) -> Vec<u8>,
    array: fn(u8) -> Vec<u8>,
    map: fn(u8) -> Vec<u8>,
}

/// A marker, a length of `width` bytes, and the rest.
fn form(marker: u8, width: usize, length: usize, rest: &[u8]) -> Vec<u8> {
    let length = (length as u64).to_be_bytes();
    [&[marker], &length[8 - width..], rest].concat()
}

const FORMS: [Forms; 5] = [
    Forms {
        integer: |n| vec![n],
        string: |t| {
            if t.len() < 32 {
                form(0xa0 | t.len() as u8, 0, 0, t)
            } else {
                form(0xd9, 1, t.len(), t)
            }
        },
        binary: |b| form(0xc4, 1, b.len(), b),
        array: |n| vec![0x90 | n],
        map: |n| vec![0x80 | n],
    },
    Forms {
        integer: |n| form(0xcc, 1, n.into(), &[]),
        string: |t| form(0xd9, 1, t.len(), t),
        binary: |b| form(0xc4, 1, b.len(), b),
        array: |n| form(0xdc, 2, n.into(), &[]),
        map: |n| form(0xde, 2, n.into(), &[]),
    },
    Forms {
        integer: |n| form(0xcd, 2, n.into(), &[]),
        string: |t| form(0xda, 2, t.len(), t),
        binary: |b| form(0xc5, 2, b.len(), b),
        array: |n| form(0xdd, 4, n.into(), &[]),
        map: |n| form(0xdf, 4, n.into(), &[]),
    },
    Forms {
        integer: |n| form(0xce, 4, n.into(), &[]),
        string: |t| form(0xdb, 4, t.len(), t),
        binary: |b| form(0xc6, 4, b.len(), b),
        array: |n| form(0xdd, 4, n.into(), &[]),
        map: |n| form(0xdf, 4, n.into(), &[]),
    },
    Forms {
        integer: |n| form(0xcf, 8, n.into(), &[]),
        string: |t| form(0xdb, 4, t.len(), t),
        binary: |b| form(0xc6, 4, b.len(), b),
        array: |n| form(0xdc, 2, n.into(), &[]),
        map: |n| form(0xde, 2, n.into(), &[]),
    },
];
/// The signed encodings of non-negative integers.
const SIGNED: [fn(u8) -> Vec<u8>; 4] = [
    |n| form(0xd0, 1, n.into(), &[]),
    |n| form(0xd1, 2, n.into(), &[]),
    |n| form(0xd2, 4, n.into(), &[]),
    |n| form(0xd3, 8, n.into(), &[]),
];

impl Forms {
    fn fields(&self) -> Vec<u8> {
        let fields: [[&[u8]; 2]; 7] = [
            [b"txn", b"9b1f03aa5c7e2d41"],
            [b"limit", b"1500"],
            [b"unique", b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"],
            [b"item", b"7f3a9c21e0b4d655"],
            [b"block", b"3"],
            [b"family", b"17"],
            [b"cached", b"4be0c1927d55a6f3"],
        ];
        let all = fields.as_flattened().iter().flat_map(|word| (self.string)(word));
        [(self.map)(7), all.collect()].concat()
    }

    fn messages(&self, integer: fn(u8) -> Vec<u8>) -> [Vec<u8>; 3] {
        let Forms { string, binary, array, .. } = self;
        let visit =
            [array(4), integer(0), integer(7), string(b"video"), array(2), self.fields(), binary(b"abc")]
                .concat();
        let status = [array(4), integer(0), integer(8), string(b"status"), array(1), self.fields()].concat();
        let withdraw = [array(3), integer(2), string(b"withdraw"), array(2), integer(7), integer(9)].concat();
        [visit, status, withdraw]
    }
}

/// Every message in every encoding, split at every position.
#[test]
fn messages_in_every_form() {
    for forms in &FORMS {
        for integer in std::iter::once(forms.integer).chain(SIGNED) {
            let all = forms.messages(integer).concat();
            for split in 0..all.len() {
                let mut buffer = BytesMut::from(&all[..split]);
                let mut found = Vec::new();
                let mut take = |buffer: &mut BytesMut| {
                    while let Some(message) = msgpack::next(buffer).unwrap() {
                        found.push(message);
                    }
                };
                take(&mut buffer);
                buffer.extend_from_slice(&all[split..]);
                take(&mut buffer);
                let [Message::Visit(7, request), Message::Status(8), Message::Withdraw(ids)] = &found[..]
                else {
                    panic!("split at {split}: {found:?}");
                };
                assert_eq!((&ids[..], &request.body[..], request.block), (&[7, 9][..], &b"abc"[..], 3));
                assert_eq!(request.cached_tag.as_deref(), Some(&b"4be0c1927d55a6f3"[..]));
            }
        }
    }
}

/// A withdrawal that is still unread counts in every encoding, for the requests that it names.
#[test]
fn an_unread_withdrawal_in_every_form() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    for forms in &FORMS {
        for integer in std::iter::once(forms.integer).chain(SIGNED) {
            let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let connection = Connection::new(listener.accept().unwrap().0);
            let input = Arc::new(ClientInput::new(Arc::new(connection)));
            let [named, other] =
                [7, 8].map(|id| CancelToken::new(input.clone(), input.lock().open_request(id)));
            client.write_all(&forms.messages(integer).concat()).unwrap();
            assert_eq!([named.check(), other.check()], [Liveness::Cancelled, Liveness::Live]);
        }
    }
}

/// A request of which the head has many fields without a meaning.
fn request_with_other_fields(count: u16) -> Vec<u8> {
    let mut bytes = b"\x94\x00\x01\xa5video\x92\xde".to_vec();
    bytes.extend((count + 5).to_be_bytes());
    (0..count).for_each(|_| bytes.extend(b"\xa1a\xa1b"));
    bytes.extend(b"\xa3txn\xb00000000000000001\xa5limit\xa41500\xa4item\xb00000000000000001");
    bytes.extend(b"\xa5block\xa10\xa6family\xa10\xc4\x03xyz");
    bytes
}

/// Guards against a message that is looked through from its start with each byte that comes, which took the reading
/// thread from other clients: going on gives the same messages.
#[test]
fn a_message_in_single_bytes_is_decoded_as_in_one_piece() {
    let messages = [
        request_with_other_fields(300),
        b"\x93\x02\xa8withdraw\x92\x01\xce\x00\x00\x00\x02".to_vec(),
        b"\x94\x00\x07\xa6status\xc0".to_vec(),
        b"\x94\x00\x08\xa5video\x92\x80\xdc\x00\x02\x90\xcb\x00\x00\x00\x00\x00\x00\x00\x00".to_vec(),
    ];
    let bytes = messages.concat();
    let mut whole = BytesMut::from(&bytes[..]);
    let expected: Vec<Message> = std::iter::from_fn(|| msgpack::next(&mut whole).unwrap()).collect();
    assert_eq!((expected.len(), whole.len()), (messages.len(), 0));
    let (mut buffer, mut framing, mut decoded) = (BytesMut::new(), Framing::default(), Vec::new());
    for byte in bytes {
        buffer.extend_from_slice(&[byte]);
        decoded.extend(msgpack::next_framed(&mut buffer, &mut framing).unwrap());
    }
    assert_eq!(decoded, expected);
}

/// Guards against an open request that holds the memory of all that its client wrote beside it.
#[test]
fn a_request_holds_its_own_memory_alone() {
    let mut buffer = BytesMut::from(&request_with_other_fields(15_000)[..]);
    let Ok(Some(Message::Visit(_, request))) = msgpack::next(&mut buffer) else { panic!("no request") };
    assert_eq!((&request.txn[..], &request.body[..]), (&b"0000000000000001"[..], &b"xyz"[..]));
    let parts = [&request.txn, &request.class, &request.item, &request.body];
    assert!(parts.iter().all(|part| part.is_unique()));
}
