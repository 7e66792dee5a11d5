//! A hollow dispatcher's reading of the change log: the dispatcher's own decoding (`cherrypass_dispatcher::changes`) on
//! a connection that shares its thread with others. When it asks again is as there; what connections do that come up
//! late, stop or drip is left out.
use crate::changelog::Shared;
use crate::traffic::{Tally, Way, With, CHANGE_LOG};
use cherrypass_dispatcher::change_log::{decode, read_answer, ChangeLogError};
use cherrypass_dispatcher::config::WireNames;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// As in the dispatcher: the wait asked for, the first and the longest wait before it asks again, and the least
/// time between two asks without one.
const POLL_MS: u64 = 250;
const WAIT_FIRST: Duration = Duration::from_millis(50);
const WAIT_MOST: Duration = Duration::from_millis(500);
const AT_ONCE: Duration = Duration::from_millis(2);
/// A change's bytes, at most.
const CHANGE_MOST: usize = 1 << 20;

enum State {
    /// Asks again at that time.
    Rests(Instant),
    Asked,
}

/// One follower of the change log.
pub struct Follower {
    at: SocketAddr,
    names: WireNames,
    shared: Arc<Shared>,
    tally: Arc<Tally>,
    line: Option<TcpStream>,
    state: State,
    asked: Instant,
    wait: Duration,
    last: u64,
    read: Vec<u8>,
    chance: Pcg64Mcg,
}

impl Follower {
    /// `last`: the last change that is known from the configuration.
    pub fn new(
        at: SocketAddr,
        names: WireNames,
        last: u64,
        shared: Arc<Shared>,
        tally: Arc<Tally>,
        seed: u64,
    ) -> Follower {
        let now = Instant::now();
        Follower {
            at,
            names,
            shared,
            tally,
            line: None,
            state: State::Rests(now),
            asked: now,
            wait: WAIT_FIRST,
            last,
            read: Vec::new(),
            chance: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The connection, if it is new since the last look.
    pub fn line(&self) -> Option<&TcpStream> {
        self.line.as_ref()
    }

    /// When it asks again; none while it waits for an answer.
    pub fn due(&self) -> Option<Instant> {
        match self.state {
            State::Rests(until) => Some(until),
            State::Asked => None,
        }
    }

    /// Asks where that is due; whether there is a new connection.
    pub fn woken(&mut self) -> bool {
        if self.due().is_none_or(|due| Instant::now() < due) {
            return false;
        }
        let is_new = self.line.is_none();
        self.asked = Instant::now();
        if self.ask().is_err() {
            self.failed();
            return false;
        }
        self.state = State::Asked;
        is_new
    }

    fn ask(&mut self) -> std::io::Result<()> {
        let line = match self.line.take() {
            Some(line) => line,
            None => {
                let line = TcpStream::connect_timeout(&self.at, WAIT_MOST)?;
                line.set_nonblocking(true)?;
                line.set_nodelay(true)?;
                line
            }
        };
        let (since, at) = (self.last, self.at);
        let request = format!(
            "GET /changes?since={since}&timeout={POLL_MS} HTTP/1.1\r\nHost: {at}\r\n\
             Accept: application/json\r\n\r\n"
        );
        (&line).write_all(request.as_bytes())?;
        self.tally.count(With::Hollow, Way::Out, CHANGE_LOG, request.len());
        self.line = Some(line);
        Ok(())
    }

    fn failed(&mut self) {
        self.line = None;
        self.read.clear();
        self.wait = (self.wait * 2).min(WAIT_MOST);
        self.rest();
    }

    fn rest(&mut self) {
        let part = self.chance.gen_range(0.5..1.0);
        self.state = State::Rests(Instant::now() + self.wait.mul_f64(part));
    }

    /// The connection has something.
    pub fn came(&mut self) {
        let mut bytes = [0; 16 << 10];
        loop {
            let Some(line) = self.line.as_mut() else { return };
            match line.read(&mut bytes) {
                Ok(0) => return self.failed(),
                Ok(length) => self.read.extend_from_slice(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.failed(),
            }
        }
        if !self.read.is_empty() {
            self.take();
        }
    }

    fn take(&mut self) {
        let mut results: Vec<Value> = Vec::new();
        let each = &mut |result: &Value| {
            results.push(result.clone());
            Ok(())
        };
        match read_answer(&self.read[..], self.last, CHANGE_MOST, each) {
            // It is not here whole yet.
            Err(ChangeLogError::Interrupted(_)) => return,
            Err(_) => return self.failed(),
            Ok(_) => {}
        }
        self.tally.count(With::Hollow, Way::In, CHANGE_LOG, self.read.len());
        self.read.clear();
        let before = self.last;
        let (_, fault) = decode(&json!({ "results": results }), &self.names, &mut self.last, None);
        (before + 1..=self.last).for_each(|number| self.shared.told.came(number));
        if fault.is_some() {
            return self.failed();
        }
        self.wait = WAIT_FIRST;
        match self.asked.elapsed() < AT_ONCE {
            true => self.rest(),
            false => self.state = State::Rests(Instant::now()),
        }
    }
}
