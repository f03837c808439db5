//! The filter chain every caller's request passes before it is routed.
//!
//! Each filter looks at one thing and either lets the request pass, adding what it found
//! to the context, or ends it with a typed failure. Kin: the HTTP filter chains of the
//! Envoy paper, kept because each check then has one place and one test.

mod catalog;
mod claim;
mod failure;
mod freshness;
mod identity;
mod treatment;

pub use claim::{Claimed, release_claim};
pub use failure::Failure;
pub use identity::Identity;

use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use ntex::http::HeaderMap;
use tinbay_core::config::Class;
use tinbay_core::policy::Treatment;
use tinbay_core::units::Millis;
use tinbay_wire::completion::CompletionRequest;

use crate::state::Node;

/// What is asked for.
#[derive(Debug, Clone)]
pub enum Asked {
    /// A completion.
    Completion(CompletionRequest),
    /// A call of a plain service.
    Service {
        /// Its name.
        name: String,
        /// Whether its calls may be repeated.
        repeatable: bool,
    },
}

/// What the filters have found out about a request.
pub struct Context<'a> {
    /// The headers it came with.
    pub headers: &'a HeaderMap,
    /// What it asks for.
    pub asked: Asked,
    /// When it arrived.
    pub arrived_ms: Millis,
    /// Who it is; set by the identity filter.
    pub identity: Identity,
    /// The base model of its adapter; set by the catalog filter.
    pub base_model: String,
    /// Whose request it is; set by the catalog filter.
    pub organisation: String,
    /// Its priority class; set by the catalog filter.
    pub class: Class,
    /// How it is treated; set by the treatment filter.
    pub treatment: Treatment,
    /// The claim of its key; set by the claim filter.
    pub claimed: Claimed,
}

/// Lets a request pass, or ends it.
pub trait Filter {
    /// Looks at a request.
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>>;
}

/// The class of requests that name none.
pub const DEFAULT_CLASS: &str = "standard";

/// How long a request of the built-in class may wait.
const DEFAULT_MAX_WAIT_MS: Millis = 30_000;

/// Rank of the built-in class: behind every class an operator ranks first.
const DEFAULT_RANK: u8 = 100;

impl<'a> Context<'a> {
    /// A request as it came.
    pub fn new(headers: &'a HeaderMap, asked: Asked, arrived_ms: Millis) -> Self {
        let class = default_class();
        Self {
            headers,
            asked,
            arrived_ms,
            identity: Identity::default(),
            base_model: String::new(),
            organisation: String::new(),
            treatment: Treatment {
                rank: class.rank,
                urgent: class.urgent,
                max_wait_ms: class.max_wait_ms,
                repeatable: class.repeatable,
            },
            class,
            claimed: Claimed::default(),
        }
    }

    /// The text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The class of requests that name none where the operators define no `standard`.
pub fn default_class() -> Class {
    Class {
        name: DEFAULT_CLASS.to_owned(),
        rank: DEFAULT_RANK,
        urgent: false,
        max_wait_ms: DEFAULT_MAX_WAIT_MS,
        repeatable: true,
        policy: None,
    }
}

/// Passes a request through every filter in order.
///
/// # Errors
/// The first filter's failure.
pub async fn run_chain(node: &Arc<Node>, context: &mut Context<'_>) -> Result<(), Failure> {
    let chain: [&dyn Filter; 5] = [
        &identity::IdentityFilter,
        &freshness::FreshnessFilter,
        &catalog::CatalogFilter,
        &treatment::TreatmentFilter,
        &claim::ClaimFilter,
    ];
    for filter in chain {
        filter.apply(node, context).await?;
    }
    Ok(())
}
