//! Evaluates a policy program without storing it.

use std::sync::Arc;

use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use tinbay_core::policy::{Policy, PolicySettings};
use tinbay_http::body::read_json;
use tinbay_wire::admin::PolicyTry;

use super::{MAX_BODY_BYTES, authorise};
use crate::filters::Failure;
use crate::state::Node;

/// Answers `POST /admin/v1/policies/try` with the settings that the program yields.
pub async fn try_policy(
    node: State<Arc<Node>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    match answer(&node, &request, payload).await {
        Ok(settings) => HttpResponse::Ok().json(&settings),
        Err(failure) => failure.to_response(),
    }
}

async fn answer(
    node: &Arc<Node>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<PolicySettings, Failure> {
    authorise(node, request)?;
    let body: PolicyTry = read_json(payload.into_inner(), MAX_BODY_BYTES).await?;
    let policy = Policy::compile(&body.program).map_err(Failure::InvalidPolicy)?;
    Ok(policy.settings())
}
