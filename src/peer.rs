//! What controllers say to each other, in prost. The planner works on these messages as they are,
//! so that a controller can plan on the leader's view without a second form of it.

use bytes::Bytes;
use prost::Message;

/// Raised whenever a message changes its meaning; others are dropped.
pub const VERSION: u32 = 3;

/// A regular word between controllers; also the question whether a leader may hold on.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeat {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub from: String,
    /// The sender is a leader who can't reach the state service and asks for a pledge.
    #[prost(bool, tag = "3")]
    pub asks_extension: bool,
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The leader's counts of its live jobs, for polls.
    #[prost(message, repeated, tag = "5")]
    pub counts: Vec<JobCount>,
    #[prost(bool, tag = "6")]
    pub leading: bool,
    /// The sender hands over to this controller; others hold back a while.
    #[prost(string, tag = "7")]
    pub successor: String,
    /// Machines that the leader doesn't hear from: no use sending them to it.
    #[prost(string, repeated, tag = "8")]
    pub suspected: Vec<String>,
    /// With `asks_extension`: the sender has read all changes of live jobs up to this revision.
    #[prost(uint64, tag = "9")]
    pub read_through: u64,
    /// Jobs that the sender has just told users are cancelled. It saves the leader starts, and
    /// nothing rests on it.
    #[prost(string, repeated, tag = "10")]
    pub cancelled: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct JobCount {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub done: u32,
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeatResponse {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(bool, tag = "2")]
    pub store_ok: bool,
    /// For this long the answering controller will not try to lead; 0 is a no.
    #[prost(uint64, tag = "3")]
    pub pledge_ms: u64,
    /// Of the machines that the asking leader doesn't hear, those that have lately tried here.
    #[prost(string, repeated, tag = "4")]
    pub redirected: Vec<String>,
    /// Who leads, as far as the answering controller has read it from the state service.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// With a pledge: all jobs that users have been told here are cancelled, and that the asking
    /// leader can't have read.
    #[prost(string, repeated, tag = "6")]
    pub cancelled: Vec<String>,
    /// The answering controller can pass workers' heartbeats on to the asking leader.
    #[prost(bool, tag = "7")]
    pub relays_heartbeats: bool,
}

/// Workers' heartbeats that a controller has taken in for the leader, each as the worker wrote it.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatBatch {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub heartbeats: Vec<Bytes>,
    /// The controller that has taken them in.
    #[prost(string, tag = "3")]
    pub from: String,
}

