use super::*;
use crate::config::{Tuning, sample_settings};

#[tokio::test]
async fn an_admission_counts_until_it_is_dropped() {
    let tuning = Tuning { user_requests: 2.0, ..Tuning::default() };
    let node = Node::new(sample_settings(), tuning);
    let first = Admission::request(&node);
    let second = Admission::request(&node);
    assert!(first.is_ok() && second.is_ok());
    assert!(Admission::request(&node).is_err(), "the limit is reached");
    drop(first);
    assert!(Admission::request(&node).is_ok(), "one has ended");
    // A request that was refused, or has ended, doesn't count.
    assert_eq!(node.lock().user_requests_in_progress, 1);
}
