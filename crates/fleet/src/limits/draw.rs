//! Draws for whole hand-offs, where a share is less than one.
use super::limit::Draw;
use super::settings::LimitKey;
use super::state::Limits;
use cherrypass::time::Time;
use rand::Rng;

impl Limits {
    /// Where shares are less than one hand-off and all members have demand, none could make any. A member
    /// that had none for two lease spans draws whether to collect a whole one or to lend its share, so that
    /// about as many collect as there are hand-offs in the total.
    pub(super) fn draw_lot(&mut self, now: Time, key: LimitKey) {
        let unit = self.settings.unit(key);
        let (draw, jitter) = (self.rng.gen_range(0.0..1.0), self.rng.gen_range(0.75..1.25));
        let lease = self.settings.lease;
        let Some(limit) = self.limits.get_mut(&key) else { return };
        let share = limit.total * self.share_fraction;
        if share >= unit || limit.total < unit || limit.demand <= 0.0 {
            limit.draw = None;
            limit.satisfied_at = now;
            return;
        }
        let is_enough = limit.available() >= unit;
        if is_enough {
            limit.satisfied_at = now;
        }
        let is_deprived = now >= limit.satisfied_at + lease + lease;
        match limit.draw {
            None if !is_deprived => return,
            Some(Draw { collects, until }) if now < until && !(collects && is_deprived) => return,
            _ => {}
        }
        let probability = 0.9 * limit.total / unit / (1.0 + limit.contention * self.others.len() as f64);
        limit.satisfied_at = now;
        let is_alone = is_enough && limit.borrowers.is_empty();
        limit.draw = (!is_alone)
            .then(|| Draw { collects: draw < probability, until: now + lease.times(6.0 * jitter) });
    }
}
