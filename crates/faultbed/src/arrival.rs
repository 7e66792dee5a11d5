//! Arrival times of messages on a TCP connection, from the timestamps that the kernel takes when it receives
//! segments. On a busy machine the receiving thread may run much later.
use crate::notes::unix_micros;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, BufReader, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};

/// When the last byte of a message arrived, in Unix microseconds. The two times differ if the message was
/// read together with later ones, since a read returns the timestamp of its last segment alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub earliest: u64,
    pub latest: u64,
}

impl Arrival {
    /// An arrival at a known time.
    pub fn at(time: u64) -> Arrival {
        Arrival { earliest: time, latest: time }
    }
}

/// Enables receive timestamps on a socket; connections accepted by a listener inherit them.
pub fn enable_timestamps(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, ReceiveTimestampns, &true)?)
}

/// The receiving side of a connection with receive timestamps enabled.
pub struct TimestampedStream {
    stream: TcpStream,
    /// All bytes of the last read arrived between these times.
    arrival: Arrival,
    /// Whether the last read took all bytes that had arrived.
    is_drained: bool,
}

impl TimestampedStream {
    pub fn new(stream: TcpStream) -> TimestampedStream {
        TimestampedStream { stream, arrival: Arrival::at(0), is_drained: true }
    }
}

impl Read for TimestampedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let (length, received_at) = receive(&self.stream, buffer)?;
        if self.is_drained {
            self.arrival.earliest = self.arrival.latest;
        }
        self.arrival.latest = received_at.unwrap_or_else(unix_micros);
        self.is_drained = length < buffer.len();
        Ok(length)
    }
}

/// Receives bytes, and the kernel's timestamp of the last segment among them if it took one.
fn receive(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<(usize, Option<u64>)> {
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(buffer)];
    let received = recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(&mut control), MsgFlags::empty())?;
    let timestamp = received.cmsgs()?.find_map(|message| match message {
        ControlMessageOwned::ScmTimestampns(time) => Some(time),
        _ => None,
    });
    let received_at = timestamp.map(|time| time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000);
    Ok((received.bytes, received_at))
}

/// When the message arrived that was just taken from a reader.
pub fn last_arrival(reader: &BufReader<TimestampedStream>) -> Arrival {
    let stream = reader.get_ref();
    // Nothing was received after the message, so the timestamp is its own.
    if stream.is_drained && reader.buffer().is_empty() {
        return Arrival::at(stream.arrival.latest);
    }
    stream.arrival
}
