//! Finds the client account of a request by the key that it shows.

use std::rc::Rc;

use tinbay_core::accounts::key_check::{KeyDecision, check};

use super::{Exchange, Filter, Filtering, Step};
use crate::front::question::{Question, ShownAccount};
use crate::front::refusal::Refusal;
use crate::node::Node;

/// Lets a request in under a key that is certainly in force.
pub struct AccountKey;

impl Filter for AccountKey {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> Filtering<'a> {
        Box::pin(async move { decide(node, &exchange.question) })
    }
}

/// The accounts are those of the newest configuration, which may have come since the route was
/// found: the age of what is known is that of the newest one.
fn decide(node: &Node, question: &Question) -> Result<Step, Refusal> {
    let in_force = node.in_force().ok_or(Refusal::NoConfiguration)?;
    let proof_age_ms = node.configuration_age_ms();
    let terms = node.settings.borrow().bounds.keys;
    let decision = check(
        &in_force.configuration.accounts,
        question.route.is_public,
        question.key,
        proof_age_ms,
        &terms,
    );
    let (account, result) = match decision {
        KeyDecision::Serve(account) => (account, Ok(Step::Next)),
        KeyDecision::NoKey => (None, Err(Refusal::NoKey)),
        KeyDecision::Unknown => (None, Err(Refusal::UnknownKey)),
        KeyDecision::CopyTooOld => (None, Err(Refusal::KeyNotProved)),
    };
    let shown = ShownAccount {
        account,
        proof_age_ms,
    };
    let _ = question.account.set(shown);
    result
}
