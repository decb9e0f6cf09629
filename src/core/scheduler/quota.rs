//! Tracks each team's possible resource usage against its limit and its guarantee.
//!
//! A team's limit (`cpus_max`, `gpus_max` in the settings) is never exceeded: usage that is uncertain counts in full.
//! Jobs within the team's guarantee (`cpus`, `gpus`) may preempt tasks of lower priority whatever their own priority,
//! and also tasks of equal priority that other teams run beyond their guarantees.

use crate::config::Team;
use crate::core::jobs::Job;
use crate::core::machine::{Machine, Resources};
use crate::ids::{JobId, MachineId};
use crate::peer::TeamHeadroom;
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet};

/// Stands for "no limit" in messages to planners.
const UNLIMITED: f64 = 1e12;
/// Tolerance for rounding errors in sums of fractional resources.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Resources that are possibly in use on all machines.
pub(super) struct QuotaUsage {
    /// Resources that are possibly in use by each team's tasks, by team number.
    teams: Vec<Resources>,
    /// Total capacity of all machines whose tasks are not fully known; the unknown tasks may be of any team.
    unreconciled: Resources,
}

impl QuotaUsage {
    /// Sums up all resources that are possibly in use; a machine that is not reconciled counts with its whole capacity.
    fn count(
        teams: usize,
        starting: &BTreeMap<JobId, StartingUsage>,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
    ) -> QuotaUsage {
        let mut usage = QuotaUsage { teams: vec![Resources::default(); teams], unreconciled: Resources::default() };
        for machine in machines.values() {
            for allocation in machine.allocations.values().filter(|allocation| !allocation.has_exited()) {
                if let Some(team) = allocation.team.and_then(|team| usage.teams.get_mut(team as usize)) {
                    team.add(&allocation.need);
                }
            }
            if !machine.reconciled || machine.has_unknown_usage() {
                usage.unreconciled.add(&Resources::of_type(&types[machine.kind]));
            }
        }
        for start in starting.values() {
            if let Some(team) = usage.teams.get_mut(start.team as usize) {
                team.add(&start.need.times(start.tasks));
            }
        }
        usage
    }
}

/// What the unplaced tasks of a gang that is being started will use.
struct StartingUsage {
    team: u32,
    need: Resources,
    tasks: u32,
}

/// The teams' quotas and their current usage.
pub(super) struct QuotaTracker {
    /// The teams by number, in the order of the settings.
    teams: Vec<Team>,
    team_names: Vec<String>,
    /// The resources that are possibly in use, or `None` if they must be summed up again. Computed on demand, updated
    /// at each start, and discarded whenever a heartbeat may have changed what is on a machine.
    usage: Option<QuotaUsage>,
    /// What the tasks of gangs that are being started and have not been placed need, with the gang's team.
    starting: BTreeMap<JobId, StartingUsage>,
    /// The jobs within their team's guarantee, as of the last planning round.
    pub(super) within_guarantee: BTreeSet<JobId>,
}

impl QuotaTracker {
    /// Creates a tracker without cached usage and without jobs within a guarantee.
    pub(super) fn new(teams: &[Team]) -> QuotaTracker {
        let team_names = teams.iter().map(|team| team.name.clone()).collect();
        QuotaTracker {
            teams: teams.to_vec(),
            team_names,
            usage: None,
            starting: BTreeMap::new(),
            within_guarantee: BTreeSet::new(),
        }
    }

    /// The teams' names, by team number.
    pub(super) fn team_names(&self) -> &[String] {
        &self.team_names
    }

    /// Discards the cached usage, as the actual usage may have changed other than by [`QuotaTracker::record_start`].
    pub(super) fn invalidate_usage(&mut self) {
        self.usage = None;
    }

    /// Adds the need of a team's task that has been placed on a machine to the cached usage.
    pub(super) fn record_start(&mut self, team: u32, need: &Resources) {
        if let Some(usage) = &mut self.usage {
            usage.teams[team as usize].add(need);
        }
    }

    /// Counts the tasks of a gang of this team, which is about to be started, as used.
    pub(super) fn set_starting(&mut self, job: &JobId, team: u32, need: Resources, tasks: u32) {
        self.starting.insert(*job, StartingUsage { team, need, tasks });
        if let Some(usage) = &mut self.usage {
            usage.teams[team as usize].add(&need.times(tasks));
        }
    }

