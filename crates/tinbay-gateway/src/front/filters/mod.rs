//! The chain of filters that check, admit and deliver a routed request.

mod account_key;
mod account_limit;
mod body;
mod delivery;
mod memory;
mod quarantine;

use std::pin::Pin;
use std::rc::Rc;

use hyper::Response;
use hyper::body::Incoming;

use super::inbound::InboundRequest;
use super::refusal::Refusal;
use crate::http::body::{AnswerBody, RequestBody};
use crate::memory::Reservation;
use crate::node::Node;

/// A routed request on its way through the filters.
pub struct Exchange {
    /// The request's head, route and the decisions made so far.
    pub inbound: Rc<InboundRequest>,
    /// The unread body; `None` once a filter has read it.
    pub incoming: Option<Incoming>,
    /// Memory accounted to the body while it is read.
    pub held: Option<Reservation>,
    /// The body to send to a server, once it has been read.
    pub body: Option<RequestBody>,
}

/// The result of a filter that did not refuse the request.
pub enum Step {
    /// Continue with the next filter.
    Next,
    /// Respond with this answer.
    Answer(Response<AnswerBody>),
}

/// The future that a filter returns.
pub type FilterFuture<'a> = Pin<Box<dyn Future<Output = Result<Step, Refusal>> + 'a>>;

/// One stage of the filter chain.
pub trait Filter {
    /// Processes a request; an error is sent to its caller.
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a>;

    /// Undoes what the filter counted for a request that was not run.
    fn roll_back(&self, _node: &Rc<Node>, _inbound: &InboundRequest) {}
}

/// All filters, in the order of execution. The key is checked before the body is read, so that an
/// unauthorized caller is refused early.
const FILTERS: [&dyn Filter; 6] = [
    &account_key::AccountKey,
    &memory::Memory,
    &body::ReadBody,
    &quarantine::Quarantine,
    &account_limit::AccountLimit,
    &delivery::Delivery,
];

/// Runs a request through the filters.
///
/// # Errors
/// When a filter refuses the request or delivery fails.
pub async fn run(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    incoming: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut exchange = Exchange {
        inbound: Rc::clone(inbound),
        incoming: Some(incoming),
        held: None,
        body: None,
    };
    for filter in FILTERS {
        match filter.apply(node, &mut exchange).await {
            Ok(Step::Next) => {}
            Ok(Step::Answer(response)) => return Ok(response),
            Err(refusal) => {
                if refusal.says_not_run() {
                    roll_back(node, inbound);
                }
                return Err(refusal);
            }
        }
    }
    Err(Refusal::NoServer {
        retry_after_ms: None,
    })
}

fn roll_back(node: &Rc<Node>, inbound: &InboundRequest) {
    for filter in FILTERS {
        filter.roll_back(node, inbound);
    }
}
