//! Which controller plans for which team. The leader deals the teams out, moves them by measured
//! load, and plans itself for controllers that are silent. Shares are kept in the state service.

use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Team names and who plans for them.
pub const SHARDS_KEY: &str = "ctl/shares";

/// A controller that hasn't answered for this long gets nothing to plan.
const UNRESPONSIVE_TIMEOUT: Millis = Millis(2_500);
/// Its teams move to others after this long.
const FAILOVER_TIMEOUT: Millis = Millis(8_000);
const REBALANCE_INTERVAL: Millis = Millis(10_000);

pub struct ShardAssignment {
    me: String,
    /// Other controllers and when they last answered.
    peers: BTreeMap<String, Option<MonotonicTime>>,
    owner: BTreeMap<u32, String>,
    /// Ready tasks planned for a team, averaged over rounds.
    load: BTreeMap<u32, f64>,
    moved_at: MonotonicTime,
}

impl ShardAssignment {
    pub fn new(me: &str, peers: impl Iterator<Item = String>, teams: u32, now: MonotonicTime) -> ShardAssignment {
        let peers: BTreeMap<String, Option<MonotonicTime>> = peers.map(|p| (p, None)).collect();
        let mut nodes: Vec<String> = peers.keys().cloned().collect();
        nodes.push(me.into());
        nodes.sort();
        let owner = (0..teams).map(|t| (t, nodes[t as usize % nodes.len()].clone())).collect();
        ShardAssignment { me: me.into(), peers, owner, load: BTreeMap::new(), moved_at: now }
    }

    /// Takes over what an earlier leader has kept; names that no longer exist are ignored.
    pub fn restore(&mut self, to_record: &BTreeMap<String, String>, team_names: &[String]) {
        for (team, name) in team_names.iter().enumerate() {
            if let Some(node) = to_record.get(name).filter(|n| **n == self.me || self.peers.contains_key(*n)) {
                self.owner.insert(team as u32, node.clone());
            }
        }
    }

    pub fn to_record(&self, team_names: &[String]) -> BTreeMap<String, String> {
        let name = |t: u32| team_names.get(t as usize).cloned();
        self.owner.iter().filter_map(|(t, n)| Some((name(*t)?, n.clone()))).collect()
    }

    pub fn mark_responsive(&mut self, node: &str, now: MonotonicTime) {
        if let Some(at) = self.peers.get_mut(node) {
            *at = Some(now);
        }
    }

    /// Let a plan go unanswered: silent from now on, until it is heard again.
    pub fn mark_unresponsive(&mut self, node: &str) {
        if let Some(at) = self.peers.get_mut(node) {
            *at = None;
        }
    }

    fn answers(&self, node: &str, now: MonotonicTime, within: Millis) -> bool {
        self.peers.get(node).is_some_and(|at| at.is_some_and(|t| now - t <= within))
    }

    /// The peer to plan for the team; none: the leader plans itself.
    pub fn planner_for(&self, team: u32, now: MonotonicTime) -> Option<&str> {
        let node = self.owner.get(&team)?;
        self.answers(node, now, UNRESPONSIVE_TIMEOUT).then_some(node.as_str())
    }

    pub fn record_load(&mut self, team: u32, ready: u32) {
        let l = self.load.entry(team).or_default();
        *l += 0.1 * (f64::from(ready) - *l);
    }

    /// Moves teams away from silent controllers, or one team from the most loaded controller to
    /// the least loaded. Says what has moved.
    pub fn rebalance(&mut self, now: MonotonicTime) -> Vec<(u32, String, String)> {
        if now - self.moved_at < REBALANCE_INTERVAL {
            return Vec::new();
        }
        self.moved_at = now;
        let mut loads: BTreeMap<String, f64> = BTreeMap::new();
        loads.insert(self.me.clone(), 0.0);
        for p in self.peers.keys().filter(|p| self.answers(p, now, FAILOVER_TIMEOUT)) {
            loads.insert(p.clone(), 0.0);
        }
        let mut moves = Vec::new();
        let weight = |load: &BTreeMap<u32, f64>, t: u32| load.get(&t).copied().unwrap_or(0.0) + 0.5;
        let mut homeless = Vec::new();
        for (t, n) in &self.owner {
            match loads.get_mut(n) {
                Some(l) => *l += weight(&self.load, *t),
                None => homeless.push((*t, n.clone())),
            }
        }
        let least = |loads: &BTreeMap<String, f64>| {
            loads.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(n, l)| (n.clone(), *l)).unwrap_or_default()
        };
        for (t, from) in homeless {
            let (to, _) = least(&loads);
            *loads.entry(to.clone()).or_default() += weight(&self.load, t);
            moves.push((t, from, to));
        }
        if moves.is_empty() {
            let (to, low) = least(&loads);
            let most = loads.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(n, l)| (n.clone(), *l));
            if let Some((from, high)) = most {
                // The team that evens out best; a small difference isn't worth a move.
                let gap = high - low;
                let fits = |t: &u32| weight(&self.load, *t) < gap;
                let of = self.owner.iter().filter(|(_, n)| **n == from).map(|(t, _)| *t).filter(fits);
                let best = of.min_by(|a, b| {
                    let off = |t: &u32| (weight(&self.load, *t) - gap / 2.0).abs();
                    off(a).total_cmp(&off(b))
                });
                if let Some(t) = best.filter(|_| gap > 1.0 && high > 1.3 * low) {
                    moves.push((t, from, to));
                }
            }
        }
        for (t, _, to) in &moves {
            self.owner.insert(*t, to.clone());
        }
        moves
    }
}

#[cfg(test)]
mod tests;
