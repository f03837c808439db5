//! Open-loop load driver: requests start at their arrival times, whether or not earlier ones have
//! completed.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use tinbay_core::ids::ModelRef;
use tinbay_wire::completion::CompletionRequest;

use crate::caller::{Caller, CompletionCall, Outcome};
use crate::options::ClassShare;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct DrivePlan {
    /// Addresses of the boxes that locate requests are sent to.
    pub box_addresses: Vec<String>,
    /// Address of the box to connect to instead of the located ones.
    pub pinned: Option<String>,
    /// Models in order of popularity, the most popular first.
    pub models: Vec<ModelRef>,
    /// Mean number of requests per second.
    pub rate_per_s: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Zipf exponent of the models' popularity.
    pub skew: f64,
    /// Priority classes and their shares; if empty, requests name no class.
    pub classes: Vec<ClassShare>,
    /// Maximum number of tokens of each response.
    pub max_tokens: u32,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether each request has a request key, which allows repeating and resuming it.
    pub keyed: bool,
    /// Time for which refusals that report "not run" with a retry time are retried.
    pub retry_window: Duration,
}

/// A request and its arrival time.
#[derive(Debug, Clone)]
struct Arrival {
    offset: Duration,
    request: CompletionRequest,
}

/// Sends the load and waits for the outcome of every request.
pub async fn drive(plan: DrivePlan) -> Vec<Outcome> {
    let box_addresses = plan.box_addresses.clone();
    let caller = Rc::new(match plan.pinned.clone() {
        Some(address) => Caller::pinned(box_addresses, address),
        None => Caller::new(box_addresses),
    });
    let started = tokio::time::Instant::now();
    let requests = generate_arrivals(&plan).into_iter().map(|arrival| {
        let caller = Rc::clone(&caller);
        let call = CompletionCall {
            request: arrival.request,
            keyed: plan.keyed,
            retry_window: plan.retry_window,
        };
        async move {
            tokio::time::sleep_until(started + arrival.offset).await;
            caller.complete(&call).await
        }
    });
    join_all(requests).await
}

/// Generates Poisson arrivals of requests for models with Zipf popularity.
fn generate_arrivals(plan: &DrivePlan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let (Ok(interarrival), Ok(popularity)) = (
        Exp::new(plan.rate_per_s),
        Zipf::new(plan.models.len() as f64, plan.skew),
    ) else {
        return Vec::new();
    };
    let mut arrivals = Vec::new();
    let mut arrival_s = interarrival.sample(&mut rng);
    while arrival_s < plan.duration.as_secs_f64() {
        let rank = popularity.sample(&mut rng) as usize;
        let model = &plan.models[rank.clamp(1, plan.models.len()) - 1];
        arrivals.push(Arrival {
            offset: Duration::from_secs_f64(arrival_s),
            request: CompletionRequest {
                model: model.clone(),
                prompt: format!("prompt {}", arrivals.len()),
                max_tokens: plan.max_tokens,
                stream: true,
                class: choose_class(&plan.classes, &mut rng),
            },
        });
        arrival_s += interarrival.sample(&mut rng);
    }
    arrivals
}

/// Chooses a class with a probability proportional to its share.
fn choose_class(classes: &[ClassShare], rng: &mut StdRng) -> Option<String> {
    let total: f64 = classes.iter().map(|class| class.share).sum();
    let mut point = rng.random::<f64>() * total;
    for class in classes {
        point -= class.share;
        if point <= 0.0 {
            return Some(class.name.clone());
        }
    }
    classes.last().map(|class| class.name.clone())
}
