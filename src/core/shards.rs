//! Which controller plans for which team.
//!
//! The leader assigns each team (a shard) to a controller, moves teams by measured load, and plans itself for
//! the teams of controllers that don't respond. The assignment is kept in the key-value store under
//! [`SHARDS_KEY`], so that it outlives the leader.

use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Key of the assignment: a JSON object of the controller's name by the team's name.
pub const SHARDS_KEY: &str = "ctl/shares";

/// A controller that hasn't responded for this long gets nothing to plan.
const UNRESPONSIVE_TIMEOUT: Millis = Millis(2_500);
/// A controller that hasn't responded for this long loses its teams to others.
const FAILOVER_TIMEOUT: Millis = Millis(8_000);
const REBALANCE_INTERVAL: Millis = Millis(10_000);
/// What a team weighs without any load, in tasks, so that idle teams are spread as well.
const BASE_WEIGHT: f64 = 0.5;
/// Part of the newest measurement in a team's average load.
const LOAD_SMOOTHING: f64 = 0.1;
/// A team is moved for its load only if controllers differ by more than this, in tasks,
const MIN_GAP: f64 = 1.0;
/// and only if the most loaded one has more than this many times the load of the least loaded one.
const MIN_LOAD_RATIO: f64 = 1.3;

/// A team that another controller plans for from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardMove {
    /// Index of the team in the settings.
    pub team: u32,
    /// Name of the controller that planned for it.
    pub from: String,
    /// Name of the controller that plans for it from now on.
    pub to: String,
}

/// The leader's assignment of teams to controllers. Teams are identified by their index in the settings,
/// controllers by their name.
pub struct ShardAssignment {
    /// The leader's own name.
    leader: String,
    /// Other controllers and when they last responded; none: not at all, or they have left a plan unanswered.
    responded_at: BTreeMap<String, Option<MonotonicTime>>,
    owners: BTreeMap<u32, String>,
    /// Ready tasks planned for a team, averaged over rounds.
    loads: BTreeMap<u32, f64>,
    rebalanced_at: MonotonicTime,
}

impl ShardAssignment {
    /// Teams are assigned to the controllers in turn, in the order of the controllers' names.
    pub fn new(leader: &str, peers: impl Iterator<Item = String>, teams: u32, now: MonotonicTime) -> ShardAssignment {
        let responded_at: BTreeMap<String, Option<MonotonicTime>> = peers.map(|peer| (peer, None)).collect();
        let mut controllers: Vec<String> = responded_at.keys().cloned().collect();
        controllers.push(leader.into());
        controllers.sort();
        let owner_of = |team: u32| controllers[team as usize % controllers.len()].clone();
        let owners = (0..teams).map(|team| (team, owner_of(team))).collect();
        ShardAssignment { leader: leader.into(), responded_at, owners, loads: BTreeMap::new(), rebalanced_at: now }
    }

    /// Takes over the assignment that an earlier leader has stored. Names of teams and controllers that no
    /// longer exist are ignored.
    pub fn restore(&mut self, record: &BTreeMap<String, String>, team_names: &[String]) {
        for (team, name) in team_names.iter().enumerate() {
            if let Some(owner) = record.get(name).filter(|owner| self.is_controller(owner)) {
                self.owners.insert(team as u32, owner.clone());
            }
        }
    }

    fn is_controller(&self, name: &str) -> bool {
        name == self.leader || self.responded_at.contains_key(name)
    }

    /// The assignment as it is stored: the controller's name by the team's name.
    pub fn to_record(&self, team_names: &[String]) -> BTreeMap<String, String> {
        let name = |team: u32| team_names.get(team as usize).cloned();
        self.owners.iter().filter_map(|(team, owner)| Some((name(*team)?, owner.clone()))).collect()
    }

    /// The controller has responded.
    pub fn mark_responsive(&mut self, controller: &str, now: MonotonicTime) {
        if let Some(at) = self.responded_at.get_mut(controller) {
            *at = Some(now);
        }
    }

