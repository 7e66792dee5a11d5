//! Settings of the failure detector and their validation.
use cherrypass::time::Span;

/// Settings of the failure detector.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval in which a member probes one other.
    pub interval: Span,
    /// Time between two sends of the same probe.
    pub retry_interval: Span,
    /// Lower and upper bound of the mean response time from which timeouts are computed.
    pub mean_response_bounds: [Span; 2],
    /// The phi of silence at which others are asked to probe, a helper reports silence, a member is
    /// suspected, and a probe is abandoned.
    pub phi_thresholds: [f64; 4],
    /// How many others are asked to probe a silent member.
    pub indirect_probes: usize,
    /// Time to refute a suspicion, in rounds: a base, and an addition for each doubling of the members.
    pub suspicion_rounds: [f64; 2],
    /// How often a claim is sent on, for each doubling of the members.
    pub gossip_factor: u32,
    /// A member that is not alive is probed once in this many rounds.
    pub dead_probe_rounds: u64,
    /// Whole tables are compared with one other member once in this many rounds.
    pub sync_rounds: u64,
    /// A longer gap between two ticks counts as a pause of this process, after which silence is measured
    /// from the start.
    pub max_pause: Span,
    /// How far another member's incarnation may be ahead of this one's clock.
    pub max_incarnation_lead: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Span::millis(250),
            retry_interval: Span::millis(100),
            mean_response_bounds: [Span::millis(20), Span::millis(500)],
            phi_thresholds: [2.0, 4.0, 8.0, 12.0],
            indirect_probes: 3,
            suspicion_rounds: [4.0, 1.5],
            gossip_factor: 4,
            dead_probe_rounds: 4,
            sync_rounds: 40,
            max_pause: Span::millis(500),
            max_incarnation_lead: Span(24 * 3_600_000_000),
        }
    }
}

/// Why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    #[error("the probe interval and the time between two probes must be 10 ms to 60 s")]
    Intervals,
    #[error("the bounds of the mean response time must be in ascending order, above 0 and at most 10 s")]
    ResponseBounds,
    #[error("the four phi thresholds must be in ascending order, above 0 and at most 50")]
    Phi,
    #[error("the time to refute a suspicion must be 1 to 1,000 rounds, and 0 to 1,000 for each doubling")]
    SuspicionRounds,
    #[error(
        "a pause must be at least 100 ms, two ticks of the timer: with less, every tick counts as a pause"
    )]
    Pause,
}

impl SettingsError {
    pub fn code(&self) -> &'static str {
        match self {
            SettingsError::Intervals => "members-times",
            SettingsError::ResponseBounds => "members-gap",
            SettingsError::Phi => "members-phi",
            SettingsError::SuspicionRounds => "members-wait",
            SettingsError::Pause => "members-still",
        }
    }
}

impl Settings {
    /// Validates settings, before `Members::new`.
    pub fn check(&self) -> Result<(), SettingsError> {
        let is_valid_interval = |span: Span| (Span::millis(10)..=Span::millis(60_000)).contains(&span);
        let [base, doubling] = self.suspicion_rounds;
        let [first, .., last] = self.phi_thresholds;
        let rules = [
            (
                is_valid_interval(self.interval) && is_valid_interval(self.retry_interval),
                SettingsError::Intervals,
            ),
            (
                Span::ZERO < self.mean_response_bounds[0]
                    && self.mean_response_bounds[0] <= self.mean_response_bounds[1],
                SettingsError::ResponseBounds,
            ),
            (self.mean_response_bounds[1] <= Span::millis(10_000), SettingsError::ResponseBounds),
            (
                first > 0.0 && last <= 50.0 && self.phi_thresholds.windows(2).all(|two| two[0] < two[1]),
                SettingsError::Phi,
            ),
            ((1.0..=1e3).contains(&base) && (0.0..=1e3).contains(&doubling), SettingsError::SuspicionRounds),
            (self.max_pause >= Span::millis(100), SettingsError::Pause),
        ];
        rules.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, error)| Err(error))
    }
}
