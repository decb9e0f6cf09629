//! A bound on the users' requests that this controller serves at once.

use super::node::Node;

/// As many users' requests are under way as this controller serves at once.
pub(super) struct TooManyRequests;

/// Counts one user's request as under way, for as long as it lives.
pub(super) struct Admission<'a> {
    node: &'a Node,
}

impl Admission<'_> {
    /// Admits a request, unless the limit of the tuning is reached.
    pub(super) fn request(node: &Node) -> Result<Admission<'_>, TooManyRequests> {
        let mut inner = node.lock();
        if inner.user_requests_in_progress >= node.tuning.user_requests as usize {
            return Err(TooManyRequests);
        }
        inner.user_requests_in_progress += 1;
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
