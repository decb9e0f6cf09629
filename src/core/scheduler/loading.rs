//! How a new leader reads the cluster state that the key-value store holds.

use super::*;

/// Everything kept in the state service, as read by a new leader.
#[derive(Default)]
pub struct StoredState {
    pub live: Vec<KeyValue>,
    pub bitmaps: Vec<KeyValue>,
    pub machines: Vec<KeyValue>,
    pub shards: Option<Value>,
}

impl StoredState {
    /// The same in parts of at most so many rows, done sets after all jobs.
    pub fn into_parts(self, rows: usize) -> Vec<StoredState> {
        let StoredState { live, bitmaps, machines, shards } = self;
        let live = in_chunks(live, rows).map(|live| StoredState { live, ..StoredState::default() });
        let bitmaps = in_chunks(bitmaps, rows).map(|bitmaps| StoredState { bitmaps, ..StoredState::default() });
        let machines = in_chunks(machines, rows).map(|machines| StoredState { machines, ..StoredState::default() });
        let shards = shards.map(|shards| StoredState { shards: Some(shards), ..StoredState::default() });
        live.chain(bitmaps).chain(machines).chain(shards).collect()
    }
}

fn in_chunks(rows: Vec<KeyValue>, most: usize) -> impl Iterator<Item = Vec<KeyValue>> {
    let mut rows = rows.into_iter();
    std::iter::from_fn(move || {
        Some(rows.by_ref().take(most).collect::<Vec<KeyValue>>()).filter(|chunk| !chunk.is_empty())
    })
}

impl Scheduler {
    /// What the state service holds, in one go.
    pub fn load(&mut self, now: MonotonicTime, stored: StoredState) {
        self.load_part(now, stored);
        self.finish_load(now);
    }

    /// Some of what the state service holds; done sets come after their jobs. A row that can't be read is
    /// left alone.
    pub fn load_part(&mut self, now: MonotonicTime, stored: StoredState) {
        self.cost.add_jobs(stored.live.len() + stored.bitmaps.len());
        self.cost.add_machines(stored.machines.len());
        stored.live.into_iter().for_each(|row| self.load_job(row));
        stored.bitmaps.into_iter().for_each(|row| self.load_completion_bitmap(row));
        stored.machines.into_iter().for_each(|row| self.load_machine(now, row));
        if let Some(kept) = stored.shards.and_then(|v| serde_json::from_value(v).ok()) {
            self.shards.restore(&kept, &self.quota.team_names);
            self.writes.shards_unsaved = false;
        }
    }

    /// All that the state service holds has been loaded.
    pub fn finish_load(&mut self, now: MonotonicTime) {
        // Until now reports were answered without the cluster state, which renewed workers' leases.
        self.since = now;
        info!(
            "cluster state loaded: term={} jobs={} machines={}",
            self.term,
            self.jobs.live.len(),
            self.machines.known.len()
        );
    }

    fn load_job(&mut self, row: KeyValue) {
        match row.key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) {
            Some(id) => self.on_job_accepted(&id, &row.value, Revision(row.revision)),
            None => warn!("state: key {} is no job", row.key),
        }
    }

    fn load_completion_bitmap(&mut self, row: KeyValue) {
        let parsed = completion_bitmap::parse_key(&row.key);
        let Some((job, number)) = parsed.and_then(|(id, number)| Some((self.jobs.live.get_mut(&id)?, number))) else {
            self.writes.orphaned_bitmaps.push(row.key);
            return;
        };
        if !self.limits.layout.read(&mut job.durably_done, number, &row.value) {
            warn!("state: {} can't be read", row.key);
        }
        let done: Vec<usize> = job.durably_done.ones().collect();
        for i in done {
            job.set_done(i as u32);
        }
    }

    fn load_machine(&mut self, now: MonotonicTime, row: KeyValue) {
        let id = row.key.strip_prefix(MACHINE_PREFIX).and_then(MachineId::parse);
        let record = serde_json::from_value::<MachineRecord>(row.value);
        let (Some(id), Ok(r)) = (id, record) else {
            return warn!("state: {} can't be read", row.key);
        };
        let Some((kind, zone)) = self.catalog.place_of(&r.kind, &r.zone) else {
            return warn!("state: machine {id} is of unknown kind {} or zone {}", r.kind, r.zone);
        };
        let mut m = Machine::new(r.endpoint, kind, zone, r.spot, now);
        m.registration = Registration::Registered;
        // It may hold anything until it reports under this leader's token.
        m.reconciled = false;
        self.machines.unreconciled.insert(m.pool());
        self.machines.known.insert(id, m);
    }
}
