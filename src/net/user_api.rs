//! The API for users: submission, polling and cancellation of jobs, and the load balancer's health check.
//!
//! Every controller serves this API. Whether a job exists, and whether and how it has ended, comes from a committed
//! transaction or a linearizable read, so in this respect no response is older than an earlier response of any
//! controller. Whether a live job is queued or running, and its task counts, come from the leader's latest heartbeat to
//! its peers and may be some seconds old.

mod cancellation;
mod commit;
mod health;
mod polls;
mod reply;
mod submission;

pub use cancellation::cancel;
pub use health::is_healthy;
pub use polls::poll;
pub use reply::Reply;
pub use submission::submit;
