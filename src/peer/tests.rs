//! Tests that different versions of the program can read each other's messages, as they must during an upgrade.

use super::*;
use prost::Message;

/// Some fields of [`JobView`] as the version before dependencies between jobs declared them.
#[derive(Clone, PartialEq, Message)]
struct EarlierJobView {
    #[prost(uint32, tag = "3")]
    priority: u32,
    #[prost(double, optional, tag = "19")]
    due_s: Option<f64>,
    #[prost(uint32, tag = "28")]
    missed_slos: u32,
}

#[test]
fn job_view_with_dependents_is_readable_by_an_earlier_version_and_the_other_way_round() {
    let job = JobView { priority: 1, due_s: Some(30.0), missed_slos: 2, dependents_rank_s: 12.0, ..Default::default() };
    let earlier = EarlierJobView { priority: 1, due_s: Some(30.0), missed_slos: 2 };
    assert_eq!(EarlierJobView::decode(&*job.encode_to_vec()).unwrap(), earlier);
    let read = JobView::decode(&*earlier.encode_to_vec()).unwrap();
    assert_eq!(read, JobView { dependents_rank_s: 0.0, ..job });
    // Controllers reject messages with a version number other than their own, so raising the number would make the two
    // versions reject each other's messages.
    assert_eq!(VERSION, 3);
}
