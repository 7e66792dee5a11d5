//! Connections to hosts: one thread that sees all of them come up and reads them. Guards against a thread for each
//! connection, which many dispatchers on a machine can't have.
use crate::bounds::Room;
use crate::clock;
use crate::ids::LineId;
use crate::letters::{Mailbox, ToHost};
use crate::line::{spawn, Code, Line};
use crate::resp::{self, Begun};
use bytes::BytesMut;
use cherrypass::time::{Span, Time};
use nix::errno::Errno;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const PIECE: usize = 16 * 1024;
const FULL: std::time::Duration = std::time::Duration::from_millis(1);
/// How many connections are served for one look.
const EVENTS: usize = 64;

/// All connections to hosts, by a number of their own.
pub struct Lines {
    epoll: Epoll,
    room: Room,
    limit: Span,
    open: Mutex<(u64, BTreeMap<u64, Open>)>,
}

struct Open {
    host: Mailbox,
    line: LineId,
    state: State,
}

enum State {
    Opening { socket: Socket, since: Time },
    Up { line: Arc<Line>, buffer: BytesMut, wanted: usize },
}

impl Lines {
    pub fn start(room: Room, limit: Span) -> io::Result<Arc<Lines>> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        let lines = Arc::new(Lines { epoll, room, limit, open: Mutex::default() });
        let own = lines.clone();
        spawn("lines", move || own.run())?;
        Ok(lines)
    }

    fn all(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Open>)> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to connect; the host's actor is told how that goes.
    pub fn open(&self, address: SocketAddr, host: &Mailbox, line: LineId) {
        let begin = || -> io::Result<()> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            match socket.connect(&address.into()) {
                Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error),
                _ => {}
            }
            let mut all = self.all();
            all.0 += 1;
            let number = all.0;
            self.epoll.add(&socket, EpollEvent::new(EpollFlags::EPOLLOUT, number))?;
            let state = State::Opening { socket, since: clock::now() };
            all.1.insert(number, Open { host: host.clone(), line, state });
            Ok(())
        };
        if let Err(error) = begin() {
            host.send(ToHost::Closed(line, Code::of_connect(&error), clock::now()));
        }
    }

    /// Ends those that did not come up in time.
    pub fn end_silent(&self, now: Time) {
        let silent =
            |open: &Open| matches!(open.state, State::Opening { since, .. } if since + self.limit <= now);
        self.all().1.retain(|_, open| {
            let ends = silent(open);
            if ends {
                open.host.send(ToHost::Closed(open.line, Code::ConnectSilent, now));
            }
            !ends
        });
    }

    fn run(&self) {
        let mut events = [EpollEvent::empty(); EVENTS];
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
                while self.room.is_full() {
                    std::thread::sleep(FULL);
                    for open in self.all().1.values() {
                        if let State::Up { line, .. } = &open.state {
                            line.left_over(&[], false);
                        }
                    }
                }
                self.serve(event.data());
            }
        }
    }

    fn serve(&self, number: u64) {
        let mut all = self.all();
        let Some(open) = all.1.get_mut(&number) else { return };
        let Err(code) = open.serve(&self.epoll, number, &self.room) else { return };
        let Some(Open { host, line, state }) = all.1.remove(&number) else { return };
        let code = match state {
            State::Opening { .. } => code,
            State::Up { line, .. } => {
                let _ = self.epoll.delete(&*line);
                line.end(code);
                line.code()
            }
        };
        host.send(ToHost::Closed(line, code, clock::now()));
    }
}

impl Open {
    fn serve(&mut self, epoll: &Epoll, number: u64, room: &Room) -> Result<(), Code> {
        match &mut self.state {
            State::Opening { socket, .. } => {
                let up = || -> io::Result<Arc<Line>> {
                    socket.take_error()?.map_or(Ok(()), Err)?;
                    epoll.delete(&*socket)?;
                    let socket = socket.try_clone()?;
                    socket.set_nonblocking(false)?;
                    let line = Arc::new(Line::new(socket.into()));
                    line.set_up(None)?;
                    epoll.add(&*line, EpollEvent::new(EpollFlags::EPOLLIN, number))?;
                    Ok(line)
                };
                let line = up().map_err(|error| Code::of_connect(&error))?;
                self.host.send(ToHost::Up(self.line, line.clone()));
                self.state = State::Up { line, buffer: BytesMut::new(), wanted: PIECE };
                Ok(())
            }
            State::Up { line, buffer, wanted } => {
                let Some(at) = line.read_now(buffer, *wanted)? else { return Ok(()) };
                let mut any = false;
                *wanted = loop {
                    let told = match resp::next(buffer)? {
                        Begun::Answer(answer) => {
                            let held = room.hold(answer.body.len().max(PIECE));
                            ToHost::Answered(self.line, answer, held, at)
                        }
                        Begun::Spoilt => return Err(Code::Spoilt),
                        Begun::Short(more) => {
                            line.left_over(buffer, any);
                            if buffer.is_empty() {
                                *buffer = BytesMut::new();
                            }
                            break more.clamp(PIECE, 4 * PIECE);
                        }
                    };
                    any = true;
                    if !self.host.send(told) {
                        return Err(Code::Stopped);
                    }
                };
                Ok(())
            }
        }
    }
}
