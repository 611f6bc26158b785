//! Placement reaches the wanted counts with few moves.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{PlacementInput, plan_in_order, plan_moves};
use guava_types::{FastMap, ModelName, UpstreamId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"guavatiller: placement of models";

fn model(number: usize) -> ModelName {
    format!("m{number}").parse().unwrap()
}

fn counts(engines: &[(UpstreamId, Option<ModelName>)]) -> FastMap<ModelName, usize> {
    let mut counts = FastMap::default();
    for model in engines.iter().filter_map(|(_, model)| model.clone()) {
        *counts.entry(model).or_default() += 1;
    }
    counts
}

fn apply(
    engines: &[(UpstreamId, Option<ModelName>)],
    moves: &[guava_policy::PlacementMove],
) -> Vec<(UpstreamId, Option<ModelName>)> {
    let mut engines = engines.to_vec();
    for step in moves {
        let engine = engines.iter_mut().find(|(id, _)| *id == step.upstream).unwrap();
        engine.1 = Some(step.model.clone());
    }
    engines
}

#[test]
fn plan_reaches_the_counts_of_the_baseline_with_no_more_moves() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let input = (
        proptest::collection::vec(proptest::option::of(0..3_usize), 3..40),
        proptest::collection::vec(1..20_u32, 3),
    );

    TestRunner::new_with_rng(config, rng)
        .run(&input, |(current, demand)| {
            let engines: Vec<(UpstreamId, Option<ModelName>)> = (0..)
                .zip(&current)
                .map(|(index, loaded): (usize, _)| {
                    (format!("e{index}").parse().unwrap(), loaded.map(model))
                })
                .collect();
            let demand: Vec<(ModelName, f64)> =
                (0..).map(model).zip(demand.iter().map(|weight| f64::from(*weight))).collect();
            let input = PlacementInput { engines: &engines, demand: &demand };

            let planned = plan_moves(&input);
            let baseline = plan_in_order(&input);

            prop_assert_eq!(
                counts(&apply(&engines, &planned)),
                counts(&apply(&engines, &baseline))
            );
            prop_assert!(planned.len() <= baseline.len());
            let settled = apply(&engines, &planned);
            let again = plan_moves(&PlacementInput { engines: &settled, demand: &demand });
            prop_assert!(again.is_empty());
            Ok(())
        })
        .unwrap();
}
