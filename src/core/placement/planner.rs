//! The state of a planning round that all jobs share: candidates, their capacity and the teams' quotas. Places tasks
//! for one job at a time.

use super::TOLERANCE;
use super::candidates::{Candidate, CandidateSource};
use super::estimates::machine_fraction;
use super::job_progress::JobProgress;
use crate::core::cost::OperationMeter;
use crate::core::machine::Resources;
use crate::peer::{JobView, PlanInput, ScaleOutRequest};
use std::collections::BTreeMap;

/// The outcome of a job's turn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum TurnOutcome {
    /// The job's next task, or the whole gang, is placed on machines that are up, and starts now.
    Placed,
    /// The job's next task, or the whole gang, is placed, but waits for machines that aren't up yet.
    Pending,
    /// Nothing is placed: no candidate is feasible for the job, or its team's quota doesn't allow more tasks.
    NoCandidate,
}

/// A candidate that a job's turn has chosen, and how many of the job's tasks it gets.
struct ChosenCandidate {
    /// Index of the candidate in the planner's list of candidates.
    index: usize,
    tasks: u32,
}

/// The resources that a team may still allocate in this round before it reaches its quota.
#[derive(Clone, Copy)]
struct RemainingQuota {
    cpus: f64,
    gpus: f64,
}

impl RemainingQuota {
    const UNLIMITED: RemainingQuota = RemainingQuota { cpus: f64::INFINITY, gpus: f64::INFINITY };
}

/// The state of a planning round that all jobs share.
pub(super) struct Planner<'a> {
    input: &'a PlanInput,
    /// Counts how often a job is compared with a candidate.
    meter: &'a OperationMeter,
    /// The machines of the input in its order, then one machine of each offer, then further machines of offers, one
    /// added whenever the previous one of the offer is first used.
    candidates: Vec<Candidate>,
    /// How many machines of each offer may still be added to the candidates, by offer index.
    offered_machines_left: Vec<u32>,
    /// The rest of each team's quota, by team index. A team that is absent has no limit.
    team_quotas: BTreeMap<u32, RemainingQuota>,
}

