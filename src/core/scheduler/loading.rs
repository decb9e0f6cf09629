//! Loading of the cluster state from the key-value store by a new leader.

use super::Scheduler;
use crate::core::completion_bitmap;
use crate::core::machine::{MACHINE_PREFIX, Machine, MachineRecord, Registration};
use crate::core::records::LIVE_PREFIX;
use crate::ids::{JobId, MachineId, Revision};
use crate::time::MonotonicTime;
use crate::wire::KeyValue;
use log::{info, warn};
use serde_json::Value;

/// The rows of the key-value store that make up the cluster state.
#[derive(Default)]
pub struct StoredState {
    /// Records of live jobs: accepted ones that have not ended.
    pub live: Vec<KeyValue>,
    /// Chunks of completion bitmaps, which say which tasks of each job are done.
    pub bitmaps: Vec<KeyValue>,
    /// Records of machines: endpoint, type, zone, and whether they are spot machines.
    pub machines: Vec<KeyValue>,
    /// The shard assignment (which controller plans for which team), if it is stored.
    pub shards: Option<Value>,
}

impl StoredState {
    /// Splits the state into parts of at most `rows` rows, in the sequence that [`Scheduler::load_part`] requires:
    /// all completion bitmaps come after all jobs.
    pub fn into_parts(self, rows: usize) -> Vec<StoredState> {
        let StoredState { live, bitmaps, machines, shards } = self;
        let live = in_chunks(live, rows).map(|live| StoredState { live, ..StoredState::default() });
        let bitmaps = in_chunks(bitmaps, rows).map(|bitmaps| StoredState { bitmaps, ..StoredState::default() });
        let machines = in_chunks(machines, rows).map(|machines| StoredState { machines, ..StoredState::default() });
        let shards = shards.map(|shards| StoredState { shards: Some(shards), ..StoredState::default() });
        live.chain(bitmaps).chain(machines).chain(shards).collect()
    }
}

fn in_chunks(rows: Vec<KeyValue>, chunk_size: usize) -> impl Iterator<Item = Vec<KeyValue>> {
    let mut rows = rows.into_iter();
    std::iter::from_fn(move || {
        Some(rows.by_ref().take(chunk_size).collect::<Vec<KeyValue>>()).filter(|chunk| !chunk.is_empty())
    })
}

/// Why a stored row is ignored. The row stays in the store, as another version of this program may be able to read it.
#[derive(Debug, thiserror::Error)]
pub(super) enum RowError {
    /// The key is not that of a job.
    #[error("key={key} error=\"not the key of a job\"")]
    NotAJob { key: String },
    /// The job's record can't be decoded.
    #[error("job={job} error=\"{source}\"")]
    UnreadableJob { job: JobId, source: serde_json::Error },
    /// The job's team is not in the settings.
    #[error("job={job} team={team} error=\"unknown team\"")]
    UnknownTeam { job: JobId, team: String },
    /// The chunk of a completion bitmap can't be decoded.
    #[error("key={key} error=\"unreadable bitmap\"")]
    UnreadableBitmap { key: String },
    /// The key is not that of a machine.
    #[error("key={key} error=\"not the key of a machine\"")]
    NotAMachine { key: String },
    /// The machine's record can't be decoded.
    #[error("machine={machine} error=\"{source}\"")]
    UnreadableMachine { machine: MachineId, source: serde_json::Error },
    /// The machine's type or zone is not in the catalog.
    #[error("machine={machine} type={kind} zone={zone} error=\"unknown type or zone\"")]
    UnknownPool { machine: MachineId, kind: String, zone: String },
}

impl Scheduler {
    /// Loads the whole cluster state in one call. To load it piece by piece, use [`Scheduler::load_part`] and
    /// [`Scheduler::finish_load`].
    pub fn load(&mut self, now: MonotonicTime, stored: StoredState) {
        self.load_part(now, stored);
        self.finish_load(now);
    }

    /// Loads a part of the cluster state. Completion bitmaps must come after their jobs: bitmaps without a live job are
    /// deleted from the store. A row that can't be used is logged and ignored.
    pub fn load_part(&mut self, now: MonotonicTime, stored: StoredState) {
        self.meter.add_jobs(stored.live.len() + stored.bitmaps.len());
        self.meter.add_machines(stored.machines.len());
        for row in stored.live {
            log_if_ignored(self.load_job(&row));
        }
        for row in stored.bitmaps {
            log_if_ignored(self.load_completion_bitmap(row));
        }
        for row in stored.machines {
            log_if_ignored(self.load_machine(now, row));
        }
        if let Some(record) = stored.shards.and_then(|value| serde_json::from_value(value).ok()) {
            self.shards.restore(&record, self.quota.team_names());
            self.writes.set_shards_saved();
        }
    }

    /// Completes the loading of the cluster state; called after the last [`Scheduler::load_part`].
    pub fn finish_load(&mut self, now: MonotonicTime) {
        // Until now, heartbeats were answered without the cluster state (`response_before_load`), which renewed the
        // leases of workers that run no tasks. So no worker's lease is taken to have expired until a whole lease after
        // this time.
        self.loaded_at = now;
        info!(
            "cluster state loaded: term={} jobs={} machines={}",
            self.term,
            self.jobs.len(),
            self.machines.known.len()
        );
    }

    fn load_job(&mut self, row: &KeyValue) -> Result<(), RowError> {
        let id = row.key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse);
        let id = id.ok_or_else(|| RowError::NotAJob { key: row.key.clone() })?;
        self.accept_job(&id, &row.value, Revision(row.revision))
    }

    fn load_completion_bitmap(&mut self, row: KeyValue) -> Result<(), RowError> {
        let parsed = completion_bitmap::parse_chunk_key(&row.key);
        let Some((job, number)) = parsed.and_then(|(id, number)| Some((self.jobs.get_mut(&id)?, number))) else {
            self.writes.queue_bitmap_deletions([row.key]);
            return Ok(());
        };
        let layout = &self.limits.layout;
        if job.load_bitmap(|bitmap| layout.read_chunk(bitmap, number, &row.value)) {
            Ok(())
        } else {
            Err(RowError::UnreadableBitmap { key: row.key })
        }
    }

    fn load_machine(&mut self, now: MonotonicTime, row: KeyValue) -> Result<(), RowError> {
        let Some(id) = row.key.strip_prefix(MACHINE_PREFIX).and_then(MachineId::parse) else {
            return Err(RowError::NotAMachine { key: row.key });
        };
        let record = match serde_json::from_value::<MachineRecord>(row.value) {
            Ok(record) => record,
            Err(source) => return Err(RowError::UnreadableMachine { machine: id, source }),
        };
        let Some((kind, zone)) = self.catalog.type_and_zone_numbers(&record.kind, &record.zone) else {
            return Err(RowError::UnknownPool { machine: id, kind: record.kind, zone: record.zone });
        };
        let mut machine = Machine::new(record.endpoint, kind, zone, record.spot, now);
        machine.registration = Registration::Registered;
        // Earlier leaders may have started any task on the machine. Its tasks are fully known only once its worker has
        // sent a message with a token of this term or has lost its lease.
        machine.reconciled = false;
        self.machines.unreconciled.insert(machine.pool());
        self.machines.known.insert(id, machine);
        Ok(())
    }
}

/// Logs why a stored row was ignored, if it was.
pub(super) fn log_if_ignored(loaded: Result<(), RowError>) {
    if let Err(error) = loaded {
        warn!("stored row ignored: {error}");
    }
}
