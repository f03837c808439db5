//! Drains this box: it accepts no new requests and finishes those in progress.

use std::sync::Arc;

use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};
use tinbay_wire::admin::DrainAnswer;

use super::authorise;
use crate::state::Node;

/// Answers `POST /admin/v1/drain`.
pub async fn drain(node: State<Arc<Node>>, request: HttpRequest) -> HttpResponse {
    if let Err(failure) = authorise(&node, &request) {
        return failure.to_response();
    }
    if !node.is_leaving() {
        node.leave();
    }
    HttpResponse::Ok().json(&DrainAnswer {
        id: node.id().clone(),
        state: node.me().state,
    })
}
