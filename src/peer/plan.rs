//! Messages for planning rounds: the leader's view of the cluster, which it sends to each controller, and the plan that
//! the controller returns.
//!
//! Indices of zones and teams refer to lists that only the leader has; planners just compare them. "The paper" is the
//! publication that [`crate::core::placement`] follows.

use prost::Message;

/// A machine type, as the planners see it.
#[derive(Clone, PartialEq, Message)]
pub struct MachineTypeView {
    /// Total number of CPUs of a machine of this type.
    #[prost(double, tag = "1")]
    pub cpus: f64,
    /// Total number of GPUs of a machine of this type.
    #[prost(double, tag = "2")]
    pub gpus: f64,
    /// Total memory of a machine of this type, in GB.
    #[prost(double, tag = "3")]
    pub memory_gb: f64,
    /// Bandwidth at which a machine fetches images, in GB per second, shared by concurrent fetches.
    #[prost(double, tag = "4")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[prost(double, tag = "5")]
    pub price: f64,
    /// Price per hour of a spot machine.
    #[prost(double, tag = "6")]
    pub spot_price: f64,
    /// Expected time from the request until a machine is up, in seconds.
    #[prost(double, tag = "7")]
    pub boot_s: f64,
}

/// An image that is in a machine's cache or being fetched.
#[derive(Clone, PartialEq, Message)]
pub struct ImageView {
    /// Number that the leader has assigned to the image.
    #[prost(uint32, tag = "1")]
    pub image: u32,
    /// Seconds until the machine has fetched the image; 0 if the image is in its cache.
    #[prost(double, tag = "2")]
    pub ready_in_s: f64,
}

/// A machine that tasks may be placed on: an existing one, or one that has been requested from the cloud.
#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    /// Identifies the machine in this view.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// Index of the machine's type in [`PlanInput::types`].
    #[prost(uint32, tag = "2")]
    pub type_index: u32,
    /// Index of the machine's zone in the leader's list of zones.
    #[prost(uint32, tag = "3")]
    pub zone: u32,
    /// Whether the machine is a spot machine.
    #[prost(bool, tag = "4")]
    pub spot: bool,
    /// Whether the machine is up and registered, so that tasks placed on it can start now.
    #[prost(bool, tag = "5")]
    pub up: bool,
    /// Expected time until tasks can start on the machine, in seconds; 0 if they can start now.
    #[prost(double, tag = "6")]
    pub ready_in_s: f64,
    /// Seconds since the machine was provisioned, rounded down to a multiple of 30 s.
    #[prost(double, tag = "7")]
    pub age_s: f64,
    /// Number of free CPUs of the machine.
    #[prost(double, tag = "8")]
    pub free_cpus: f64,
    /// Number of free GPUs of the machine.
    #[prost(double, tag = "9")]
    pub free_gpus: f64,
    /// Free memory of the machine, in GB.
    #[prost(double, tag = "10")]
    pub free_memory_gb: f64,
    /// Images that are in the machine's cache or being fetched.
    #[prost(message, repeated, tag = "11")]
    pub images: Vec<ImageView>,
    /// Factor by which tasks run longer on the machine than their job's tasks on average; 1 if they run as long.
    #[prost(double, tag = "12")]
    pub slowness: f64,
    /// Only for a GPU machine: number of its CPUs that jobs of priority `prod` or `high` without GPUs may still take.
    /// Such jobs aren't preempted for GPU jobs, so this limit keeps capacity free for GPU jobs.
    #[prost(double, tag = "13")]
    pub urgent_headroom_cpus: f64,
    /// Only for a GPU machine: memory that jobs of priority `prod` or `high` without GPUs may still take, in GB; see
    /// [`MachineView::urgent_headroom_cpus`].
    #[prost(double, tag = "14")]
    pub urgent_headroom_memory_gb: f64,
    /// Only for a GPU machine: number of its CPUs that jobs of priority `normal` or `low` without GPUs may still take.
    /// Such jobs can be preempted for GPU jobs.
    #[prost(double, tag = "15")]
    pub preemptible_headroom_cpus: f64,
    /// Only for a GPU machine: memory that jobs of priority `normal` or `low` without GPUs may still take, in GB; see
    /// [`MachineView::preemptible_headroom_cpus`].
    #[prost(double, tag = "16")]
    pub preemptible_headroom_memory_gb: f64,
    /// How many more tasks the machine may hold, so that its worker's heartbeat stays within the protocol's size; `None`
    /// if the leader's version has no such limit.
    #[prost(uint32, optional, tag = "17")]
    pub free_task_slots: Option<u32>,
}

/// The number of a job's tasks in a zone.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneCount {
    /// Index of the zone in the leader's list of zones.
    #[prost(uint32, tag = "1")]
    pub zone: u32,
    /// Number of the job's tasks in the zone.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A job with tasks to place.
