//! Converts the section `fleet` of the operators' file to the settings of the fleet's crates.
use crate::config::Config;
use cherrypass::ids::LocationId;
use cherrypass::time::Span;
use cherrypass_fleet::{limits, members, node, rollout, verdicts};
use cherrypass_operator::fleet::{self as operator, Fleet};
use cherrypass_peers as peers;
use cherrypass_peers::{delivery, ChangeNumber, LogId};

/// Maximum drain time of a limit.
const MAX_DRAIN: Span = Span::millis(600_000);

/// Why the fleet can't be joined.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(
        "the operators' file: fleet.members[{0}].location: '{1}' is not one of the configuration's zones {2:?}"
    )]
    Location(usize, String, Vec<String>),
    #[error(transparent)]
    Peers(#[from] peers::Error),
}

impl Error {
    /// Stable identifier of the error for operators' tools.
    pub fn code(&self) -> &'static str {
        match self {
            Error::Location(..) => "fleet-location",
            Error::Peers(error) => error.code(),
        }
    }
}

/// Converts the section `fleet` of the operators' file to the settings of the fleet's crates.
pub fn fleet_settings(fleet: &Fleet, config: &Config) -> Result<peers::Settings, Error> {
    let zones = &config.names.locations;
    let mut settings = peers::Settings::new(&fleet.name, &fleet.own_name, fleet.listen);
    for (index, member) in fleet.members.iter().enumerate() {
        settings.members.push(member_settings(index, member, zones)?);
    }
    settings.followers = fleet.followers.iter().map(follower_settings).collect();
    settings.locations =
        zones.iter().filter_map(|zone| Some((zone.clone(), location_id(zones, zone)?))).collect();
    (settings.events, settings.control, settings.newest_form) =
        (fleet.events.clone(), fleet.control, fleet.message_version);
    (settings.timer_interval, settings.seed) = (fleet.timer_period, config.seed);
    settings.protocols = protocol_settings(fleet, config.longest_deadline().min(MAX_DRAIN));
    settings.delivery = fleet.delivery.as_ref().map(delivery_settings);
    settings.check()?;
    Ok(settings)
}

fn location_id(zones: &[String], name: &String) -> Option<LocationId> {
    zones.iter().position(|zone| zone == name).map(|index| LocationId(index as u16))
}

fn member_settings(
    index: usize,
    member: &operator::Member,
    zones: &[String],
) -> Result<peers::Member, Error> {
    let operator::Member { name, address, location } = member;
    let id = location_id(zones, location);
    let location = id.ok_or_else(|| Error::Location(index, location.clone(), zones.to_vec()))?;
    Ok(peers::Member { name: name.clone(), address: *address, location })
}

fn follower_settings(follower: &operator::Follower) -> peers::Follower {
    peers::Follower { name: follower.name.clone(), address: follower.address }
}

fn protocol_settings(fleet: &Fleet, drain: Span) -> node::Settings {
    node::Settings {
        members: members::Settings { interval: fleet.probe_interval, ..members::Settings::default() },
        limits: fleet.limits.as_ref().map(|limits| limits::Settings {
            origin: limits.origin,
            retries_per_s: limits.retries_per_s,
            limits_cold_hosts: limits.shares_cold_budgets,
            lease: limits.lease,
            floor_fraction: limits.floor,
            drain,
            ..limits::Settings::default()
        }),
        verdicts: fleet.verdicts.as_ref().map(|verdicts| verdicts::Settings {
            hold_time: verdicts.max_finding_age,
            reporters: verdicts.min_reporters as u8,
            location_fraction: verdicts.min_reporting_fraction,
        }),
        rollout: fleet.rollout.as_ref().map(|rollout| rollout::Settings {
            window: rollout.comparison_window,
            ..rollout::Settings::default()
        }),
        ..node::Settings::default()
    }
}

fn delivery_settings(delivery: &operator::Delivery) -> delivery::Settings {
    delivery::Settings {
        carriers: delivery.carriers.clone(),
        last_change: ChangeNumber::default(),
        protocol: cherrypass_fleet::delivery::Settings {
            log: LogId::of(&delivery.log),
            max_followers: delivery.followers_per_carrier as usize,
            fallback_delay: delivery.fallback_after,
            ..cherrypass_fleet::delivery::Settings::default()
        },
    }
}
