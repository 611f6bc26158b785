//! Placement of models on engines: reaches the wanted number of engines for each model with as few
//! loads as possible.

use guava_types::{FastMap, ModelName, UpstreamId};

/// Input of a placement plan.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// Engines in use, each with the model that it has loaded, if any.
    pub engines: &'a [(UpstreamId, Option<ModelName>)],
    /// Weight of each wanted model, positive; only the ratios count.
    pub demand: &'a [(ModelName, f64)],
}

/// One model load to be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMove {
    /// The engine that loads the model.
    pub upstream: UpstreamId,
    /// The model to load.
    pub model: ModelName,
}

/// Wanted number of engines for each model: at least one each, the others by largest remainder. If
/// there are too few engines, or no weights, the first models get one engine each.
fn target_counts(count: usize, demand: &[(ModelName, f64)]) -> Vec<(ModelName, usize)> {
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
    let assigned: usize = shares.iter().map(|share| share.1).sum();
    shares.sort_by(|left, right| right.2.total_cmp(&left.2).then(left.0.cmp(&right.0)));
    shares.iter_mut().take(count - assigned).for_each(|share| share.1 += 1);
    shares.into_iter().map(|share| (share.0, share.1)).collect()
}

/// The loads that reach the wanted counts; an engine that need not change keeps its model.
pub fn plan_moves(input: &PlacementInput<'_>) -> Vec<PlacementMove> {
    let mut missing: FastMap<ModelName, usize> =
        target_counts(input.engines.len(), input.demand).into_iter().collect();
    let mut spare: Vec<&UpstreamId> = Vec::new();
    for (upstream, model) in input.engines {
        let wanted = model.as_ref().and_then(|model| missing.get_mut(model));
        match wanted {
            Some(left) if *left > 0 => *left -= 1,
            _ => spare.push(upstream),
        }
    }
    let mut sorted: Vec<(ModelName, usize)> = missing.into_iter().collect();
    sorted.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
    let wanted = sorted.into_iter().flat_map(|(model, left)| std::iter::repeat_n(model, left));
    spare
        .into_iter()
        .zip(wanted)
        .map(|(upstream, model)| PlacementMove { upstream: upstream.clone(), model })
        .collect()
}

/// Baseline for comparison: assigns models to engines in order, regardless of what they have
/// loaded.
pub fn plan_in_order(input: &PlacementInput<'_>) -> Vec<PlacementMove> {
    let wanted = target_counts(input.engines.len(), input.demand)
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
