//! Answers on their way: pledges to a leader, and the store's answers to cancellations.

use super::*;

/// What a follower pledges: for how long, and the cancellations that its users know of.
type Pledge = (Millis, Vec<JobId>);

/// The followers' answers to a leader that asks for pledges.
pub(super) struct PledgeAnswer {
    due_at: u64,
    leader: usize,
    /// When the process that has asked began.
    started_at: u64,
    asked_at: u64,
    pledges: Vec<Option<Pledge>>,
}

/// The store's answer to a controller that has cancelled a job, or asked about a cancelled one, for a user.
pub(super) struct CancellationAnswer {
    due_at: u64,
    controller: usize,
    /// When the process that has asked began.
    started_at: u64,
    job: JobId,
    revision: u64,
}

impl ElectionSimulation {
    pub(super) fn ask_for_pledges(&mut self, index: usize) {
        let leader = &self.controllers[index];
        let Some(leader_lease) = leader.election.lease().filter(|_| leader.loaded) else { return };
        let (leader_cut_until, started_at) = (leader.cut_until, leader.started_at);
        let mut pledges = Vec::new();
        for peer in (0..CONTROLLERS).filter(|peer| *peer != index) {
            let follower = &mut self.controllers[peer];
            let cut = self.now < leader_cut_until.max(follower.cut_until);
            let lost = cut || self.rng.random::<f64>() < 0.02;
            let clock = follower.clock(self.now);
            let (term, read_through) = (leader_lease.term, leader_lease.read_through);
            let pledge = follower.election.pledge_to(clock, term, read_through, &follower.cancellations);
            let arrives = !lost && self.now >= follower.frozen_until;
            pledges.push(pledge.ok().filter(|_| arrives).map(|pledge| (pledge.span, pledge.cancelled)));
        }
        let due_at = self.now + self.rng.random_range(1..700);
        self.pledge_answers.push(PledgeAnswer { due_at, leader: index, started_at, asked_at: self.now, pledges });
    }

    /// A user cancels a job, or asks about one that is, at a controller that is served.
    pub(super) fn cancel_as_user(&mut self) {
        let index = self.rng.random_range(0..CONTROLLERS);
        if !self.is_served(index) || self.now < self.controllers[index].frozen_until {
            return;
        }
        let job = self.workers[self.rng.random_range(0..self.workers.len())].job;
        let revision = self.commit_cancellation(job);
        let due_at = self.now + self.rng.random_range(1..300);
        let started_at = self.controllers[index].started_at;
        self.cancellation_answers.push(CancellationAnswer { due_at, controller: index, started_at, job, revision });
    }

    pub(super) fn deliver(&mut self) {
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
        let carried = answer.pledges.iter().flatten().flat_map(|(_, jobs)| jobs.iter().copied());
        controller.known_cancelled.extend(carried);
        self.carried_count += (controller.known_cancelled.len() - known_before) as u64;
        let spans: Option<Vec<Millis>> =
            answer.pledges.iter().map(|pledge| pledge.as_ref().map(|(span, _)| *span)).collect();
        if let Some(shortest) = spans.and_then(|spans| spans.into_iter().min()) {
            let asked_at = controller.clock(answer.asked_at);
            controller.election.extend_on_pledges(asked_at, shortest);
            self.extension_count += 1;
        }
    }

    /// The user learns that the job is cancelled, if the process that was asked is still there.
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
