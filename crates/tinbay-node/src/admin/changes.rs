//! Configuration changes.
//!
//! A change is validated in full, then written in one transaction together with its audit record.
//! Each object is guarded by the revision it was validated against, so of two concurrent changes to
//! it one gets a conflict. If the reply to the transaction is lost, the audit record shows whether
//! it took effect, so a change is applied once and its outcome is reported correctly.

use std::sync::Arc;
use std::time::Duration;

use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use tinbay_core::config::{ConfigObject, check_delete, check_object};
use tinbay_core::units::Revision;
use tinbay_http::body::read_json;
use tinbay_wire::admin::{AuditItem, AuditRecord, ChangeAccepted, ChangeItem, ChangeRequest};

use super::{MAX_BODY_BYTES, authorise};
use crate::filters::Failure;
use crate::logging::part;
use crate::platform::{Guard, PlatformError, TxnEnd, Write, keys};
use crate::state::Node;
use crate::util::clock::wall_ms;

/// Maximum objects in a change; the key-value service takes 128 operations in a transaction.
const MAX_ITEMS: usize = 100;

/// Maximum length of a change id in bytes.
const MAX_CHANGE_ID: usize = 128;

/// Attempts to read the outcome of a change whose reply was lost.
const OUTCOME_ATTEMPTS: u32 = 3;

/// Pause after each such attempt.
const OUTCOME_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Attempts to write a change when concurrent changes fail its guards.
const WRITE_ATTEMPTS: u32 = 8;

/// Answers `POST /admin/v1/changes`.
pub async fn change(
    node: State<Arc<Node>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    match accept(&node, &request, payload).await {
        Ok(accepted) => HttpResponse::Ok().json(&accepted),
        Err(failure) => failure.to_response(),
    }
}

async fn accept(
    node: &Arc<Node>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<ChangeAccepted, Failure> {
    authorise(node, request)?;
    let change: ChangeRequest = read_json(payload.into_inner(), MAX_BODY_BYTES).await?;
    check_format(&change)?;
    let outcome = make_change(node, &change).await;
    match &outcome {
        Ok(accepted) => {
            log::info!(target: part::ADMIN, "change {} of {} accepted at revision {}", change.change_id, change.operator, accepted.revision);
        }
        Err(failure) => {
            log::info!(target: part::ADMIN, "change {} of {} refused: {failure}", change.change_id, change.operator);
            audit_refusal(node, &change, failure).await;
        }
    }
    outcome
}

fn check_format(change: &ChangeRequest) -> Result<(), Failure> {
    let id = &change.change_id;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if id.is_empty() || id.len() > MAX_CHANGE_ID || !id.chars().all(plain) {
        return Err(Failure::MalformedChange(
            "change_id uses letters, digits, '.', '_' and '-', at most 128 of them",
        ));
    }
    if change.items.is_empty() || change.items.len() > MAX_ITEMS {
        return Err(Failure::MalformedChange("a change has 1 to 100 items"));
    }
    Ok(())
}

async fn make_change(node: &Arc<Node>, change: &ChangeRequest) -> Result<ChangeAccepted, Failure> {
    if let Some(done) = find_accepted(node, &change.change_id).await? {
        return Ok(done);
    }
    for _ in 0..WRITE_ATTEMPTS {
        let head = stored_revision(node, keys::CONFIG_HEAD).await?;
        // The change is validated against every accepted change. If the wait times out, the guards
        // still protect each object.
        let caught_up = node.reach_revision(head).await;
        let current = read_current(node, change).await?;
        check(node, change, &current)?;
        match write(node, change, &current, head).await {
            Ok(TxnEnd::Done(revision)) => {
                let accepted = finish(node, change, revision);
                if caught_up {
                    // The guard on the head ensures that no change lies between it and this one, so
                    // this box can pass the new revision on even if the service fails now.
                    node.config.advance(revision);
                }
                return Ok(accepted);
            }
            Ok(TxnEnd::GuardFailed) => {
                // Another change was accepted first, or an earlier request with this id was.
                if let Some(done) = find_accepted(node, &change.change_id).await? {
                    return Ok(done);
                }
            }
            Err(PlatformError::ReplyLost) => return read_outcome(node, change).await,
            Err(_) => return Err(Failure::PlatformUnavailable),
        }
    }
    let current = read_current(node, change).await?;
    let first = change.items.first().map(ChangeItem::key);
    let found = current.first().copied().unwrap_or(0);
    match first {
        Some(key) => Err(Failure::Conflict { key, found }),
        None => Err(Failure::MalformedChange("a change has 1 to 100 items")),
    }
}

/// Returns the change with this id if it has been accepted already.
async fn find_accepted(node: &Node, change_id: &str) -> Result<Option<ChangeAccepted>, Failure> {
    let pair = node
        .kv
        .get(&keys::audit(change_id))
        .await
        .map_err(|_| Failure::PlatformUnavailable)?;
    let Some(pair) = pair else { return Ok(None) };
    let record: Option<AuditRecord> = serde_json::from_slice(&pair.value).ok();
    if record.is_none_or(|record| record.refused.is_some()) {
        return Ok(None);
    }
    Ok(Some(ChangeAccepted {
        change_id: change_id.to_owned(),
        revision: pair.revision,
    }))
}

/// Returns the current revision of each object, 0 for an object that does not exist.
async fn read_current(node: &Node, change: &ChangeRequest) -> Result<Vec<Revision>, Failure> {
    let mut current = Vec::with_capacity(change.items.len());
    for item in &change.items {
        let key = item.key();
        // The configuration in force here may be slightly stale; the guard detects that.
        let revision = match node.config.get(&key) {
            Some(entry) if change.items.len() > 1 => entry.revision,
            None if change.items.len() > 1 => 0,
            _ => stored_revision(node, &keys::config(&key)).await?,
        };
        current.push(revision);
    }
    Ok(current)
}

async fn stored_revision(node: &Node, key: &str) -> Result<Revision, Failure> {
    let pair = node
        .kv
        .get(key)
        .await
        .map_err(|_| Failure::PlatformUnavailable)?;
    Ok(pair.map_or(0, |pair| pair.revision))
}

fn check(node: &Node, change: &ChangeRequest, current: &[Revision]) -> Result<(), Failure> {
    let objects: Vec<ConfigObject> = change
        .items
        .iter()
        .filter_map(|item| match item {
            ChangeItem::Put { object, .. } => Some(object.clone()),
            ChangeItem::Delete { .. } => None,
        })
        .collect();
    for (item, found) in change.items.iter().zip(current) {
        match item {
            ChangeItem::Put { object, expected } => {
                if expected.is_some_and(|expected| expected != *found) {
                    return Err(Failure::Conflict {
                        key: object.key(),
                        found: *found,
                    });
                }
                check_object(object, &node.config, &objects).map_err(Failure::InvalidChange)?;
            }
            ChangeItem::Delete { key } => {
                if *found == 0 {
                    return Err(Failure::UnknownObject(key.clone()));
                }
                check_delete(key, &node.config).map_err(Failure::InvalidChange)?;
            }
        }
    }
    Ok(())
}

async fn write(
    node: &Node,
    change: &ChangeRequest,
    current: &[Revision],
    head: Revision,
) -> Result<TxnEnd, PlatformError> {
    let mut guards = vec![
        Guard {
            key: keys::audit(&change.change_id),
            revision: 0,
        },
        Guard {
            key: keys::CONFIG_HEAD.to_owned(),
            revision: head,
        },
    ];
    let mut writes = Vec::new();
    for (item, found) in change.items.iter().zip(current) {
        let key = keys::config(&item.key());
        guards.push(Guard {
            key: key.clone(),
            revision: *found,
        });
        writes.push(match item {
            ChangeItem::Put { object, .. } => put(&key, object),
            ChangeItem::Delete { .. } => Write::Delete { key },
        });
    }
    writes.push(put(
        &keys::audit(&change.change_id),
        &audit_record(node, change, current, None),
    ));
    writes.push(Write::Put {
        key: keys::CONFIG_HEAD.to_owned(),
        value: change.change_id.clone().into_bytes(),
        lease: None,
    });
    node.kv.txn(&guards, &writes).await
}

fn put<T: serde::Serialize>(key: &str, value: &T) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: serde_json::to_vec(value).unwrap_or_default(),
        lease: None,
    }
}

