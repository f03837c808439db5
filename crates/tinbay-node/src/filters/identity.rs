//! Reads a request's id, key and resume position from its headers.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::keys::RequestKey;
use tinbay_wire::headers;

use super::{Context, Failure, Filter};
use crate::state::Node;

/// Upper bound of the length of a request id chosen by a caller; a longer one is replaced.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The ids and the resume position of a request.
#[derive(Debug, Clone, Default)]
pub struct Identity {
    /// Identifies the request in the logs of all boxes.
    pub request_id: String,
    /// The key that the caller got from `/v1/locate`.
    pub key: Option<RequestKey>,
    /// First position of the answer that the caller still needs; `None` for a new request.
    pub resume_from: Option<u64>,
    /// Identifies the request at engines: its key, so that repeated requests with that key
    /// share a run, or else a generated name.
    ///
    /// It is never an id chosen by the caller: two callers that chose the same one would share a
    /// run.
    pub name: String,
}

/// Parses the request id, the key and the resume position.
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
    let caller_id = context.header(headers::REQUEST_ID);
    let generated_id = new_request_id(node);
    let request_id = match caller_id.filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
    {
        Some(id) => id.to_owned(),
        None => generated_id.clone(),
    };
    let name = key.as_ref().map_or(generated_id, RequestKey::to_string);
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