#[derive(Clone, PartialEq, Message)]
pub struct JobView {
    /// Identifies the job's entry in this view. A job may have two entries: one for tasks whose spot machines were
    /// reclaimed, and one for all others.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// Index of the job's team in the leader's list of teams.
    #[prost(uint32, tag = "2")]
    pub team: u32,
    /// Priority of the job; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Whether the job is a gang: all its tasks start at the same time, or none starts.
    #[prost(bool, tag = "4")]
    pub gang: bool,
    /// Number of the entry's tasks that are to be placed now.
    #[prost(uint32, tag = "5")]
    pub ready_tasks: u32,
    /// Total number of the job's tasks, placed and finished ones included.
    #[prost(uint32, tag = "6")]
    pub tasks: u32,
    /// CPUs that a task needs.
    #[prost(double, tag = "7")]
    pub cpus: f64,
    /// GPUs that a task needs.
    #[prost(double, tag = "8")]
    pub gpus: f64,
    /// Memory that a task needs, in GB.
    #[prost(double, tag = "9")]
    pub memory_gb: f64,
    /// Number that the leader has assigned to the job's image.
    #[prost(uint32, tag = "10")]
    pub image: u32,
    /// Size of the job's image, in GB.
    #[prost(double, tag = "11")]
    pub image_gb: f64,
    /// Indices of the allowed machine types in [`PlanInput::types`]; empty if all are allowed.
    #[prost(uint32, repeated, tag = "12")]
    pub allowed_types: Vec<u32>,
    /// Index of the only zone that the job's tasks may run in; `None` if all zones are allowed.
    #[prost(uint32, optional, tag = "13")]
    pub zone: Option<u32>,
    /// Whether all tasks of the job must be in the same zone.
    #[prost(bool, tag = "14")]
    pub one_zone: bool,
    /// Whether the job's tasks must be spread over zones: at most half of them, rounded up, may be in one zone.
    #[prost(bool, tag = "15")]
    pub spread: bool,
    /// Whether the job's tasks may be placed on spot machines.
    #[prost(bool, tag = "16")]
    pub allows_spot: bool,
    /// Whether spot machines may be provisioned for the job. They may not in the two cases in which the paper that
    /// [`crate::core::placement`] follows falls back to on-demand machines: for tasks whose spot machines were
    /// reclaimed, and once the job has waited too long for spot machines.
    #[prost(bool, tag = "17")]
    pub may_provision_spot: bool,
    /// Expected run time of one of the job's tasks, in seconds. For a service it is the configured horizon.
    #[prost(double, tag = "18")]
    pub run_s: f64,
    /// Seconds until the job's deadline (eq. 3 of the paper that [`crate::core::placement`] follows), which is the
    /// earliest of the deadline that its user set, the one that follows from its start-time SLO, and those inherited
    /// from the jobs that depend on it; `None` if there is none.
    #[prost(double, optional, tag = "19")]
    pub due_s: Option<f64>,
    /// Seconds since the job could start, that is, since all its dependencies were done.
    #[prost(double, tag = "20")]
    pub age_s: f64,
    /// Total cost of the job's earlier placements beyond that of the cheapest candidate, in the currency of the cloud's
    /// prices.
    #[prost(double, tag = "21")]
    pub excess_cost: f64,
    /// Number of the job's tasks that are already placed, by zone.
    #[prost(message, repeated, tag = "22")]
    pub placed: Vec<ZoneCount>,
    /// Keys ([`MachineView::key`]) of machines that the job's tasks must not be placed on.
    #[prost(uint32, repeated, tag = "23")]
    pub avoided_machines: Vec<u32>,
    /// Whether the job fits into its team's guarantee, together with the team's jobs that come before it.
    #[prost(bool, tag = "24")]
    pub guaranteed: bool,
    /// Whether the job is a service: its tasks run until it is cancelled.
    #[prost(bool, tag = "27")]
    pub service: bool,
    /// Seconds until the job's earliest SLO deadline that can still be met; `None` if there is none.
    #[prost(double, optional, tag = "26")]
    pub slo_deadline_s: Option<f64>,
    /// Whether machines may be provisioned for the job in this planning round.
    #[prost(bool, tag = "25")]
    pub may_scale_out: bool,
    /// Number of the job's SLO deadlines that can no longer be met; 0 for a service.
    #[prost(uint32, tag = "28")]
    pub missed_slos: u32,
    /// The part of the job's rank (eq. 1 of the paper that [`crate::core::placement`] follows) that is due to the jobs
    /// that depend on it, in seconds.
    #[prost(double, tag = "29")]
    pub dependents_rank_s: f64,
}

/// The part of a team's quota that is not in use.
#[derive(Clone, PartialEq, Message)]
pub struct TeamHeadroom {
    /// Index of the team in the leader's list of teams.
    #[prost(uint32, tag = "1")]
    pub team: u32,
    /// Number of CPUs that the team's tasks may use in addition to those in use.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// Number of GPUs that the team's tasks may use in addition to those in use.
    #[prost(double, tag = "3")]
    pub gpus: f64,
}

