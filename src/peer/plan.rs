//! Planning: the view that the leader sends, and the plan that comes back. Indices refer to lists of the
//! leader's, which need not be in the view, unless said otherwise.

use prost::Message;

/// A type of machine.
#[derive(Clone, PartialEq, Message)]
pub struct TypeView {
    /// Processors.
    #[prost(double, tag = "1")]
    pub cpus: f64,
    /// GPUs.
    #[prost(double, tag = "2")]
    pub gpus: f64,
    /// Memory, in GB.
    #[prost(double, tag = "3")]
    pub memory_gb: f64,
    /// Rate of image fetches, in GB per second.
    #[prost(double, tag = "4")]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[prost(double, tag = "5")]
    pub price: f64,
    /// Price per hour of a spot machine.
    #[prost(double, tag = "6")]
    pub spot_price: f64,
    /// Expected time from the request until it is up, in seconds.
    #[prost(double, tag = "7")]
    pub boot_s: f64,
}

/// An image that is on a machine or on its way there.
#[derive(Clone, PartialEq, Message)]
pub struct ImageView {
    /// Number of the image.
    #[prost(uint32, tag = "1")]
    pub image: u32,
    /// Seconds until it is there; 0: it is.
    #[prost(double, tag = "2")]
    pub ready_s: f64,
}

/// A machine that tasks may be placed on.
#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    /// Identifies it in this view.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// Index of its type in the view.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Index of its zone.
    #[prost(uint32, tag = "3")]
    pub zone: u32,
    /// It is a spot machine.
    #[prost(bool, tag = "4")]
    pub spot: bool,
    /// It is up, and tasks placed on it start now.
    #[prost(bool, tag = "5")]
    pub up: bool,
    /// Seconds until it is expected to be up; 0: it is.
    #[prost(double, tag = "6")]
    pub ready_s: f64,
    /// Seconds since it was provisioned.
    #[prost(double, tag = "7")]
    pub age_s: f64,
    /// Free processors.
    #[prost(double, tag = "8")]
    pub free_cpus: f64,
    /// Free GPUs.
    #[prost(double, tag = "9")]
    pub free_gpus: f64,
    /// Free memory, in GB.
    #[prost(double, tag = "10")]
    pub free_memory_gb: f64,
    /// Images that it holds or fetches.
    #[prost(message, repeated, tag = "11")]
    pub images: Vec<ImageView>,
    /// How many times as long as elsewhere tasks run on it.
    #[prost(double, tag = "12")]
    pub slowness: f64,
    /// Headroom of urgent work without GPUs on a GPU machine: such work isn't preempted for GPU
    /// jobs, so it leaves them their part.
    #[prost(double, tag = "13")]
    pub urgent_cpus: f64,
    /// See [`MachineView::urgent_cpus`]; in GB.
    #[prost(double, tag = "14")]
    pub urgent_memory_gb: f64,
    /// Headroom of other work without GPUs on a GPU machine.
    #[prost(double, tag = "15")]
    pub preemptible_cpus: f64,
    /// See [`MachineView::preemptible_cpus`]; in GB.
    #[prost(double, tag = "16")]
    pub preemptible_memory_gb: f64,
}

/// Tasks of a job in a zone.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneCount {
    /// Index of the zone.
    #[prost(uint32, tag = "1")]
    pub zone: u32,
    /// How many tasks of the job are there.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A job with tasks to place.
#[derive(Clone, PartialEq, Message)]
pub struct JobView {
    /// Identifies it in this view.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// Index of its team.
    #[prost(uint32, tag = "2")]
    pub team: u32,
    /// 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// All its tasks start at once, or none does.
    #[prost(bool, tag = "4")]
    pub gang: bool,
    /// How many of its tasks may be placed.
    #[prost(uint32, tag = "5")]
    pub ready: u32,
    /// How many tasks it has.
    #[prost(uint32, tag = "6")]
    pub tasks: u32,
    /// Processors that a task needs.
    #[prost(double, tag = "7")]
    pub cpus: f64,
    /// GPUs that a task needs.
    #[prost(double, tag = "8")]
    pub gpus: f64,
    /// Memory that a task needs, in GB.
    #[prost(double, tag = "9")]
    pub memory_gb: f64,
    /// Number of its image.
    #[prost(uint32, tag = "10")]
    pub image: u32,
    /// Size of the image, in GB.
    #[prost(double, tag = "11")]
    pub image_gb: f64,
    /// Indices of the types allowed; empty: any.
    #[prost(uint32, repeated, tag = "12")]
    pub types: Vec<u32>,
    /// Index of the only zone allowed; none: any.
    #[prost(uint32, optional, tag = "13")]
    pub zone: Option<u32>,
    /// All its tasks must be in the same zone.
    #[prost(bool, tag = "14")]
    pub one_zone: bool,
    /// At most half of its tasks, rounded up, may be in one zone.
    #[prost(bool, tag = "15")]
    pub spread: bool,
    /// May be placed on spot machines.
    #[prost(bool, tag = "16")]
    pub spot: bool,
    /// May cause spot machines to be provisioned; false on the paper's two fall-backs.
    #[prost(bool, tag = "17")]
    pub new_spot: bool,
    /// Expected run time of a task, in seconds.
    #[prost(double, tag = "18")]
    pub run_s: f64,
    /// Seconds left until its deadline (paper, eq. 3); none: it has none.
    #[prost(double, optional, tag = "19")]
    pub due_s: Option<f64>,
    /// Seconds since submission.
    #[prost(double, tag = "20")]
    pub age_s: f64,
    /// What earlier placements cost above the cheapest candidate.
    #[prost(double, tag = "21")]
    pub overspent: f64,
    /// Where its other tasks are.
    #[prost(message, repeated, tag = "22")]
    pub placed: Vec<ZoneCount>,
    /// Keys of machines that it must not be placed on.
    #[prost(uint32, repeated, tag = "23")]
    pub avoid: Vec<u32>,
    /// Fits into its team's guarantee together with the team's earlier jobs.
    #[prost(bool, tag = "24")]
    pub guaranteed: bool,
    /// Its tasks run until they are cancelled.
    #[prost(bool, tag = "27")]
    pub service: bool,
    /// Seconds left until its next SLO deadline; none: it has none that can still be met.
    #[prost(double, optional, tag = "26")]
    pub slo_deadline_s: Option<f64>,
    /// May cause machines to be provisioned in this round.
    #[prost(bool, tag = "25")]
    pub may_scale_out: bool,
    /// How many of its SLO deadlines it can't meet any more.
    #[prost(uint32, tag = "28")]
    pub missed_slos: u32,
    /// The part of its rank that comes from the jobs that depend on it (paper, eq. 1), in seconds.
    #[prost(double, tag = "29")]
    pub dependents_s: f64,
}

