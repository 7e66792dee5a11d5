//! Names and texts in the event log, the status and the operator's log.
use cherrypass::ids::HostId;
use cherrypass_fleet::limits::LimitKey;
use cherrypass_fleet::members::MemberState;
use cherrypass_fleet::rollout::Phase;
use cherrypass_fleet::verdicts::FindingKind;

pub fn key_name(key: LimitKey) -> String {
    match key {
        LimitKey::Origin => "origin".to_owned(),
        LimitKey::Retries => "further".to_owned(),
        LimitKey::ColdHost(host) => format!("cold:{}", host_name(host)),
    }
}

pub fn host_name(host: HostId) -> String {
    format!("{:x}", host.0)
}

pub fn unreachable_text(state: MemberState) -> &'static str {
    if state == MemberState::Left {
        "has left"
    } else {
        "does not answer any member; check its process and its network"
    }
}

/// The text of a kind in the event log.
pub fn kind_text(kind: FindingKind) -> &'static str {
    match kind {
        FindingKind::Failing => "shutout",
        FindingKind::Slow => "slow",
        FindingKind::Unreachable => "cutoff",
        FindingKind::Restarted => "juststarted",
    }
}

/// The text of a member's state in the event log and the status.
pub fn member_state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "unheard",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// The text of a rollout's phase in the event log and the status.
pub fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Full => "full",
        Phase::Rolling => "rolling",
        Phase::Halted => "halted",
        Phase::Back => "back",
    }
}
