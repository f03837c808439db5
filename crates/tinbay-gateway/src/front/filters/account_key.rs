//! Authenticates a request by its API key.

use std::rc::Rc;

use tinbay_core::accounts::key_check::{KeyDecision, check};

use super::{Exchange, Filter, FilterFuture, Step};
use crate::front::inbound::{CheckedAccount, InboundRequest};
use crate::front::refusal::Refusal;
use crate::node::Node;

/// Admits a request whose key is certainly in force, and determines its client account.
pub struct AccountKey;

impl Filter for AccountKey {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move { decide(node, &exchange.inbound) })
    }
}

/// Checks the key against the newest configuration, which may be newer than the one that gave the
/// route: `configuration_age_ms` is the age of the newest.
fn decide(node: &Node, inbound: &InboundRequest) -> Result<Step, Refusal> {
    if inbound.is_forwarded {
        return Ok(Step::Next);
    }
    let in_force = node.in_force().ok_or(Refusal::NoConfiguration)?;
    let proof_age_ms = node.configuration_age_ms();
    let terms = node.settings.borrow().bounds.keys;
    let decision = check(
        &in_force.configuration.accounts,
        inbound.route.is_public,
        inbound.key,
        proof_age_ms,
        &terms,
    );
    let (account, result) = match decision {
        KeyDecision::Serve(account) => (account, Ok(Step::Next)),
        KeyDecision::NoKey => (None, Err(Refusal::NoKey)),
        KeyDecision::Unknown => (None, Err(Refusal::UnknownKey)),
        KeyDecision::CopyTooOld => (None, Err(Refusal::KeyNotProved)),
    };
    let checked = CheckedAccount {
        account,
        proof_age_ms,
    };
    let _ = inbound.account.set(checked);
    result
}
