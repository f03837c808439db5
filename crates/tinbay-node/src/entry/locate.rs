//! Tells a caller which boxes to send its request to, for how long that holds, and the key under
//! which to send it.

use std::sync::Arc;

use ntex::web::types::{Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use rand::seq::SliceRandom;
use serde::Deserialize;
use tinbay_core::ids::ModelRef;
use tinbay_core::view::BoxRecord;
use tinbay_wire::locate::LocateAnswer;

use super::attempts::ranked_engines;
use crate::filters::Failure;
use crate::state::Node;
use crate::util::sync::read;

/// Upper bound of the addresses in an answer: the best one first, then fallbacks.
const MAX_ADDRESSES: usize = 3;

/// Query parameters of `GET /v1/locate`.
#[derive(Debug, Deserialize)]
pub struct LocateQuery {
    /// Adapter and version that the caller is going to request.
    model: Option<String>,
}

/// Handles `GET /v1/locate`.
pub async fn locate(node: State<Arc<Node>>, request: HttpRequest) -> HttpResponse {
    match answer(&node, &request) {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(failure) => failure.to_response(),
    }
}

fn answer(node: &Node, request: &HttpRequest) -> Result<LocateAnswer, Failure> {
    let query = Query::<LocateQuery>::from_query(request.query_string()).map_err(|error| {
        Failure::BadParameter {
            name: "query",
            reason: error.to_string(),
        }
    })?;
    let owner = match &query.model {
        Some(text) => preferred_owner(node, text)?,
        None => None,
    };
    let boxes = candidates(node, owner);
    let first = boxes.first().ok_or(Failure::Leaving)?;
    Ok(LocateAnswer {
        key: node.mint_key(first).to_string(),
        addresses: boxes.iter().map(|b| b.address.clone()).collect(),
        valid_ms: node.options.locate_valid_ms,
    })
}

/// The owner of the engine that ranks first for a model. A request sent there need not be
/// forwarded.
fn preferred_owner(node: &Node, text: &str) -> Result<Option<BoxRecord>, Failure> {
    let model: ModelRef = text.parse().map_err(|error| Failure::BadParameter {
        name: "model",
        reason: format!("{error}"),
    })?;
    let adapter = node
        .config
        .adapter(model.adapter())
        .ok_or_else(|| Failure::UnknownAdapter(model.adapter().to_owned()))?;
    let engines = ranked_engines(node, &model, &adapter.base_model, true);
    let spec = engines
        .first()
        .and_then(|engine| node.config.engine(engine.as_str()));
    let Some(spec) = spec else {
        return Ok(None);
    };
    let members = read(&node.members);
    Ok(members.owner_of(&spec).cloned())
}

/// The owner first, then boxes of this zone in random order, then of the region.
fn candidates(node: &Node, owner: Option<BoxRecord>) -> Vec<BoxRecord> {
    let members = read(&node.members);
    let mut live: Vec<&BoxRecord> = members.view().live(&node.options.region).collect();
    live.shuffle(&mut rand::rng());
    live.sort_by_key(|record| record.zone != node.options.zone);
    let mut boxes: Vec<BoxRecord> = owner.into_iter().collect();
    for record in live {
        if boxes.len() < MAX_ADDRESSES && boxes.iter().all(|known| known.id != record.id) {
            boxes.push(record.clone());
        }
    }
    boxes
}
