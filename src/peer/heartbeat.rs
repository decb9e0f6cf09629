//! Heartbeats between controllers, and workers' heartbeats on their way to the leader.

use bytes::Bytes;
use prost::Message;

/// What controllers send each other about once a second. With `asks_extension` also the request for a pledge.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeat {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub from: String,
    /// The sender is a leader that can't reach the key-value store and asks for a pledge, to extend its lease.
    #[prost(bool, tag = "3")]
    pub asks_extension: bool,
    /// The sender's term, if it leads.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The leader's counts of its live jobs, which answer users' polls at its peers.
    #[prost(message, repeated, tag = "5")]
    pub counts: Vec<JobCount>,
    /// The sender leads.
    #[prost(bool, tag = "6")]
    pub leading: bool,
    /// The sender hands over to this controller; others don't stand for election for a while. Empty: it doesn't.
    #[prost(string, tag = "7")]
    pub successor: String,
    /// Machines that the leader suspects: no use redirecting them to it.
    #[prost(string, repeated, tag = "8")]
    pub suspected: Vec<String>,
    /// With `asks_extension`: the sender has read all changes of live jobs up to this revision.
    #[prost(uint64, tag = "9")]
    pub read_through: u64,
    /// Jobs that the sender has just answered users are cancelled. It saves the leader starts, and
    /// no rule depends on it.
    #[prost(string, repeated, tag = "10")]
    pub cancelled: Vec<String>,
}

/// Counts of a job's tasks, for display.
#[derive(Clone, PartialEq, Message)]
pub struct JobCount {
    /// Name of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// How many of its tasks are done.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// How many of its tasks run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// The answer to a [`PeerHeartbeat`].
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeatResponse {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The answering controller can reach the key-value store.
    #[prost(bool, tag = "2")]
    pub store_ok: bool,
    /// For this many milliseconds the answering controller will not stand for election; 0: it gives no pledge.
    #[prost(uint64, tag = "3")]
    pub pledge_ms: u64,
    /// Of the machines that the asking leader suspects, those that have lately tried here.
    #[prost(string, repeated, tag = "4")]
    pub redirected: Vec<String>,
    /// Who leads, as far as the answering controller has read it from the key-value store.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// With a pledge: all jobs that users have been answered here are cancelled, and that the asking
    /// leader can't have read.
    #[prost(string, repeated, tag = "6")]
    pub cancelled: Vec<String>,
    /// The answering controller can pass workers' heartbeats on to the asking leader.
    #[prost(bool, tag = "7")]
    pub relays_heartbeats: bool,
}

/// Workers' heartbeats that a controller has taken in for the leader.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatBatch {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The JSON of each, as the worker wrote it.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub heartbeats: Vec<Bytes>,
    /// Name of the controller that has taken them in.
    #[prost(string, tag = "3")]
    pub from: String,
}

/// What the leader has decided on the heartbeats of a [`HeartbeatBatch`].
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatDecisions {
    /// [`super::VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// False: the controller that was asked does not lead, and has decided nothing.
    #[prost(bool, tag = "2")]
    pub leading: bool,
    /// One for each heartbeat, in the order of the batch.
    #[prost(message, repeated, tag = "3")]
    pub decisions: Vec<HeartbeatDecision>,
}

/// The answer that a worker gets to its heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatDecision {
    /// The HTTP status that the worker gets.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The JSON that the worker gets.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}
