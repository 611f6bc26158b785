//! Reassembly of a reply, as a property over any delivery of its chunks.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{ReplyAssembler, ReplyChunk, ReplyStep};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"guavatiller: the order of reply.";

#[test]
fn any_delivery_order_gives_the_complete_reply_once() {
    // Guards against garbled or truncated replies. Chunks arrive late, repeatedly and out of order,
    // the end marker arrives at any time, and at the end all chunks are sent again. A reply is
    // garbled if chunks are passed on as they arrive, and truncated if the end marker counts as
    // completion.
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let input = (1..60_u64).prop_flat_map(|length| {
        (Just(length), proptest::collection::vec(0..length, 0..150), any::<prop::sample::Index>())
    });

    TestRunner::new_with_rng(config, rng)
        .run(&input, |(length, arrivals, end_at)| {
            let mut assembler = ReplyAssembler::default();
            let mut delivered = Vec::new();
            let chunk = |position: u64| ReplyChunk { position, text: position.to_string().into() };
            let end_at = end_at.index(arrivals.len() + 1);
            let resent = 0..length;
            for (index, position) in arrivals.iter().copied().chain(resent).enumerate() {
                if index == end_at {
                    assembler.note_end(length);
                }
                if let ReplyStep::Deliver(chunks) = assembler.push(chunk(position)) {
                    delivered.extend(chunks);
                }
                prop_assert_eq!(
                    assembler.is_complete(),
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
fn too_many_chunks_behind_a_gap_cause_a_resume() {
    let mut assembler = ReplyAssembler::default();
    let late_chunk = |position| ReplyChunk { position, text: "x".into() };

    let steps = (1..1_000).map(|position| assembler.push(late_chunk(position)));

    let resumes = steps.filter(|step| *step == ReplyStep::Resume { from: 0 }).count();
    assert!(resumes >= 1);
}
