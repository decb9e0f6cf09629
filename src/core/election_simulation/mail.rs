//! Messages with a delay: the followers' pledges to a leader, and the store's answers to cancellations.

use super::*;

/// A follower's pledge: its duration, and the cancellations confirmed to users that the leader can't have read.
type Pledge = (Millis, Vec<JobId>);

/// The followers' answers to a leader that has requested pledges not to stand for election.
pub(super) struct PledgeAnswer {
    due_at: u64,
    leader: usize,
    /// When the process that requested the pledges started, in simulated time; identifies that process.
    started_at: u64,
    requested_at: u64,
    pledges: Vec<Option<Pledge>>,
}

/// The store's answer to a controller that has cancelled a job, or read a cancelled one, for a user.
pub(super) struct CancellationAnswer {
    due_at: u64,
    controller: usize,
    /// When the process that sent the request to the store started, in simulated time; identifies that process.
    started_at: u64,
    job: JobId,
    revision: u64,
}

impl ElectionSimulation {
    pub(super) fn request_pledges(&mut self, index: usize) {
        let leader = &self.controllers[index];
        let Some(leader_lease) = leader.election.lease().filter(|_| leader.is_loaded) else { return };
        let (leader_partitioned_until, started_at) = (leader.partitioned_until, leader.started_at);
        let mut pledges = Vec::new();
        for peer in (0..CONTROLLER_COUNT).filter(|peer| *peer != index) {
            let follower = &mut self.controllers[peer];
            let partitioned = self.now < leader_partitioned_until.max(follower.partitioned_until);
            let lost = partitioned || self.rng.random::<f64>() < 0.02;
            let clock = follower.clock(self.now);
            let (term, read_through) = (leader_lease.term, leader_lease.read_through);
            let pledge = follower.election.pledge_to(clock, term, read_through, &follower.cancellations);
            let arrives = !lost && self.now >= follower.frozen_until;
            self.copy_late(RequestCopy::PledgeRequest { peer, term, read_through });
            pledges.push(pledge.ok().filter(|_| arrives).map(|pledge| (pledge.duration, pledge.cancelled)));
        }
        let due_at = self.now + self.rng.random_range(1..700);
        self.pledge_answers.push(PledgeAnswer { due_at, leader: index, started_at, requested_at: self.now, pledges });
    }

    /// A user cancels a job, or polls a cancelled one, through a controller that the store serves.
    pub(super) fn cancel_as_user(&mut self) {
        let index = self.rng.random_range(0..CONTROLLER_COUNT);
        if !self.is_served(index) || self.now < self.controllers[index].frozen_until {
            return;
        }
        let job = self.workers[self.rng.random_range(0..self.workers.len())].job;
        let revision = self.commit_cancellation(job);
        let due_at = self.now + self.rng.random_range(1..300);
        let started_at = self.controllers[index].started_at;
        self.cancellation_answers.push(CancellationAnswer { due_at, controller: index, started_at, job, revision });
    }

    pub(super) fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pledge_answers).into_iter().partition(|answer| answer.due_at <= now);
        self.pledge_answers = rest;
        due.iter().for_each(|answer| self.deliver_pledges(answer));
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.cancellation_answers).into_iter().partition(|answer| answer.due_at <= now);
        self.cancellation_answers = rest;
        due.iter().for_each(|answer| self.deliver_cancellation(answer));
    }

    fn deliver_pledges(&mut self, answer: &PledgeAnswer) {
        let controller = &mut self.controllers[answer.leader];
        if controller.started_at != answer.started_at || self.now < controller.frozen_until {
            return;
        }
        let known_before = controller.known_cancelled.len();
        let cancelled = answer.pledges.iter().flatten().flat_map(|(_, jobs)| jobs.iter().copied());
        controller.known_cancelled.extend(cancelled);
        self.learned_from_pledges_count += (controller.known_cancelled.len() - known_before) as u64;
        let durations: Option<Vec<Millis>> =
            answer.pledges.iter().map(|pledge| pledge.as_ref().map(|(duration, _)| *duration)).collect();
        if let Some(shortest) = durations.and_then(|durations| durations.into_iter().min()) {
            let requested_at = controller.clock(answer.requested_at);
            controller.election.extend_on_pledges(requested_at, shortest);
            self.extension_count += 1;
        }
    }

    /// The controller confirms the cancellation to the user, unless its process has been restarted since the request or
    /// is suspended.
    fn deliver_cancellation(&mut self, answer: &CancellationAnswer) {
        let controller = &mut self.controllers[answer.controller];
        if controller.started_at != answer.started_at || self.now < controller.frozen_until {
            return;
        }
        controller.cancellations.record(answer.job, Revision(answer.revision));
        if controller.election.lease().is_some() {
            controller.known_cancelled.insert(answer.job);
        }
        self.confirmed.entry(answer.job).or_insert(self.now);
    }
}
