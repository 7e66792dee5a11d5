//! The thread that connects to hosts and reads all of these connections, so that a connection doesn't cost a
//! thread.
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
/// How often the memory for answers is checked while it is exhausted.
const CAPACITY_WAIT: std::time::Duration = std::time::Duration::from_millis(1);
/// How many events one wait returns at most.
const EVENTS_PER_WAIT: usize = 64;

/// All connections to hosts, watched by one epoll instance.
pub struct HostConnections {
    epoll: Epoll,
    capacity: HostCapacity,
    connect_timeout: Span,
    registry: Mutex<Registry>,
}

#[derive(Default)]
struct Registry {
    last_key: u64,
    /// The connections by key.
    connections: BTreeMap<u64, Registered>,
}

struct Registered {
    host: HostMailbox,
    id: ConnectionId,
    state: State,
}

enum State {
    Connecting { socket: Socket, since: Time },
    Up { connection: Arc<Connection>, buffer: BytesMut, read_size: usize },
}

impl HostConnections {
    /// Starts the thread. A connect that takes longer than `connect_timeout` fails.
    pub fn start(capacity: HostCapacity, connect_timeout: Span) -> io::Result<Arc<HostConnections>> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        let connections =
            Arc::new(HostConnections { epoll, capacity, connect_timeout, registry: Mutex::default() });
        let own = connections.clone();
        spawn("lines", move || own.run())?;
        Ok(connections)
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to connect. The host's actor gets `Connected` or `Closed`.
    pub fn open(&self, address: SocketAddr, host: &HostMailbox, id: ConnectionId) {
        let start = || -> io::Result<()> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            match socket.connect(&address.into()) {
                Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error),
                _ => {}
            }
            let mut registry = self.lock();
            registry.last_key += 1;
            let key = registry.last_key;
            self.epoll.add(&socket, EpollEvent::new(EpollFlags::EPOLLOUT, key))?;
            let state = State::Connecting { socket, since: clock::now() };
            registry.connections.insert(key, Registered { host: host.clone(), id, state });
            Ok(())
        };
        if let Err(error) = start() {
            host.send(ToHost::Closed(id, CloseReason::from_connect_error(&error), clock::now()));
        }
    }

    /// Gives up connects that exceed the connect limit.
    pub fn time_out_connects(&self, now: Time) {
        let is_timed_out = |entry: &Registered| matches!(entry.state, State::Connecting { since, .. } if since + self.connect_timeout <= now);
        self.lock().connections.retain(|_, entry| {
            let ends = is_timed_out(entry);
            if ends {
                entry.host.send(ToHost::Closed(entry.id, CloseReason::ConnectTimeout, now));
            }
            !ends
        });
    }

    fn run(&self) {
        let mut events = [EpollEvent::empty(); EVENTS_PER_WAIT];
        loop {
            let event_count = match self.epoll.wait(&mut events, EpollTimeout::NONE) {
                Ok(event_count) => event_count,
                Err(Errno::EINTR) => continue,
                Err(error) => {
                    tracing::error!("epoll failed, connections to hosts are no longer read: {error}");
                    return;
                }
            };
            for event in &events[..event_count] {
                // Stops reading while too many answers wait to be passed on; the time doesn't count as a
                // stalled message.
                while self.capacity.is_full() {
                    std::thread::sleep(CAPACITY_WAIT);
                    for entry in self.lock().connections.values() {
                        if let State::Up { connection, .. } = &entry.state {
                            connection.messages_taken(&[], false);
                        }
                    }
                }
                self.handle_event(event.data());
            }
        }
    }

    fn handle_event(&self, key: u64) {
        let mut registry = self.lock();
        let Some(entry) = registry.connections.get_mut(&key) else { return };
        let Err(reason) = entry.handle_event(&self.epoll, key, &self.capacity) else { return };
        let Some(Registered { host, id, state }) = registry.connections.remove(&key) else { return };
        let reason = match state {
            State::Connecting { .. } => reason,
            State::Up { connection, .. } => {
                let _ = self.epoll.delete(&*connection);
                connection.shut_down(reason);
                connection.close_reason()
            }
        };
        host.send(ToHost::Closed(id, reason, clock::now()));
    }
}

impl Registered {
    fn handle_event(&mut self, epoll: &Epoll, key: u64, capacity: &HostCapacity) -> Result<(), CloseReason> {
        match &mut self.state {
            State::Connecting { socket, .. } => {
                let finish_connect = || -> io::Result<Arc<Connection>> {
                    socket.take_error()?.map_or(Ok(()), Err)?;
                    epoll.delete(&*socket)?;
                    let socket = socket.try_clone()?;
                    socket.set_nonblocking(false)?;
                    let connection = Arc::new(Connection::new(socket.into()));
                    connection.configure(None)?;
                    epoll.add(&*connection, EpollEvent::new(EpollFlags::EPOLLIN, key))?;
                    Ok(connection)
                };
                let connection = finish_connect().map_err(|error| CloseReason::from_connect_error(&error))?;
                self.host.send(ToHost::Connected(self.id, connection.clone()));
                self.state = State::Up { connection, buffer: BytesMut::new(), read_size: READ_BYTES };
                Ok(())
            }
            State::Up { connection, buffer, read_size } => {
                let Some(at) = connection.try_read(buffer, *read_size)? else { return Ok(()) };
                let mut has_taken = false;
                *read_size = loop {
                    let message = match resp::next(buffer)? {
                        Parsed::Answer(answer) => {
                            let reservation = capacity.reserve_answer(answer.body.len().max(READ_BYTES));
                            ToHost::Answer(self.id, answer, reservation, at)
                        }
                        Parsed::Unusable => return Err(CloseReason::UnusableAnswer),
                        Parsed::Incomplete(more) => {
                            connection.messages_taken(buffer, has_taken);
                            if buffer.is_empty() {
                                *buffer = BytesMut::new();
                            }
                            break more.clamp(READ_BYTES, 4 * READ_BYTES);
                        }
                    };
                    has_taken = true;
                    if !self.host.send(message) {
                        return Err(CloseReason::ShuttingDown);
                    }
                };
                Ok(())
            }
        }
    }
}
