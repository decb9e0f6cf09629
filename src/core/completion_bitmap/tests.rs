use super::*;
use crate::config::LaterLimits;
use serde_json::json;

fn limits(value_kb: f64, later_kb: Option<f64>) -> StateLimits {
    let next = LaterLimits { value_kb: later_kb, ..LaterLimits::default() };
    StateLimits { rps: 100.0, write_rps: 20.0, value_kb, txn_ops: 12, next }
}

fn large_set() -> FixedBitSet {
    let mut set = FixedBitSet::with_capacity(MAX_TASKS as usize);
    set.extend([0, 7, 8, 6_143, 6_144, 24_575, 24_576, 99_999]);
    set
}

/// Chunks as the version before this one wrote them: numbered from 0, cut by the limit then in force.
fn rows_of_earlier_version(set: &FixedBitSet, value_kb: f64) -> Vec<Value> {
    let size = ((value_kb * 1024.0 * 0.5) as usize * 6).clamp(64, 100_000);
    let row = |first: usize| {
        let mut bytes = vec![0u8; (set.len().min(first + size) - first).div_ceil(8)];
        set.ones().filter(|i| (first..first + size).contains(i)).for_each(|i| {
            bytes[(i - first) / 8] |= 1 << ((i - first) % 8);
        });
        Value::String(STANDARD.encode(bytes))
    };
    (0..set.len()).step_by(size).map(row).collect()
}

#[test]
fn completion_bitmap_survives_the_store_in_chunks() {
    let set = large_set();
    // Now and once the limit has fallen: what is written fits from the beginning.
    for (layout, most_bytes) in
        [(BitmapLayout::new(&limits(8.0, None)), 8 * 1024), (BitmapLayout::new(&limits(8.0, Some(2.0))), 2 * 1024)]
    {
        let mut back = FixedBitSet::with_capacity(MAX_TASKS as usize);
        for row in layout.chunks(MAX_TASKS) {
            let value = row.encode(&set);
            assert!(value.to_string().len() < most_bytes);
            let (_, number) = parse_key(&row.key(&JobId::parse("req-000001").unwrap())).unwrap();
            assert!(layout.read(&mut back, number, &value));
        }
        assert_eq!(back, set);
        assert!(!layout.read(&mut back, 0, &json!({"not": "a set"})));
    }
}

#[test]
fn chunks_of_an_earlier_version_are_read_and_not_overwritten() {
    let set = large_set();
    for value_kb in [8.0, 32.0] {
        let layout = BitmapLayout::new(&limits(value_kb, Some(2.0)));
        let mut back = FixedBitSet::with_capacity(MAX_TASKS as usize);
        let earlier = rows_of_earlier_version(&set, value_kb);
        for (number, value) in earlier.iter().enumerate() {
            assert!(layout.read(&mut back, number as u32, value));
            assert!(layout.chunks(MAX_TASKS).iter().all(|row| row.number != number as u32));
        }
        assert_eq!(back, set);
    }
    // A bitmap that fits one chunk is the same in all versions.
    let mut small = FixedBitSet::with_capacity(2_000);
    small.extend([3, 1_999]);
    let layout = BitmapLayout::new(&limits(32.0, Some(2.0)));
    let rows: Vec<Value> = layout.chunks(2_000).iter().map(|row| row.encode(&small)).collect();
    assert_eq!(rows, rows_of_earlier_version(&small, 32.0));
    assert!(layout.chunks(2_000)[0].key(&JobId::parse("req-000001").unwrap()).ends_with("/0"));
}
