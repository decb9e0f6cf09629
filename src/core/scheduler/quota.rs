//! What each team possibly uses, against its limit and its guarantee.
//!
//! A team's limit (`cpus_max`, `gpus_max` in the settings) is never exceeded, whatever isn't known of a machine.
//! Its guarantee (`cpus`, `gpus`) decides which of its jobs may have other teams' work stopped for them.

use crate::config::Team;
use crate::core::jobs::Job;
use crate::core::machine::{Machine, Resources};
use crate::ids::{JobId, MachineId};
use crate::peer::TeamHeadroom;
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet};

/// Stands for "no limit" in messages to planners.
const UNLIMITED: f64 = 1e12;
/// Sums of fractions of processors may exceed a limit or a guarantee by this much.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// What is possibly on machines, by team.
pub(super) struct QuotaUsage {
    teams: Vec<Resources>,
    /// All of every machine whose tasks aren't known: it may hold any team's.
    unreconciled: Resources,
}

impl QuotaUsage {
    /// Counts everything possibly on a machine, and all of a machine that isn't reconciled.
    fn count(teams: usize, machines: &BTreeMap<MachineId, Machine>, types: &[MachineType]) -> QuotaUsage {
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
        usage
    }
}

/// The teams' quotas as of now.
pub(super) struct QuotaTracker {
    /// The teams in the order of the settings, which is also that of their numbers.
    teams: Vec<Team>,
    team_names: Vec<String>,
    /// What each team possibly uses: counted when it is needed, kept up by starts, and dropped
    /// whenever a heartbeat may have added to it.
    usage: Option<QuotaUsage>,
    /// The jobs within their team's guarantee, as of the last round.
    pub(super) within_guarantee: BTreeSet<JobId>,
}

impl QuotaTracker {
    /// No usage is known yet, and no job is within a guarantee.
    pub(super) fn new(teams: &[Team]) -> QuotaTracker {
        let team_names = teams.iter().map(|team| team.name.clone()).collect();
        QuotaTracker { teams: teams.to_vec(), team_names, usage: None, within_guarantee: BTreeSet::new() }
    }

    /// The teams' names, by team number.
    pub(super) fn team_names(&self) -> &[String] {
        &self.team_names
    }

    /// What is on machines may have changed otherwise than by [`QuotaTracker::record_start`].
    pub(super) fn invalidate_usage(&mut self) {
        self.usage = None;
    }

    /// A task of the team has been placed on a machine.
    pub(super) fn record_start(&mut self, team: u32, need: &Resources) {
        if let Some(usage) = &mut self.usage {
            usage.teams[team as usize].add(need);
        }
    }

    /// Whether the team's limit lets so many more tasks of this need start. A team that isn't known may start
    /// nothing.
    pub(super) fn fits(
        &mut self,
        team: u32,
        need: &Resources,
        tasks: f64,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
    ) -> bool {
        let Some(limits) = self.teams.get(team as usize) else { return false };
        if limits.cpus_max <= 0.0 && limits.gpus_max <= 0.0 {
            return true;
        }
        let usage = self.usage.get_or_insert_with(|| QuotaUsage::count(self.teams.len(), machines, types));
        let mut used = usage.teams[team as usize];
        used.add(&usage.unreconciled);
        let fits = |most: f64, used: f64, need: f64| most <= 0.0 || used + need * tasks <= most + ROUNDING_TOLERANCE;
        fits(limits.cpus_max, used.cpus, need.cpus) && fits(limits.gpus_max, used.gpus, need.gpus)
    }

    /// What each team may still use.
    pub(super) fn headrooms(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
    ) -> Vec<TeamHeadroom> {
        let usage = self.usage.get_or_insert_with(|| QuotaUsage::count(self.teams.len(), machines, types));
        let left = |most: f64, used: f64, unreconciled: f64| {
            if most > 0.0 { (most - used - unreconciled).max(0.0) } else { UNLIMITED }
        };
        let headroom = |(number, (team, used)): (usize, (&Team, &Resources))| TeamHeadroom {
            team: number as u32,
            cpus: left(team.cpus_max, used.cpus, usage.unreconciled.cpus),
            gpus: left(team.gpus_max, used.gpus, usage.unreconciled.gpus),
        };
        self.teams.iter().zip(&usage.teams).enumerate().map(headroom).collect()
    }

    /// Whether the job was within its team's guarantee at the last round.
    pub(super) fn is_within_guarantee(&self, job: &JobId) -> bool {
        self.within_guarantee.contains(job)
    }

    /// Notes the jobs that fit into their team's guarantee together with the team's earlier ones. Jobs that
    /// wait for others take nothing of it.
    pub(super) fn update_guaranteed_jobs(&mut self, jobs: &BTreeMap<JobId, Job>) {
        let mut by_team: BTreeMap<u32, Vec<(&JobId, &Job)>> = BTreeMap::new();
        for (id, job) in jobs.iter().filter(|(_, job)| !job.is_waiting()) {
            by_team.entry(job.team).or_default().push((id, job));
        }
        self.within_guarantee.clear();
        for (team, mut jobs) in by_team {
            let Some(guarantee) = self.teams.get(team as usize) else { continue };
            if guarantee.cpus <= 0.0 && guarantee.gpus <= 0.0 {
                continue;
            }
            jobs.sort_by_key(|(id, job)| (job.startable_at, **id));
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for (id, job) in jobs {
                let tasks = f64::from(job.spec.tasks);
                cpus += tasks * job.spec.cpus;
                gpus += tasks * job.spec.gpus;
                if cpus <= guarantee.cpus + ROUNDING_TOLERANCE && gpus <= guarantee.gpus + ROUNDING_TOLERANCE {
                    self.within_guarantee.insert(*id);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
