//! Checks requests of clients against the protocol and the configuration.
use super::state::Client;
use crate::config::Config;
use crate::connection::CloseReason;
use crate::ids::ClientId;
use crate::msgpack::VisitRequest;
use cherrypass::ids::ClassId;
use cherrypass::settings::{ClassSettings, Effect};
use cherrypass::time::Span;

/// Visits that a client may have open on one connection.
pub(super) const MAX_OPEN_VISITS_PER_CLIENT: usize = 32;
/// How far a request's time limit may exceed its class's deadline, for latency and rounding.
const TIME_LIMIT_MARGIN: Span = Span::millis(50);

/// Why the client violates the protocol with a request, if it does. `txn_owner` is the client with an open
/// visit of the same transaction id.
pub(super) fn protocol_violation(
    client: &Client,
    id: ClientId,
    txn_owner: Option<ClientId>,
) -> Option<CloseReason> {
    match txn_owner {
        _ if client.open_visits.len() >= MAX_OPEN_VISITS_PER_CLIENT => Some(CloseReason::TooManyOpen),
        Some(owner) if owner == id => Some(CloseReason::IdInUse),
        _ => None,
    }
}

/// Returns the class of a request, or else the field that is invalid.
pub(super) fn class_of(
    request: &VisitRequest,
    config: &Config,
    is_txn_in_use: bool,
) -> Result<ClassId, &'static str> {
    let names = &config.names.classes;
    let index = names.iter().position(|name| name.as_bytes() == &request.class[..]);
    let class = index.and_then(|index| Some((index, config.settings.classes.get(index)?)));
    let Some((index, class)) = class else { return Err("method") };
    match invalid_field(request, class, config.class_deadlines[index], is_txn_in_use) {
        Some(field) => Err(field),
        None => Ok(ClassId(index as u16)),
    }
}

fn invalid_field(
    request: &VisitRequest,
    class: &ClassSettings,
    class_deadline: Span,
    is_txn_in_use: bool,
) -> Option<&'static str> {
    if is_txn_in_use {
        // A second visit with the same id could get the first one's answers, or run beside it.
        Some("txn")
    } else if request.time_limit > class_deadline + TIME_LIMIT_MARGIN {
        Some("limit")
    } else if matches!(class.effect, Effect::Deduplicated { .. }) && request.dedup_key.is_none() {
        Some("unique")
    } else if !class.is_write && !request.body.is_empty() {
        Some("body")
    } else {
        None
    }
}