/// An instance pool from which machines can be provisioned.
#[derive(Clone, PartialEq, Message)]
pub struct ProvisionOffer {
    /// Index of the pool's machine type in [`PlanInput::types`].
    #[prost(uint32, tag = "1")]
    pub type_index: u32,
    /// Index of the pool's zone in the leader's list of zones.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// Whether the pool's machines are spot machines.
    #[prost(bool, tag = "3")]
    pub spot: bool,
    /// Maximum number of machines that may be provisioned from the pool.
    #[prost(uint32, tag = "4")]
    pub max_count: u32,
}

/// The leader's request to a controller to plan a shard's jobs in a round.
#[derive(Clone, PartialEq, Message)]
pub struct PlanInput {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Term of the leader.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Number of the planning round within the leader's term.
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// All machine types, to which other fields refer by index.
    #[prost(message, repeated, tag = "4")]
    pub types: Vec<MachineTypeView>,
    /// Machines that tasks may be placed on.
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineView>,
    /// Jobs with tasks to place in the planning round.
    #[prost(message, repeated, tag = "6")]
    pub jobs: Vec<JobView>,
    /// Unused quota of the teams. A team that isn't listed has no limit.
    #[prost(message, repeated, tag = "7")]
    pub teams: Vec<TeamHeadroom>,
    /// Instance pools from which machines can be provisioned.
    #[prost(message, repeated, tag = "8")]
    pub offers: Vec<ProvisionOffer>,
    /// Batch size: the maximum number of tasks to place on machines that are up in this planning round.
    #[prost(uint32, tag = "9")]
    pub batch_size: u32,
    /// How much more than the cheapest candidate a task may cost on average, as a fraction, 0 to 1, of the difference
    /// in cost between the most expensive and the cheapest one (B in the paper that [`crate::core::placement`]
    /// follows).
    #[prost(double, tag = "10")]
    pub budget_share: f64,
    /// Natural logarithm of the median lifetime of spot machines in seconds (eq. 6 of the paper that
    /// [`crate::core::placement`] follows).
    #[prost(double, tag = "11")]
    pub spot_mu: f64,
    /// Sigma of the log-normal distribution of spot machines' lifetimes (eq. 6 of the paper that
    /// [`crate::core::placement`] follows).
    #[prost(double, tag = "12")]
    pub spot_sigma: f64,
}

/// A decision to place tasks of a job on a machine.
#[derive(Clone, PartialEq, Message)]
pub struct Placement {
    /// Key of the job's entry ([`JobView::key`]).
    #[prost(uint32, tag = "1")]
    pub job: u32,
    /// Key of the machine ([`MachineView::key`]).
    #[prost(uint32, tag = "2")]
    pub machine: u32,
    /// Number of the job's tasks to place on the machine.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Total cost of these tasks beyond that on the cheapest candidate, in the currency of the cloud's prices.
    #[prost(double, tag = "4")]
    pub excess_cost: f64,
}

/// A planner's request for capacity on new machines. The leader adds up the loads requested from each instance pool;
/// one machine serves a load of 1.
#[derive(Clone, PartialEq, Message)]
pub struct ScaleOutRequest {
    /// Index of the machine type in [`PlanInput::types`].
    #[prost(uint32, tag = "1")]
    pub type_index: u32,
    /// Index of the zone in the leader's list of zones.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// Whether the capacity is requested on spot machines.
    #[prost(bool, tag = "3")]
    pub spot: bool,
    /// Capacity that is needed, as a fraction of one machine.
    #[prost(double, tag = "4")]
    pub load: f64,
    /// The most urgent priority of the jobs that need the capacity; 0 is the most urgent.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}

/// Tasks of a job that could not be placed on a machine that is up, and therefore wait.
#[derive(Clone, PartialEq, Message)]
pub struct WaitingTasks {
    /// Key of the job's entry ([`JobView::key`]).
    #[prost(uint32, tag = "1")]
    pub job: u32,
    /// Number of the job's tasks that could not be placed on a machine that is up.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Whether some of these tasks wait for a spot machine that is not up yet.
    #[prost(bool, tag = "3")]
    pub waits_for_spot: bool,
    /// The latest expected finish of those tasks that wait for a machine to come up, in seconds from now; 0 if there
    /// are none.
    #[prost(double, tag = "4")]
    pub finish_s: f64,
    /// The latest expected start of those tasks that wait for a machine to come up, in seconds from now; 0 if there are
    /// none.
    #[prost(double, tag = "5")]
    pub start_s: f64,
}

/// The plan that a controller returns for a [`PlanInput`].
#[derive(Clone, PartialEq, Message)]
pub struct PlanOutput {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// [`PlanInput::term`] of the request.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// [`PlanInput::round`] of the request.
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// Placements of tasks on machines that are up.
    #[prost(message, repeated, tag = "4")]
    pub placements: Vec<Placement>,
    /// Capacity on new machines that the leader should provision.
    #[prost(message, repeated, tag = "5")]
    pub scale_out: Vec<ScaleOutRequest>,
    /// Tasks that could not be placed on a machine that is up, and therefore wait.
    #[prost(message, repeated, tag = "6")]
    pub waiting: Vec<WaitingTasks>,
}
