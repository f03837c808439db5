//! Request bodies and responses common to all stand-ins.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tinbay_http::body::read_json;

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Builds a JSON response with status 200.
pub fn json<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

/// Builds a JSON response with the given status.
pub fn json_status<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    HttpResponse::build(status).json(value)
}

/// Parses a JSON body. The error is the response to a malformed one.
pub async fn parse_body<T: DeserializeOwned>(
    payload: ntex::web::types::Payload,
) -> Result<T, HttpResponse> {
    read_json(payload.into_inner(), MAX_BODY_BYTES)
        .await
        .map_err(|error| HttpResponse::BadRequest().body(error.to_string()))
}
