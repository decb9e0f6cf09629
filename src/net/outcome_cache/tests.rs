use super::*;
use crate::time::WallTime;

fn job(number: usize) -> JobId {
    JobId::parse(&format!("req-{number:06}")).expect("it is a job's name")
}

#[test]
fn the_record_put_first_is_dropped_beyond_the_limit() {
    let mut outcomes = OutcomeCache::default();
    let record = |number: usize| TerminalRecord::done(number as u32, WallTime(5));
    (0..MAX_CACHED_OUTCOMES).for_each(|number| outcomes.put(&job(number), record(number)));
    // Put again, it takes no second place.
    outcomes.put(&job(1), record(1));
    assert_eq!(outcomes.get(&job(0)).map(|known| known.tasks), Some(0));
    outcomes.put(&job(MAX_CACHED_OUTCOMES), record(MAX_CACHED_OUTCOMES));
    assert!(outcomes.get(&job(0)).is_none());
    assert_eq!(outcomes.get(&job(1)).map(|known| known.tasks), Some(1));
    assert!(outcomes.get(&job(MAX_CACHED_OUTCOMES)).is_some());
}
