//! Settings of shared verdicts and their validation.
use cherrypass::time::Span;

/// How much faster one member's clock may run than another's.
pub(super) const MAX_CLOCK_RATIO: f64 = 1.01;
/// Hand-offs beyond this number add nothing to the evidence of a finding.
pub(super) const MAX_EVIDENCE: u32 = 1_000;

/// Settings of shared verdicts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Hold time: findings whose evidence is older, by any member's clock, are not used.
    pub hold_time: Span,
    /// How many dispatchers must report the same, and which fraction of those in the own location.
    pub reporters: u8,
    pub location_fraction: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { hold_time: Span::millis(10_000), reporters: 2, location_fraction: 0.34 }
    }
}

/// Why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    #[error("verdicts.hold_ms is outside 1000 to 60000: less expires too early, more is out of date")]
    MaxAge,
    #[error("verdicts.tellers is outside 1 to 64: give 2, or more where a location has many dispatchers")]
    MinReporters,
    #[error(
        "verdicts.part is outside 0 to 1: give the fraction of the location's dispatchers that have to agree"
    )]
    LocationFraction,
}

impl SettingsError {
    pub fn code(self) -> &'static str {
        match self {
            SettingsError::MaxAge => "verdicts-hold",
            SettingsError::MinReporters => "verdicts-tellers",
            SettingsError::LocationFraction => "verdicts-part",
        }
    }
}

impl Settings {
    /// Validates settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !(Span::millis(1_000)..=Span::millis(60_000)).contains(&self.hold_time) {
            return Err(SettingsError::MaxAge);
        }
        if !(1..=64).contains(&self.reporters) {
            return Err(SettingsError::MinReporters);
        }
        (0.0..=1.0).contains(&self.location_fraction).then_some(()).ok_or(SettingsError::LocationFraction)
    }

    /// Largest age, by the own clock, at which a finding is used: within the hold time by every member's
    /// clock.
    pub fn usable_age(&self) -> Span {
        self.hold_time.times(1.0 / MAX_CLOCK_RATIO)
    }
}
