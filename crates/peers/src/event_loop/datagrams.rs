//! Receives and sends datagrams, and rejects invalid ones.
use super::messages::{decode_message, encode_message, kind};
use super::{Backlog, EventLoop, Input, Role};
use crate::link::{self, Envelope, LinkError, LocationByte};
use crate::rejection_log::Source;
use cherrypass::time::Time;
use cherrypass_fleet::common::{Incarnation, MemberId};
use cherrypass_fleet::delivery::DeliveryMessage;
use cherrypass_fleet::node::{Message, Rejection};
use crossbeam_channel::Sender;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;

/// Maximum total size of datagrams waiting for the event loop; further ones are dropped.
const MAX_WAITING_DATAGRAM_BYTES: usize = 4 << 20;

/// Receives datagrams until the event loop has ended. Empty datagrams only wake the thread.
pub fn receive_datagrams(socket: &UdpSocket, inputs: &Sender<Input>, backlog: &Backlog) {
    let mut bytes = vec![0; link::MAX_DATAGRAM_BYTES + 1];
    while !backlog.has_ended.load(Relaxed) {
        match socket.recv_from(&mut bytes) {
            Ok((0, _)) => {}
            Ok((length, from)) => {
                if backlog.datagram_bytes.fetch_add(length, Relaxed) > MAX_WAITING_DATAGRAM_BYTES {
                    backlog.datagram_bytes.fetch_sub(length, Relaxed);
                } else if inputs.send(Input::Datagram(bytes[..length].to_vec(), from)).is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            // Avoids a busy loop while the socket only returns errors.
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(10)),
        }
    }
}

impl EventLoop {
    fn reject(&mut self, now: Time, why: LinkError, sender: Source) {
        let Some(count) = self.rejections.count_rejection(now, why, sender) else { return };
        let from = match sender {
            Source::Listed(id) => self.member_name(id),
            Source::Address(address) => address.to_string(),
            Source::Others => "several senders".to_owned(),
        };
        (self.log)(&format!("fleet: {count} datagrams from {from} rejected ({}): {why}", why.code()));
    }

    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8], at: SocketAddr) {
        let by_address = Source::Address(at.ip());
        let envelope = match link::decode(bytes, &self.fleet) {
            Ok(envelope) => envelope,
            Err(why) => return self.reject(now, why, by_address),
        };
        let from = envelope.sender;
        if from == self.me && envelope.incarnation == self.incarnation {
            // An own message that was sent back.
            return;
        }
        if envelope.kind == kind::DELIVERY {
            return self.handle_delivery_datagram(now, &envelope, at);
        }
        let listed = self.peers.get(&from).map(|peer| peer.location);
        let Some(listed) = listed.or((from == self.me).then_some(self.location)) else {
            return self.reject(now, LinkError::UnlistedSender, by_address);
        };
        let who = Source::Listed(from);
        if self.starts_in_future(now, envelope.incarnation) {
            return self.reject(now, LinkError::FutureStart, who);
        }
        let message = match decode_message(envelope.kind, envelope.payload) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(why) => return self.reject(now, why, who),
        };
        if envelope.location.is_some_and(|location| location != LocationByte::of(listed)) {
            self.reject(now, LinkError::LocationMismatch, who);
        }
        self.handle_message(now, &envelope, message);
    }

    /// Whether a sender's start is too far ahead of this process's clock.
    fn starts_in_future(&self, now: Time, incarnation: Incarnation) -> bool {
        incarnation.0 > self.clock.unix(now).saturating_add(self.max_incarnation_lead.0)
    }

    /// Passes a decoded message to the protocols of this process's role.
    fn handle_message(&mut self, now: Time, envelope: &Envelope, message: Message) {
        let (from, incarnation) = (envelope.sender, envelope.incarnation);
        let result = match (&mut self.role, message) {
            (Role::Member(fleet), message) => fleet.receive(now, from, incarnation, message),
            (Role::Follower(follower), Message::Feed(message)) => {
                follower.receive(now, from, message);
                Ok(())
            }
            (Role::Follower(_) | Role::Unlisted, _) => Err(Rejection::ComponentOff),
        };
        let who = Source::Listed(from);
        match result {
            _ if from == self.me => self.reject(now, LinkError::OwnName, who),
            Err(Rejection::InvalidRun) => self.reject(now, LinkError::OutdatedRun, who),
            Err(Rejection::UnlistedSender) => self.reject(now, LinkError::UnlistedSender, who),
            Ok(()) | Err(Rejection::ComponentOff) => {
                if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.incarnation <= incarnation) {
                    (peer.incarnation, peer.newest_form) = (incarnation, envelope.newest_form);
                }
            }
        }
    }

    /// Handles a delivery message. Its sender may be unlisted; it is then answered at its source address.
    fn handle_delivery_datagram(&mut self, now: Time, envelope: &Envelope, at: SocketAddr) {
        let (from, incarnation) = (envelope.sender, envelope.incarnation);
        if self.delivery.is_none() {
            return;
        }
        if from == self.me {
            return self.reject(now, LinkError::OwnName, Source::Address(at.ip()));
        }
        if self.starts_in_future(now, incarnation) {
            return self.reject(now, LinkError::FutureStart, Source::Address(at.ip()));
        }
        let Ok(message) = postcard::from_bytes::<DeliveryMessage>(envelope.payload) else {
            return self.reject(now, LinkError::MalformedPayload, Source::Address(at.ip()));
        };
        let Some(delivery) = &mut self.delivery else { return };
        match self.peers.get_mut(&from) {
            Some(peer) if peer.incarnation <= incarnation => {
                (peer.incarnation, peer.newest_form) = (incarnation, envelope.newest_form);
            }
            Some(_) => {}
            None if delivery.admits_guest(now, from, at, envelope.newest_form) => {}
            None => return self.reject(now, LinkError::UnlistedSender, Source::Address(at.ip())),
        }
        delivery.handle_message(now, from, incarnation, message);
    }

    pub(super) fn send(&mut self, now: Time, to: MemberId, message: &Message) {
        if let Some((kind, payload)) = encode_message(message) {
            self.send_payload(now, to, kind, &payload);
        }
    }

    pub(super) fn send_payload(&mut self, now: Time, to: MemberId, kind: u8, payload: &[u8]) {
        let guest = || self.delivery.as_ref().and_then(|delivery| delivery.guest(to));
        let Some(peer) = self.peers.get(&to).or_else(guest) else { return };
        let envelope = Envelope {
            newest_form: self.form,
            fleet: &self.fleet,
            sender: self.me,
            incarnation: self.incarnation,
            location: Some(LocationByte::of(self.location)),
            kind,
            payload,
        };
        match link::encode(link::form_for(self.form, peer.newest_form), &envelope) {
            // Losses are tolerated: the protocols repeat their messages.
            Some(bytes) => (self.send_datagram)(&bytes, peer.address),
            None => self.reject(now, LinkError::OutgoingTooLong, Source::Listed(self.me)),
        }
    }
}
