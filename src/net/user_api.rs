//! The users' API: submissions, polls and cancellations, and the load balancer's health check.
//!
//! Any controller serves it. What it says of a job comes from a committed write or a linearizable read, so no
//! controller gives an older answer than another. A job's counts of tasks are the leader's latest peer heartbeat
//! and may be some seconds old.

mod cancellation;
mod commit;
mod health;
mod polls;
mod reply;
mod submission;

pub use cancellation::withdraw;
pub use health::is_healthy;
pub use polls::poll;
pub use reply::Reply;
pub use submission::submit;
