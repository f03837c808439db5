//! The chain of filters that a routed request passes, each a file with one job.

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

use super::question::Question;
use super::refusal::Refusal;
use crate::http::body::{AnswerBody, RequestBody};
use crate::memory::Hold;
use crate::node::Node;

/// A routed request on its way through the filters.
pub struct Exchange {
    /// The request's head and what was decided of it.
    pub question: Rc<Question>,
    /// Its body as it comes, until it is read.
    pub incoming: Option<Incoming>,
    /// Counts its body while it is read.
    pub held: Option<Hold>,
    /// Its body as it goes on to a server, once it is read.
    pub body: Option<RequestBody>,
}

/// What a filter has a request do.
pub enum Step {
    /// Go on to the next filter.
    Next,
    /// Get this answer.
    Answer(Response<AnswerBody>),
}

/// What a filter does, until it is done.
pub type Filtering<'a> = Pin<Box<dyn Future<Output = Result<Step, Refusal>> + 'a>>;

/// One stage of a request's way.
pub trait Filter {
    /// Takes a request; an error is what its caller is told.
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> Filtering<'a>;

    /// Takes back what was counted for a request that has not run.
    fn take_back(&self, _node: &Rc<Node>, _question: &Question) {}
}

/// All filters, in the order in which a request passes them. Who may not ask is told before the
/// rest of the request is read.
const FILTERS: [&dyn Filter; 6] = [
    &account_key::AccountKey,
    &memory::Memory,
    &body::ReadBody,
    &quarantine::Quarantine,
    &account_limit::AccountLimit,
    &delivery::Delivery,
];

/// Takes a request through the filters.
///
/// # Errors
/// What the caller is told instead of a server's answer.
pub async fn pass(
    node: &Rc<Node>,
    question: &Rc<Question>,
    incoming: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut exchange = Exchange {
        question: Rc::clone(question),
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
                    take_back(node, question);
                }
                return Err(refusal);
            }
        }
    }
    Err(Refusal::NoServer {
        retry_after_ms: None,
    })
}

fn take_back(node: &Rc<Node>, question: &Question) {
    for filter in FILTERS {
        filter.take_back(node, question);
    }
}
