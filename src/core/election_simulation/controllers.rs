//! The simulated controllers: they stand for election, renew or extend the leader's lease, and read the live jobs.

use super::*;

const RENEWAL_INTERVAL_MS: u64 = 600;
/// Time between two attempts to renew a lease while the store refuses requests.
const RENEWAL_RETRY_INTERVAL_MS: u64 = 100;
const ELECTION_INTERVAL_MS: u64 = 350;
/// Time between sending a request to the store and receiving its answer.
const ROUND_TRIP_MS: u64 = 30;

pub(super) struct Controller {
    /// When this process started, in simulated time. The process's own clock shows 0 at that time.
    pub(super) started_at: u64,
    pub(super) election: Election,
    pub(super) cancellations: ConfirmedCancellations,
    /// Simulated time until which this process is suspended.
    pub(super) frozen_until: u64,
    /// Simulated time until which the store refuses this controller's requests.
    pub(super) refused_until: u64,
    /// Simulated time until which this controller is disconnected from its peers.
    pub(super) partitioned_until: u64,
    /// Simulated time until which this controller's watch of the live jobs delivers no events.
    pub(super) watch_stalled_until: u64,
    next_election_step_at: u64,
    next_read_at: u64,
    /// The cancelled jobs that this controller knows of as leader.
    pub(super) known_cancelled: BTreeSet<JobId>,
    /// Whether this controller has read the live jobs since it was elected.
    pub(super) is_loaded: bool,
}

impl Controller {
    /// A controller process that has just started, at this time of the simulation.
    pub(super) fn started_at(started_at: u64) -> Controller {
        Controller {
            started_at,
            election: Election::new(
                Millis(LEADER_LEASE_TTL_MS),
                Millis((CANCELLATION_LIMIT_MS - WORKER_LEASE_TTL_MS) * 6 / 10),
            ),
            cancellations: ConfirmedCancellations::default(),
            frozen_until: 0,
            refused_until: 0,
            partitioned_until: 0,
            watch_stalled_until: 0,
            next_election_step_at: started_at,
            next_read_at: 0,
            known_cancelled: BTreeSet::new(),
            is_loaded: false,
        }
    }

    /// The time that this process's own clock shows at the simulated time `at`.
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
        for index in 0..CONTROLLER_COUNT {
            if self.now < self.controllers[index].frozen_until {
                continue;
            }
            if self.now >= self.controllers[index].next_election_step_at {
                self.step_election(index);
            }
            self.read_live_jobs(index);
        }
    }

    /// A controller renews its lease, or reads the leader's key and stands for election if there is none.
    fn step_election(&mut self, index: usize) {
        let served = self.is_served(index);
        let controller = &mut self.controllers[index];
        if served {
            controller.election.store_served();
            controller.cancellations.set_first_revision(Revision(self.revision));
        } else {
            controller.election.store_failed();
        }
        match controller.election.lease() {
            Some(leader_lease) => self.renew(index, leader_lease.id, served),
            None => self.stand_for_election(index, served),
        }
    }

    fn renew(&mut self, index: usize, lease: LeaseId, served: bool) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if !served {
            controller.next_election_step_at = now + RENEWAL_RETRY_INTERVAL_MS;
            self.request_pledges(index);
            return;
        }
        controller.next_election_step_at = now + RENEWAL_INTERVAL_MS;
        let requested_at = controller.clock(now.saturating_sub(ROUND_TRIP_MS));
        match self.leases.get_mut(&lease.0) {
            Some(end) => {
                *end = (*end).max(now + LEADER_LEASE_TTL_MS);
                controller.election.renewed(requested_at);
                self.copy_late(RequestCopy::Renewal { lease: lease.0 });
            }
            None => controller.election.step_down(),
        }
    }

    fn stand_for_election(&mut self, index: usize, served: bool) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        controller.next_election_step_at = now + ELECTION_INTERVAL_MS;
        if !served {
            return;
        }
        let requested_at = controller.clock(now.saturating_sub(ROUND_TRIP_MS));
        match self.leader_key {
            // The leader's key belongs to an earlier process of this controller, whose lease is therefore revoked.
            Some(LeaderKey { controller: holder, lease }) if holder == index => {
                self.revoke(lease);
                self.copy_late(RequestCopy::Revocation { lease });
            }
            Some(_) => {}
            None if controller.election.can_stand_for_election(controller.clock(now), self.revision > 1) => {
                self.revision += 1;
                let lease = self.revision;
                self.leases.insert(lease, now + LEADER_LEASE_TTL_MS);
                self.election_count += 1;
                let key = LeaderKey { controller: index, lease };
                self.leader_key = Some(key);
                controller.election.elected(Term(lease), LeaseId(lease), requested_at);
                controller.is_loaded = false;
                controller.next_read_at = now + 200;
                self.copy_late(RequestCopy::Candidacy(key));
            }
            None => {}
        }
    }

    /// The leader reads the live jobs, from which it learns which ones are cancelled.
    fn read_live_jobs(&mut self, index: usize) {
        let served = self.is_served(index);
        let now = self.now;
        let controller = &mut self.controllers[index];
        let may_read = now >= controller.next_read_at && now >= controller.watch_stalled_until && served;
        if controller.election.lease().is_none() || !may_read {
            return;
        }
        if !controller.is_loaded {
            controller.known_cancelled.clear();
        }
        controller.known_cancelled.extend(self.cancelled.keys());
        controller.is_loaded = true;
        controller.next_read_at = now + 300;
        let requested_at = controller.clock(now.saturating_sub(300));
        let clock = controller.clock(now);
        controller.election.live_jobs_read(requested_at, clock, Revision(self.revision));
    }
}
