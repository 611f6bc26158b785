//! Reply order, as a property over any delivery of an answer's chunks.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{ReplyAssembler, ReplyChunk, ReplyStep};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"guavatiller: the order of reply.";

#[test]
fn any_delivery_gives_the_whole_answer_once() {
    // Symptom: a garbled or short answer.
    // Sequence: chunks arrive late, twice and out of order; the end marker comes at any time; what
    // is missing at the end is sent again.
    // Cause: chunks are passed on as they come, or the end is taken for the whole.
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let input = (1..60_u64).prop_flat_map(|length| {
        (Just(length), proptest::collection::vec(0..length, 0..150), any::<prop::sample::Index>())
    });

    TestRunner::new_with_rng(config, rng)
        .run(&input, |(length, arrivals, end_at)| {
            let mut order = ReplyAssembler::default();
            let mut delivered = Vec::new();
            let chunk = |position: u64| ReplyChunk { position, text: position.to_string().into() };
            let end_at = end_at.index(arrivals.len() + 1);
            let resent = 0..length;
            for (index, position) in arrivals.iter().copied().chain(resent).enumerate() {
                if index == end_at {
                    order.note_end(length);
                }
                if let ReplyStep::Deliver(chunks) = order.push(chunk(position)) {
                    delivered.extend(chunks);
                }
                prop_assert_eq!(
                    order.is_complete(),
                    index >= end_at && delivered.len() as u64 == length
                );
            }
            let expected: Vec<ReplyChunk> = (0..length).map(chunk).collect();
            prop_assert_eq!(delivered, expected);
            Ok(())
        })
        .unwrap();
}

#[test]
fn too_many_chunks_behind_a_hole_ask_for_a_resume() {
    let mut order = ReplyAssembler::default();
    let late = |position| ReplyChunk { position, text: "x".into() };

    let asked = (1..1_000).map(|position| order.push(late(position)));

    let resumes = asked.filter(|step| *step == ReplyStep::Resume { from: 0 }).count();
    assert!(resumes >= 1);
}
