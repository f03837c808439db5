//! Answers the stand-ins share.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tinbay_http::body::read_json;

/// Longest body a stand-in takes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A JSON answer.
pub fn json<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

/// A JSON answer with another status.
pub fn json_status<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    HttpResponse::build(status).json(value)
}

/// Reads a JSON body, or gives the answer to a bad one.
pub async fn body<T: DeserializeOwned>(
    payload: ntex::web::types::Payload,
) -> Result<T, HttpResponse> {
    read_json(payload.into_inner(), MAX_BODY_BYTES)
        .await
        .map_err(|error| HttpResponse::BadRequest().body(error.to_string()))
}
