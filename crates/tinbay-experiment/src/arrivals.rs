//! Generates the requests of a workload from its seed, before the simulation starts.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use tinbay_core::ids::ModelRef;
use tinbay_core::units::Millis;

use crate::workload::{Disturbance, Traffic, Workload};

/// One request of a workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time.
    pub at_ms: Millis,
    /// Index of its traffic stream.
    pub traffic: usize,
    /// Index of its adapter.
    pub adapter: usize,
    /// Requested model.
    pub model: ModelRef,
    /// Index of its organisation.
    pub organisation: usize,
}

/// Offset added to the adapter indices at a shift of popularity. A prime, so that it shares no
/// factor with usual adapter counts.
const SHIFT_STEP: usize = 1_009;

/// Returns all requests, ordered by arrival time. They don't depend on the strategy.
pub fn generate(workload: &Workload, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, traffic) in workload.traffic.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed ^ (index as u64) << 32);
        add_arrivals(workload, index, traffic, &mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Adds the Poisson arrivals of a stream: generated at its highest rate, then thinned.
fn add_arrivals(
    workload: &Workload,
    index: usize,
    traffic: &Traffic,
    rng: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    let peak_factor = peak_flood_factor(workload, &traffic.class);
    let count = workload.adapters.count;
    let (Ok(gaps), Ok(popularity)) = (
        Exp::new(traffic.rate_per_s * peak_factor),
        Zipf::new(count as f64, workload.adapters.skew),
    ) else {
        return;
    };
    let mut at_s = gaps.sample(rng);
    while at_s < workload.length_s as f64 {
        let kept =
            rng.random::<f64>() * peak_factor < flood_factor_at(workload, &traffic.class, at_s);
        let rank = popularity.sample(rng) as usize;
        if kept {
            let adapter = (rank - 1 + shift_offset(workload, at_s)) % count;
            arrivals.push(Arrival {
                at_ms: (at_s * 1_000.0) as Millis,
                traffic: index,
                adapter,
                model: ModelRef::new(format!("adapter-{adapter}"), "v1"),
                organisation: adapter % workload.adapters.organisations,
            });
        }
        at_s += gaps.sample(rng);
    }
}

fn floods<'a>(
    workload: &'a Workload,
    class: &'a str,
) -> impl Iterator<Item = (u64, u64, f64)> + 'a {
    workload
        .disturbance
        .iter()
        .filter_map(move |disturbance| match disturbance {
            Disturbance::Flood {
                at_s,
                for_s,
                class: flooded_class,
                factor,
            } if flooded_class == class => Some((*at_s, *for_s, *factor)),
            _ => None,
        })
}

fn peak_flood_factor(workload: &Workload, class: &str) -> f64 {
    floods(workload, class)
        .map(|(_, _, factor)| factor)
        .fold(1.0, f64::max)
}

fn flood_factor_at(workload: &Workload, class: &str, at_s: f64) -> f64 {
    floods(workload, class)
        .filter(|(from_s, for_s, _)| (*from_s as f64..(from_s + for_s) as f64).contains(&at_s))
        .map(|(_, _, factor)| factor)
        .fold(1.0, f64::max)
}

fn shift_offset(workload: &Workload, now_s: f64) -> usize {
    let shifts = workload.disturbance.iter().filter(
        |disturbance| matches!(disturbance, Disturbance::Shift { at_s } if *at_s as f64 <= now_s),
    );
    shifts.count() * SHIFT_STEP
}
