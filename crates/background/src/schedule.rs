//! Decides which kind of background work runs next, and how many bytes its step may process. Each kind has a
//! weighted share of the budget in bytes and in CPU time; tokens that a kind leaves unused go to a pool that
//! any kind may draw from. Kinds run in order of priority, but one that has waited longer than its limit goes
//! first, the longest wait before others.
use crate::token_bucket::{Rate, TokenBucket};
use cherrypass::time::{Span, Time};

/// The index of a kind of work in the list given to [`Schedule::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub usize);

/// A kind of background work.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub name: &'static str,
    /// Lower values run first.
    pub priority: u8,
    /// Its weight in dividing the total budget.
    pub weight: f64,
    /// After this long without a step it precedes all kinds that have waited less, whatever its priority.
    pub max_wait: Span,
}

/// The budget of all kinds together, and the limits of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkBudget {
    pub bytes_per_second: f64,
    /// The share of one CPU core.
    pub core_share: f64,
    /// The longest that a step should take, estimated from the measured throughput.
    pub max_step_time: Span,
    pub max_step_bytes: usize,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Run a step of this kind, of about this many bytes.
    Run(KindId, usize),
    /// Ask again after this span.
    Wait(Span),
    /// Nothing to do until work is requested.
    Idle,
}

/// The pending and completed work of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Since when there has been unfinished work.
    pub pending_since: Option<Time>,
    pub steps: u64,
    pub bytes: u64,
    pub time_spent: Span,
}

impl Backlog {
    /// For how long there has been unfinished work.
    pub fn age(&self, now: Time) -> Span {
        self.pending_since.map_or(Span::ZERO, |since| now - since)
    }
}

struct KindState {
    kind: Kind,
    bytes: TokenBucket,
    time: TokenBucket,
    backlog: Backlog,
    /// Since when it has been waiting for its next step.
    waiting_since: Time,
    is_urgent: bool,
    /// The measured throughput of its steps.
    bytes_per_second: f64,
}

/// The burst size of each token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.25;
/// Smaller steps are not worth starting.
const MIN_STEP_BYTES: f64 = 4096.0;
/// A low estimate, so that the first step is short even on a slow disk.
const INITIAL_BYTES_PER_SECOND: f64 = 1e6;
const THROUGHPUT_SMOOTHING: f64 = 0.3;

/// Chooses the next step among kinds of background work.
pub struct Schedule {
    budget: WorkBudget,
    kinds: Vec<KindState>,
    /// Tokens that kinds left unused, available to any kind.
    unused_bytes: TokenBucket,
    unused_seconds: TokenBucket,
}

impl Schedule {
    pub fn new(budget: WorkBudget, kinds: Vec<Kind>, now: Time) -> Schedule {
        let total_weight: f64 = kinds.iter().map(|kind| kind.weight).sum();
        let rate = |per_second: f64| Rate { per_second, burst: per_second * BURST_SECONDS };
        let states = kinds.into_iter().map(|kind| {
            let share = kind.weight / total_weight.max(1e-9);
            KindState {
                bytes: TokenBucket::new(rate(budget.bytes_per_second * share), now),
                time: TokenBucket::new(rate(budget.core_share * share), now),
                kind,
                backlog: Backlog::default(),
                waiting_since: now,
                is_urgent: false,
                bytes_per_second: INITIAL_BYTES_PER_SECOND,
            }
        });
        // These buckets are filled only by the overflow of the others.
        let empty_bucket = |per_second: f64| {
            let mut bucket =
                TokenBucket::new(Rate { per_second: 0.0, burst: per_second * BURST_SECONDS }, now);
            bucket.spend(per_second * BURST_SECONDS);
            bucket
        };
        let unused_bytes = empty_bucket(budget.bytes_per_second);
        let unused_seconds = empty_bucket(budget.core_share);
        Schedule { budget, kinds: states.collect(), unused_bytes, unused_seconds }
    }

    /// Reports that there is work of this kind; urgent work precedes all but kinds that have exceeded
    /// their maximum wait.
    pub fn request(&mut self, now: Time, kind: KindId, is_urgent: bool) {
        let Some(state) = self.kinds.get_mut(kind.0) else { return };
        if state.backlog.pending_since.is_none() {
            state.backlog.pending_since = Some(now);
            state.waiting_since = now;
        }
        state.is_urgent |= is_urgent;
    }

