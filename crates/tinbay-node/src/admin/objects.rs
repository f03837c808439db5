//! Reads the configuration in force at this box.

use std::sync::Arc;

use ntex::web::types::{Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use tinbay_core::config::{ConfigEntry, ConfigKey, Kind};
use tinbay_wire::admin::ObjectRecord;

use super::authorise;
use crate::filters::Failure;
use crate::state::Node;

/// Query of `GET /admin/v1/objects`.
#[derive(Debug, Deserialize)]
struct ObjectQuery {
    kind: Option<String>,
    name: Option<String>,
}

/// Answers `GET /admin/v1/objects`.
pub async fn list(node: State<Arc<Node>>, request: HttpRequest) -> HttpResponse {
    match answer(&node, &request) {
        Ok(records) => HttpResponse::Ok().json(&records),
        Err(failure) => failure.to_response(),
    }
}

fn answer(node: &Arc<Node>, request: &HttpRequest) -> Result<Vec<ObjectRecord>, Failure> {
    authorise(node, request)?;
    let bad = |reason: String| Failure::BadParameter {
        name: "query",
        reason,
    };
    let query = Query::<ObjectQuery>::from_query(request.query_string())
        .map_err(|error| bad(error.to_string()))?;
    let kind: Option<Kind> = match &query.kind {
        Some(kind) => Some(kind.parse().map_err(|error| bad(format!("{error}")))?),
        None => None,
    };
    let entries = match (kind, &query.name) {
        (None, None) => node.config.list_all(),
        (Some(kind), None) => node.config.list(kind),
        (Some(kind), Some(name)) => {
            let key = ConfigKey::new(kind, name);
            let entry = node.config.get(&key);
            vec![entry.ok_or(Failure::UnknownObject(key))?]
        }
        (None, Some(_)) => return Err(bad("name needs kind".to_owned())),
    };
    Ok(entries.into_iter().map(to_record).collect())
}

fn to_record(entry: ConfigEntry) -> ObjectRecord {
    ObjectRecord {
        revision: entry.revision,
        object: entry.object,
    }
}
