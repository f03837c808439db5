//! Sends requests to relays: boxes that read the store and pass its content on.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::position::{Era, Position};
use tinbay_core::units::Millis;

use super::PATH;
use super::message::{ChangePart, RelayAnswer, RelayRequest};
use crate::events::{self, part};
use crate::http::call::{Call, HttpClient, MAX_STORE_ANSWER_BYTES};
use crate::http::target::RequestTarget;
use crate::node::Node;
use crate::port::store::{Change, Changes, Item, Listing};
use crate::watch::replica::Freshness;

/// Time that an answer may take beyond the requested wait; a round trip between boxes takes some
/// milliseconds.
const ANSWER_MARGIN_MS: Millis = 300;

/// Timeout of a listing, which may be some hundred kilobytes long.
const LISTING_TIMEOUT_MS: Millis = 1_000;

/// How long a relay is skipped after it did not answer.
const NO_ANSWER_SKIP_MS: Millis = 1_000;

/// How long a relay is skipped after it answered that it is not in touch with the store. It is
/// short: asking again costs little, and while no relay is asked, boxes read the store themselves,
/// which may just have recovered.
const NOT_IN_TOUCH_SKIP_MS: Millis = 200;

#[derive(Serialize)]
struct RelayEvent<'a> {
    relay: &'a str,
    prefix: &'a str,
    error: String,
}

/// Why a request to a relay failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// No complete answer came in time.
    #[error("the relay did not answer in time")]
    NoAnswer,
    /// The relay does not read the store, gets no answer from it, or still sees an earlier era.
    #[error("the relay has no current copy of the store")]
    NotInTouch,
    /// The relay no longer keeps the requested changes.
    #[error("the relay no longer keeps the requested changes")]
    HistoryGone,
}

/// Another box that answers relay requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayBox {
    /// Id of the box.
    pub id: String,
    /// Address of the box for calls between boxes.
    pub address: SocketAddr,
}

/// Asks a relay for all items under a prefix.
///
/// # Errors
/// When the relay has no usable answer; it is then skipped for a while.
pub async fn request_listing(
    node: &Node,
    relay: &RelayBox,
    prefix: &str,
) -> Result<(Listing, Freshness), RelayError> {
    let prefix = prefix.to_string();
    let request = RelayRequest::List { prefix };
    let (parts, at, freshness) = request_parts(node, relay, &request, LISTING_TIMEOUT_MS).await?;
    let items = parts
        .into_iter()
        .filter_map(|part| match part.into_change(at.era) {
            Change::Put(item) => Some(item),
            Change::Deleted { .. } => None,
        });
    let items = items.collect();
    Ok((Listing { items, at }, freshness))
}

/// Asks another box for the items under a prefix that it keeps because a restored store lacks them.
///
/// # Errors
/// When the box does not answer, or has not read the prefix yet.
pub async fn request_kept_items(
    node: &Node,
    other: &RelayBox,
    prefix: &str,
    era: Era,
) -> Result<Vec<Item>, RelayError> {
    let prefix = prefix.to_string();
    let request = RelayRequest::Kept { prefix, era };
    let answer = exchange(node, other, &request, LISTING_TIMEOUT_MS).await;
    let (parts, at) = match answer {
        Some(RelayAnswer::Parts { parts, at, .. }) => (parts, at),
        Some(RelayAnswer::NothingKept) => return Ok(Vec::new()),
        Some(_) => return Err(RelayError::NotInTouch),
        None => return Err(RelayError::NoAnswer),
    };
    let changes = parts.into_iter().map(|part| part.into_change(at.era));
    let items = changes.filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Deleted { .. } => None,
    });
    Ok(items.collect())
}

