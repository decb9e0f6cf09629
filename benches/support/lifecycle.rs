//! What happens to a job besides its tasks: it is counted for users' polls, found by a new leader and cancelled.

use crate::fleet::{Fleet, Input, Observation};
use wallstile::config::{Settings, Tuning};
use wallstile::core::election::LeaderRecord;
use wallstile::core::machine::{MACHINE_PREFIX, MachineRecord};
use wallstile::core::records::{JobOutcome, LiveRecord, live_key};
use wallstile::core::scheduler::{Scheduler, StoredState};
use wallstile::ids::{JobId, LeaseId, Term};
use wallstile::time::{MonotonicTime, WallTime};
use wallstile::wire::{JobSpec, KeyValue};

/// Term of the new leader. Its store revision is also that at which the new leader finds the job.
const NEXT_TERM: Term = Term(1_000_000);

impl Fleet {
    /// Counts the tasks of the live jobs, as the leader does for users' polls.
    pub(crate) fn count_live_jobs(&mut self) -> Observation {
        self.observe(Input::EffectResult, |scheduler| scheduler.live_job_counts());
        self.last_observation()
    }

    /// Reports the cancellation of a job.
    pub(crate) fn cancel(&mut self, id: &str) -> Observation {
        let id = JobId::parse(id).expect("a valid id");
        self.observe(Input::EffectResult, |scheduler| scheduler.on_job_terminated(&id, JobOutcome::Cancelled));
        self.last_observation()
    }

    /// Replaces the leader by one that loads the job and the machines' records.
    pub(crate) fn change_leader(&mut self, spec: &JobSpec) -> Observation {
        let settings = Settings::parse(include_str!("../../tests/settings.json")).expect("the sample is valid");
        let record = LeaderRecord { node: settings.name.clone(), incarnation: 2, lease: LeaseId(2) };
        let types = crate::workload::machine_types();
        let now = MonotonicTime(self.now_ms);
        self.scheduler = Scheduler::new(settings, Tuning::default(), types, NEXT_TERM, record, now);
        let id = JobId::parse(&spec.id).expect("a valid id");
        let live = LiveRecord { submitted_at: WallTime(self.now_ms), spec: spec.clone(), depends_on: Vec::new() };
        let row = |key, value| KeyValue { key, value, revision: 2 };
        let machines = self.workers.iter().map(|worker| {
            let heartbeat = &worker.heartbeat;
            let record = MachineRecord {
                endpoint: heartbeat.endpoint.clone(),
                kind: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            };
            row(format!("{MACHINE_PREFIX}{}", heartbeat.machine), serde_json::json!(record))
        });
        let stored = StoredState {
            live: vec![row(live_key(&id), serde_json::json!(live))],
            machines: machines.collect(),
            ..StoredState::default()
        };
        self.observe(Input::EffectResult, |scheduler| scheduler.load(now, stored));
        self.last_observation()
    }

    fn last_observation(&mut self) -> Observation {
        self.observations.pop().expect("an input was observed")
    }
}
