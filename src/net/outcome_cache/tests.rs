use super::*;
use crate::time::WallTime;

fn job(number: usize) -> JobId {
    JobId::parse(&format!("req-{number:06}")).expect("valid job name")
}

#[test]
fn oldest_record_is_evicted_beyond_the_limit() {
    let mut cache = OutcomeCache::default();
    let record = |number: usize| TerminalRecord::done(number as u32, WallTime(5));
    (0..MAX_CACHED_OUTCOMES).for_each(|number| cache.insert(&job(number), record(number)));
    // Inserting a record again must not give it a second entry in the eviction order.
    cache.insert(&job(1), record(1));
    assert_eq!(cache.get(&job(0)).map(|record| record.tasks), Some(0));
    cache.insert(&job(MAX_CACHED_OUTCOMES), record(MAX_CACHED_OUTCOMES));
    assert!(cache.get(&job(0)).is_none());
    assert_eq!(cache.get(&job(1)).map(|record| record.tasks), Some(1));
    assert!(cache.get(&job(MAX_CACHED_OUTCOMES)).is_some());
}
