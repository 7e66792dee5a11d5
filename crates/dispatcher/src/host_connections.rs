//! Connections to hosts: one thread that sees all of them come up and reads them. Guards against a thread for each
//! connection, which many dispatchers on a machine can't have.
use crate::capacity::HostCapacity;
use crate::clock;
use crate::connection::{spawn, CloseReason, Connection};
use crate::host_messages::{HostMailbox, ToHost};
use crate::ids::ConnectionId;
use crate::resp::{self, Parsed};
use bytes::BytesMut;
use cherrypass::time::{Span, Time};
use nix::errno::Errno;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const READ_BYTES: usize = 16 * 1024;
const CAPACITY_WAIT: std::time::Duration = std::time::Duration::from_millis(1);
/// How many connections are served for one look.
const EVENTS_PER_WAIT: usize = 64;

/// All connections to hosts, by a number of their own.
pub struct HostConnections {
    epoll: Epoll,
    capacity: HostCapacity,
    connect_limit: Span,
    registered: Mutex<(u64, BTreeMap<u64, Registered>)>,
}

struct Registered {
    host: HostMailbox,
    line: ConnectionId,
    state: State,
}

enum State {
    Connecting { socket: Socket, since: Time },
    Up { line: Arc<Connection>, buffer: BytesMut, wanted: usize },
}

impl HostConnections {
    pub fn start(room: HostCapacity, limit: Span) -> io::Result<Arc<HostConnections>> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        let lines = Arc::new(HostConnections {
            epoll,
            capacity: room,
            connect_limit: limit,
            registered: Mutex::default(),
        });
        let own = lines.clone();
        spawn("lines", move || own.run())?;
        Ok(lines)
    }

    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Registered>)> {
        self.registered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to connect; the host's actor is told how that goes.
    pub fn open(&self, address: SocketAddr, host: &HostMailbox, line: ConnectionId) {
        let begin = || -> io::Result<()> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            match socket.connect(&address.into()) {
                Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error),
                _ => {}
            }
            let mut all = self.lock();
            all.0 += 1;
            let number = all.0;
            self.epoll.add(&socket, EpollEvent::new(EpollFlags::EPOLLOUT, number))?;
            let state = State::Connecting { socket, since: clock::now() };
            all.1.insert(number, Registered { host: host.clone(), line, state });
            Ok(())
        };
        if let Err(error) = begin() {
            host.send(ToHost::Closed(line, CloseReason::from_connect_error(&error), clock::now()));
        }
    }

    /// Ends those that did not come up in time.
    pub fn time_out_connects(&self, now: Time) {
        let silent = |open: &Registered| matches!(open.state, State::Connecting { since, .. } if since + self.connect_limit <= now);
        self.lock().1.retain(|_, open| {
            let ends = silent(open);
            if ends {
                open.host.send(ToHost::Closed(open.line, CloseReason::ConnectTimeout, now));
            }
            !ends
        });
    }

    fn run(&self) {
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        loop {
            let found = match self.epoll.wait(&mut events, EpollTimeout::NONE) {
                Ok(found) => found,
                Err(Errno::EINTR) => continue,
                Err(error) => {
                    tracing::error!("hosts are not read any more: {error}");
                    return;
                }
            };
            for event in &events[..found] {
                // Guards against answers that come faster than they can be passed on.
                while self.capacity.is_full() {
                    std::thread::sleep(CAPACITY_WAIT);
                    for open in self.lock().1.values() {
                        if let State::Up { line, .. } = &open.state {
                            line.messages_taken(&[], false);
                        }
                    }
                }
                self.handle_event(event.data());
            }
        }
    }

    fn handle_event(&self, number: u64) {
        let mut all = self.lock();
        let Some(open) = all.1.get_mut(&number) else { return };
        let Err(code) = open.handle_event(&self.epoll, number, &self.capacity) else { return };
        let Some(Registered { host, line, state }) = all.1.remove(&number) else { return };
        let code = match state {
            State::Connecting { .. } => code,
            State::Up { line, .. } => {
                let _ = self.epoll.delete(&*line);
                line.shut_down(code);
                line.close_reason()
            }
        };
        host.send(ToHost::Closed(line, code, clock::now()));
    }
}

impl Registered {
    fn handle_event(&mut self, epoll: &Epoll, number: u64, room: &HostCapacity) -> Result<(), CloseReason> {
        match &mut self.state {
            State::Connecting { socket, .. } => {
                let up = || -> io::Result<Arc<Connection>> {
                    socket.take_error()?.map_or(Ok(()), Err)?;
                    epoll.delete(&*socket)?;
                    let socket = socket.try_clone()?;
                    socket.set_nonblocking(false)?;
                    let line = Arc::new(Connection::new(socket.into()));
                    line.configure(None)?;
                    epoll.add(&*line, EpollEvent::new(EpollFlags::EPOLLIN, number))?;
                    Ok(line)
                };
                let line = up().map_err(|error| CloseReason::from_connect_error(&error))?;
                self.host.send(ToHost::Connected(self.line, line.clone()));
                self.state = State::Up { line, buffer: BytesMut::new(), wanted: READ_BYTES };
                Ok(())
            }
            State::Up { line, buffer, wanted } => {
                let Some(at) = line.try_read(buffer, *wanted)? else { return Ok(()) };
                let mut any = false;
                *wanted = loop {
                    let told = match resp::next(buffer)? {
                        Parsed::Answer(answer) => {
                            let held = room.reserve_answer(answer.body.len().max(READ_BYTES));
                            ToHost::Answer(self.line, answer, held, at)
                        }
                        Parsed::Unusable => return Err(CloseReason::UnusableAnswer),
                        Parsed::Incomplete(more) => {
                            line.messages_taken(buffer, any);
                            if buffer.is_empty() {
                                *buffer = BytesMut::new();
                            }
                            break more.clamp(READ_BYTES, 4 * READ_BYTES);
                        }
                    };
                    any = true;
                    if !self.host.send(told) {
                        return Err(CloseReason::ShuttingDown);
                    }
                };
                Ok(())
            }
        }
    }
}
