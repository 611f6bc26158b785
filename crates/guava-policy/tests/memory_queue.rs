//! The order of long prompts that wait for engine memory, and their expected wait.

use guava_policy::MemoryQueue;
use guava_types::Moment;

#[test]
fn prompts_are_ordered_by_priority_and_then_by_arrival() {
    let mut queue = MemoryQueue::default();
    let late = queue.join(3, Moment(2_000));
    let early = queue.join(3, Moment(1_000));
    let urgent = queue.join(2, Moment(3_000));

    assert!(queue.is_first(urgent));
    assert_eq!(queue.ahead_of(late), 2);
    queue.leave(urgent);
    assert!(queue.is_first(early));
    queue.leave(early);
    assert!(queue.is_first(late));
}

#[test]
fn abandoned_prompt_does_not_block_the_next() {
    let mut queue = MemoryQueue::default();
    let first = queue.join(3, Moment(1_000));
    let second = queue.join(3, Moment(1_000));
    let third = queue.join(3, Moment(1_001));

    queue.leave(second);
    queue.leave(first);

    assert!(queue.is_first(third));
    assert_eq!(queue.ahead_of(third), 0);
}

#[test]
fn expected_wait_follows_the_drain_rate_of_the_queue() {
    let mut queue = MemoryQueue::default();
    assert_eq!(queue.expected_wait_ms(3, Moment(1_000)), None);
    for _ in 0..4 {
        queue.join(3, Moment(1_000));
    }
    [2_000, 2_200, 2_400].into_iter().for_each(|at| queue.note_start(Moment(at)));

    assert_eq!(queue.expected_wait_ms(3, Moment(2_500)), Some(800));
    assert_eq!(queue.expected_wait_ms(2, Moment(2_500)), Some(0));
    assert_eq!(queue.expected_wait_ms(3, Moment(5_500)), None);
}

#[test]
fn drain_rate_is_forgotten_after_the_queue_was_empty() {
    let mut queue = MemoryQueue::default();
    [1_000, 1_100, 9_000].into_iter().for_each(|at| queue.note_start(Moment(at)));

    assert_eq!(queue.expected_wait_ms(3, Moment(9_001)), None);
}
