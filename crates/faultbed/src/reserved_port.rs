//! Reserves a port for a listener that is closed and opened again, so that no other socket takes it meanwhile.
use nix::sys::socket::{
    bind, getsockname, setsockopt, socket, sockopt::ReuseAddr, AddressFamily, SockFlag, SockType, SockaddrIn,
};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, OwnedFd};

/// A port of the loopback address, reserved until this is dropped. It can be listened on with `SO_REUSEADDR`;
/// connects are refused while nobody does.
pub struct ReservedPort {
    pub address: SocketAddr,
    /// Bound, and never listens.
    _socket: OwnedFd,
}

impl ReservedPort {
    pub fn new() -> io::Result<ReservedPort> {
        let socket = socket(AddressFamily::Inet, SockType::Stream, SockFlag::SOCK_CLOEXEC, None)?;
        setsockopt(&socket, ReuseAddr, &true)?;
        bind(socket.as_raw_fd(), &SockaddrIn::new(127, 0, 0, 1, 0))?;
        let address: SockaddrIn = getsockname(socket.as_raw_fd())?;
        let address = SocketAddr::from((address.ip(), address.port()));
        Ok(ReservedPort { address, _socket: socket })
    }
}
