//! Machines that a task could be put on, and their room within a round.

use super::{EPS, URGENT};
use crate::peer::JobView;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Room {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
    pub(super) memory_gb: f64,
}

impl Room {
    pub(super) fn fits(&self, j: &JobView) -> bool {
        j.cpus <= self.cpus + EPS && j.gpus <= self.gpus + EPS && j.memory_gb <= self.memory_gb + EPS
    }
    pub(super) fn take(&mut self, j: &JobView) {
        self.cpus -= j.cpus;
        self.gpus -= j.gpus;
        self.memory_gb -= j.memory_gb;
    }
    pub(super) fn give_back(&mut self, j: &JobView) {
        self.cpus += j.cpus;
        self.gpus += j.gpus;
        self.memory_gb += j.memory_gb;
    }
}

/// Something a task could be put on: a machine of the view, or one opened in this round.
pub(super) struct Candidate {
    /// Key of a machine of the view; none for a machine yet to be rented.
    pub(super) machine: Option<u32>,
    pub(super) kind: usize,
    pub(super) zone: u32,
    pub(super) spot: bool,
    pub(super) up: bool,
    /// It has GPUs: `urgent_headroom` is the room of urgent work without, `preemptible_headroom` that of other such work.
    pub(super) gpus: bool,
    pub(super) urgent_headroom: Room,
    pub(super) preemptible_headroom: Room,
    pub(super) room: Room,
    /// For a machine yet to be rented: the offer it comes from, and whether a task wants it.
    pub(super) offer: Option<usize>,
    pub(super) opened: bool,
    pub(super) load: f64,
    pub(super) priority: u32,
}

impl Candidate {
    pub(super) fn fits(&self, j: &JobView, scope: SearchScope) -> bool {
        let part = if j.priority <= URGENT { &self.urgent_headroom } else { &self.preemptible_headroom };
        self.room.fits(j) && (scope == SearchScope::Any || !self.is_restricted_for(j) || part.fits(j))
    }
    pub(super) fn is_restricted_for(&self, j: &JobView) -> bool {
        self.gpus && j.gpus <= EPS
    }
    pub(super) fn take(&mut self, j: &JobView) {
        self.room.take(j);
        if self.is_restricted_for(j) {
            self.preemptible_headroom.take(j);
            if j.priority <= URGENT {
                self.urgent_headroom.take(j);
            }
        }
    }
    pub(super) fn give_back(&mut self, j: &JobView) {
        self.room.give_back(j);
        if self.is_restricted_for(j) {
            self.preemptible_headroom.give_back(j);
            if j.priority <= URGENT {
                self.urgent_headroom.give_back(j);
            }
        }
    }
}

/// Which machines a service may take. It would keep a GPU machine up for good, and GPU jobs out of
/// it; but nothing comes before a service (ours).
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum SearchScope {
    /// None with GPUs.
    Plain,
    /// Of those with GPUs, what GPU jobs leave.
    Spare,
    Any,
}
