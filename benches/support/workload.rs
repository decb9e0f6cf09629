//! The jobs and machine types that the benchmarks use.

use wallstile::wire::{JobKind, JobSpec, MachineType, Priority};

/// Number of tasks in each array job.
pub(crate) const ARRAY_TASKS: u32 = 200;
/// One in this many jobs is a service.
const SERVICE_EVERY: u64 = 10;
/// Number of different images that the jobs use.
const IMAGE_COUNT: u64 = 20;

pub(crate) fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 0.5,
        price,
        spot_price: price / 3.0,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![machine_type("small", 8.0, 0.4), machine_type("large", 64.0, 4.0)]
}

/// Returns the job with the given number: a service, or an array of short tasks.
pub(crate) fn job(number: u64) -> JobSpec {
    let service = number.is_multiple_of(SERVICE_EVERY);
    JobSpec {
        id: format!("req-{number:06}"),
        class: if service { "feed" } else { "batch" }.into(),
        team: "team-b".into(),
        kind: if service { JobKind::Service } else { JobKind::Array },
        priority: if service { Priority::Prod } else { Priority::Normal },
        tasks: if service { 4 } else { ARRAY_TASKS },
        cpus: if service { 4.0 } else { 1.0 },
        gpus: 0.0,
        memory_gb: 2.0,
        image: format!("img-{}", number % IMAGE_COUNT),
        image_gb: 1.0,
        allowed_types: None,
        zone: None,
        one_zone: false,
        spread: service,
        allows_spot: true,
        estimated_run_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: Some(60.0),
    }
}
