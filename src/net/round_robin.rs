//! Round-robin selection from a list whose items may change between selections.

/// A round-robin selector. Stores only the number of turns taken, so the list of items may differ from turn to turn.
#[derive(Default)]
pub(super) struct RoundRobin {
    turns: usize,
}

impl RoundRobin {
    /// The item whose turn it is, which stays the same until [`advance`](RoundRobin::advance) is called, provided that
    /// the list does. Returns `None` if the list is empty.
    pub(super) fn current<'a, T>(&self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.turns.checked_rem(items.len())?)
    }

    /// Ends the current turn, so that the next item of the list has its turn.
    pub(super) fn advance(&mut self) {
        self.turns += 1;
    }
}

#[cfg(test)]
mod tests;
