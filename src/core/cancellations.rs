//! The cancellations that this process has told users. A leader that the state service refuses
//! asks for those it can't have read; a process that can't tell gives no answer at all.

use crate::ids::{JobId, Revision};
use std::collections::BTreeSet;

/// More than can be told in one message between controllers, and than are remembered.
pub const MAX_CANCELLATIONS: usize = 4_096;

#[derive(Default)]
pub struct Cancellations {
    /// Everything newer than this that this process, or an earlier one at its address, has told a
    /// user is in `told`. None: not known yet.
    known_after: Option<Revision>,
    told: BTreeSet<(Revision, JobId)>,
}

impl Cancellations {
    /// The state service is at this revision. Whatever an earlier process here has told anybody
    /// isn't newer than the first revision that this one sees.
    pub fn at_revision(&mut self, revision: Revision) {
        self.known_after.get_or_insert(revision);
    }

    pub fn is_known(&self) -> bool {
        self.known_after.is_some()
    }

    /// A user is about to be told that the job is cancelled, which it is since that revision.
    pub fn tell(&mut self, id: JobId, revision: Revision) {
        self.told.insert((revision, id));
        while self.told.len() > MAX_CANCELLATIONS {
            // What is forgotten isn't vouched for any more.
            if let Some((oldest, _)) = self.told.pop_first() {
                self.known_after = self.known_after.map(|r| r.max(oldest));
            }
        }
    }

    /// All that users were told of and that is newer than the revision; none: it isn't known.
    pub fn since(&self, revision: Revision) -> Option<Vec<JobId>> {
        self.known_after.filter(|r| *r <= revision)?;
        Some(self.told.iter().filter(|(r, _)| *r > revision).map(|(_, id)| *id).collect())
    }
}
