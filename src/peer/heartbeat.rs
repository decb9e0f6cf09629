//! Heartbeats between controllers, and workers' heartbeats that a controller relays to the leader.

use bytes::Bytes;
use prost::Message;

/// A heartbeat from one controller to another. A leader sends one to each peer about once a second. With
/// `requests_lease_extension` the heartbeat also asks the receiver to pledge not to stand for election (see
/// [`crate::core::election`]).
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeat {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Whether the sender is a leader to which the key-value store is unavailable, and which asks the receiver to
    /// pledge not to stand for election, so that the leader can extend its lease.
    #[prost(bool, tag = "3")]
    pub requests_lease_extension: bool,
    /// Term of the sender if it is the leader, otherwise 0.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The leader's task counts of its live jobs, which its peers show to users that poll a job.
    #[prost(message, repeated, tag = "5")]
    pub live_job_counts: Vec<JobCount>,
    /// Whether the sender is the leader.
    #[prost(bool, tag = "6")]
    pub leading: bool,
    /// Name of the controller that the sender hands its leadership over to; empty if it hands over to none. The other
    /// controllers don't stand for election for a while.
    #[prost(string, tag = "7")]
    pub successor: String,
    /// Names of machines that the leader suspects of having failed. If the workers of such machines send heartbeats to
    /// a peer, they probably can't reach the leader, so the peer doesn't redirect these workers to it.
    #[prost(string, repeated, tag = "8")]
    pub suspected_machines: Vec<String>,
    /// Only with `requests_lease_extension`: the store revision up to which the sender has read all changes of live
    /// jobs.
    #[prost(uint64, tag = "9")]
    pub read_through: u64,
    /// Names of jobs whose cancellation the sender has just confirmed to users. A leader that receives them stops
    /// starting tasks of these jobs sooner; correctness doesn't depend on these names.
    #[prost(string, repeated, tag = "10")]
    pub cancelled_jobs: Vec<String>,
}

/// Task counts of a job, for display only.
#[derive(Clone, PartialEq, Message)]
pub struct JobCount {
    /// Name of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of the job's tasks that are done.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// Number of the job's running tasks.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// The response to a [`PeerHeartbeat`]. "The responder" is the controller that sends it.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeatResponse {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Whether the key-value store is available to the responder.
    #[prost(bool, tag = "2")]
    pub store_available: bool,
    /// Duration of the responder's pledge, in milliseconds: it will not stand for election for this long. 0 means that
    /// the responder gives no pledge.
    #[prost(uint64, tag = "3")]
    pub pledge_ms: u64,
    /// Names of those machines suspected by the sender of the heartbeat whose workers have recently sent heartbeats to
    /// the responder.
    #[prost(string, repeated, tag = "4")]
    pub redirected_machines: Vec<String>,
    /// Name of the leader, as the responder last read it from the key-value store; empty if the responder knows no
    /// leader or the store is unavailable to it.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// Only if the responder pledges not to stand for election: names of all jobs whose cancellation it has confirmed
    /// to users and that the leader can't have read from the store.
    #[prost(string, repeated, tag = "6")]
    pub cancelled_jobs: Vec<String>,
    /// Whether the responder can relay workers' heartbeats to the leader.
    #[prost(bool, tag = "7")]
    pub relays_heartbeats: bool,
}

/// Workers' heartbeats that a controller has received and relays to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatBatch {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The JSON text of each heartbeat, as the worker sent it.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub heartbeats: Vec<Bytes>,
    /// Name of the controller that received the heartbeats from the workers.
    #[prost(string, tag = "3")]
    pub from: String,
}

/// The leader's response to a [`HeartbeatBatch`].
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatDecisions {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Whether the responder is the leader. If it isn't, there are no decisions.
    #[prost(bool, tag = "2")]
    pub leading: bool,
    /// The decision on each heartbeat, in the order of the batch.
    #[prost(message, repeated, tag = "3")]
    pub decisions: Vec<HeartbeatDecision>,
}

/// The response to one worker's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatDecision {
    /// HTTP status of the response.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// JSON body of the response.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}
