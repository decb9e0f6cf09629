use super::*;
use crate::config::{Tuning, sample_settings};

#[tokio::test]
async fn admission_counts_until_dropped() {
    let tuning = Tuning { max_user_requests: 2.0, ..Tuning::default() };
    let node = Node::new(sample_settings(), tuning);
    let first = Admission::try_acquire(&node);
    let second = Admission::try_acquire(&node);
    assert!(first.is_ok() && second.is_ok());
    assert!(Admission::try_acquire(&node).is_err(), "the limit is reached");
    drop(first);
    assert!(Admission::try_acquire(&node).is_ok(), "the slot of the first request is free again");
    // Neither the rejected request nor the admissions already dropped are counted.
    assert_eq!(node.lock().user_requests_in_progress, 1);
}
