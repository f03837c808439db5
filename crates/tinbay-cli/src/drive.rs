//! Open-loop load: requests start at their times whether or not earlier ones are answered.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use tinbay_core::ids::ModelRef;
use tinbay_wire::completion::CompletionRequest;

use crate::caller::{Caller, Outcome, Wanted};
use crate::options::ClassShare;

/// What load to send.
#[derive(Debug, Clone)]
pub struct DrivePlan {
    /// Boxes to ask.
    pub entries: Vec<String>,
    /// The box to connect to whatever locate says.
    pub pinned: Option<String>,
    /// Models, the most popular first.
    pub models: Vec<ModelRef>,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long.
    pub length: Duration,
    /// Zipf exponent of the models' popularity.
    pub skew: f64,
    /// Classes and their shares; empty for requests that name none.
    pub classes: Vec<ClassShare>,
    /// Tokens of each answer.
    pub max_tokens: u32,
    /// Seed of random choices.
    pub seed: u64,
    /// Whether each request has a key, to ask again and to resume by.
    pub keyed: bool,
    /// How long callers follow answers that say "not run, come back".
    pub patience: Duration,
}

/// One request and when it starts.
#[derive(Debug, Clone)]
struct Arrival {
    after: Duration,
    request: CompletionRequest,
}

/// Sends the load and waits for every request's end.
pub async fn drive(plan: DrivePlan) -> Vec<Outcome> {
    let entries = plan.entries.clone();
    let caller = Rc::new(match plan.pinned.clone() {
        Some(address) => Caller::pinned(entries, address),
        None => Caller::new(entries),
    });
    let began = tokio::time::Instant::now();
    let running = arrivals(&plan).into_iter().map(|arrival| {
        let caller = Rc::clone(&caller);
        let wanted = Wanted {
            request: arrival.request,
            keyed: plan.keyed,
            patience: plan.patience,
        };
        async move {
            tokio::time::sleep_until(began + arrival.after).await;
            caller.complete(&wanted).await
        }
    });
    join_all(running).await
}

/// Poisson arrivals of requests for models of Zipf popularity.
fn arrivals(plan: &DrivePlan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let (Ok(gaps), Ok(popularity)) = (
        Exp::new(plan.rate_per_s),
        Zipf::new(plan.models.len() as f64, plan.skew),
    ) else {
        return Vec::new();
    };
    let mut arrivals = Vec::new();
    let mut at_s = gaps.sample(&mut rng);
    while at_s < plan.length.as_secs_f64() {
        let rank = popularity.sample(&mut rng) as usize;
        let model = &plan.models[rank.clamp(1, plan.models.len()) - 1];
        arrivals.push(Arrival {
            after: Duration::from_secs_f64(at_s),
            request: CompletionRequest {
                model: model.clone(),
                prompt: format!("prompt {}", arrivals.len()),
                max_tokens: plan.max_tokens,
                stream: true,
                class: choose_class(&plan.classes, &mut rng),
            },
        });
        at_s += gaps.sample(&mut rng);
    }
    arrivals
}

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
