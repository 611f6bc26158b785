//! The order of long prompts that wait for memory.

use guava_policy::MemoryQueue;
use guava_types::Moment;

#[test]
fn line_goes_by_rank_and_then_by_arrival() {
    let mut line = MemoryQueue::default();
    let late = line.join(3, Moment(2_000));
    let early = line.join(3, Moment(1_000));
    let urgent = line.join(2, Moment(3_000));

    assert!(line.is_first(urgent));
    assert_eq!(line.ahead_of(late), 2);
    line.leave(urgent);
    assert!(line.is_first(early));
    line.leave(early);
    assert!(line.is_first(late));
}

#[test]
fn place_given_up_out_of_turn_holds_nobody_up() {
    let mut line = MemoryQueue::default();
    let first = line.join(3, Moment(1_000));
    let second = line.join(3, Moment(1_000));
    let third = line.join(3, Moment(1_001));

    line.leave(second);
    line.leave(first);

    assert!(line.is_first(third));
    assert_eq!(line.ahead_of(third), 0);
}

#[test]
fn expected_wait_follows_how_the_line_drains() {
    let mut line = MemoryQueue::default();
    assert_eq!(line.expected_wait_ms(3, Moment(1_000)), None);
    for _ in 0..4 {
        line.join(3, Moment(1_000));
    }
    [2_000, 2_200, 2_400].into_iter().for_each(|at| line.note_start(Moment(at)));

    assert_eq!(line.expected_wait_ms(3, Moment(2_500)), Some(800));
    assert_eq!(line.expected_wait_ms(2, Moment(2_500)), Some(0));
    assert_eq!(line.expected_wait_ms(3, Moment(5_500)), None);
}

#[test]
fn line_that_was_empty_for_long_forgets_how_it_drained() {
    let mut line = MemoryQueue::default();
    [1_000, 1_100, 9_000].into_iter().for_each(|at| line.note_start(Moment(at)));

    assert_eq!(line.expected_wait_ms(3, Moment(9_001)), None);
}
