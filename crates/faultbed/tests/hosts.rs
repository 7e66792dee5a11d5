//! Simulated hosts close their port when they vanish and get the same one when they are back.
use cherrypass_faultbed::hosts::{Host, Hosts};
use cherrypass_faultbed::notation::HostKind;
use cherrypass_faultbed::notes::Notes;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

const RESTARTS: usize = 200;

fn start_host() -> Arc<Host> {
    let work_time = Duration::from_millis(1);
    Host::start(("c1", HostKind::Cache, 1.0), work_time, 1, Notes::default(), Hosts::default()).unwrap()
}

#[test]
fn a_host_restarts_at_its_address() {
    let host = start_host();
    for _ in 0..RESTARTS {
        host.restart().unwrap();
        TcpStream::connect(host.address).unwrap();
    }
}

#[test]
fn a_vanished_host_refuses_connections() {
    let host = start_host();
    for _ in 0..RESTARTS {
        host.shut_down();
        assert!(TcpStream::connect(host.address).is_err());
        host.restart().unwrap();
    }
}

#[test]
fn the_port_of_a_vanished_host_stays_reserved() {
    let host = start_host();
    host.shut_down();
    // Sockets without SO_REUSEADDR, as those of outgoing connections are.
    let socket = nix::sys::socket::socket(
        nix::sys::socket::AddressFamily::Inet,
        nix::sys::socket::SockType::Stream,
        nix::sys::socket::SockFlag::SOCK_CLOEXEC,
        None,
    )
    .unwrap();
    let address = nix::sys::socket::SockaddrIn::new(127, 0, 0, 1, host.address.port());
    let bound = nix::sys::socket::bind(std::os::fd::AsRawFd::as_raw_fd(&socket), &address);
    assert_eq!(bound, Err(nix::errno::Errno::EADDRINUSE));
    host.restart().unwrap();
}
