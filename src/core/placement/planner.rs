//! One round: the candidates with their capacity, and the choices for one job after the other.

use super::TOLERANCE;
use super::candidates::{Candidate, CandidateSource};
use super::estimates::used_fraction;
use super::job_progress::JobProgress;
use crate::core::cost::CostMeter;
use crate::peer::{JobView, PlanInput, ScaleOutRequest};
use std::collections::BTreeMap;

/// What a job's turn came to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum TurnOutcome {
    /// The task, or the whole gang, is placed on machines that are up.
    Placed,
    /// It is placed on candidates of which some aren't up yet, and waits for them.
    Pending,
    /// No candidate is open to it, or its team has no headroom left.
    NoCandidate,
}

/// What is left to a team in this round.
#[derive(Clone, Copy)]
struct TeamCapacity {
    cpus: f64,
    gpus: f64,
}

impl TeamCapacity {
    const UNLIMITED: TeamCapacity = TeamCapacity { cpus: f64::INFINITY, gpus: f64::INFINITY };
}

/// The state of a round, apart from that of its jobs.
pub(super) struct Planner<'a> {
    input: &'a PlanInput,
    /// Counts the candidates that jobs are compared with.
    meter: &'a CostMeter,
    /// The machines of the view in its order, then one machine of each offer, then those opened since.
    candidates: Vec<Candidate>,
    /// By the index of the offer: how many machines of it may still become candidates.
    offers_left: Vec<u32>,
    team_capacity: BTreeMap<u32, TeamCapacity>,
}

impl<'a> Planner<'a> {
    /// `input` must be consistent: its indices are relied on.
    pub(super) fn new(input: &'a PlanInput, meter: &'a CostMeter) -> Planner<'a> {
        let machines = input.machines.iter().enumerate();
        let teams = input.teams.iter();
        let mut planner = Planner {
            input,
            meter,
            candidates: machines.map(|(index, machine)| Candidate::of_machine(input, index, machine)).collect(),
            offers_left: input.offers.iter().map(|offer| offer.most).collect(),
            team_capacity: teams.map(|team| (team.team, TeamCapacity { cpus: team.cpus, gpus: team.gpus })).collect(),
        };
        for offer in 0..input.offers.len() {
            planner.add_candidate_of_offer(offer);
        }
        planner
    }

    #[cfg(test)]
    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Adds one machine of an offer to the candidates, as far as the offer goes.
    fn add_candidate_of_offer(&mut self, offer: usize) {
        if self.offers_left[offer] == 0 {
            return;
        }
        self.offers_left[offer] -= 1;
        self.candidates.push(Candidate::of_offer(self.input, offer, &self.input.offers[offer]));
    }

    /// Compares the job with all candidates.
    pub(super) fn activate(&self, job: &'a JobView) -> JobProgress<'a> {
        self.meter.add_choices(self.candidates.len());
        JobProgress::new(self.input, &self.candidates, job)
    }

    /// The machines yet to be provisioned that tasks were placed on.
    pub(super) fn scale_out_requests(&self) -> Vec<ScaleOutRequest> {
        let opened = self.candidates.iter().filter(|candidate| candidate.opened);
        opened
            .map(|candidate| ScaleOutRequest {
                kind: candidate.kind as u32,
                zone: candidate.zone,
                spot: candidate.spot,
                load: candidate.load,
                priority: candidate.priority,
            })
            .collect()
    }

    /// Places the job's next task, or the whole gang.
    pub(super) fn place_next(&mut self, progress: &mut JobProgress) -> TurnOutcome {
        progress.widen_scope(self.input, &self.candidates, self.meter);
        let job = progress.job();
        let tasks = progress.next_tasks();
        if !self.team_has_capacity(job, tasks) {
            return TurnOutcome::NoCandidate;
        }
        let mut chosen = self.choose(progress, tasks);
        if chosen.is_none() && job.gang && job.one_zone {
            chosen = self.choose_zone_by_zone(progress, tasks);
        }
        let Some(chosen) = chosen else { return TurnOutcome::NoCandidate };
        self.take_from_team(job, tasks);
        self.record(progress, &chosen)
    }

    fn team_has_capacity(&self, job: &JobView, tasks: u32) -> bool {
        let left = self.team_capacity.get(&job.team).copied().unwrap_or(TeamCapacity::UNLIMITED);
        let exceeds = |need: f64, left: f64| need * tasks as f64 > left + TOLERANCE;
        !(exceeds(job.cpus, left.cpus) || exceeds(job.gpus, left.gpus))
    }

    fn take_from_team(&mut self, job: &JobView, tasks: u32) {
        if let Some(left) = self.team_capacity.get_mut(&job.team) {
            left.cpus -= job.cpus * tasks as f64;
            left.gpus -= job.gpus * tasks as f64;
        }
    }

    /// Takes capacity for that many tasks of the job, all or none. Returns the indices of the candidates.
    fn choose(&mut self, progress: &mut JobProgress, tasks: u32) -> Option<Vec<usize>> {
        let job = progress.job();
        let mut chosen = Vec::new();
        for _ in 0..tasks {
            progress.add_new_candidates(self.input, &self.candidates, self.meter);
            let Some(index) = progress.best_candidate(&self.candidates, self.meter) else { break };
            let candidate = &mut self.candidates[index];
            candidate.take(job);
            progress.count_in_zone(candidate.zone);
            chosen.push(index);
            if let (Some(offer), false) = (candidate.offer(), candidate.opened) {
                candidate.opened = true;
                self.add_candidate_of_offer(offer);
            }
        }
        if chosen.len() == tasks as usize {
            return Some(chosen);
        }
        for index in chosen {
            let candidate = &mut self.candidates[index];
            candidate.release(job);
            if candidate.offer().is_some() && candidate.load <= TOLERANCE {
                candidate.opened = false;
            }
        }
        progress.undo_turn();
        None
    }

    /// The best candidate of all may be in a zone that can't hold the gang: then each zone is tried.
    fn choose_zone_by_zone(&mut self, progress: &mut JobProgress, tasks: u32) -> Option<Vec<usize>> {
        let mut zones: Vec<u32> = self.candidates.iter().map(|candidate| candidate.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().find_map(|zone| {
            progress.restrict_to_zone(zone);
            self.choose(progress, tasks)
        })
    }

    /// Enters the chosen candidates as placements if all are up; otherwise all the tasks wait.
    fn record(&mut self, progress: &mut JobProgress, chosen: &[usize]) -> TurnOutcome {
        let job = progress.job();
        let all_up = chosen.iter().all(|index| self.candidates[*index].up);
        for index in chosen {
            let candidate = &mut self.candidates[*index];
            let machine = match candidate.source {
                CandidateSource::Machine { key, .. } => all_up.then_some(key),
                CandidateSource::Offer(_) => {
                    candidate.load += used_fraction(&self.input.types[candidate.kind], job);
                    candidate.priority = candidate.priority.min(job.priority);
                    None
                }
            };
            progress.record_task(candidate, *index, machine);
        }
        if all_up { TurnOutcome::Placed } else { TurnOutcome::Pending }
    }
}
