//! Clients: the listener, and for each connection a thread that reads and one that writes.
use crate::bounds::{Gauge, Held};
use crate::clock;
use crate::ids::ClientId;
use crate::line::{spawn, Code, Line};
use crate::mailbox;
use crate::msgpack::{self, Asked, Message, Parts};
use crate::router::Input;
use crate::spent::Spent;
use bytes::BytesMut;
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// What is read at once, which an open visit may keep.
pub const PIECE: usize = 8 * 1024;

/// What clients tell the router; a visit with the time of its last byte.
pub enum FromClient {
    Opened { mailbox: Sender<ToClient>, line: Arc<Line> },
    Visit { id: u32, asked: Box<Asked>, at: Time },
    Bad { id: u32, field: &'static str },
    Status { id: u32 },
    Withdrawn { ids: Vec<u32> },
    Closed,
}

pub struct ToClient {
    pub parts: Parts,
    /// When the host's answer came that this passes on.
    pub answered: Option<Time>,
    /// The host's answer that this passes on takes room until it is written.
    pub held: Option<Held>,
    /// So does any answer at its client and in all until it is written.
    pub unread: Option<[Held; 3]>,
}

impl ToClient {
    /// What it counts for while it is not read; a body may keep the whole buffer that it was read into.
    pub fn weight(&self) -> usize {
        let held = if self.held.is_some() { PIECE } else { 0 };
        self.parts.iter().map(|part| part.len()).sum::<usize>().max(held)
    }
}

/// Takes connections in until the process ends; more than the bound are closed at once.
pub fn listen(listener: TcpListener, most: usize, patience: Span, spent: Arc<Spent>, router: Sender<Input>) {
    let open = Gauge::default();
    let mut failing = false;
    for number in 0.. {
        let (stream, from) = match listener.accept() {
            Ok(found) => found,
            // Guards against a loop that burns the core while no descriptor is to be had.
            Err(error) => {
                if !failing {
                    log::warn!("accept fails: {error}");
                }
                failing = true;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
        };
        failing = false;
        let line = Arc::new(Line::new(stream));
        let id = ClientId(number);
        let turn_away = |code: Code| {
            line.end(code);
            log::info!("client {number} {from} closed: {}", line.code().word());
        };
        let place = open.hold(1);
        if open.amount() > most {
            turn_away(Code::TooManyClients);
            continue;
        }
        let (router, own, spent) = (router.clone(), line.clone(), spent.clone());
        let run = move || {
            let visits = read(id, &own, patience, spent, &router);
            drop(place);
            log::info!("client {number} {from} closed: {} after {visits} visits", own.code().word());
        };
        if spawn("client", run).is_err() {
            turn_away(Code::NoThread);
        }
    }
}

/// Reads a connection to its end; returns how many visits it brought.
fn read(id: ClientId, line: &Arc<Line>, patience: Span, spent: Arc<Spent>, router: &Sender<Input>) -> u64 {
    let (mailbox, answers) = unbounded();
    let writes = line.clone();
    let tell = |what| router.send(Input::Client(id, what)).map_err(|_| Code::Stopped);
    let _ = tell(FromClient::Opened { mailbox, line: line.clone() });
    let writer = spawn("answers", move || write(&writes, answers, &spent));
    let mut visits = 0;
    let end = match &writer {
        Ok(_) => take_all(line, patience, &mut visits, tell),
        Err(_) => Err(Code::NoThread),
    };
    line.end(end.err().unwrap_or(Code::ClosedByPeer));
    let _ = tell(FromClient::Closed);
    if let Ok(writer) = writer {
        let _ = writer.join();
    }
    visits
}

fn take_all(
    line: &Line,
    patience: Span,
    visits: &mut u64,
    tell: impl Fn(FromClient) -> Result<(), Code>,
) -> Result<(), Code> {
    line.set_up(Some(clock::duration(patience))).map_err(|_| Code::Reset)?;
    let mut buffer = BytesMut::new();
    let mut last = 0;
    let mut begun = clock::now();
    loop {
        let fresh = buffer.is_empty();
        line.read(&mut buffer, PIECE)?;
        let at = clock::now();
        let before = buffer.len();
        while let Some(message) = msgpack::next(&mut buffer)? {
            if let Message::Visit(id, _) | Message::Bad(id, _) | Message::Status(id) = &message {
                // Guards against an answer that could be taken for another message's.
                if *id <= last {
                    return Err(Code::IdNotUp);
                }
                last = *id;
            }
            match message {
                Message::Visit(id, asked) => {
                    *visits += 1;
                    tell(FromClient::Visit { id, asked, at })?;
                }
                Message::Bad(id, field) => tell(FromClient::Bad { id, field })?,
                Message::Status(id) => tell(FromClient::Status { id })?,
                Message::Withdraw(ids) => tell(FromClient::Withdrawn { ids })?,
                Message::Unknown => {}
            }
        }
        if fresh || buffer.len() < before {
            begun = at;
        } else if at - begun > patience {
            return Err(Code::HalfMessage);
        }
    }
}

fn write(line: &Line, answers: Receiver<ToClient>, spent: &Spent) {
    while let Some(answer) = mailbox::next(&answers) {
        let [head, body, tail] = &answer.parts;
        if let Err(error) = line.write(&[head, body, tail]) {
            use std::io::ErrorKind::{TimedOut, WouldBlock};
            let slow = matches!(error.kind(), WouldBlock | TimedOut);
            line.end(if slow { Code::SlowReader } else { Code::WriteFailed });
            return;
        }
        if let Some(answered) = answer.answered {
            spent.outward.push(clock::now() - answered);
        }
    }
}
