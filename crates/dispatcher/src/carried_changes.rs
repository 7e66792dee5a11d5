//! Change log entries delivered by carriers of the fleet instead of by polling (docs/fleet-delivery.md):
//! their encoding, and the source of changes for the thread that follows the log.
use crate::change_decoding::{ChangeDecoder, ChangeLogError};
use crate::change_log::CHECK_INTERVAL;
use crate::change_log_lease::ChangeLogLease;
use crate::clock;
use crate::config::WireNames;
use crate::inbox::{Change, Input};
use cherrypass::time::Span;
use cherrypass_peers::delivery::{DeliveryEvent, LogChange, LogRead};
use cherrypass_peers::{ChangeNumber, FromFleet, ToFleet};
use crossbeam_channel::{Receiver, Sender, TryRecvError};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::time::Instant;

/// The encoding of a change. Purges, the bulk of all changes, have a short form; everything else, known to
/// this build or not, is forwarded as JSON.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum CarriedChange<'a> {
    /// A purge of an object, with its time in Unix milliseconds.
    Object(u64, u64),
    /// A purge of a group, with its time in Unix milliseconds.
    Bucket(u32, u64),
    #[serde(borrow)]
    Json(&'a [u8]),
}

/// The short form of a change, if it is a purge with nothing but a time and either a group or an object of 16
/// hex digits.
fn short_form(change: &Value) -> Option<CarriedChange<'static>> {
    let fields = change.as_object()?;
    let purge = fields.get("invalidate")?.as_object()?;
    let is_plain = fields.len() == 2 && fields.contains_key("seq") && purge.len() == 2;
    let time = purge.get("time")?.as_u64().filter(|_| is_plain)?;
    if let Some(bucket) = purge.get("bucket") {
        return Some(CarriedChange::Bucket(bucket.as_u64()?.try_into().ok()?, time));
    }
    let hex = purge.get("object")?.as_str().filter(|hex| hex.len() == 16)?;
    u64::from_str_radix(hex, 16).ok().map(|object| CarriedChange::Object(object, time))
}

/// Encodes a change as read from the log.
pub fn encode(change: &Value) -> Vec<u8> {
    let text = change.to_string();
    let carried = short_form(change).unwrap_or(CarriedChange::Json(text.as_bytes()));
    postcard::to_stdvec(&carried).unwrap_or_default()
}

/// Decodes a change to the JSON of the log, with its number; None if it is malformed.
pub fn decode(record: &[u8], number: u64) -> Option<Value> {
    let mut change = match postcard::from_bytes(record).ok()? {
        CarriedChange::Object(object, time) => {
            json!({ "invalidate": { "object": format!("{object:016x}"), "time": time } })
        }
        CarriedChange::Bucket(bucket, time) => json!({ "invalidate": { "bucket": bucket, "time": time } }),
        CarriedChange::Json(text) => serde_json::from_slice(text).ok()?,
    };
    change.as_object_mut()?.insert("seq".into(), number.into());
    Some(change)
}

/// Minimum interval between polls of a dispatcher that has lost its carriers. Without it, thousands that lose
/// all carriers at once would poll the log after each change.
const FALLBACK_POLL_INTERVAL: Span = Span::millis(200);

/// The channels between the thread that follows the change log and the fleet.
pub struct Delivery {
    pub from_fleet: Receiver<DeliveryEvent>,
    pub to_fleet: Box<dyn Fn(ToFleet) + Send>,
    /// Whether this dispatcher is a carrier, which always reads the log and forwards its changes.
    pub is_carrier: bool,
}

/// The source of changes: polls, a carrier, or both while one takes over from the other.
pub(crate) struct Source {
    delivery: Option<Delivery>,
    reads_log: bool,
    /// Changes of the current answer, to be forwarded.
    unsent: Vec<LogChange>,
    lease: ChangeLogLease,
}

impl Source {
    pub(crate) fn new(delivery: Option<Delivery>, lease: ChangeLogLease) -> Source {
        let reads_log = delivery.as_ref().is_none_or(|delivery| delivery.is_carrier);
        Source { delivery, reads_log, unsent: Vec::new(), lease }
    }

