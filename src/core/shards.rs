//! The assignment of teams to the controllers that plan for them.
//!
//! The leader assigns each team (a shard) to a controller, rebalances teams by their measured load, and plans
//! itself for the teams of unresponsive controllers. The assignment is stored in the key-value store under
//! [`SHARDS_KEY`], so that it survives a change of leader.

use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Key of the stored assignment: a JSON object that maps the name of each team to that of its controller.
pub const SHARDS_KEY: &str = "ctl/shares";

/// The leader doesn't ask a controller for plans if the controller has not responded for longer than this.
const UNRESPONSIVE_TIMEOUT: Millis = Millis(2_500);
/// The leader reassigns the teams of a controller to others if the controller has not responded for longer than this.
const FAILOVER_TIMEOUT: Millis = Millis(8_000);
/// Minimum time between two runs of the rebalancing of teams over the controllers.
const REBALANCE_INTERVAL: Millis = Millis(10_000);
/// Added to the load of every team, in tasks, so that teams without ready tasks are distributed evenly too.
const BASE_WEIGHT: f64 = 0.5;
/// Weight, 0 to 1, of the latest measurement in a team's moving average of the load.
const LOAD_SMOOTHING: f64 = 0.1;
/// A team is moved because of load only if the loads of the most and the least loaded controller differ by more than
/// this many tasks.
const MIN_LOAD_GAP: f64 = 1.0;
/// A team is moved because of load only if the most loaded controller has more than this many times the load of
/// the least loaded one.
const MIN_LOAD_RATIO: f64 = 1.3;

/// The reassignment of a team to another controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardMove {
    /// Index of the team in the settings.
    pub team: u32,
    /// Name of the controller that planned for the team so far.
    pub from: String,
    /// Name of the controller that plans for the team from now on.
    pub to: String,
}

/// The leader's assignment of teams to controllers, with the load and responsiveness that it depends on. Teams
/// are identified by their index in the settings, controllers by their name.
pub struct ShardAssignment {
    /// The leader's own name.
    leader: String,
    /// The time of the last response of each other controller. `None` if it has never responded, or has not responded
    /// since it left a plan request unanswered.
    last_response_at: BTreeMap<String, Option<MonotonicTime>>,
    /// Name of the controller that each team is assigned to, by team index.
    owners: BTreeMap<u32, String>,
    /// Moving average of the number of ready tasks in a planned job of a team, by team index.
    loads: BTreeMap<u32, f64>,
    rebalanced_at: MonotonicTime,
}

impl ShardAssignment {
    /// Creates an assignment that deals out the teams round-robin to the controllers, in the order of their names.
    pub fn new(leader: &str, peers: impl Iterator<Item = String>, teams: u32, now: MonotonicTime) -> ShardAssignment {
        let last_response_at: BTreeMap<String, Option<MonotonicTime>> = peers.map(|peer| (peer, None)).collect();
        let mut controllers: Vec<String> = last_response_at.keys().cloned().collect();
        controllers.push(leader.into());
        controllers.sort();
        let owner_of = |team: u32| controllers[team as usize % controllers.len()].clone();
        let owners = (0..teams).map(|team| (team, owner_of(team))).collect();
        ShardAssignment { leader: leader.into(), last_response_at, owners, loads: BTreeMap::new(), rebalanced_at: now }
    }

    /// Restores the assignment that an earlier leader has stored. Teams and controllers that no longer exist are
    /// ignored.
    pub fn restore(&mut self, record: &BTreeMap<String, String>, team_names: &[String]) {
        for (team, name) in team_names.iter().enumerate() {
            if let Some(owner) = record.get(name).filter(|owner| self.is_controller(owner)) {
                self.owners.insert(team as u32, owner.clone());
            }
        }
    }

    fn is_controller(&self, name: &str) -> bool {
        name == self.leader || self.last_response_at.contains_key(name)
    }

    /// The assignment in its stored form, which maps the name of each team to that of its controller.
    pub fn to_record(&self, team_names: &[String]) -> BTreeMap<String, String> {
        let name = |team: u32| team_names.get(team as usize).cloned();
        self.owners.iter().filter_map(|(team, owner)| Some((name(*team)?, owner.clone()))).collect()
    }

    /// Records a response of another controller.
    pub fn mark_responsive(&mut self, controller: &str, now: MonotonicTime) {
        if let Some(at) = self.last_response_at.get_mut(controller) {
            *at = Some(now);
        }
    }

    /// Records that a controller has not answered a plan request in time. The leader doesn't ask that controller for
    /// plans until it responds again.
    pub fn mark_unresponsive(&mut self, controller: &str) {
        if let Some(at) = self.last_response_at.get_mut(controller) {
            *at = None;
        }
    }

    fn has_responded_within(&self, controller: &str, now: MonotonicTime, within: Millis) -> bool {
        self.last_response_at.get(controller).is_some_and(|at| at.is_some_and(|at| now - at <= within))
    }

