//! Reads the audit trail.

use std::sync::Arc;

use ntex::web::types::{Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use tinbay_wire::admin::AuditRecord;

use super::authorise;
use crate::filters::Failure;
use crate::platform::{Pair, keys};
use crate::state::Node;

/// Query of `GET /admin/v1/audit`.
#[derive(Debug, Deserialize)]
struct AuditQuery {
    change: Option<String>,
}

/// Answers `GET /admin/v1/audit`, oldest first.
pub async fn read(node: State<Arc<Node>>, request: HttpRequest) -> HttpResponse {
    match answer(&node, &request).await {
        Ok(records) => HttpResponse::Ok().json(&records),
        Err(failure) => failure.to_response(),
    }
}

async fn answer(node: &Arc<Node>, request: &HttpRequest) -> Result<Vec<AuditRecord>, Failure> {
    authorise(node, request)?;
    let query = Query::<AuditQuery>::from_query(request.query_string()).map_err(|error| {
        Failure::BadParameter {
            name: "query",
            reason: error.to_string(),
        }
    })?;
    let prefix = keys::audit(query.change.as_deref().unwrap_or_default());
    let listing = node
        .kv
        .list(&prefix)
        .await
        .map_err(|_| Failure::PlatformUnavailable)?;
    let mut records: Vec<AuditRecord> = listing.pairs.iter().filter_map(to_record).collect();
    if let Some(change_id) = &query.change {
        records.retain(|record| record.change_id == *change_id);
    }
    records.sort_by_key(|record| record.revision);
    Ok(records)
}

fn to_record(pair: &Pair) -> Option<AuditRecord> {
    let mut record: AuditRecord = serde_json::from_slice(&pair.value).ok()?;
    record.revision = pair.revision;
    Some(record)
}