/// Asks a relay for the changes under a prefix after a position.
///
/// # Errors
/// When the relay has no usable answer. Unless it just no longer keeps the changes, it is then
/// skipped for a while.
pub async fn request_changes(
    node: &Node,
    relay: &RelayBox,
    prefix: &str,
    after: Position,
    wait_ms: Millis,
) -> Result<(Changes, Freshness), RelayError> {
    let request = RelayRequest::Watch {
        prefix: prefix.to_string(),
        after,
        wait_ms,
    };
    let timeout_ms = wait_ms + ANSWER_MARGIN_MS;
    let (parts, at, freshness) = request_parts(node, relay, &request, timeout_ms).await?;
    if at.era != after.era {
        return Err(RelayError::HistoryGone);
    }
    let changes = parts.into_iter().map(|part| part.into_change(at.era));
    let changes = changes.collect();
    Ok((Changes { changes, at }, freshness))
}

async fn request_parts(
    node: &Node,
    relay: &RelayBox,
    request: &RelayRequest,
    timeout_ms: Millis,
) -> Result<(Vec<ChangePart>, Position, Freshness), RelayError> {
    let asked_ms = node.now_ms();
    let answer = exchange(node, relay, request, timeout_ms).await;
    if let Some(RelayAnswer::Parts { at, .. }) = &answer {
        node.store.verify_era(at.era).await;
    }
    let result = match answer {
        // The relay has not noticed the latest restore of the store yet.
        Some(RelayAnswer::Parts { at, .. }) if !node.store.is_present(at.era) => {
            Err(RelayError::NotInTouch)
        }
        Some(RelayAnswer::Parts {
            parts,
            at,
            age_ms,
            held_ms,
            is_complete,
        }) => {
            // The relay sent its answer no earlier than `held_ms` after this box asked.
            let freshness = Freshness {
                confirmed_ms: (asked_ms + held_ms).saturating_sub(age_ms),
                max_relayed_age_ms: None,
                is_complete,
                is_reported_complete: is_complete,
            };
            Ok((parts, at, freshness))
        }
        Some(RelayAnswer::HistoryGone) => Err(RelayError::HistoryGone),
        Some(RelayAnswer::NotInTouch | RelayAnswer::NothingKept) => Err(RelayError::NotInTouch),
        None => Err(RelayError::NoAnswer),
    };
    let skip_ms = match result {
        Err(RelayError::NoAnswer) => NO_ANSWER_SKIP_MS,
        Err(RelayError::NotInTouch) => NOT_IN_TOUCH_SKIP_MS,
        Ok(_) | Err(RelayError::HistoryGone) => 0,
    };
    if skip_ms > 0 {
        let until_ms = node.now_ms() + skip_ms;
        let mut failed = node.failed_relays.borrow_mut();
        failed.retain(|_, until_ms| *until_ms > asked_ms);
        failed.insert(relay.id.clone(), until_ms);
    }
    result
}

async fn exchange(
    node: &Node,
    relay: &RelayBox,
    request: &RelayRequest,
    timeout_ms: Millis,
) -> Option<RelayAnswer> {
    let call = Call {
        method: Method::POST,
        target: RequestTarget::from_static(PATH),
        body: Bytes::from(postcard::to_stdvec(request).ok()?),
        header: None,
        timeout_ms,
        max_answer_bytes: MAX_STORE_ANSWER_BYTES,
    };
    let caller = caller(node, relay.address);
    let reply = caller.call(&call).await.ok()?;
    postcard::from_bytes(&reply.body).ok()
}

fn caller(node: &Node, address: SocketAddr) -> Rc<HttpClient> {
    let mut callers = node.relay_callers.borrow_mut();
    let caller = callers
        .entry(address)
        .or_insert_with(|| Rc::new(HttpClient::new(address)));
    Rc::clone(caller)
}

/// Logs a failed request to another box.
pub fn log_failure(relay: &str, prefix: &str, error: RelayError) {
    let event = RelayEvent {
        relay,
        prefix,
        error: error.to_string(),
    };
    events::emit(part::STORE, Level::Info, "relay_failed", &event);
}