    /// Applies changes delivered by carriers; returns when the log is to be polled.
    pub(crate) fn apply_delivered(
        &mut self,
        names: &WireNames,
        last: &mut u64,
        router: &Sender<Input>,
    ) -> Result<(), ChangeLogError> {
        while let Some(delivered) = self.next() {
            match delivered {
                DeliveryEvent::ReadLogDirectly(reads) => self.reads_log = reads || self.is_carrier(),
                DeliveryEvent::CompleteUpTo(at) => {
                    let complete = Input::Fleet(FromFleet::Delivery(DeliveryEvent::CompleteUpTo(at)));
                    router.send(complete).map_err(|_| ChangeLogError::RouterStopped)?;
                }
                DeliveryEvent::Changes { first, records } => {
                    for (number, record) in (first.0..).zip(records) {
                        if let Some(change) = decode_delivered(&record, number, names, last)? {
                            self.lease.change_sent();
                            router.send(Input::Change(change)).map_err(|_| ChangeLogError::RouterStopped)?;
                        }
                    }
                }
            }
        }
        Ok(())
    }

    fn is_carrier(&self) -> bool {
        self.delivery.as_ref().is_some_and(|delivery| delivery.is_carrier)
    }

    /// How long to wait before the next poll; None to poll at once.
    pub(crate) fn poll_delay(&self, since_last_poll: Span) -> Option<Span> {
        let lacks_carrier = self.delivery.is_some() && !self.is_carrier() && self.reads_log;
        (lacks_carrier && since_last_poll < FALLBACK_POLL_INTERVAL)
            .then(|| Span(FALLBACK_POLL_INTERVAL.0 - since_last_poll.0))
    }

    /// The next delivery; waits for it while the log is not to be read.
    fn next(&mut self) -> Option<DeliveryEvent> {
        let from_fleet = &self.delivery.as_ref()?.from_fleet;
        let received = match self.reads_log {
            true => from_fleet.try_recv(),
            false => self.wait_for_delivery(from_fleet),
        };
        if received == Err(TryRecvError::Disconnected) {
            // The fleet's thread has ended.
            self.delivery = None;
            self.reads_log = true;
        }
        received.ok()
    }

    /// Waits for a delivery, and renews the lease as long as there is none.
    fn wait_for_delivery(&self, from_fleet: &Receiver<DeliveryEvent>) -> Result<DeliveryEvent, TryRecvError> {
        loop {
            let now = clock::now();
            match from_fleet.try_recv() {
                Err(TryRecvError::Empty) => self.lease.renew(now),
                received => return received,
            }
            let mut select = crossbeam_channel::Select::new();
            select.recv(from_fleet);
            let _ = select.ready_timeout(clock::to_std(CHECK_INTERVAL));
        }
    }

    /// Queues a change read from the log for forwarding if this is a carrier.
    pub(crate) fn change_read(&mut self, number: u64, change: &Value) {
        if self.is_carrier() {
            self.unsent.push(LogChange { number: ChangeNumber(number), record: encode(change).into() });
        }
    }

    /// Forwards the changes of an answer that has ended, complete or not. `requested_at` is when a complete
    /// one was requested.
    pub(crate) fn answer_ended(&mut self, last: u64, requested_at: Option<Instant>) {
        let changes = std::mem::take(&mut self.unsent);
        if let Some(delivery) = &self.delivery {
            let read = LogRead { changes, last_change: ChangeNumber(last), requested_at };
            (delivery.to_fleet)(ToFleet::LogRead(read));
        }
    }
}

/// Decodes a change delivered by a carrier. Invalid parts are skipped so that they don't block later changes.
fn decode_delivered(
    record: &[u8],
    number: u64,
    names: &WireNames,
    last: &mut u64,
) -> Result<Option<Change>, ChangeLogError> {
    let Some(change) = decode(record, number) else {
        tracing::warn!(
            change = number,
            "change {number} delivered by a carrier cannot be decoded and is ignored"
        );
        *last = number.max(*last);
        return Ok(None);
    };
    match ChangeDecoder::new(names, last, None).decode(&change) {
        Err(ChangeLogError::InvalidChange(number, _)) => {
            ChangeDecoder::new(names, last, Some(number)).decode(&change)
        }
        decoded => decoded,
    }
}
