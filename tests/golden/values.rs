//! Values used in samples of both stored records and messages. The numbers in a value differ from each other, so
//! that a test fails if two fields are swapped.

use wallstile::ids::{JobId, TaskId};
use wallstile::wire::{JobKind, JobSpec, MachineType, Priority};

pub(crate) fn job_id() -> JobId {
    parse_job_id("req-000412")
}

pub(crate) fn parse_job_id(text: &str) -> JobId {
    JobId::parse(text).expect("a valid job id")
}

pub(crate) fn task(index: u32) -> TaskId {
    TaskId { job: job_id(), index }
}

/// Returns a job spec with all optional fields set. No two of the flags `one_zone`, `spread` and `allows_spot` have
/// equal values both in this spec and in [`sparse_job`], so that a test fails if two flags are swapped.
pub(crate) fn full_job() -> JobSpec {
    JobSpec {
        id: "req-000412".into(),
        class: "train".into(),
        team: "team-a".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 17,
        cpus: 2.5,
        gpus: 3.0,
        memory_gb: 24.25,
        image: "image-7".into(),
        image_gb: 6.5,
        allowed_types: Some(vec!["g8".into(), "h16".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        allows_spot: true,
        estimated_run_s: 321.5,
        checkpoint_interval_s: 45.0,
        checkpoint_save_s: 8.75,
        deadline_s: Some(900.0),
    }
}

/// Returns a job spec without the optional fields.
pub(crate) fn sparse_job() -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        priority: Priority::Low,
        allowed_types: None,
        zone: None,
        one_zone: false,
        spread: true,
        allows_spot: true,
        deadline_s: None,
        ..full_job()
    }
}

pub(crate) fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 16.0,
        gpus: 8.0,
        memory_gb: 64.5,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.25,
        price: 3.75,
        spot_price: 1.5,
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    }
}
