//! Model of the key-value store.

use super::*;

impl Simulation {
    /// Applies a transaction if all its preconditions hold, and sends the leader a watch event for each record of a
    /// live job that the transaction changes.
    pub(super) fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let revision = |key: &str| self.store.get(key).map_or(0, |(_, revision)| *revision);
        let preconditions = transaction.preconditions.iter();
        let failed: Vec<String> = preconditions
            .filter(|precondition| revision(&precondition.key) != precondition.revision)
            .map(|precondition| precondition.key.clone())
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        assert!(
            transaction.mutations.len() <= self.settings.cluster.store.max_transaction_ops,
            "transaction exceeds the limit on operations"
        );
        self.revision += 1;
        for mutation in &transaction.mutations {
            self.apply(mutation);
        }
        CommitOutcome::Committed(Revision(self.revision))
    }

    fn apply(&mut self, mutation: &Mutation) {
        let (key, value) = match mutation {
            Mutation::Put { key, value, .. } => (key, Some(value.clone())),
            Mutation::Delete { key } => (key, None),
        };
        match &value {
            Some(value) => {
                assert!(value.to_string().len() as f64 <= self.settings.cluster.store.max_value_kb * 1024.0);
                self.store.insert(key.clone(), (value.clone(), self.revision));
            }
            None => {
                self.store.remove(key);
            }
        }
        if let Some(id) = key.strip_prefix(TERMINAL_PREFIX).and_then(JobId::parse) {
            self.check_terminal_record(&id);
        }
        if key.starts_with(LIVE_PREFIX) {
            let (leader, value) = (self.leader_number, value.map(|value| (value, self.revision)));
            let delay = self.rng.random_range(1..200);
            self.send(delay, Message::WatchEvent { leader, key: key.clone(), value });
        }
    }

    pub(super) fn rows(&self, prefix: &str) -> Vec<KeyValue> {
        let rows = self.store.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, (value, revision))| KeyValue { key: key.clone(), value: value.clone(), revision: *revision })
            .collect()
    }

    /// Returns the outcome in a job's terminal record, or `None` if the job has not ended.
    pub(super) fn outcome(&self, id: &JobId) -> Option<JobOutcome> {
        let (value, _) = self.store.get(&terminal_key(id))?;
        serde_json::from_value::<TerminalRecord>(value.clone()).ok().map(|record| record.outcome())
    }
}
