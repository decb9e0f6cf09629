//! The cancellations that this process has confirmed to users.
//!
//! A leader that the key-value store refuses asks its peers for those that it can't have read (see
//! [`Election::pledge_to`](super::election::Election::pledge_to)). A process that can't tell them all
//! must not pledge.

use crate::ids::{JobId, Revision};
use std::collections::BTreeSet;

/// Most cancellations that are remembered; as many fit one message between controllers.
pub const MAX_CANCELLATIONS: usize = 4_096;

/// Cancelled jobs by the revision that cancelled them, complete from some revision on.
#[derive(Default)]
pub struct Cancellations {
    /// `told` has every cancellation after this revision that this process, or an earlier one at its
    /// address, has confirmed to a user. None: not known yet.
    known_after: Option<Revision>,
    told: BTreeSet<(Revision, JobId)>,
}

impl Cancellations {
    /// The store is at this revision. Whatever an earlier process here has confirmed isn't newer than
    /// the first revision that this process sees; later calls do nothing.
    pub fn at_revision(&mut self, revision: Revision) {
        self.known_after.get_or_insert(revision);
    }

    /// Whether [`at_revision`](Cancellations::at_revision) was called.
    pub fn is_known(&self) -> bool {
        self.known_after.is_some()
    }

    /// A user is about to be told that the job is cancelled, which it is since that revision.
    pub fn tell(&mut self, id: JobId, revision: Revision) {
        self.told.insert((revision, id));
        while self.told.len() > MAX_CANCELLATIONS {
            if let Some((oldest, _)) = self.told.pop_first() {
                // Before that revision `told` isn't complete any more.
                self.known_after = self.known_after.map(|known_after| known_after.max(oldest));
            }
        }
    }

    /// All that users were told of and that is newer than the revision, oldest first; none if that
    /// isn't known for all revisions after it.
    pub fn since(&self, revision: Revision) -> Option<Vec<JobId>> {
        self.known_after.filter(|known_after| *known_after <= revision)?;
        Some(self.told.iter().filter(|(at, _)| *at > revision).map(|(_, id)| *id).collect())
    }
}
