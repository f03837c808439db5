//! Liveness, readiness and metrics endpoints, and the fallback handlers for unknown routes.

use std::sync::Arc;

use ntex::web::HttpResponse;
use ntex::web::types::State;

use crate::filters::Failure;
use crate::state::Node;

/// Handles `GET /healthz`: succeeds while the process can answer.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Handles `GET /readyz`: succeeds while the box accepts new work.
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

/// Handles `GET /metrics` in the Prometheus text format.
pub async fn metrics(node: State<Arc<Node>>) -> HttpResponse {
    node.metrics.config_revision.set(node.config.in_force());
    node.metrics
        .control_bytes
        .set(node.control.traffic().total() as i64);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(node.metrics.to_text())
}

/// Answers requests whose method the path does not support.
pub async fn wrong_method() -> HttpResponse {
    Failure::MethodNotAllowed.to_response()
}

/// Answers requests for unknown paths.
pub async fn not_found() -> HttpResponse {
    Failure::NotFound.to_response()
}
