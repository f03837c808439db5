//! HTTP administration interface for operators, under `/admin/v1`.

mod audit;
mod changes;
mod drain;
mod objects;
mod policies;
mod status;

use std::sync::Arc;

use ntex::web::{self, HttpRequest, ServiceConfig};

use crate::filters::Failure;
use crate::state::Node;

/// Maximum size of an administration request's body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Registers the administration routes.
pub fn configure(app: &mut ServiceConfig) {
    app.route("/admin/v1/changes", web::post().to(changes::change))
        .route("/admin/v1/objects", web::get().to(objects::list))
        .route("/admin/v1/audit", web::get().to(audit::read))
        .route("/admin/v1/status", web::get().to(status::status))
        .route(
            "/admin/v1/policies/try",
            web::post().to(policies::try_policy),
        )
        .route("/admin/v1/drain", web::post().to(drain::drain));
}

/// Checks the request's bearer token; without a configured token every request is allowed.
fn authorise(node: &Arc<Node>, request: &HttpRequest) -> Result<(), Failure> {
    let Some(token) = &node.options.admin_token else {
        return Ok(());
    };
    let header = request.headers().get("authorization");
    let given = header.and_then(|value| value.to_str().ok());
    let given = given.and_then(|value| value.strip_prefix("Bearer "));
    if given.is_some_and(|given| constant_time_eq(given.as_bytes(), token.as_bytes())) {
        return Ok(());
    }
    Err(Failure::Unauthorized)
}

/// Compares in a time that does not depend on the position of the first difference, against
/// timing attacks.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |found, (x, y)| found | (x ^ y));
    a.len() == b.len() && differences == 0
}