    /// The controller has left a plan unanswered: it gets nothing to plan until it responds again.
    pub fn mark_unresponsive(&mut self, controller: &str) {
        if let Some(at) = self.responded_at.get_mut(controller) {
            *at = None;
        }
    }

    fn has_responded(&self, controller: &str, now: MonotonicTime, within: Millis) -> bool {
        self.responded_at.get(controller).is_some_and(|at| at.is_some_and(|at| now - at <= within))
    }

    /// The peer that plans for the team; none: the leader does.
    pub fn planner_for(&self, team: u32, now: MonotonicTime) -> Option<&str> {
        let owner = self.owners.get(&team)?;
        self.has_responded(owner, now, UNRESPONSIVE_TIMEOUT).then_some(owner.as_str())
    }

    /// Takes a round's number of ready tasks into the team's average load.
    pub fn record_load(&mut self, team: u32, ready: u32) {
        let load = self.loads.entry(team).or_default();
        *load += LOAD_SMOOTHING * (f64::from(ready) - *load);
    }

    fn weight(&self, team: u32) -> f64 {
        self.loads.get(&team).copied().unwrap_or(0.0) + BASE_WEIGHT
    }

    /// Moves teams away from controllers that have stopped responding, or else at most one team from the most
    /// loaded controller to the least loaded. Returns what has moved; at most once in a fixed interval, other
    /// calls do nothing.
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

    /// Adds the teams of responsive controllers to `loads`, and moves each other team to the controller that
    /// is then the least loaded.
    fn moves_from_unresponsive(&self, loads: &mut ControllerLoads) -> Vec<ShardMove> {
        let orphaned: Vec<(&u32, &String)> =
            self.owners.iter().filter(|(team, owner)| !loads.add_if_known(owner, self.weight(**team))).collect();
        let mut moves = Vec::new();
        for (team, from) in orphaned {
            let (to, _) = loads.least();
            loads.add_if_known(&to, self.weight(*team));
            moves.push(ShardMove { team: *team, from: from.clone(), to });
        }
        moves
    }

    /// The move of one team that best evens out the most and the least loaded controller, if they differ by
    /// enough to be worth a move.
    fn move_by_load(&self, loads: &ControllerLoads) -> Option<ShardMove> {
        let (to, low) = loads.least();
        let (from, high) = loads.most();
        let gap = high - low;
        let teams = self.owners.iter().filter(|(_, owner)| **owner == from).map(|(team, _)| *team);
        let distance = |team: &u32| (self.weight(*team) - gap / 2.0).abs();
        let best = teams
            .filter(|team| self.weight(*team) < gap)
            .min_by(|a, b| distance(a).total_cmp(&distance(b)))
            .filter(|_| gap > MIN_GAP && high > MIN_LOAD_RATIO * low);
        best.map(|team| ShardMove { team, from, to })
    }
}

/// The load of each controller that may plan: never empty, as the leader always may.
struct ControllerLoads(BTreeMap<String, f64>);

impl ControllerLoads {
    /// The leader and the peers that have responded lately, without load.
    fn of_responsive(assignment: &ShardAssignment, now: MonotonicTime) -> ControllerLoads {
        let peers = assignment.responded_at.keys();
        let responsive = peers.filter(|peer| assignment.has_responded(peer, now, FAILOVER_TIMEOUT));
        ControllerLoads(responsive.chain([&assignment.leader]).map(|name| (name.clone(), 0.0)).collect())
    }

    /// Adds to the controller's load; false: it isn't among them.
    fn add_if_known(&mut self, controller: &str, weight: f64) -> bool {
        self.0.get_mut(controller).map(|load| *load += weight).is_some()
    }

    /// The least loaded controller and its load; of equals the first by name.
    fn least(&self) -> (String, f64) {
        let least = self.0.iter().min_by(|a, b| a.1.total_cmp(b.1));
        least.map(|(name, load)| (name.clone(), *load)).unwrap_or_default()
    }

    /// The most loaded controller and its load; of equals the last by name.
    fn most(&self) -> (String, f64) {
        let most = self.0.iter().max_by(|a, b| a.1.total_cmp(b.1));
        most.map(|(name, load)| (name.clone(), *load)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
