//! The filter chain that each caller's request passes before it is routed.
//!
//! Each filter checks one aspect and either lets the request pass, adding its result to the
//! context, or ends it with a typed failure. The design follows the HTTP filter chains of Envoy:
//! each check has one place and can be tested by itself.

mod catalog;
mod claim;
mod failure;
mod freshness;
mod identity;
mod treatment;

pub use claim::{KeyClaim, release_claim};
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

/// The operation that a caller requests.
#[derive(Debug, Clone)]
pub enum Operation {
    /// A completion by an adapter.
    Completion(CompletionRequest),
    /// A call of a plain HTTP service.
    Service {
        /// Name of the service in the configuration.
        name: String,
        /// Whether a call may run more than once.
        repeatable: bool,
    },
}

/// A caller's request, with the results of the filters so far.
pub struct Context<'a> {
    /// Headers as received.
    pub headers: &'a HeaderMap,
    /// The requested operation, from the path and body.
    pub operation: Operation,
    /// When the request arrived, on the clock of this box.
    pub arrived_ms: Millis,
    /// Its ids and resume position; set by the identity filter.
    pub identity: Identity,
    /// The base model of its adapter; set by the catalog filter.
    pub base_model: String,
    /// The organisation that owns its adapter, or the name of the service; set by the catalog
    /// filter.
    pub organisation: String,
    /// Its priority class; set by the catalog filter.
    pub class: Class,
    /// Its scheduling parameters; set by the treatment filter.
    pub treatment: Treatment,
    /// The claim on its key; set by the claim filter.
    pub key_claim: KeyClaim,
}

/// One check of the filter chain.
pub trait Filter {
    /// Checks a request and adds the result to the context; an error ends the request.
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>>;
}

/// Class of requests that do not name one.
pub const DEFAULT_CLASS: &str = "standard";

/// Maximum wait for a start in the built-in class.
const DEFAULT_MAX_WAIT_MS: Millis = 30_000;

/// Rank of the built-in class, which leaves lower ranks to classes that operators want served
/// first.
const DEFAULT_RANK: u8 = 100;

impl<'a> Context<'a> {
    /// Creates the context of a request that no filter has seen yet, with the built-in class.
    pub fn new(headers: &'a HeaderMap, operation: Operation, arrived_ms: Millis) -> Self {
        let class = default_class();
        Self {
            headers,
            operation,
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
            key_claim: KeyClaim::default(),
        }
    }

    /// The value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The built-in class, used for requests without a class if operators do not define `standard`.
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

/// Passes a request through all filters in order.
///
/// # Errors
/// The failure of the first filter that ends the request.
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
