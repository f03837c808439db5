//! Status for operators: the known boxes, the configuration revision of each, and the engines that
//! this box owns.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use futures_util::future::join_all;
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_core::view::BoxRecord;
use tinbay_wire::admin::{BoxStatus, Status};
use tinbay_wire::control::{HeardBox, Message, Reply};

use super::authorise;
use crate::controllers::zone_status;
use crate::state::Node;
use crate::util::sync::read;

/// Answers `GET /admin/v1/status`.
pub async fn status(node: State<Arc<Node>>, request: HttpRequest) -> HttpResponse {
    if let Err(failure) = authorise(&node, &request) {
        return failure.to_response();
    }
    HttpResponse::Ok().json(&gather(&node).await)
}

async fn gather(node: &Arc<Node>) -> Status {
    let records: Vec<BoxRecord> = {
        let members = read(&node.members);
        members.view().boxes().cloned().collect()
    };
    let zones: BTreeSet<ZoneId> = records.iter().map(|record| record.zone.clone()).collect();
    let requests = zones.iter().map(|zone| request_zone_status(node, zone));
    let heard: HashMap<BoxId, HeardBox> = join_all(requests)
        .await
        .into_iter()
        .flatten()
        .map(|entry| (entry.id.clone(), entry))
        .collect();
    let boxes = records
        .into_iter()
        .map(|record| {
            let entry = heard.get(&record.id);
            BoxStatus {
                revision: entry.map(|entry| entry.revision),
                silent_ms: entry.map_or(0, |entry| entry.silent_ms),
                record,
            }
        })
        .collect();
    let mut engines: Vec<_> = node
        .owners
        .all()
        .iter()
        .map(|owned| owned.status(node.id()))
        .collect();
    engines.sort_by(|a, b| a.engine.cmp(&b.engine));
    Status {
        answered_by: node.id().clone(),
        revision: node.config.in_force(),
        boxes,
        engines,
    }
}

/// Heartbeat status of a zone's boxes, from the first of its keepers that replies; empty if none
/// does.
async fn request_zone_status(node: &Arc<Node>, zone: &ZoneId) -> Vec<HeardBox> {
    let keepers: Vec<BoxRecord> = {
        let members = read(&node.members);
        members.view().keepers(zone).into_iter().cloned().collect()
    };
    for keeper in keepers {
        if keeper.id == *node.id() {
            return zone_status(node);
        }
        let reply = node
            .ask_soon(&keeper.control_address, Message::ZoneStatus)
            .await;
        if let Ok(Reply::Zone(heard)) = reply {
            return heard;
        }
    }
    Vec::new()
}
