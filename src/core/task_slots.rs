//! Task slots: how many tasks a machine may hold at once, so that its worker's heartbeat, which lists all of them, stays
//! within the size that PROTOCOL allows.

/// Maximum size of a request body in bytes (PROTOCOL).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Upper bound of the encoded size of a heartbeat without its list of tasks, in bytes.
const MAX_HEARTBEAT_HEADER_BYTES: usize = 1_024;

/// Upper bound of the encoded size of one entry of a heartbeat's list of tasks, in bytes: with the longest task name,
/// attempt, phase and cause, a space after each comma and colon, and a comma after the entry.
const MAX_TASK_STATUS_BYTES: usize = 128;

/// Number of tasks that a machine may hold: fetching, running and exited ones that have not been cleared.
pub const MAX_TASKS_PER_MACHINE: u32 = ((MAX_BODY_BYTES - MAX_HEARTBEAT_HEADER_BYTES) / MAX_TASK_STATUS_BYTES) as u32;

#[cfg(test)]
mod tests;
