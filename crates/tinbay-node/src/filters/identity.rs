//! Finds out which request this is.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::keys::RequestKey;
use tinbay_wire::headers;

use super::{Context, Failure, Filter};
use crate::state::Node;

/// Longest request id taken from a caller.
const MAX_REQUEST_ID: usize = 128;

/// Which request this is.
#[derive(Debug, Clone, Default)]
pub struct Identity {
    /// Runs through the logs of every box.
    pub request_id: String,
    /// The key the caller got from locate.
    pub key: Option<RequestKey>,
    /// The first position of the answer that the caller still needs.
    pub resume_from: Option<u64>,
    /// The request's name at back ends: the key, the same for every ask with it, or a name of its own.
    ///
    /// Never the id that a caller chose: two callers with the same one would share a run.
    pub name: String,
}

/// Reads request id, key and resume position.
pub struct IdentityFilter;

impl Filter for IdentityFilter {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>> {
        async move {
            context.identity = identify(node, context)?;
            Ok(())
        }
        .boxed_local()
    }
}

fn identify(node: &Node, context: &Context<'_>) -> Result<Identity, Failure> {
    let key = match context.header(headers::KEY) {
        Some(text) => Some(text.parse::<RequestKey>().map_err(|_| Failure::BadKey)?),
        None => None,
    };
    let resume_from = match context.header(headers::RESUME_FROM) {
        Some(text) => Some(text.parse().map_err(|_| Failure::BadParameter {
            name: headers::RESUME_FROM,
            reason: "it must be a whole number".to_owned(),
        })?),
        None => None,
    };
    if resume_from.is_some() && key.is_none() {
        return Err(Failure::BadParameter {
            name: headers::RESUME_FROM,
            reason: "it needs the request's key".to_owned(),
        });
    }
    let given = context.header(headers::REQUEST_ID);
    let own_id = new_request_id(node);
    let request_id = match given.filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID) {
        Some(id) => id.to_owned(),
        None => own_id.clone(),
    };
    let name = key.as_ref().map_or(own_id, RequestKey::to_string);
    Ok(Identity {
        request_id,
        key,
        resume_from,
        name,
    })
}

fn new_request_id(node: &Node) -> String {
    let number = node.next_request_id().0;
    format!("{}-{:x}-{number}", node.id(), node.incarnation)
}
