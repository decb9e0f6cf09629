use super::*;
use crate::config::UpcomingStoreLimits;
use serde_json::json;

fn limits(max_value_kb: f64, upcoming_value_kb: Option<f64>) -> StoreLimits {
    let next = UpcomingStoreLimits { max_value_kb: upcoming_value_kb, ..UpcomingStoreLimits::default() };
    StoreLimits { rps: 100.0, write_rps: 20.0, max_value_kb, max_transaction_ops: 12, next }
}

fn large_bitmap() -> FixedBitSet {
    let mut bitmap = FixedBitSet::with_capacity(MAX_TASKS as usize);
    bitmap.extend([0, 7, 8, 6_143, 6_144, 24_575, 24_576, 99_999]);
    bitmap
}

/// The chunks of a bitmap as earlier versions wrote them: numbered from 0, with a size that follows from the store's
/// limit on values at that time.
fn chunks_of_earlier_version(bitmap: &FixedBitSet, max_value_kb: f64) -> Vec<Value> {
    let size = ((max_value_kb * 1024.0 * 0.5) as usize * 6).clamp(64, 100_000);
    let chunk = |first: usize| {
        let mut bytes = vec![0u8; (bitmap.len().min(first + size) - first).div_ceil(8)];
        bitmap.ones().filter(|i| (first..first + size).contains(i)).for_each(|i| {
            bytes[(i - first) / 8] |= 1 << ((i - first) % 8);
        });
        Value::String(STANDARD.encode(bytes))
    };
    (0..bitmap.len()).step_by(size).map(chunk).collect()
}

#[test]
fn bitmaps_are_read_back_from_their_chunks() {
    let bitmap = large_bitmap();
    // Once the store has announced a lower limit on values, chunks must fit it even before it is in force.
    for (layout, max_bytes) in
        [(BitmapLayout::new(&limits(8.0, None)), 8 * 1024), (BitmapLayout::new(&limits(8.0, Some(2.0))), 2 * 1024)]
    {
        let mut restored = FixedBitSet::with_capacity(MAX_TASKS as usize);
        for chunk in layout.chunks(MAX_TASKS) {
            let value = chunk.encode(&bitmap);
            assert!(value.to_string().len() < max_bytes);
            let (_, number) = parse_chunk_key(&chunk.key(&JobId::parse("req-000001").unwrap())).unwrap();
            assert!(layout.read_chunk(&mut restored, number, &value));
        }
        assert_eq!(restored, bitmap);
        assert!(!layout.read_chunk(&mut restored, 0, &json!({"not": "a set"})));
    }
}

#[test]
fn chunks_of_an_earlier_version_are_read_and_not_overwritten() {
    let bitmap = large_bitmap();
    for max_value_kb in [8.0, 32.0] {
        let layout = BitmapLayout::new(&limits(max_value_kb, Some(2.0)));
        let mut restored = FixedBitSet::with_capacity(MAX_TASKS as usize);
        let earlier = chunks_of_earlier_version(&bitmap, max_value_kb);
        for (number, value) in earlier.iter().enumerate() {
            assert!(layout.read_chunk(&mut restored, number as u32, value));
            assert!(layout.chunks(MAX_TASKS).iter().all(|chunk| chunk.number != number as u32));
        }
        assert_eq!(restored, bitmap);
    }
    // A bitmap that fits one chunk is stored alike by all versions.
    let mut small = FixedBitSet::with_capacity(2_000);
    small.extend([3, 1_999]);
    let layout = BitmapLayout::new(&limits(32.0, Some(2.0)));
    let chunks: Vec<Value> = layout.chunks(2_000).iter().map(|chunk| chunk.encode(&small)).collect();
    assert_eq!(chunks, chunks_of_earlier_version(&small, 32.0));
    assert!(layout.chunks(2_000)[0].key(&JobId::parse("req-000001").unwrap()).ends_with("/0"));
}
