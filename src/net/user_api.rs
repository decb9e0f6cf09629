//! The API for users: submission, polling and cancellation of jobs, and the load balancer's health check.
//!
//! Every controller serves it. The phase of a job that a response reports comes from a committed transaction or a
//! linearizable read, so a response is never older than an earlier one of any controller. The task counts of a job come
//! from the leader's latest peer heartbeat and may be some seconds old.

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