    /// Records that tasks of a gang that is being started are about to be placed. From then on they count on their
    /// machine, see [`QuotaTracker::record_start`].
    pub(super) fn record_gang_start(&mut self, job: &JobId, tasks: u32) {
        let Some(start) = self.starting.get_mut(job) else { return };
        start.tasks = start.tasks.saturating_sub(tasks);
        if let Some(usage) = &mut self.usage {
            usage.teams[start.team as usize].sub(&start.need.times(tasks));
        }
    }

    /// Records that no further task of the gang is being started.
    pub(super) fn clear_starting(&mut self, job: &JobId) {
        let unplaced = self.starting.get(job).map_or(0, |start| start.tasks);
        self.record_gang_start(job, unplaced);
        self.starting.remove(job);
    }

    /// How many of `tasks` more tasks with this need the team's limit permits to start one by one.
    pub(super) fn startable(
        &mut self,
        team: u32,
        need: &Resources,
        tasks: u32,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
    ) -> u32 {
        (0..tasks).find(|started| !self.fits(team, need, f64::from(started + 1), machines, types)).unwrap_or(tasks)
    }

    /// Whether the team's limit permits starting `tasks` more tasks with this need. An unknown team may not start any
    /// task.
    pub(super) fn fits(
        &mut self,
        team: u32,
        need: &Resources,
        tasks: f64,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
    ) -> bool {
        let Some(quota) = self.teams.get(team as usize) else { return false };
        if quota.max_cpus <= 0.0 && quota.max_gpus <= 0.0 {
            return true;
        }
        let usage =
            self.usage.get_or_insert_with(|| QuotaUsage::count(self.teams.len(), &self.starting, machines, types));
        let mut used = usage.teams[team as usize];
        used.add(&usage.unreconciled);
        let fits = |limit: f64, used: f64, need: f64| limit <= 0.0 || used + need * tasks <= limit + ROUNDING_TOLERANCE;
        fits(quota.max_cpus, used.cpus, need.cpus) && fits(quota.max_gpus, used.gpus, need.gpus)
    }

    /// The resources that each team may still use under its limit.
    pub(super) fn headrooms(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
    ) -> Vec<TeamHeadroom> {
        let usage =
            self.usage.get_or_insert_with(|| QuotaUsage::count(self.teams.len(), &self.starting, machines, types));
        let remaining = |limit: f64, used: f64, unreconciled: f64| {
            if limit > 0.0 { (limit - used - unreconciled).max(0.0) } else { UNLIMITED }
        };
        let headroom = |(number, (team, used)): (usize, (&Team, &Resources))| TeamHeadroom {
            team: number as u32,
            cpus: remaining(team.max_cpus, used.cpus, usage.unreconciled.cpus),
            gpus: remaining(team.max_gpus, used.gpus, usage.unreconciled.gpus),
        };
        self.teams.iter().zip(&usage.teams).enumerate().map(headroom).collect()
    }

    /// Whether the job was within its team's guarantee at the last planning round.
    pub(super) fn is_within_guarantee(&self, job: &JobId) -> bool {
        self.within_guarantee.contains(job)
    }

    /// Updates the set of jobs that fit into their team's guarantee together with the team's earlier jobs. Jobs
    /// that wait for dependencies do not count.
    pub(super) fn update_guaranteed_jobs(&mut self, jobs: &BTreeMap<JobId, Job>) {
        let mut by_team: BTreeMap<u32, Vec<(&JobId, &Job)>> = BTreeMap::new();
        for (id, job) in jobs.iter().filter(|(_, job)| !job.is_waiting()) {
            by_team.entry(job.team).or_default().push((id, job));
        }
        self.within_guarantee.clear();
        for (team, mut jobs) in by_team {
            let Some(guarantee) = self.teams.get(team as usize) else { continue };
            if guarantee.guaranteed_cpus <= 0.0 && guarantee.guaranteed_gpus <= 0.0 {
                continue;
            }
            jobs.sort_by_key(|(id, job)| (job.startable_at, **id));
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for (id, job) in jobs {
                let tasks = f64::from(job.spec.tasks);
                cpus += tasks * job.spec.cpus;
                gpus += tasks * job.spec.gpus;
                if cpus <= guarantee.guaranteed_cpus + ROUNDING_TOLERANCE
                    && gpus <= guarantee.guaranteed_gpus + ROUNDING_TOLERANCE
                {
                    self.within_guarantee.insert(*id);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
