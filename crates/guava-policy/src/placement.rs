//! Placement of models on engines: the wanted counts with as few loads as possible.

use guava_types::{FastMap, ModelName, UpstreamId};

/// What a plan is made on.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// Engines in use and the model each has now.
    pub engines: &'a [(UpstreamId, Option<ModelName>)],
    /// Wanted share of each model; positive.
    pub demand: &'a [(ModelName, f64)],
}

/// One load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMove {
    /// The engine.
    pub upstream: UpstreamId,
    /// The model that it is to load.
    pub model: ModelName,
}

/// Wanted engines of each model: at least one each, the rest by largest remainder.
fn targets(count: usize, demand: &[(ModelName, f64)]) -> Vec<(ModelName, usize)> {
    let total: f64 = demand.iter().map(|pair| pair.1).sum();
    if total <= 0.0 || count < demand.len() {
        return demand.iter().take(count).map(|pair| (pair.0.clone(), 1)).collect();
    }
    let spare = count - demand.len();
    let mut shares: Vec<(ModelName, usize, f64)> = demand
        .iter()
        .map(|(model, weight)| {
            let exact = spare as f64 * weight / total;
            (model.clone(), 1 + exact.floor() as usize, exact.fract())
        })
        .collect();
    let given: usize = shares.iter().map(|share| share.1).sum();
    shares.sort_by(|left, right| right.2.total_cmp(&left.2).then(left.0.cmp(&right.0)));
    shares.iter_mut().take(count - given).for_each(|share| share.1 += 1);
    shares.into_iter().map(|share| (share.0, share.1)).collect()
}

/// Loads that lead to the wanted counts and leave every engine alone that need not change.
pub fn plan_moves(input: &PlacementInput<'_>) -> Vec<PlacementMove> {
    let mut missing: FastMap<ModelName, usize> =
        targets(input.engines.len(), input.demand).into_iter().collect();
    let mut spare: Vec<&UpstreamId> = Vec::new();
    for (upstream, model) in input.engines {
        let wanted = model.as_ref().and_then(|model| missing.get_mut(model));
        match wanted {
            Some(left) if *left > 0 => *left -= 1,
            _ => spare.push(upstream),
        }
    }
    let mut order: Vec<(ModelName, usize)> = missing.into_iter().collect();
    order.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
    let wanted = order.into_iter().flat_map(|(model, left)| std::iter::repeat_n(model, left));
    spare
        .into_iter()
        .zip(wanted)
        .map(|(upstream, model)| PlacementMove { upstream: upstream.clone(), model })
        .collect()
}

/// Baseline for comparison: assigns engines in order, whatever they have now.
pub fn plan_afresh(input: &PlacementInput<'_>) -> Vec<PlacementMove> {
    let wanted = targets(input.engines.len(), input.demand)
        .into_iter()
        .flat_map(|(model, count)| std::iter::repeat_n(model, count));
    input
        .engines
        .iter()
        .zip(wanted)
        .filter(|((_, current), model)| current.as_ref() != Some(model))
        .map(|((upstream, _), model)| PlacementMove { upstream: upstream.clone(), model })
        .collect()
}
