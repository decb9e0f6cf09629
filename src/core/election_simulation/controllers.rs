//! The controllers of the model: they stand for election, renew and extend their lease, and read.

use super::*;

const RENEWAL_INTERVAL: u64 = 600;
/// Between two tries to renew a lease at a store that refuses.
const RENEWAL_BACKOFF: u64 = 100;
const ELECTION_INTERVAL: u64 = 350;
/// How long ago a request left whose answer is there.
const ROUND_TRIP: u64 = 30;

pub(super) struct Controller {
    /// When this process began; its clock counts from there.
    pub(super) started_at: u64,
    pub(super) election: Election,
    pub(super) cancellations: ConfirmedCancellations,
    pub(super) frozen_until: u64,
    /// The store refuses this controller until then.
    pub(super) refused_until: u64,
    /// Cut off from its peers.
    pub(super) cut_until: u64,
    /// Its watch of live jobs brings no events.
    pub(super) watch_stalled_until: u64,
    next_election_step: u64,
    next_read: u64,
    /// The cancelled jobs that it knows of as leader.
    pub(super) known_cancelled: BTreeSet<JobId>,
    pub(super) loaded: bool,
}

impl Controller {
    /// A new process.
    pub(super) fn started_at(started_at: u64) -> Controller {
        Controller {
            started_at,
            election: Election::new(Millis(LEADER_LEASE_TTL), Millis((CANCELLATION_TIMEOUT - WORKER_LEASE) * 6 / 10)),
            cancellations: ConfirmedCancellations::default(),
            frozen_until: 0,
            refused_until: 0,
            cut_until: 0,
            watch_stalled_until: 0,
            next_election_step: started_at,
            next_read: 0,
            known_cancelled: BTreeSet::new(),
            loaded: false,
        }
    }

    /// What its clock shows at a time of the model.
    pub(super) fn clock(&self, at: u64) -> MonotonicTime {
        MonotonicTime(at.saturating_sub(self.started_at))
    }

    pub(super) fn active_term(&self, now: u64) -> Option<Term> {
        self.election.active_term(self.clock(now))
    }
}

impl ElectionSimulation {
    pub(super) fn is_served(&self, index: usize) -> bool {
        self.now >= self.outage_until && self.now >= self.controllers[index].refused_until
    }

    pub(super) fn is_any_controller_refused(&self) -> bool {
        self.controllers.iter().any(|controller| self.now < controller.refused_until)
    }

    pub(super) fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(|controller| controller.active_term(self.now).is_some())
    }

    pub(super) fn step_controllers(&mut self) {
        for index in 0..CONTROLLERS {
            if self.now < self.controllers[index].frozen_until {
                continue;
            }
            if self.now >= self.controllers[index].next_election_step {
                self.step_election(index);
            }
            self.read(index);
        }
    }

    /// One controller renews its lease, or looks at the leader key and stands for election.
    fn step_election(&mut self, index: usize) {
        let served = self.is_served(index);
        let controller = &mut self.controllers[index];
        if served {
            controller.election.store_answered();
            controller.cancellations.set_first_revision(Revision(self.revision));
        } else {
            controller.election.store_refused();
        }
        match controller.election.lease() {
            Some(leader_lease) => self.renew(index, leader_lease.id, served),
            None => self.stand(index, served),
        }
    }

    fn renew(&mut self, index: usize, lease: LeaseId, served: bool) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if !served {
            controller.next_election_step = now + RENEWAL_BACKOFF;
            self.ask_for_pledges(index);
            return;
        }
        controller.next_election_step = now + RENEWAL_INTERVAL;
        let asked_at = controller.clock(now.saturating_sub(ROUND_TRIP));
        match self.leases.get_mut(&lease.0) {
            Some(end) => {
                *end = (*end).max(now + LEADER_LEASE_TTL);
                controller.election.renewed(asked_at);
            }
            None => controller.election.step_down(),
        }
    }

    fn stand(&mut self, index: usize, served: bool) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        controller.next_election_step = now + ELECTION_INTERVAL;
        if !served {
            return;
        }
        let asked_at = controller.clock(now.saturating_sub(ROUND_TRIP));
        match self.leader_key {
            // An earlier process here led.
            Some(LeaderKey { controller: holder, lease }) if holder == index => {
                self.leases.remove(&lease);
                self.leader_key = None;
                self.revision += 1;
            }
            Some(_) => {}
            None if controller.election.may_stand(controller.clock(now), self.revision > 1) => {
                self.revision += 1;
                let lease = self.revision;
                self.leases.insert(lease, now + LEADER_LEASE_TTL);
                self.leader_key = Some(LeaderKey { controller: index, lease });
                controller.election.elected(Term(lease), LeaseId(lease), asked_at);
                controller.loaded = false;
                controller.next_read = now + 200;
            }
            None => {}
        }
    }

    /// The leader reads the live jobs, and so learns which are cancelled.
    fn read(&mut self, index: usize) {
        let served = self.is_served(index);
        let now = self.now;
        let controller = &mut self.controllers[index];
        let may_read = now >= controller.next_read && now >= controller.watch_stalled_until && served;
        if controller.election.lease().is_none() || !may_read {
            return;
        }
        if !controller.loaded {
            controller.known_cancelled.clear();
        }
        controller.known_cancelled.extend(self.cancelled.keys());
        controller.loaded = true;
        controller.next_read = now + 300;
        let asked_at = controller.clock(now.saturating_sub(300));
        let clock = controller.clock(now);
        controller.election.read(asked_at, clock, Revision(self.revision));
    }
}
