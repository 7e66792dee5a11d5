//! A thread that waits for a socket counts as waiting, whichever system calls the machine has for it.
use cherrypass_faultbed::stop_points::{count_threads, StopCounts};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::io::{Read, Write};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// As the threads wait that read from clients and from hosts.
fn wait_by_epoll(socket: &mut UnixStream) {
    let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC).unwrap();
    epoll.add(&*socket, EpollEvent::new(EpollFlags::EPOLLIN, 0)).unwrap();
    epoll.wait(&mut [EpollEvent::empty()], EpollTimeout::NONE).unwrap();
}

/// As a thread waits for a new connection to come up.
fn wait_by_poll(socket: &mut UnixStream) {
    poll(&mut [PollFd::new(socket.as_fd(), PollFlags::POLLIN)], PollTimeout::NONE).unwrap();
}

/// As the thread waits that reads the fleet's socket.
fn wait_by_read(socket: &mut UnixStream) {
    socket.read_exact(&mut [0]).unwrap();
}

#[test_case("by-epoll", wait_by_epoll; "by epoll")]
#[test_case("by-poll", wait_by_poll; "by poll")]
#[test_case("by-read", wait_by_read; "by a read that blocks")]
fn a_thread_that_waits_for_a_socket_counts_as_waiting(name: &str, wait: fn(&mut UnixStream)) {
    let (mut ours, mut theirs) = UnixStream::pair().unwrap();
    let waiting = thread::Builder::new().name(name.to_owned()).spawn(move || wait(&mut theirs)).unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    // Between its start and its wait the thread counts as outside of it; it stays in the wait until the byte comes.
    let mut counted = false;
    while !counted && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
        counted = counts_as_waiting(name);
    }
    ours.write_all(&[1]).unwrap();
    waiting.join().unwrap();
    assert!(counted, "{name} was never counted as waiting");
}

fn counts_as_waiting(name: &str) -> bool {
    let mut counts = StopCounts::new();
    // Another test's thread may end between the listing and the look at it.
    let _ = count_threads(std::process::id(), &mut counts);
    counts.get(name).is_some_and(|count| count.stops > 0 && count.outside_wait == 0)
}