/// What is left of a team's quota in this round.
#[derive(Clone, PartialEq, Message)]
pub struct TeamHeadroom {
    /// Index of the team.
    #[prost(uint32, tag = "1")]
    pub team: u32,
    /// Processors.
    #[prost(double, tag = "2")]
    pub cpus: f64,
    /// GPUs.
    #[prost(double, tag = "3")]
    pub gpus: f64,
}

/// Machines of one instance pool that could be provisioned.
#[derive(Clone, PartialEq, Message)]
pub struct ProvisionOffer {
    /// Index of the type in the view.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Index of the zone.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// They are spot machines.
    #[prost(bool, tag = "3")]
    pub spot: bool,
    /// The most machines to provision.
    #[prost(uint32, tag = "4")]
    pub most: u32,
}

/// What the leader asks a controller to plan for.
#[derive(Clone, PartialEq, Message)]
pub struct PlanInput {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Term of the leader that asks.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Number of the round within the term.
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// All types; others refer to them by index.
    #[prost(message, repeated, tag = "4")]
    pub types: Vec<TypeView>,
    /// Machines that tasks may be placed on.
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineView>,
    /// Jobs to plan for.
    #[prost(message, repeated, tag = "6")]
    pub jobs: Vec<JobView>,
    /// Headroom of teams; one that isn't listed has no limit.
    #[prost(message, repeated, tag = "7")]
    pub teams: Vec<TeamHeadroom>,
    /// What could be provisioned.
    #[prost(message, repeated, tag = "8")]
    pub offers: Vec<ProvisionOffer>,
    /// The most tasks to place in this round.
    #[prost(uint32, tag = "9")]
    pub batch: u32,
    /// The paper's B, 0 to 1.
    #[prost(double, tag = "10")]
    pub budget_share: f64,
    /// Logarithm of the median life of spot machines in seconds (paper, eq. 6).
    #[prost(double, tag = "11")]
    pub spot_mu: f64,
    /// Sigma of the lives of spot machines (paper, eq. 6).
    #[prost(double, tag = "12")]
    pub spot_sigma: f64,
}

/// Tasks of a job that are placed on a machine.
#[derive(Clone, PartialEq, Message)]
pub struct Placement {
    /// Key of the job.
    #[prost(uint32, tag = "1")]
    pub job: u32,
    /// Key of the machine.
    #[prost(uint32, tag = "2")]
    pub machine: u32,
    /// How many tasks.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// What they cost above the cheapest candidate, all together.
    #[prost(double, tag = "4")]
    pub extra: f64,
}

/// Capacity that is needed on new machines; one machine serves loads that add up to 1.
#[derive(Clone, PartialEq, Message)]
pub struct ScaleOutRequest {
    /// Index of the type in the view.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Index of the zone.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// It is a spot machine.
    #[prost(bool, tag = "3")]
    pub spot: bool,
    /// The part of one machine that is needed.
    #[prost(double, tag = "4")]
    pub load: f64,
    /// The most urgent priority that needs it; 0 is the most urgent.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}

/// Tasks of a job that wait.
#[derive(Clone, PartialEq, Message)]
pub struct Waiting {
    /// Key of the job.
    #[prost(uint32, tag = "1")]
    pub job: u32,
    /// How many could not be placed on a machine that is up.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Some of them count on a spot machine that is not up yet.
    #[prost(bool, tag = "3")]
    pub on_spot: bool,
    /// The finish expected of the best candidate, in seconds from now.
    #[prost(double, tag = "4")]
    pub finish_s: f64,
    /// The start expected there, in seconds from now.
    #[prost(double, tag = "5")]
    pub ready_s: f64,
}

/// A controller's plan for a [`PlanInput`].
#[derive(Clone, PartialEq, Message)]
pub struct PlanOutput {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Term of the input.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Round of the input.
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// What to place now.
    #[prost(message, repeated, tag = "4")]
    pub placements: Vec<Placement>,
    /// What to provision.
    #[prost(message, repeated, tag = "5")]
    pub scale_out: Vec<ScaleOutRequest>,
    /// What waits.
    #[prost(message, repeated, tag = "6")]
    pub waiting: Vec<Waiting>,
}
