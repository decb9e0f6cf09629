//! Turns among the items of a list that may be another one each time.

/// Counts the turns taken so far. The list isn't kept, so that it may change from one turn to the next.
#[derive(Default)]
pub(super) struct RoundRobin {
    turns: usize,
}

impl RoundRobin {
    /// The item whose turn it is, the same one until `advance`; `None`: the list is empty.
    pub(super) fn current<'a, T>(&self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.turns.checked_rem(items.len())?)
    }

    /// Ends this turn.
    pub(super) fn advance(&mut self) {
        self.turns += 1;
    }
}

#[cfg(test)]
mod tests;
