//! Bounded passes over a sorted list that is too long to be worked through each time.

/// Maximum number of costly visits at the head of the list, so that a long queue does not block the
/// process.
const MAX_HEAD: usize = 400;
/// Maximum number of costly visits behind the head.
const MAX_TAIL: usize = 100;

/// Visits the items in order, up to a number of costly visits, and then some of those behind,
/// beginning at `resume_at`, where the last pass stopped. So the first items keep their order and
/// each item has its turn. `visit` tells whether a visit was costly.
pub(super) fn visit<T: Copy + Ord>(
    items: &[T],
    resume_at: &mut Option<T>,
    mut visit: impl FnMut(T) -> bool,
) {
    let mut run = |items: &[T], most: usize| {
        let mut costly = 0;
        for (place, item) in items.iter().enumerate() {
            if costly == most {
                return place;
            }
            costly += usize::from(visit(*item));
        }
        items.len()
    };
    let tail = &items[run(items, MAX_HEAD)..];
    let first = resume_at.take().map_or(0, |at| tail.partition_point(|item| *item < at));
    let first = if first < tail.len() { first } else { 0 };
    let place = first + run(&tail[first..], MAX_TAIL);
    *resume_at = tail.get(place).copied();
}