/// What the leader has decided on each heartbeat of a batch, in the order of the batch.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatDecisions {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// False: the controller that was asked does not lead, and has decided nothing.
    #[prost(bool, tag = "2")]
    pub leading: bool,
    #[prost(message, repeated, tag = "3")]
    pub decisions: Vec<HeartbeatDecision>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatDecision {
    /// The HTTP status that the worker gets.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The JSON that the worker gets.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct TypeView {
    #[prost(double, tag = "1")]
    pub cpus: f64,
    #[prost(double, tag = "2")]
    pub gpus: f64,
    #[prost(double, tag = "3")]
    pub memory_gb: f64,
    #[prost(double, tag = "4")]
    pub fetch_gb_per_s: f64,
    #[prost(double, tag = "5")]
    pub price: f64,
    #[prost(double, tag = "6")]
    pub spot_price: f64,
    #[prost(double, tag = "7")]
    pub boot_s: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ImageView {
    #[prost(uint32, tag = "1")]
    pub image: u32,
    /// Seconds until it is there; 0: it is.
    #[prost(double, tag = "2")]
    pub ready_s: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct MachineView {
    #[prost(uint32, tag = "1")]
    pub key: u32,
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    #[prost(uint32, tag = "3")]
    pub zone: u32,
    #[prost(bool, tag = "4")]
    pub spot: bool,
    #[prost(bool, tag = "5")]
    pub up: bool,
    #[prost(double, tag = "6")]
    pub ready_s: f64,
    #[prost(double, tag = "7")]
    pub age_s: f64,
    #[prost(double, tag = "8")]
    pub free_cpus: f64,
    #[prost(double, tag = "9")]
    pub free_gpus: f64,
    #[prost(double, tag = "10")]
    pub free_memory_gb: f64,
    #[prost(message, repeated, tag = "11")]
    pub images: Vec<ImageView>,
    /// How many times slower than its kin.
    #[prost(double, tag = "12")]
    pub slowness: f64,
    /// Of the free room, what urgent work without GPUs may take. Such work can't be stopped for
    /// GPU jobs, so it leaves them their room.
    #[prost(double, tag = "13")]
    pub urgent_cpus: f64,
    #[prost(double, tag = "14")]
    pub urgent_memory_gb: f64,
    /// Of a GPU machine's free room, what work without GPUs that isn't urgent may take.
    #[prost(double, tag = "15")]
    pub preemptible_cpus: f64,
    #[prost(double, tag = "16")]
    pub preemptible_memory_gb: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ZoneCount {
    #[prost(uint32, tag = "1")]
    pub zone: u32,
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct JobView {
    #[prost(uint32, tag = "1")]
    pub key: u32,
    #[prost(uint32, tag = "2")]
    pub team: u32,
    /// 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    #[prost(bool, tag = "4")]
    pub gang: bool,
    #[prost(uint32, tag = "5")]
    pub ready: u32,
    #[prost(uint32, tag = "6")]
    pub tasks: u32,
    #[prost(double, tag = "7")]
    pub cpus: f64,
    #[prost(double, tag = "8")]
    pub gpus: f64,
    #[prost(double, tag = "9")]
    pub memory_gb: f64,
    #[prost(uint32, tag = "10")]
    pub image: u32,
    #[prost(double, tag = "11")]
    pub image_gb: f64,
    #[prost(uint32, repeated, tag = "12")]
    pub types: Vec<u32>,
    #[prost(uint32, optional, tag = "13")]
    pub zone: Option<u32>,
    #[prost(bool, tag = "14")]
    pub one_zone: bool,
    #[prost(bool, tag = "15")]
    pub spread: bool,
    /// May use spot machines at all.
    #[prost(bool, tag = "16")]
    pub spot: bool,
    /// May cause a new spot rental; false on the paper's two fall-backs.
    #[prost(bool, tag = "17")]
    pub new_spot: bool,
    #[prost(double, tag = "18")]
    pub run_s: f64,
    /// Seconds left until the deadline, or none.
    #[prost(double, optional, tag = "19")]
    pub due_s: Option<f64>,
    /// Seconds since submission.
    #[prost(double, tag = "20")]
    pub age_s: f64,
    /// What earlier placements cost above the cheapest.
    #[prost(double, tag = "21")]
    pub overspent: f64,
    #[prost(message, repeated, tag = "22")]
    pub placed: Vec<ZoneCount>,
    #[prost(uint32, repeated, tag = "23")]
    pub avoid: Vec<u32>,
    /// Fits its team's guarantee together with the team's earlier jobs.
    #[prost(bool, tag = "24")]
    pub guaranteed: bool,
    /// Its tasks run until they are cancelled.
    #[prost(bool, tag = "27")]
    pub service: bool,
    /// Seconds left to what the users want of it (deadline, or an aim on finishing), or none.
    #[prost(double, optional, tag = "26")]
    pub slo_deadline_s: Option<f64>,
    /// May cause rentals in this round.
    #[prost(bool, tag = "25")]
    pub may_scale_out: bool,
    /// How many of its class's aims it can't meet any more.
    #[prost(uint32, tag = "28")]
    pub missed_slos: u32,
    /// The part of its rank that comes from the jobs that need it (eq. 1), in seconds.
    #[prost(double, tag = "29")]
    pub dependents_s: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct TeamHeadroom {
    #[prost(uint32, tag = "1")]
    pub team: u32,
    #[prost(double, tag = "2")]
    pub cpus: f64,
    #[prost(double, tag = "3")]
    pub gpus: f64,
}

/// A machine that could be rented.
#[derive(Clone, PartialEq, Message)]
pub struct ProvisionOffer {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    #[prost(bool, tag = "3")]
    pub spot: bool,
    #[prost(uint32, tag = "4")]
    pub most: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct PlanInput {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub round: u64,
    #[prost(message, repeated, tag = "4")]
    pub types: Vec<TypeView>,
    #[prost(message, repeated, tag = "5")]
    pub machines: Vec<MachineView>,
    #[prost(message, repeated, tag = "6")]
    pub jobs: Vec<JobView>,
    #[prost(message, repeated, tag = "7")]
    pub teams: Vec<TeamHeadroom>,
    #[prost(message, repeated, tag = "8")]
    pub offers: Vec<ProvisionOffer>,
    /// The most tasks to place in this round.
    #[prost(uint32, tag = "9")]
    pub batch: u32,
    #[prost(double, tag = "10")]
    pub budget_share: f64,
    #[prost(double, tag = "11")]
    pub spot_mu: f64,
    #[prost(double, tag = "12")]
    pub spot_sigma: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Placement {
    #[prost(uint32, tag = "1")]
    pub job: u32,
    #[prost(uint32, tag = "2")]
    pub machine: u32,
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// What it costs above the cheapest, all together.
    #[prost(double, tag = "4")]
    pub extra: f64,
}

/// Room wanted on new machines; one machine serves loads that add up to 1.
#[derive(Clone, PartialEq, Message)]
pub struct ScaleOutRequest {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    #[prost(bool, tag = "3")]
    pub spot: bool,
    #[prost(double, tag = "4")]
    pub load: f64,
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Waiting {
    #[prost(uint32, tag = "1")]
    pub job: u32,
    /// How many could not be put on a machine that is up.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Some of them count on a spot machine that is not up yet.
    #[prost(bool, tag = "3")]
    pub on_spot: bool,
    /// The finish expected of the best choice, in seconds from now.
    #[prost(double, tag = "4")]
    pub finish_s: f64,
    /// What the run itself takes of that.
    #[prost(double, tag = "5")]
    pub ready_s: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct PlanOutput {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub round: u64,
    #[prost(message, repeated, tag = "4")]
    pub placements: Vec<Placement>,
    #[prost(message, repeated, tag = "5")]
    pub scale_out: Vec<ScaleOutRequest>,
    #[prost(message, repeated, tag = "6")]
    pub waiting: Vec<Waiting>,
}

#[cfg(test)]
mod tests;