    /// Accounts for a finished step; `has_more` says whether work is left.
    pub fn record_step(&mut self, now: Time, kind: KindId, bytes: u64, duration: Span, has_more: bool) {
        self.refill(now);
        let Some(state) = self.kinds.get_mut(kind.0) else { return };
        state.backlog.steps += 1;
        state.backlog.bytes += bytes;
        state.backlog.time_spent = state.backlog.time_spent + duration;
        state.waiting_since = now;
        if duration > Span::ZERO && bytes > 0 {
            // A lower throughput is adopted at once, a higher one gradually.
            let measured = bytes as f64 / duration.as_seconds();
            state.bytes_per_second = measured
                .min(state.bytes_per_second + THROUGHPUT_SMOOTHING * (measured - state.bytes_per_second));
        }
        if !has_more {
            state.backlog.pending_since = None;
            state.is_urgent = false;
        }
        spend(&mut state.bytes, &mut self.unused_bytes, bytes as f64);
        spend(&mut state.time, &mut self.unused_seconds, duration.as_seconds());
    }

    /// Decides what to do next.
    pub fn next(&mut self, now: Time) -> Next {
        self.refill(now);
        let mut waiting: Vec<usize> =
            (0..self.kinds.len()).filter(|k| self.kinds[*k].backlog.pending_since.is_some()).collect();
        if waiting.is_empty() {
            return Next::Idle;
        }
        waiting.sort_by_key(|index| self.sort_key(now, *index));
        let mut wait = Span(u64::MAX);
        for index in waiting {
            let state = &self.kinds[index];
            let min_bytes = MIN_STEP_BYTES.min(state.bytes.rate().burst);
            let (bytes, time) = (state.bytes.level().max(0.0), state.time.level().max(0.0));
            let (bytes, time) =
                (bytes + self.unused_bytes.level().max(0.0), time + self.unused_seconds.level().max(0.0));
            let has_own_tokens = state.bytes.level() >= 0.0 && state.time.level() >= 0.0;
            if has_own_tokens && bytes >= min_bytes && time > 0.0 {
                let by_throughput = state.bytes_per_second * self.budget.max_step_time.as_seconds().min(time);
                let max_bytes = bytes.min(by_throughput).min(self.budget.max_step_bytes as f64);
                return Next::Run(KindId(index), max_bytes.max(MIN_STEP_BYTES.min(bytes)) as usize);
            }
            wait = wait.min(state.bytes.time_until(min_bytes).max(state.time.time_until(1e-4)));
        }
        Next::Wait(wait.max(Span::millis(1)))
    }

    /// Kinds that have exceeded their maximum wait come first, the longest wait first; then urgent kinds;
    /// then by priority.
    fn sort_key(&self, now: Time, index: usize) -> (u8, u8, Time) {
        let state = &self.kinds[index];
        let is_starved = now - state.waiting_since > state.kind.max_wait;
        match (state.is_urgent, is_starved) {
            (true, false) => (1, 0, state.waiting_since),
            (_, true) => (0, 0, state.waiting_since),
            _ => (2, state.kind.priority, state.waiting_since),
        }
    }

    fn refill(&mut self, now: Time) {
        for state in &mut self.kinds {
            self.unused_bytes.add(state.bytes.refill(now));
            self.unused_seconds.add(state.time.refill(now));
        }
    }

    /// The name and the backlog of each kind.
    pub fn backlogs(&self) -> impl Iterator<Item = (&'static str, Backlog)> + '_ {
        self.kinds.iter().map(|state| (state.kind.name, state.backlog))
    }
}

/// Spends the kind's own tokens, then those of the pool; the kind alone bears any overrun.
fn spend(own: &mut TokenBucket, pool: &mut TokenBucket, amount: f64) {
    let from_own = amount.min(own.level().max(0.0));
    let borrowed = (amount - from_own).min(pool.level().max(0.0));
    pool.spend(borrowed);
    own.spend(amount - borrowed);
}
