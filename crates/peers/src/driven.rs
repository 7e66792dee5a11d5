//! A member without threads and sockets of its own, for tools that run many of them in one process. The
//! caller delivers received datagrams, calls the timer and sends outgoing datagrams; the rest is shared with
//! [`crate::Peers`].
use crate::event_loop::{Backlog, EventLoop, Input};
use crate::rollout_store::RolloutStore;
use crate::{assemble, Environment, Error, FromFleet, Settings, ToFleet};
use cherrypass::time::{Span, Time};
use crossbeam_channel::Receiver;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// One running member. It has no disk: rollout records count as stored at once and are lost with it.
pub struct DrivenMember {
    run: EventLoop,
    own: Receiver<Input>,
    every: Span,
    next: Time,
}

impl DrivenMember {
    /// `out` sends one datagram, `notify` receives messages to the dispatcher, `log` lines for the operator.
    /// `listen` and `control` of the settings are not used.
    pub fn start(
        settings: Settings,
        out: impl Fn(&[u8], SocketAddr) + Send + 'static,
        notify: impl Fn(FromFleet) + Send + 'static,
        log: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<DrivenMember, Error> {
        settings.check()?;
        let (own, inputs) = crossbeam_channel::unbounded();
        let every = settings.timer_interval;
        let environment = Environment {
            rollout_store: RolloutStore::in_memory(),
            stored_records: Vec::new(),
            log: Arc::new(log),
            notify_dispatcher: Box::new(notify),
            send_datagram: Box::new(out),
            own_inputs: own,
            backlog: Arc::new(Backlog::default()),
        };
        let mut run = assemble(settings, environment)?;
        let next = run.start() + every;
        Ok(DrivenMember { run, own: inputs, every, next })
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        let now = self.run.clock.now();
        self.run.handle_datagram(now, bytes, from);
        self.apply_effects(now);
    }

    /// Handles a message from the dispatcher.
    pub fn handle_dispatcher_message(&mut self, message: ToFleet) {
        let now = self.run.clock.now();
        self.run.handle_dispatcher_message(now, message);
        self.apply_effects(now);
    }

    /// When [`DrivenMember::tick`] has to be called next.
    pub fn next_tick(&self) -> Instant {
        self.run.clock.instant(self.next)
    }

    /// Runs the periodic timer; does nothing before it is due.
    pub fn tick(&mut self) {
        let now = self.run.clock.now();
        if now < self.next {
            return;
        }
        self.run.tick(now);
        self.apply_effects(now);
        self.next = now.max(self.next + self.every);
    }

    /// Leaves the fleet in order.
    pub fn leave(mut self) {
        self.run.leave();
    }

    fn apply_effects(&mut self, now: Time) {
        self.run.apply_effects(now);
        while let Ok(input) = self.own.try_recv() {
            self.run.handle_input(now, input);
            self.run.apply_effects(now);
        }
    }
}
