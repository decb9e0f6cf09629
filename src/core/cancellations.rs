//! The cancellations that this process has confirmed to users.
//!
//! A leader whose requests the key-value store refuses asks its peers for the cancellations that it cannot have
//! read (see [`Election::pledge_to`](super::election::Election::pledge_to)). A process that does not know all
//! cancellations that its controller confirmed must not pledge to such a leader that it won't stand for election.

use crate::ids::{JobId, Revision};
use std::collections::BTreeSet;

/// Maximum number of cancellations kept. This many fit in one message between controllers.
pub const MAX_CANCELLATIONS: usize = 4_096;

/// The cancellations that were confirmed to users, ordered by the store revision that cancelled the job. The
/// cancellations up to a certain revision may be missing: see `complete_after`.
#[derive(Default)]
pub struct ConfirmedCancellations {
    /// `confirmed` holds every cancellation after this revision that this process, or an earlier one at the same
    /// address, has confirmed to a user. `None` until the store's revision has been read.
    complete_after: Option<Revision>,
    /// Cancelled jobs and the revision that cancelled them.
    confirmed: BTreeSet<(Revision, JobId)>,
}

impl ConfirmedCancellations {
    /// Sets the store revision that this process read first after it started. Any cancellation that an earlier
    /// process at the same address confirmed has this revision or a lower one. Only the first call has an effect.
    pub fn set_first_revision(&mut self, revision: Revision) {
        self.complete_after.get_or_insert(revision);
    }

    /// Whether [`Self::set_first_revision`] was called: this process has read the store's revision since it started.
    pub fn is_first_revision_known(&self) -> bool {
        self.complete_after.is_some()
    }

    /// Records that a job was cancelled at a revision. To be called before the cancellation is confirmed to a user.
    pub fn record(&mut self, id: JobId, revision: Revision) {
        self.confirmed.insert((revision, id));
        while self.confirmed.len() > MAX_CANCELLATIONS {
            if let Some((oldest, _)) = self.confirmed.pop_first() {
                // A cancellation of revision `oldest` was dropped to stay within the limit, so `confirmed` lists
                // all cancellations only for the revisions after `oldest`.
                self.complete_after = self.complete_after.map(|complete_after| complete_after.max(oldest));
            }
        }
    }

    /// The jobs of all cancellations after `revision` that were confirmed to users, oldest first. Returns `None` if
    /// some of these cancellations may be missing here.
    pub fn since(&self, revision: Revision) -> Option<Vec<JobId>> {
        self.complete_after.filter(|complete_after| *complete_after <= revision)?;
        Some(self.confirmed.iter().filter(|(at, _)| *at > revision).map(|(_, id)| *id).collect())
    }
}
