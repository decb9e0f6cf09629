//! Which controller plans for which team.

use std::collections::BTreeMap;

/// Teams are dealt out to the controllers that answer, by load; the leader plans for the rest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    owner: BTreeMap<u32, String>,
}

impl Shares {
    pub fn owner(&self, team: u32) -> Option<&str> {
        self.owner.get(&team).map(String::as_str)
    }

    pub fn give(&mut self, team: u32, node: &str) {
        self.owner.insert(team, node.into());
    }

    pub fn teams_of(&self, node: &str) -> Vec<u32> {
        self.owner.iter().filter(|(_, n)| *n == node).map(|(t, _)| *t).collect()
    }
}
