//! Limits the number of users' requests that this controller serves concurrently.

use super::node::Node;

/// Error: this controller already serves as many users' requests concurrently as it may.
pub(super) struct TooManyRequests;

/// A slot for one user's request, which is released when this value is dropped.
pub(super) struct Admission<'a> {
    node: &'a Node,
}

impl Admission<'_> {
    /// Admits a request, unless the limit [`Tuning::max_user_requests`](crate::config::Tuning::max_user_requests) is
    /// reached.
    pub(super) fn try_acquire(node: &Node) -> Result<Admission<'_>, TooManyRequests> {
        let mut state = node.lock();
        if state.user_requests_in_progress >= node.tuning.max_user_requests as usize {
            return Err(TooManyRequests);
        }
        state.user_requests_in_progress += 1;
        Ok(Admission { node })
    }
}

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        self.node.lock().user_requests_in_progress -= 1;
    }
}

#[cfg(test)]
mod tests;
