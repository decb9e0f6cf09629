//! What each team possibly uses, against its limit and its guarantee.

use crate::core::machine::Resources;
use crate::ids::JobId;
use std::collections::BTreeSet;

/// What is possibly on machines, by team.
pub(super) struct QuotaUsage {
    pub teams: Vec<Resources>,
    /// All of every machine whose tasks aren't known: it may hold any team's.
    pub unreconciled: Resources,
}

/// The teams' quotas as of now.
pub(super) struct QuotaTracker {
    pub team_names: Vec<String>,
    /// What each team possibly uses: counted when it is needed, kept up by starts, and dropped
    /// whenever a heartbeat may have added to it.
    pub usage: Option<QuotaUsage>,
    /// The jobs within their team's guarantee, as of the last round.
    pub within_guarantee: BTreeSet<JobId>,
}

impl QuotaTracker {
    pub fn new(team_names: Vec<String>) -> QuotaTracker {
        QuotaTracker { team_names, usage: None, within_guarantee: BTreeSet::new() }
    }
}