    /// The name of the peer that plans for a team. Returns `None` if the leader plans for the team itself.
    pub fn planner_for(&self, team: u32, now: MonotonicTime) -> Option<&str> {
        let owner = self.owners.get(&team)?;
        self.has_responded_within(owner, now, UNRESPONSIVE_TIMEOUT).then_some(owner.as_str())
    }

    /// Adds an observation to the team's average load: the number of ready tasks of one of its jobs in a planning
    /// round.
    pub fn record_load(&mut self, team: u32, ready: u32) {
        let load = self.loads.entry(team).or_default();
        *load += LOAD_SMOOTHING * (f64::from(ready) - *load);
    }

    fn weight(&self, team: u32) -> f64 {
        self.loads.get(&team).copied().unwrap_or(0.0) + BASE_WEIGHT
    }

    /// Moves the teams of unresponsive controllers to responsive ones or, if there are none to move, at most one
    /// team from the most to the least loaded controller. Returns the moves. Does nothing if called again within
    /// `REBALANCE_INTERVAL`.
    pub fn rebalance(&mut self, now: MonotonicTime) -> Vec<ShardMove> {
        if now - self.rebalanced_at < REBALANCE_INTERVAL {
            return Vec::new();
        }
        self.rebalanced_at = now;
        let mut loads = ControllerLoads::of_responsive(self, now);
        let mut moves = self.moves_from_unresponsive(&mut loads);
        if moves.is_empty() {
            moves.extend(self.move_by_load(&loads));
        }
        for ShardMove { team, to, .. } in &moves {
            self.owners.insert(*team, to.clone());
        }
        moves
    }

    /// Adds the weights of the teams that belong to responsive controllers to `loads`. Then assigns each team of an
    /// unresponsive controller to the controller with the lowest load so far, and returns these moves.
    fn moves_from_unresponsive(&self, loads: &mut ControllerLoads) -> Vec<ShardMove> {
        let orphaned: Vec<(&u32, &String)> =
            self.owners.iter().filter(|(team, owner)| !loads.add_load(owner, self.weight(**team))).collect();
        let mut moves = Vec::new();
        for (team, from) in orphaned {
            let (to, _) = loads.least_loaded();
            loads.add_load(&to, self.weight(*team));
            moves.push(ShardMove { team: *team, from: from.clone(), to });
        }
        moves
    }

    /// The move of one team that best evens out the loads of the most and the least loaded controller. Returns `None`
    /// if the difference is too small to justify a move.
    fn move_by_load(&self, loads: &ControllerLoads) -> Option<ShardMove> {
        let (to, low) = loads.least_loaded();
        let (from, high) = loads.most_loaded();
        let gap = high - low;
        let teams = self.owners.iter().filter(|(_, owner)| **owner == from).map(|(team, _)| *team);
        let distance_from_half_gap = |team: &u32| (self.weight(*team) - gap / 2.0).abs();
        let best_team = teams
            .filter(|team| self.weight(*team) < gap)
            .min_by(|a, b| distance_from_half_gap(a).total_cmp(&distance_from_half_gap(b)))
            .filter(|_| gap > MIN_LOAD_GAP && high > MIN_LOAD_RATIO * low);
        best_team.map(|team| ShardMove { team, from, to })
    }
}

/// The load, in tasks, of each controller that teams may be assigned to, by its name. Always contains the leader.
struct ControllerLoads(BTreeMap<String, f64>);

impl ControllerLoads {
    /// The leader and the peers that have responded within [`FAILOVER_TIMEOUT`], each with a load of 0.
    fn of_responsive(assignment: &ShardAssignment, now: MonotonicTime) -> ControllerLoads {
        let peers = assignment.last_response_at.keys();
        let responsive = peers.filter(|peer| assignment.has_responded_within(peer, now, FAILOVER_TIMEOUT));
        ControllerLoads(responsive.chain([&assignment.leader]).map(|name| (name.clone(), 0.0)).collect())
    }

    /// Adds `weight`, in tasks, to the load of a controller. Returns false if teams may not be assigned to that
    /// controller.
    fn add_load(&mut self, controller: &str, weight: f64) -> bool {
        self.0.get_mut(controller).map(|load| *load += weight).is_some()
    }

    /// The least loaded controller and its load; the first by name among equals.
    fn least_loaded(&self) -> (String, f64) {
        let least = self.0.iter().min_by(|a, b| a.1.total_cmp(b.1));
        least.map(|(name, load)| (name.clone(), *load)).unwrap_or_default()
    }

    /// The most loaded controller and its load; the last by name among equals.
    fn most_loaded(&self) -> (String, f64) {
        let most = self.0.iter().max_by(|a, b| a.1.total_cmp(b.1));
        most.map(|(name, load)| (name.clone(), *load)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
