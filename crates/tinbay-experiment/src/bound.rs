//! Bounds on the load stall and hit rate of any strategy, computed offline with all future requests
//! known.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::arrivals;
use crate::workload::Workload;

/// The bounds for one workload and seed.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Bound {
    /// Lower bound of the 99th percentile of the load stall, by urgent class.
    pub stall_p99_ms: BTreeMap<String, f64>,
    /// Upper bound of the fraction of requests that find their adapter loaded, by urgent class.
    pub hit_share: BTreeMap<String, f64>,
}

/// Computes the bounds.
///
/// All slots of a base model count as one cache that only the urgent classes use. Evictions are
/// optimal (Belady, "A study of replacement algorithms for a virtual-storage computer", IBM
/// Systems Journal 1966). A load starts when its request arrives, is not delayed by the rate limit
/// of the weight store and runs at full speed, so that a miss stalls for the duration of one load.
/// No strategy that loads on demand stalls less.
pub fn compute_bound(workload: &Workload, seed: u64) -> Bound {
    let arrivals = arrivals::generate(workload, seed);
    let urgent: Vec<(usize, usize)> = arrivals
        .iter()
        .filter(|arrival| workload.traffic[arrival.traffic].urgent)
        .map(|arrival| (arrival.adapter, arrival.traffic))
        .collect();
    let mut arrived: BTreeMap<usize, u64> = BTreeMap::new();
    let mut missed: BTreeMap<usize, u64> = BTreeMap::new();
    for base in 0..workload.engines.base_models {
        let base_requests: Vec<(usize, usize)> = urgent
            .iter()
            .copied()
            .filter(|(adapter, _)| adapter % workload.engines.base_models == base)
            .collect();
        count_misses(
            &base_requests,
            cache_slots(workload, base),
            &mut arrived,
            &mut missed,
        );
    }
    to_bound(workload, &arrived, &missed)
}

fn cache_slots(workload: &Workload, base: usize) -> usize {
    let config = &workload.engines;
    let engines = (0..config.count).filter(|engine| engine % config.base_models == base);
    engines.count() * config.slots as usize
}

fn count_misses(
    requests: &[(usize, usize)],
    slots: usize,
    arrived: &mut BTreeMap<usize, u64>,
    missed: &mut BTreeMap<usize, u64>,
) {
    let next_use = next_use_indices(requests);
    let mut cached: HashMap<usize, usize> = HashMap::new();
    for (index, (adapter, traffic)) in requests.iter().enumerate() {
        *arrived.entry(*traffic).or_default() += 1;
        if cached.insert(*adapter, next_use[index]).is_some() {
            continue;
        }
        *missed.entry(*traffic).or_default() += 1;
        if cached.len() > slots {
            // Evicts the adapter whose next use is farthest away, possibly the one just loaded.
            let farthest = cached
                .iter()
                .max_by_key(|(adapter, next)| (**next, **adapter));
            if let Some(victim) = farthest.map(|(adapter, _)| *adapter) {
                cached.remove(&victim);
            }
        }
    }
}

/// For each request, the index of the next request for the same adapter.
fn next_use_indices(requests: &[(usize, usize)]) -> Vec<usize> {
    let mut next_use = vec![usize::MAX; requests.len()];
    let mut seen: HashMap<usize, usize> = HashMap::new();
    for (index, (adapter, _)) in requests.iter().enumerate().rev() {
        if let Some(next) = seen.insert(*adapter, index) {
            next_use[index] = next;
        }
    }
    next_use
}

fn to_bound(
    workload: &Workload,
    arrived: &BTreeMap<usize, u64>,
    missed: &BTreeMap<usize, u64>,
) -> Bound {
    let mut bound = Bound::default();
    for (traffic, arrived) in arrived {
        let missed = missed.get(traffic).copied().unwrap_or(0);
        let share = missed as f64 / *arrived as f64;
        let stall = if share > 0.01 {
            workload.weight_store.load_ms as f64
        } else {
            0.0
        };
        let class = workload.traffic[*traffic].class.clone();
        bound.stall_p99_ms.insert(class.clone(), stall);
        bound.hit_share.insert(class, 1.0 - share);
    }
    bound
}
