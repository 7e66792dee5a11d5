//! Worker threads that each drive many simulated dispatchers and their change log followers.
use crate::error::{io_error, Error};
use crate::follower::Follower;
use crate::simulated::{Shared, SimulatedDispatcher};
use cherrypass_peers::link;
use crossbeam_channel::{Receiver, Sender};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Prefix of the thread names, used to find their processor time.
pub const THREAD_PREFIX: &str = "hollow";
/// Most events handled per `epoll` call.
const MAX_EVENTS: usize = 512;
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Event tokens from here on belong to followers, those below to members.
const FIRST_FOLLOWER_TOKEN: u64 = 1 << 32;

/// A synthetic finding: index of the member in its worker, and the host.
pub type SyntheticFinding = (usize, u64);

/// A thread of the pool.
pub struct Worker {
    pub findings: Sender<SyntheticFinding>,
    pub member_count: usize,
    thread: JoinHandle<()>,
}

impl Worker {
    pub fn start(
        number: usize,
        members: Vec<SimulatedDispatcher>,
        followers: Vec<Follower>,
        shared: Arc<Shared>,
    ) -> Result<Worker, Error> {
        let epoll = Epoll::new(EpollCreateFlags::empty())
            .map_err(|error| io_error("an epoll instance")(error.into()))?;
        for (index, member) in members.iter().enumerate() {
            let event = EpollEvent::new(EpollFlags::EPOLLIN, index as u64);
            epoll.add(member.socket(), event).map_err(|error| io_error("an epoll instance")(error.into()))?;
        }
        let (sender, findings) = crossbeam_channel::unbounded();
        let member_count = members.len();
        let state = WorkerState { epoll, members, followers, shared, findings, timers: BinaryHeap::new() };
        let builder = std::thread::Builder::new().name(format!("{THREAD_PREFIX}-{number}"));
        let thread = builder.spawn(move || state.run()).map_err(io_error("a worker thread"))?;
        Ok(Worker { findings: sender, member_count, thread })
    }

    /// Waits for the thread, which ends once `Shared::is_stopping` is set.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

struct WorkerState {
    epoll: Epoll,
    members: Vec<SimulatedDispatcher>,
    followers: Vec<Follower>,
    shared: Arc<Shared>,
    findings: Receiver<SyntheticFinding>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl WorkerState {
    fn run(mut self) {
        let mut bytes = vec![0; link::MAX_DATAGRAM_BYTES + 1];
        let mut events = vec![EpollEvent::empty(); MAX_EVENTS];
        for index in 0..self.members.len() {
            self.timers.push(Reverse((self.members[index].due(), index as u64)));
        }
        for index in 0..self.followers.len() {
            self.schedule_follower(FIRST_FOLLOWER_TOKEN + index as u64);
        }
        while !self.shared.is_stopping.load(Relaxed) {
            self.run_due_timers();
            while let Ok((member, host)) = self.findings.try_recv() {
                if let Some(member) = self.members.get_mut(member) {
                    member.report_finding(host);
                }
            }
            let next = self.timers.peek().map_or(MAX_WAIT, |Reverse((at, _))| {
                at.saturating_duration_since(Instant::now()).min(MAX_WAIT)
            });
            // `epoll` takes whole milliseconds; rounding up avoids busy-looping.
            let wait = Duration::from_millis(next.as_micros().div_ceil(1000) as u64);
            let wait = EpollTimeout::try_from(wait).unwrap_or(EpollTimeout::ZERO);
            let ready = self.epoll.wait(&mut events, wait).unwrap_or(0);
            for event in &events[..ready] {
                self.handle_readable(event.data(), &mut bytes);
            }
        }
    }

    fn handle_readable(&mut self, token: u64, bytes: &mut [u8]) {
        if token < FIRST_FOLLOWER_TOKEN {
            self.members[token as usize].receive(bytes);
            return;
        }
        let follower = &mut self.followers[(token - FIRST_FOLLOWER_TOKEN) as usize];
        follower.receive();
        self.schedule_follower(token);
    }

    fn schedule_follower(&mut self, token: u64) {
        if let Some(due) = self.followers[(token - FIRST_FOLLOWER_TOKEN) as usize].due() {
            self.timers.push(Reverse((due, token)));
        }
    }

    /// Runs all timers that are due now. Timers that become due again meanwhile wait until sockets have been
    /// served, so that a late thread doesn't starve them.
    fn run_due_timers(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            if token < FIRST_FOLLOWER_TOKEN {
                let member = &mut self.members[token as usize];
                member.run_timers();
                self.timers.push(Reverse((member.due(), token)));
                continue;
            }
            if self.followers[(token - FIRST_FOLLOWER_TOKEN) as usize].send_if_due() {
                let _ = self.register_connection(token);
            }
            self.schedule_follower(token);
        }
    }

    fn register_connection(&self, token: u64) -> io::Result<()> {
        let Some(connection) = self.followers[(token - FIRST_FOLLOWER_TOKEN) as usize].connection() else {
            return Ok(());
        };
        Ok(self.epoll.add(connection, EpollEvent::new(EpollFlags::EPOLLIN, token))?)
    }
}
