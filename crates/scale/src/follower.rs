//! Change log client of a simulated dispatcher. Uses the dispatcher's own decoder
//! (`cherrypass_dispatcher::changes`) on a non-blocking connection that shares its thread with others. Polls
//! and retries at the dispatcher's intervals, without its handling of slow or stalled connections.
use crate::changelog::Shared;
use crate::traffic::{Direction, PeerKind, TrafficCounters, CHANGE_LOG_KIND};
use cherrypass_dispatcher::change_log::{decode, read_answer, ChangeLogError};
use cherrypass_dispatcher::config::WireNames;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Same values as in the dispatcher: the poll's timeout, first and longest retry delay, and an answer that
/// comes sooner than `MIN_POLL_INTERVAL` is followed by a delay.
const POLL_TIMEOUT_MS: u64 = 250;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
const MAX_CHANGE_BYTES: usize = 1 << 20;

enum PollState {
    /// Sends the next request at that time.
    Idle(Instant),
    Pending,
}

/// One client of the change log.
pub struct Follower {
    address: SocketAddr,
    names: WireNames,
    shared: Arc<Shared>,
    counters: Arc<TrafficCounters>,
    connection: Option<TcpStream>,
    state: PollState,
    requested_at: Instant,
    retry_delay: Duration,
    last_change: u64,
    received: Vec<u8>,
    rng: Pcg64Mcg,
}

impl Follower {
    /// `last_change` is the number of the last change known from the configuration.
    pub fn new(
        address: SocketAddr,
        names: WireNames,
        last_change: u64,
        shared: Arc<Shared>,
        counters: Arc<TrafficCounters>,
        seed: u64,
    ) -> Follower {
        let now = Instant::now();
        Follower {
            address,
            names,
            shared,
            counters,
            connection: None,
            state: PollState::Idle(now),
            requested_at: now,
            retry_delay: FIRST_RETRY_DELAY,
            last_change,
            received: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The current connection.
    pub fn connection(&self) -> Option<&TcpStream> {
        self.connection.as_ref()
    }

    /// When to send the next request; `None` while an answer is pending.
    pub fn due(&self) -> Option<Instant> {
        match self.state {
            PollState::Idle(until) => Some(until),
            PollState::Pending => None,
        }
    }

    /// Sends a request if one is due; returns whether it opened a new connection.
    pub fn send_if_due(&mut self) -> bool {
        if self.due().is_none_or(|due| Instant::now() < due) {
            return false;
        }
        let is_new = self.connection.is_none();
        self.requested_at = Instant::now();
        if self.send_request().is_err() {
            self.disconnect();
            return false;
        }
        self.state = PollState::Pending;
        is_new
    }

    fn send_request(&mut self) -> std::io::Result<()> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let connection = TcpStream::connect_timeout(&self.address, MAX_RETRY_DELAY)?;
                connection.set_nonblocking(true)?;
                connection.set_nodelay(true)?;
                connection
            }
        };
        let (since, address) = (self.last_change, self.address);
        let request = format!(
            "GET /changes?since={since}&timeout={POLL_TIMEOUT_MS} HTTP/1.1\r\nHost: {address}\r\n\
             Accept: application/json\r\n\r\n"
        );
        (&connection).write_all(request.as_bytes())?;
        self.counters.count(PeerKind::Simulated, Direction::Out, CHANGE_LOG_KIND, request.len());
        self.connection = Some(connection);
        Ok(())
    }

    fn disconnect(&mut self) {
        self.connection = None;
        self.received.clear();
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        self.schedule_retry();
    }

    fn schedule_retry(&mut self) {
        let fraction = self.rng.gen_range(0.5..1.0);
        self.state = PollState::Idle(Instant::now() + self.retry_delay.mul_f64(fraction));
    }

    /// Handles a readable connection.
    pub fn receive(&mut self) {
        let mut bytes = [0; 16 << 10];
        loop {
            let Some(connection) = self.connection.as_mut() else { return };
            match connection.read(&mut bytes) {
                Ok(0) => return self.disconnect(),
                Ok(length) => self.received.extend_from_slice(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.disconnect(),
            }
        }
        if !self.received.is_empty() {
            self.handle_answer();
        }
    }

    fn handle_answer(&mut self) {
        let mut results: Vec<Value> = Vec::new();
        let collect = &mut |result: &Value| {
            results.push(result.clone());
            Ok(())
        };
        match read_answer(&self.received[..], self.last_change, MAX_CHANGE_BYTES, collect) {
            // The answer is still incomplete.
            Err(ChangeLogError::Interrupted(_)) => return,
            Err(_) => return self.disconnect(),
            Ok(_) => {}
        }
        self.counters.count(PeerKind::Simulated, Direction::In, CHANGE_LOG_KIND, self.received.len());
        self.received.clear();
        let previous = self.last_change;
        let (_, fault) = decode(&json!({ "results": results }), &self.names, &mut self.last_change, None);
        (previous + 1..=self.last_change).for_each(|number| self.shared.propagation.record_received(number));
        if fault.is_some() {
            return self.disconnect();
        }
        self.retry_delay = FIRST_RETRY_DELAY;
        match self.requested_at.elapsed() < MIN_POLL_INTERVAL {
            true => self.schedule_retry(),
            false => self.state = PollState::Idle(Instant::now()),
        }
    }
}