fn audit_record(
    node: &Node,
    change: &ChangeRequest,
    current: &[Revision],
    refused: Option<String>,
) -> AuditRecord {
    let items = change
        .items
        .iter()
        .enumerate()
        .map(|(index, item)| AuditItem {
            key: item.key(),
            before: current.get(index).copied().unwrap_or(0),
            deleted: matches!(item, ChangeItem::Delete { .. }),
        })
        .collect();
    AuditRecord {
        change_id: change.change_id.clone(),
        operator: change.operator.clone(),
        at_ms: wall_ms(),
        by_box: node.id().clone(),
        items,
        refused,
        revision: 0,
    }
}

/// Applies an accepted change at this box at once; other boxes learn of its revision.
fn finish(node: &Node, change: &ChangeRequest, revision: Revision) -> ChangeAccepted {
    for item in &change.items {
        let object = match item {
            ChangeItem::Put { object, .. } => Some(object.clone()),
            ChangeItem::Delete { .. } => None,
        };
        node.config.apply(&item.key(), revision, object);
    }
    node.want_revision(revision);
    ChangeAccepted {
        change_id: change.change_id.clone(),
        revision,
    }
}

/// Determines the outcome of a change whose reply was lost.
async fn read_outcome(node: &Node, change: &ChangeRequest) -> Result<ChangeAccepted, Failure> {
    for _ in 0..OUTCOME_ATTEMPTS {
        if let Ok(Some(done)) = find_accepted(node, &change.change_id).await {
            return Ok(finish(node, change, done.revision));
        }
        // The write may still be in transit, so a missing record does not prove failure yet.
        tokio::time::sleep(OUTCOME_RETRY_PAUSE).await;
    }
    Err(Failure::ChangeUnknown(change.change_id.clone()))
}

/// Writes an audit record of a refused change. Best effort: refusals caused by the key-value
/// service itself are not recorded, and a failed write is ignored.
async fn audit_refusal(node: &Node, change: &ChangeRequest, failure: &Failure) {
    if matches!(
        failure,
        Failure::PlatformUnavailable | Failure::ChangeUnknown(_)
    ) {
        return;
    }
    let record = audit_record(node, change, &[], Some(failure.to_string()));
    let key = format!(
        "{}.refused-{}",
        keys::audit(&change.change_id),
        record.at_ms
    );
    let _ = node.kv.txn(&[], &[put(&key, &record)]).await;
}
