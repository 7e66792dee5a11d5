//! Free ports for processes.
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};

/// Ports below the ephemeral range.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Finds a free port, each at most once per run and outside the ephemeral range, so that concurrent plays do
/// not take the port before the process listens on it.
pub fn free_port(udp: bool) -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Concurrent runs start at different offsets.
    let begin = std::process::id().wrapping_mul(7_919);
    for _ in 0..count {
        let index = begin.wrapping_add(NEXT.fetch_add(1, SeqCst)) % count;
        let address = SocketAddr::from(([127, 0, 0, 1], PORT_RANGE.start + index as u16));
        let free = if udp { UdpSocket::bind(address).is_ok() } else { TcpListener::bind(address).is_ok() };
        if free {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
