//! Claims the key of a request that must not run twice, at the key's home: the box that records
//! which of its keys have been used.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::keys::{ClaimAnswer, RequestKey};
use tinbay_wire::control::{Message, Reply};

use super::{Context, Failure, Filter};
use crate::state::Node;
use crate::util::clock::wall_ms;
use crate::util::sync::{lock, read};

/// The claim on a request's key.
#[derive(Debug, Clone, Default)]
pub struct KeyClaim {
    /// The claimed key; `None` for requests that may run more than once or have no key.
    pub key: Option<RequestKey>,
}

/// Claims the keys of requests that must not run twice.
pub struct ClaimFilter;

impl Filter for ClaimFilter {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>> {
        async move {
            let is_resume = context.identity.resume_from.is_some();
            if context.treatment.repeatable || is_resume {
                return Ok(());
            }
            let Some(key) = context.identity.key.clone() else {
                return Ok(());
            };
            match claim(node, &key).await {
                ClaimAnswer::Granted | ClaimAnswer::Regranted => {
                    context.key_claim.key = Some(key);
                    Ok(())
                }
                ClaimAnswer::Used => Err(Failure::AlreadyUsed),
                ClaimAnswer::Unknown => Err(Failure::OutcomeUnknown),
            }
        }
        .boxed_local()
    }
}

async fn claim(node: &Node, key: &RequestKey) -> ClaimAnswer {
    if key.home == *node.id() {
        return lock(&node.keys).claim(key, wall_ms());
    }
    let Some(address) = home_address(node, key) else {
        return ClaimAnswer::Unknown;
    };
    match node.ask_soon(&address, Message::Claim(key.clone())).await {
        Ok(Reply::Claim(claim)) => claim,
        // The home may have granted the claim, so the request must not run here or elsewhere.
        _ => ClaimAnswer::Unknown,
    }
}

/// Notifies the key's home that a claimed request has certainly not run, so that the key can be
/// used again.
pub async fn release_claim(node: &Node, key_claim: &KeyClaim) {
    let Some(key) = &key_claim.key else { return };
    if key.home == *node.id() {
        lock(&node.keys).release_not_run(key);
        return;
    }
    if let Some(address) = home_address(node, key) {
        // If this message is lost, the key stays claimed, which is safe.
        let _ = node
            .ask_soon(&address, Message::ReleaseNotRun(key.clone()))
            .await;
    }
}

fn home_address(node: &Node, key: &RequestKey) -> Option<String> {
    let members = read(&node.members);
    let home = members.view().get(&key.home)?;
    (home.incarnation == key.incarnation).then(|| home.control_address.clone())
}
