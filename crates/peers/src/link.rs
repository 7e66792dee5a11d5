//! Wire format of messages between members: one datagram per message, with envelope and payload encoded by
//! postcard. Two forms are supported; each member is sent the newest form that it has announced.
use cherrypass::ids::LocationId;
use cherrypass_fleet::common::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};

/// The low byte of a location's index. It is only compared to detect members with different lists of
/// locations; locations that share the low byte are not told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationByte(pub u8);

impl LocationByte {
    pub fn of(location: LocationId) -> LocationByte {
        let [low, _] = location.0.to_le_bytes();
        LocationByte(low)
    }
}

/// The supported message forms.
pub const OLDEST_FORM: u8 = 1;
pub const NEWEST_FORM: u8 = 2;
/// Maximum size in bytes of a fleet's name, of a payload and of a datagram.
pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_PAYLOAD_BYTES: usize = 32 << 10;
pub const MAX_DATAGRAM_BYTES: usize = MAX_PAYLOAD_BYTES + MAX_NAME_BYTES + 64;

const DIGEST_BYTES: usize = 4;

/// Header and payload of a message. Form 1 has neither a location nor a checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The newest form that the sender supports.
    pub newest_form: u8,
    pub fleet: &'a str,
    pub sender: MemberId,
    pub incarnation: Incarnation,
    /// Location of the sender; absent in form 1.
    pub location: Option<LocationByte>,
    pub kind: u8,
    pub payload: &'a [u8],
}

/// Wire encoding of form 1.
#[derive(Serialize, Deserialize)]
struct EnvelopeForm1<'a> {
    form: u8,
    reads: u8,
    #[serde(borrow)]
    fleet: &'a str,
    from: MemberId,
    incarnation: Incarnation,
    kind: u8,
    #[serde(borrow)]
    payload: &'a [u8],
}

/// Wire encoding of form 2. Followed by the CRC-32C of all preceding bytes, four bytes in little-endian
/// order.
#[derive(Serialize, Deserialize)]
struct EnvelopeForm2<'a> {
    form: u8,
    reads: u8,
    #[serde(borrow)]
    fleet: &'a str,
    from: MemberId,
    incarnation: Incarnation,
    location: LocationByte,
    kind: u8,
    #[serde(borrow)]
    payload: &'a [u8],
}

/// Why a datagram was rejected. A rejected datagram changes no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum LinkError {
    #[error("datagram too long; check what else sends to this port")]
    TooLong,
    #[error("an outgoing message exceeds the maximum datagram size and was not sent; report this as a bug")]
    OutgoingTooLong,
    #[error("malformed datagram; check what else sends to this port")]
    Malformed,
    #[error("checksum mismatch; check the network link")]
    ChecksumMismatch,
    #[error("message form {0} is not supported, this build supports {OLDEST_FORM} to {NEWEST_FORM}; upgrade the older build, or set `form` at the sender")]
    UnsupportedForm(u8),
    #[error("message of another fleet; check `name` and `members` at both ends")]
    OtherFleet,
    #[error("sender is not listed; add it to `members` here, or remove this process from its list")]
    UnlistedSender,
    #[error("message of an outdated run of the sender; check for a second process with that name")]
    OutdatedRun,
    #[error("sender's start time is in the future; check its clock")]
    FutureStart,
    #[error("sender uses this process's name; stop the second process or rename it")]
    OwnName,
    #[error("sender reports another location than it is listed with; make the lists match")]
    LocationMismatch,
    #[error("malformed payload; check that both builds are compatible")]
    MalformedPayload,
}

impl LinkError {
    /// A short, stable code for alerts and searches.
    pub fn code(self) -> &'static str {
        match self {
            LinkError::TooLong => "link-too-long",
            LinkError::OutgoingTooLong => "link-own-too-long",
            LinkError::Malformed => "link-nonsense",
            LinkError::ChecksumMismatch => "link-changed",
            LinkError::UnsupportedForm(_) => "link-form",
            LinkError::OtherFleet => "link-fleet",
            LinkError::UnlistedSender => "link-unlisted",
            LinkError::OutdatedRun => "link-void",
            LinkError::FutureStart => "link-future",
            LinkError::OwnName => "link-own-name",
            LinkError::LocationMismatch => "link-location",
            LinkError::MalformedPayload => "link-content",
        }
    }
}

/// Encodes a message in a form. None if it is too long or the form is unknown.
pub fn encode(form: u8, envelope: &Envelope) -> Option<Vec<u8>> {
    let Envelope { newest_form: reads, fleet, sender: from, incarnation, location, kind, payload } =
        *envelope;
    if payload.len() > MAX_PAYLOAD_BYTES || fleet.len() > MAX_NAME_BYTES {
        return None;
    }
    match form {
        1 => {
            postcard::to_stdvec(&EnvelopeForm1 { form, reads, fleet, from, incarnation, kind, payload }).ok()
        }
        2 => {
            let location = location.unwrap_or(LocationByte(0));
            let two = EnvelopeForm2 { form, reads, fleet, from, incarnation, location, kind, payload };
            let mut bytes = postcard::to_stdvec(&two).ok()?;
            bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
            Some(bytes)
        }
        _ => None,
    }
}

/// Decodes a datagram without allocating; the envelope borrows from it.
pub fn decode<'a>(bytes: &'a [u8], fleet: &str) -> Result<Envelope<'a>, LinkError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(LinkError::TooLong);
    }
    let envelope = match bytes.first() {
        None => return Err(LinkError::Malformed),
        Some(1) => {
            let found: EnvelopeForm1 = postcard::from_bytes(bytes).map_err(|_| LinkError::Malformed)?;
            let EnvelopeForm1 { reads, fleet, from, incarnation, kind, payload, .. } = found;
            Envelope { newest_form: reads, fleet, sender: from, incarnation, location: None, kind, payload }
        }
        Some(2) => {
            let (body, digest) = bytes.split_last_chunk::<DIGEST_BYTES>().ok_or(LinkError::Malformed)?;
            let found: EnvelopeForm2 = postcard::from_bytes(body).map_err(|_| LinkError::Malformed)?;
            if *digest != crc32c::crc32c(body).to_le_bytes() {
                return Err(LinkError::ChecksumMismatch);
            }
            let EnvelopeForm2 { reads, fleet, from, incarnation, location, kind, payload, .. } = found;
            Envelope {
                newest_form: reads,
                fleet,
                sender: from,
                incarnation,
                location: Some(location),
                kind,
                payload,
            }
        }
        Some(form) => return Err(LinkError::UnsupportedForm(*form)),
    };
    match () {
        () if envelope.fleet.len() > MAX_NAME_BYTES => Err(LinkError::Malformed),
        () if envelope.fleet != fleet => Err(LinkError::OtherFleet),
        () if envelope.payload.len() > MAX_PAYLOAD_BYTES => Err(LinkError::TooLong),
        () if envelope.newest_form < bytes[0] => Err(LinkError::Malformed),
        () => Ok(envelope),
    }
}

/// The form for a recipient that supports up to `reads`; `own` is the newest form this process may write.
pub fn form_for(own: u8, reads: u8) -> u8 {
    own.min(reads).max(OLDEST_FORM)
}