impl<'a> Planner<'a> {
    /// Creates the state at the start of a round. Every machine type index in `input` must be valid.
    pub(super) fn new(input: &'a PlanInput, meter: &'a OperationMeter) -> Planner<'a> {
        let machines = input.machines.iter().enumerate();
        let teams = input.teams.iter();
        let mut planner = Planner {
            input,
            meter,
            candidates: machines.map(|(index, machine)| Candidate::from_machine(input, index, machine)).collect(),
            offered_machines_left: input.offers.iter().map(|offer| offer.max_count).collect(),
            team_quotas: teams.map(|team| (team.team, RemainingQuota { cpus: team.cpus, gpus: team.gpus })).collect(),
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

    /// Adds one more machine of the offer to the candidates, unless all machines of the offer have been added.
    fn add_candidate_of_offer(&mut self, offer: usize) {
        if self.offered_machines_left[offer] == 0 {
            return;
        }
        self.offered_machines_left[offer] -= 1;
        self.candidates.push(Candidate::from_offer(self.input, offer, &self.input.offers[offer]));
    }

    /// Creates the job's state for this round, with an estimate of one of its tasks on every candidate.
    pub(super) fn start_job(&self, job: &'a JobView) -> JobProgress<'a> {
        self.meter.add_comparisons(self.candidates.len());
        JobProgress::new(self.input, &self.candidates, job)
    }

    /// The machines to provision: the machines of offers on which this round has placed tasks.
    pub(super) fn scale_out_requests(&self) -> Vec<ScaleOutRequest> {
        let requested = self.candidates.iter().filter(|candidate| candidate.requested);
        requested
            .map(|candidate| ScaleOutRequest {
                type_index: candidate.type_index as u32,
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
        let tasks = progress.tasks_in_next_turn();
        if !self.quota_allows(job, tasks) || job.gang && !self.may_hold_gang(job) {
            return TurnOutcome::NoCandidate;
        }
        let mut chosen = self.choose(progress, tasks);
        if chosen.is_none() && job.gang && job.one_zone {
            chosen = self.choose_zone_by_zone(progress, tasks);
        }
        let Some(chosen) = chosen else { return TurnOutcome::NoCandidate };
        self.charge_quota(job, tasks);
        self.record(progress, &chosen)
    }

    /// Whether the candidates and the machines that offers still allow may have capacity for a whole gang. An upper
    /// bound: neither the machines that the job permits nor the headroom of GPU machines are considered.
    fn may_hold_gang(&self, job: &JobView) -> bool {
        self.meter.add_comparisons(self.candidates.len());
        let need = Resources::from(job);
        let mut zones: BTreeMap<u32, u32> = BTreeMap::new();
        let mut add = |zone: u32, tasks: u32| {
            let total = zones.entry(if job.one_zone { zone } else { 0 }).or_default();
            *total = total.saturating_add(tasks);
        };
        self.candidates.iter().for_each(|candidate| add(candidate.zone, candidate.tasks_that_fit(&need)));
        for (offer, left) in self.input.offers.iter().zip(&self.offered_machines_left) {
            let capacity = Resources::from(&self.input.types[offer.type_index as usize]);
            add(offer.zone, capacity.tasks_that_fit(&need).saturating_mul(*left));
        }
        zones.values().any(|tasks| *tasks >= job.ready_tasks)
    }

    fn quota_allows(&self, job: &JobView, tasks: u32) -> bool {
        let left = self.team_quotas.get(&job.team).copied().unwrap_or(RemainingQuota::UNLIMITED);
        let exceeds = |need: f64, left: f64| need * tasks as f64 > left + TOLERANCE;
        !(exceeds(job.cpus, left.cpus) || exceeds(job.gpus, left.gpus))
    }

    fn charge_quota(&mut self, job: &JobView, tasks: u32) {
        if let Some(left) = self.team_quotas.get_mut(&job.team) {
            left.cpus -= job.cpus * tasks as f64;
            left.gpus -= job.gpus * tasks as f64;
        }
    }

    /// Allocates capacity for `tasks` tasks of the job, all or none. Returns how many tasks each chosen candidate gets.
    ///
    /// A candidate that is the best for one task stays the best for the following ones until it is full, as budget and
    /// time don't change before the placements are recorded.
    fn choose(&mut self, progress: &mut JobProgress, tasks: u32) -> Option<Vec<ChosenCandidate>> {
        let job = progress.job();
        let mut chosen: Vec<ChosenCandidate> = Vec::new();
        let mut tasks_left = tasks;
        while tasks_left > 0 {
            progress.add_new_candidates(self.input, &self.candidates, self.meter);
            let Some(index) = progress.best_candidate(&self.candidates, self.meter) else { break };
            let candidate = &mut self.candidates[index];
            let count = progress.allocate(candidate, tasks_left);
            progress.count_in_zone(candidate.zone, count);
            tasks_left -= count;
            chosen.push(ChosenCandidate { index, tasks: count });
            if let (Some(offer), false) = (candidate.offer(), candidate.requested) {
                candidate.requested = true;
                self.add_candidate_of_offer(offer);
            }
        }
        if tasks_left == 0 {
            return Some(chosen);
        }
        for ChosenCandidate { index, tasks } in chosen {
            let candidate = &mut self.candidates[index];
            candidate.release(job, tasks);
            if candidate.offer().is_some() && candidate.load <= TOLERANCE {
                candidate.requested = false;
            }
        }
        progress.undo_turn();
        None
    }

    /// Places a one-zone gang by trying each zone in turn. If the best candidate for the first task decided the zone,
    /// that zone might lack capacity for the whole gang.
    fn choose_zone_by_zone(&mut self, progress: &mut JobProgress, tasks: u32) -> Option<Vec<ChosenCandidate>> {
        let mut zones: Vec<u32> = self.candidates.iter().map(|candidate| candidate.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().find_map(|zone| {
            progress.restrict_to_zone(zone);
            self.choose(progress, tasks)
        })
    }

    /// Records the placement of tasks on the chosen candidates. If any of these machines isn't up, all the tasks wait.
    fn record(&mut self, progress: &mut JobProgress, chosen: &[ChosenCandidate]) -> TurnOutcome {
        let job = progress.job();
        let all_up = chosen.iter().all(|chosen| self.candidates[chosen.index].up);
        for ChosenCandidate { index, tasks } in chosen {
            let candidate = &mut self.candidates[*index];
            let machine = match candidate.source {
                CandidateSource::Machine { key, .. } => all_up.then_some(key),
                CandidateSource::Offer(_) => {
                    let fraction = machine_fraction(&self.input.types[candidate.type_index], job);
                    candidate.load += fraction * f64::from(*tasks);
                    candidate.priority = candidate.priority.min(job.priority);
                    None
                }
            };
            progress.record_tasks(candidate, *index, machine, *tasks);
        }
        if all_up { TurnOutcome::Placed } else { TurnOutcome::Pending }
    }
}
