use super::*;
use std::collections::BTreeSet;

#[test]
fn task_set_behaves_as_a_set_of_the_indices_below_its_size() {
    let mut set = TaskSet::all(130);
    let mut model: BTreeSet<u32> = (0..130).collect();
    for step in 0..2_000u32 {
        let index = step * 37 % 140;
        if step % 3 == 0 {
            set.insert(index);
            model.extend((index < 130).then_some(index));
        } else {
            set.remove(index);
            model.remove(&index);
        }
        assert_eq!(
            (set.len(), set.is_empty(), set.contains(index)),
            (model.len(), model.is_empty(), model.contains(&index))
        );
    }
    assert!(set.iter().eq(model.iter().copied()));
    let mut other = TaskSet::none(130);
    model.iter().take(3).for_each(|index| other.insert(*index));
    assert!(set.difference(&other).eq(model.iter().copied().skip(3)));
}
