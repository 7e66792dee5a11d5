//! Documents of versions: requests to other members, and those no longer needed.
use super::messages::RolloutMessage;
use super::state::{Change, PendingChange, Rollout};
use super::step::Step;
use super::version::{Version, VersionId};
use crate::common::MemberId;
use cherrypass::time::Time;

/// Bound on requested documents, and on documents held before unused ones are dropped.
const MAX_DOCUMENTS: usize = 8;

impl Rollout {
    /// The versions that a step names and whose documents are not held here.
    pub(super) fn missing_documents(&self, step: &Step) -> Vec<VersionId> {
        let is_missing = |id: &VersionId| id.number > 0 && !self.documents.contains_key(id);
        [step.version, step.base].into_iter().filter(is_missing).collect()
    }

    /// Requests the first missing document of a step. False if none is missing.
    pub(super) fn request_missing_document(&mut self, from: MemberId, step: &Step) -> bool {
        let Some(id) = self.missing_documents(step).first().copied() else { return false };
        self.request_document(from, id);
        true
    }

    pub(super) fn request_document(&mut self, from: MemberId, id: VersionId) {
        if self.requested_documents.len() >= MAX_DOCUMENTS {
            self.requested_documents.clear();
        }
        self.requested_documents.insert(id);
        self.send(from, RolloutMessage::RequestDocument(id));
    }

    pub(super) fn handle_document_request(&mut self, from: MemberId, id: VersionId) {
        if let Some(version) = self.documents.get(&id) {
            let message = RolloutMessage::Document(version.clone());
            self.send(from, message);
        }
    }

    pub(super) fn handle_document(&mut self, now: Time, version: Version) {
        let id = version.id();
        if !self.requested_documents.contains(&id)
            || version.check(&self.listed).is_err()
            || self.documents.contains_key(&id)
        {
            return;
        }
        self.requested_documents.remove(&id);
        if self.documents.len() >= MAX_DOCUMENTS {
            self.prune_documents();
        }
        self.documents.insert(id, version);
        self.unsaved_documents.push(id);
        self.apply_chosen_step(now);
    }

    /// Drops documents that are no longer named.
    pub(super) fn prune_documents(&mut self) {
        let state = &self.state;
        let mut named = vec![state.chosen.version, state.chosen.base, state.in_force];
        named.extend(state.accepted.iter().flat_map(|(_, step)| [step.version, step.base]));
        named.extend(self.attempt.iter().flat_map(|attempt| attempt.named_versions()));
        if let Some(PendingChange { change: Change::Start(id), .. }) = &self.pending_change {
            named.push(*id);
        }
        self.documents.retain(|id, _| named.contains(id));
        self.unsaved_documents.retain(|id| named.contains(id));
    }
}
