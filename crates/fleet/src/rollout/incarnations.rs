//! Runs of members: answers of earlier runs are void.
use crate::common::{Incarnation, MemberId};
use cherrypass::ids::LocationId;
use std::collections::BTreeMap;

/// Adds later runs of listed members to `known`.
pub(super) fn merge_incarnations(
    known: &mut BTreeMap<MemberId, Incarnation>,
    listed: &BTreeMap<MemberId, LocationId>,
    more: &BTreeMap<MemberId, Incarnation>,
) {
    for (id, incarnation) in newer_incarnations(known, more) {
        if listed.contains_key(&id) {
            known.insert(id, incarnation);
        }
    }
}

/// The entries of `more` that `known` lacks or has of an earlier run, in one pass over both: in a large fleet
/// nearly all of them are known.
fn newer_incarnations(
    known: &BTreeMap<MemberId, Incarnation>,
    more: &BTreeMap<MemberId, Incarnation>,
) -> Vec<(MemberId, Incarnation)> {
    let mut remaining = known.iter().peekable();
    let is_newer = |(id, incarnation): &(&MemberId, &Incarnation)| {
        while remaining.next_if(|(before, _)| before < id).is_some() {}
        remaining.peek().is_none_or(|(same, run)| same != id || run < incarnation)
    };
    more.iter().filter(is_newer).map(|(id, incarnation)| (*id, *incarnation)).collect()
}
