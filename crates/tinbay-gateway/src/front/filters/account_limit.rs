//! Enforces the rate limits of client accounts.

use std::rc::Rc;

use tinbay_core::accounts::account::{Account, LimitUnit};
use tinbay_core::limits::denied::CallerTry;
use tinbay_core::serving::prompt::TokenCount;

use super::{Exchange, Filter, FilterFuture, Step};
use crate::front::inbound::{AdmittedUnits, InboundRequest};
use crate::front::refusal::Refusal;
use crate::limits::{self, limited::Limited};
use crate::node::Node;

/// Admits a request within the rate limit of its client account, which holds across all boxes.
pub struct AccountLimit;

impl Filter for AccountLimit {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move {
            admit(node, &exchange.inbound).await?;
            Ok(Step::Next)
        })
    }

    /// Returns the units of the request to the account's limit.
    fn roll_back(&self, node: &Rc<Node>, inbound: &InboundRequest) {
        let admitted = inbound.admitted.take();
        let account = inbound.client_account();
        let limited = account.and_then(|account| Limited::of_account(node, account));
        if let (Some(admitted), Some(limited)) = (admitted, limited) {
            limits::give_back(node, &limited, admitted.units);
        }
    }
}

async fn admit(node: &Node, inbound: &InboundRequest) -> Result<(), Refusal> {
    let Some(account) = inbound.client_account().filter(|_| !inbound.is_forwarded) else {
        return Ok(());
    };
    let Some(limited) = Limited::of_account(node, account) else {
        return Ok(());
    };
    let units = units(account, inbound.prompt.count)?;
    let caller_try = inbound.digests().next().map(|digest| CallerTry {
        digest: digest.short(),
        objective_ms: inbound.route.objective_ms,
    });
    let admitted = limits::admit(node, &limited, units, caller_try).await;
    let by = admitted.map_or("refused", |by| by.name());
    node.metrics.count_limit(&account.name, by);
    let by = admitted.map_err(|retry_after_ms| Refusal::LimitReached { retry_after_ms })?;
    inbound.admitted.set(Some(AdmittedUnits { units, by }));
    Ok(())
}

fn units(account: &Account, count: TokenCount) -> Result<f64, Refusal> {
    match (account.unit, count) {
        (LimitUnit::Tokens { .. }, TokenCount::Unreadable) => Err(Refusal::TokensUnreadable),
        (unit, TokenCount::Declared(tokens)) => Ok(unit.cost(Some(tokens))),
        (unit, _) => Ok(unit.cost(None)),
    }
}
