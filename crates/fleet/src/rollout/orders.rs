//! Orders of the operator.
use super::calls::Order;
use super::state::{Change, PendingChange, Rollout};
use super::step::Phase;
use super::version::OrderError;
use cherrypass::time::Time;

impl Rollout {
    /// Handles an operator's order. It completes once the members it needs have answered: see `status`.
    pub fn order(&mut self, now: Time, order: Order) -> Result<(), OrderError> {
        if order == Order::Halt {
            return self.order_halt(now);
        }
        let change = self.change_of_order(order)?;
        self.attempt = None;
        self.pending_change = Some(PendingChange { change, since: now, is_order: true });
        self.flush(now);
        Ok(())
    }

    fn order_halt(&mut self, now: Time) -> Result<(), OrderError> {
        if self.rolling_step().is_none() {
            return Err(OrderError::NothingUnderWay);
        }
        self.halt(now, "ordered".to_owned());
        self.flush(now);
        Ok(())
    }

    /// The change that an order asks for; keeps the document of a new version.
    fn change_of_order(&mut self, order: Order) -> Result<Change, OrderError> {
        let step = self.latest();
        let number = step.version.number;
        if let Order::Start(version) = &order {
            version.check(&self.listed)?;
            if version.number <= number {
                return Err(OrderError::Older { given: version.number, last: number });
            }
        }
        match order {
            Order::Start(_) if !matches!(step.phase, Phase::Full | Phase::Back) => {
                Err(OrderError::VersionUnderWay(number))
            }
            Order::Resume if step.phase != Phase::Halted => Err(OrderError::NotHalted(number)),
            Order::Back if number == 0 || step.phase == Phase::Back => Err(OrderError::NoWayBack),
            _ if !self.is_store_ok => Err(OrderError::StoreUnavailable),
            _ if self.catch_up_answers.is_some() => Err(OrderError::NotCaughtUp),
            Order::Start(version) => {
                let id = version.id();
                self.documents.insert(id, version);
                self.unsaved_documents.push(id);
                Ok(Change::Start(id))
            }
            Order::Resume => Ok(Change::Resume(number)),
            Order::Back | Order::Halt => Ok(Change::RollBack(number)),
        }
    }
}
