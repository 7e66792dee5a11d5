//! The thread that runs background work as decided by [`Schedule`].
use crate::schedule::{Backlog, Kind, KindId, Next, Schedule, WorkBudget};
use cherrypass::time::{Span, Time};
use crossbeam_channel::{unbounded, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The result of a step: the bytes read and written, and whether work is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub bytes: u64,
    pub has_more: bool,
}

/// The function that runs one step of a kind of work, of about the given number of bytes.
pub type Work = Box<dyn FnMut(usize) -> Step + Send>;

enum Message {
    Request { kind: KindId, is_urgent: bool },
    Stop,
}

/// Tells the background thread that there is work. Cheap, and never blocks.
#[derive(Clone)]
pub struct Requester(Sender<Message>);

impl Requester {
    /// Reports that there is work of this kind.
    pub fn request(&self, kind: KindId) {
        let _ = self.0.send(Message::Request { kind, is_urgent: false });
    }

    /// Reports that there is urgent work of this kind; see [`Schedule::request`].
    pub fn request_urgent(&self, kind: KindId) {
        let _ = self.0.send(Message::Request { kind, is_urgent: true });
    }
}

/// The handle of the background thread; dropping it stops the thread and waits for its end.
pub struct Runner {
    requester: Requester,
    backlogs: Arc<Mutex<Vec<(&'static str, Backlog)>>>,
    thread: Option<JoinHandle<()>>,
}

impl Runner {
    /// Starts the background thread; each kind comes with the function that runs its steps.
    pub fn start(budget: WorkBudget, kinds: Vec<(Kind, Work)>) -> std::io::Result<Runner> {
        let (sender, messages) = unbounded();
        let (kinds, work): (Vec<Kind>, Vec<Work>) = kinds.into_iter().unzip();
        let backlogs = Arc::new(Mutex::new(Vec::new()));
        let published = backlogs.clone();
        let thread = std::thread::Builder::new().name("background".into());
        let thread =
            thread.stack_size(256 << 10).spawn(move || run(budget, kinds, work, &messages, &published))?;
        Ok(Runner { requester: Requester(sender), backlogs, thread: Some(thread) })
    }

    pub fn requester(&self) -> Requester {
        self.requester.clone()
    }

    /// The pending and completed work of each kind, as of the last step.
    pub fn backlogs(&self) -> Vec<(&'static str, Backlog)> {
        self.backlogs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.requester.0.send(Message::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    budget: WorkBudget,
    kinds: Vec<Kind>,
    mut work: Vec<Work>,
    messages: &Receiver<Message>,
    published: &Mutex<Vec<(&'static str, Backlog)>>,
) {
    let started = Instant::now();
    let now = || Time(started.elapsed().as_micros() as u64);
    let mut schedule = Schedule::new(budget, kinds, now());
    let mut wait = Duration::MAX;
    loop {
        let first = if wait.is_zero() {
            None
        } else if wait == Duration::MAX {
            match messages.recv() {
                Ok(message) => Some(message),
                Err(_) => return,
            }
        } else {
            messages.recv_timeout(wait).ok()
        };
        for message in first.into_iter().chain(messages.try_iter()) {
            match message {
                Message::Request { kind, is_urgent } => schedule.request(now(), kind, is_urgent),
                Message::Stop => return,
            }
        }
        wait = match schedule.next(now()) {
            Next::Idle => Duration::MAX,
            Next::Wait(span) => Duration::from_micros(span.0),
            Next::Run(kind, bytes) => {
                let step_started = now();
                let Step { bytes, has_more } = work[kind.0](bytes);
                let step_ended = now();
                let duration = Span((step_ended - step_started).0.max(1));
                schedule.record_step(step_ended, kind, bytes, duration, has_more);
                *published.lock().unwrap_or_else(PoisonError::into_inner) = schedule.backlogs().collect();
                Duration::ZERO
            }
        };
    }
}
