//! Whether the box lives, is ready, and what it measures.

use std::sync::Arc;

use ntex::web::HttpResponse;
use ntex::web::types::State;

use crate::filters::Failure;
use crate::state::Node;

/// The process answers.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// The box takes new work.
pub async fn readyz(node: State<Arc<Node>>) -> HttpResponse {
    if node.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    let reason = if node.is_leaving() {
        "leaving\n"
    } else {
        "starting\n"
    };
    HttpResponse::ServiceUnavailable().body(reason)
}

/// The measures in the text format.
pub async fn metrics(node: State<Arc<Node>>) -> HttpResponse {
    node.metrics.config_revision.set(node.config.in_force());
    node.metrics
        .control_bytes
        .set(node.control.traffic().total() as i64);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(node.metrics.to_text())
}

/// The answer to a method that a path does not take.
pub async fn wrong_method() -> HttpResponse {
    Failure::MethodNotAllowed.to_response()
}

/// The answer to a path that does not exist.
pub async fn not_found() -> HttpResponse {
    Failure::NotFound.to_response()
}
