//! Boxes that read the store pass on what they see to those that ask.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use log::Level;
use serde::{Deserialize, Serialize};
use tinbay_core::serving::capacity::RankedBox;
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::serving::relays::{order_for, relays_of};
use tinbay_core::units::Millis;

use super::replica::{Evidence, Since};
use crate::events::{self, part};
use crate::http::call::{Call, Caller};
use crate::node::Node;
use crate::port::store::{Change, Changes, Item, Listing};

/// Path where a box passes on what it sees of the store.
pub const PATH: &str = "/relay";

/// Time that an answer may take beyond the wait that was asked for; between boxes it takes some
/// milliseconds.
const ANSWER_MARGIN_MS: Millis = 300;

/// Longest time for all there is below a prefix, which may be some hundred kilobytes.
const LISTING_TIMEOUT_MS: Millis = 1_000;

/// How long a relay that did not answer is passed over.
const FAILED_LIFE_MS: Millis = 1_000;

/// How long one is passed over that is not in touch with the store: to ask it again costs little,
/// and as long as it is passed over a box reads a store itself that has just come back.
const NOT_IN_TOUCH_LIFE_MS: Millis = 200;

/// Longest wait that another box may ask for.
const MOST_WAIT_MS: Millis = 10_000;

#[derive(Serialize)]
struct RelayEvent<'a> {
    relay: &'a str,
    prefix: &'a str,
    error: String,
}

/// A question to a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayQuestion {
    /// All there is below a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// What changes below a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: String,
        /// The position.
        after: Position,
        /// How long to wait for a change.
        wait_ms: Millis,
    },
    /// All below a prefix that the relay knows, where the store lacks some of it after it came back
    /// from a backup.
    Kept {
        /// The prefix.
        prefix: String,
        /// The era that the store is in.
        era: Era,
    },
}

/// A change of one key, as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePart {
    key: String,
    /// Its revision, of the era of the whole answer.
    revision: Revision,
    value: Option<Vec<u8>>,
}

/// A relay's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// Items or changes.
    Parts {
        /// What there is, or what changed, oldest first.
        parts: Vec<ChangePart>,
        /// Where to go on.
        at: Position,
        /// How old what the relay knows is.
        age_ms: Millis,
        /// How long the relay held the question.
        held_ms: Millis,
        /// Whether it is all that was ever written.
        is_complete: bool,
    },
    /// Too much has been forgotten: list again.
    HistoryGone,
    /// The relay does not read the store, or is not in touch with it.
    NotInTouch,
    /// The store lacks nothing that the relay knows.
    NothingKept,
}

/// Why a relay gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// No whole answer came in time.
    #[error("the relay did not answer")]
    NoAnswer,
    /// It is not in touch with the store.
    #[error("the relay is not in touch with the store")]
    NotInTouch,
    /// What was asked for is forgotten there.
    #[error("the relay's history is gone")]
    HistoryGone,
}

/// Another box that reads the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayBox {
    /// Its name.
    pub id: String,
    /// Where it is asked.
    pub address: SocketAddr,
}

impl ChangePart {
    fn of_item(item: &Item) -> Self {
        Self {
            key: item.key.clone(),
            revision: item.position.revision,
            value: Some(item.value.clone()),
        }
    }

    fn of_change(change: &Change) -> Self {
        match change {
            Change::Put(item) => Self::of_item(item),
            Change::Gone { key, position } => Self {
                key: key.clone(),
                revision: position.revision,
                value: None,
            },
        }
    }

    fn into_change(self, era: Era) -> Change {
        let position = Position::new(era, self.revision);
        match self.value {
            Some(value) => Change::Put(Item {
                key: self.key,
                value,
                position,
            }),
            None => Change::Gone {
                key: self.key,
                position,
            },
        }
    }
}

/// Answers a question of another box; waits for a change if it asks for one.
pub async fn answer(node: &Node, body: &[u8]) -> Vec<u8> {
    let answer = match postcard::from_bytes::<RelayQuestion>(body) {
        Ok(RelayQuestion::List { prefix }) => list(node, &prefix),
        Ok(RelayQuestion::Watch {
            prefix,
            after,
            wait_ms,
        }) => watch(node, &prefix, after, wait_ms.min(MOST_WAIT_MS)).await,
        Ok(RelayQuestion::Kept { prefix, era }) => kept(node, &prefix, era),
        Err(_) => RelayAnswer::NotInTouch,
    };
    postcard::to_stdvec(&answer).unwrap_or_default()
}

fn list(node: &Node, prefix: &str) -> RelayAnswer {
    let age_ms = node.replica.age_ms(prefix, node.now_ms());
    match (age_ms, node.replica.listing(prefix)) {
        (Some(age_ms), Some(listing)) => RelayAnswer::Parts {
            parts: with_kept(node, listing.items)
                .iter()
                .map(ChangePart::of_item)
                .collect(),
            at: listing.at,
            age_ms,
            held_ms: 0,
            is_complete: node.replica.is_complete(prefix),
        },
        _ => RelayAnswer::NotInTouch,
    }
}

/// Items with what the store lacks that this box knew before it came back.
fn with_kept(node: &Node, mut items: Vec<Item>) -> Vec<Item> {
    let kept = node.kept_items.borrow();
    for item in kept.values() {
        items.retain(|stored| stored.key != item.key);
        items.push(item.clone());
    }
    items
}

/// What a box that starts needs to know while the store lacks what it had before it came back; all
/// that is known where this box has yet to read it anew.
fn kept(node: &Node, prefix: &str, era: Era) -> RelayAnswer {
    node.store.note_told_era(era);
    let Some(listing) = node.replica.listing(prefix) else {
        return RelayAnswer::NotInTouch;
    };
    if listing.at.era == era && node.replica.is_complete(prefix) {
        return RelayAnswer::NothingKept;
    }
    let items = with_kept(node, listing.items);
    RelayAnswer::Parts {
        parts: items.iter().map(ChangePart::of_item).collect(),
        at: listing.at,
        age_ms: 0,
        held_ms: 0,
        is_complete: false,
    }
}

async fn watch(node: &Node, prefix: &str, after: Position, wait_ms: Millis) -> RelayAnswer {
    node.store.note_told_era(after.era);
    let asked_ms = node.now_ms();
    let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = node.replica.changed.notified();
        let now_ms = node.now_ms();
        let Some(age_ms) = node.replica.age_ms(prefix, now_ms) else {
            return RelayAnswer::NotInTouch;
        };
        match node.replica.since(prefix, after) {
            None => return RelayAnswer::NotInTouch,
            Some(Since::HistoryGone) => return RelayAnswer::HistoryGone,
            Some(Since::Changes { changes, at }) => {
                let is_over = tokio::time::Instant::now() >= end || node.is_leaving.get();
                if is_over || !changes.is_empty() {
                    return RelayAnswer::Parts {
                        parts: changes.iter().map(ChangePart::of_change).collect(),
                        at,
                        age_ms,
                        held_ms: now_ms - asked_ms,
                        is_complete: node.replica.is_complete(prefix),
                    };
                }
            }
        }
        let _ = tokio::time::timeout_at(end, changed).await;
    }
}

/// The relays as this box works them out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relays {
    /// Whether this box is one, and reads the store itself.
    pub is_one: bool,
    /// Those to ask, in order; without those that failed lately.
    pub to_ask: Vec<RelayBox>,
    /// Names of the relays of other zones, zone by zone.
    pub far_by_zone: Vec<Vec<String>>,
}

/// Which boxes read the store for this one.
pub fn relays(node: &Node) -> Relays {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let own_zone = settings.zone.as_str();
    let own = RankedBox {
        id: settings.box_id.as_str(),
        capacity: settings.resources.capacity(),
    };
    let mut zones: HashMap<&str, Vec<RankedBox<'_>>> = HashMap::new();
    for (id, member) in members.others(own.id) {
        if member.listed && member.is_up(now_ms) {
            let capacity = member.record.capacity;
            let ranked = RankedBox { id, capacity };
            zones.entry(&member.record.zone).or_default().push(ranked);
        }
    }
    if !node.is_leaving.get() {
        zones.entry(own_zone).or_default().push(own);
    }
    let near = zones.remove(own_zone).unwrap_or_default();
    let near = relays_of(own_zone, &near);
    let far: Vec<Vec<&str>> = zones
        .iter()
        .map(|(zone, boxes)| relays_of(zone, boxes))
        .collect();
    let is_one = near.contains(&own.id);
    let mut asked_near = near;
    asked_near.retain(|id| *id != own.id);
    let failed = node.failed_relays.borrow();
    let is_tried = |id: &str| failed.get(id).is_some_and(|until_ms| now_ms < *until_ms);
    let to_ask = order_for(own.id, &asked_near, &far.concat())
        .into_iter()
        .filter(|id| !is_tried(id))
        .filter_map(|id| {
            let address = members.get(id)?.record.control;
            let id = id.to_string();
            Some(RelayBox { id, address })
        })
        .collect();
    let to_names = |relays: Vec<&str>| relays.into_iter().map(str::to_string).collect();
    Relays {
        is_one,
        to_ask,
        far_by_zone: far.into_iter().map(to_names).collect(),
    }
}

/// Asks a relay for all there is below a prefix.
///
/// # Errors
/// When it gives nothing; it is passed over for a while then.
pub async fn ask_list(
    node: &Node,
    relay: &RelayBox,
    prefix: &str,
) -> Result<(Listing, Evidence), RelayError> {
    let prefix = prefix.to_string();
    let question = RelayQuestion::List { prefix };
    let (parts, at, evidence) = ask(node, relay, &question, LISTING_TIMEOUT_MS).await?;
    let items = parts
        .into_iter()
        .filter_map(|part| match part.into_change(at.era) {
            Change::Put(item) => Some(item),
            Change::Gone { .. } => None,
        });
    let items = items.collect();
    Ok((Listing { items, at }, evidence))
}

/// Asks another box for what it knows below a prefix and the store lacks.
///
/// # Errors
/// When it does not answer, or knows nothing itself yet.
pub async fn ask_kept(
    node: &Node,
    other: &RelayBox,
    prefix: &str,
    era: Era,
) -> Result<Vec<Item>, RelayError> {
    let prefix = prefix.to_string();
    let question = RelayQuestion::Kept { prefix, era };
    let answer = exchange(node, other, &question, LISTING_TIMEOUT_MS).await;
    let (parts, at) = match answer {
        Some(RelayAnswer::Parts { parts, at, .. }) => (parts, at),
        Some(RelayAnswer::NothingKept) => return Ok(Vec::new()),
        Some(_) => return Err(RelayError::NotInTouch),
        None => return Err(RelayError::NoAnswer),
    };
    let changes = parts.into_iter().map(|part| part.into_change(at.era));
    let items = changes.filter_map(|change| match change {
        Change::Put(item) => Some(item),
        Change::Gone { .. } => None,
    });
    Ok(items.collect())
}

/// Asks a relay for what changes below a prefix.
///
/// # Errors
/// When it gives nothing; it is passed over for a while then.
pub async fn ask_watch(
    node: &Node,
    relay: &RelayBox,
    prefix: &str,
    after: Position,
    wait_ms: Millis,
) -> Result<(Changes, Evidence), RelayError> {
    let question = RelayQuestion::Watch {
        prefix: prefix.to_string(),
        after,
        wait_ms,
    };
    let timeout_ms = wait_ms + ANSWER_MARGIN_MS;
    let (parts, at, evidence) = ask(node, relay, &question, timeout_ms).await?;
    if at.era != after.era {
        return Err(RelayError::HistoryGone);
    }
    let changes = parts.into_iter().map(|part| part.into_change(at.era));
    let changes = changes.collect();
    Ok((Changes { changes, at }, evidence))
}

async fn ask(
    node: &Node,
    relay: &RelayBox,
    question: &RelayQuestion,
    timeout_ms: Millis,
) -> Result<(Vec<ChangePart>, Position, Evidence), RelayError> {
    let asked_ms = node.now_ms();
    let answer = exchange(node, relay, question, timeout_ms).await;
    let result = match answer {
        // A relay that has not seen yet that the store came back tells of an era that is over.
        Some(RelayAnswer::Parts { at, .. }) if !node.store.note_told_era(at.era) => {
            Err(RelayError::NotInTouch)
        }
        Some(RelayAnswer::Parts {
            parts,
            at,
            age_ms,
            held_ms,
            is_complete,
        }) => {
            // The relay answered no earlier than it was asked and had held the question.
            let evidence = Evidence {
                confirmed_ms: (asked_ms + held_ms).saturating_sub(age_ms),
                passed_on_ms: None,
                is_complete,
            };
            Ok((parts, at, evidence))
        }
        Some(RelayAnswer::HistoryGone) => Err(RelayError::HistoryGone),
        Some(RelayAnswer::NotInTouch | RelayAnswer::NothingKept) => Err(RelayError::NotInTouch),
        None => Err(RelayError::NoAnswer),
    };
    let passed_over_ms = match result {
        Err(RelayError::NoAnswer) => FAILED_LIFE_MS,
        Err(RelayError::NotInTouch) => NOT_IN_TOUCH_LIFE_MS,
        Ok(_) | Err(RelayError::HistoryGone) => 0,
    };
    if passed_over_ms > 0 {
        let until_ms = node.now_ms() + passed_over_ms;
        let mut failed = node.failed_relays.borrow_mut();
        failed.retain(|_, until_ms| *until_ms > asked_ms);
        failed.insert(relay.id.clone(), until_ms);
    }
    result
}

async fn exchange(
    node: &Node,
    relay: &RelayBox,
    question: &RelayQuestion,
    timeout_ms: Millis,
) -> Option<RelayAnswer> {
    let call = Call {
        method: Method::POST,
        path: PATH.to_string(),
        body: Bytes::from(postcard::to_stdvec(question).ok()?),
        header: None,
        timeout_ms,
    };
    let caller = caller(node, relay.address);
    let reply = caller.call(&call).await.ok()?;
    postcard::from_bytes(&reply.body).ok()
}

fn caller(node: &Node, address: SocketAddr) -> Rc<Caller> {
    let mut callers = node.relay_callers.borrow_mut();
    let caller = callers
        .entry(address)
        .or_insert_with(|| Rc::new(Caller::new(address)));
    Rc::clone(caller)
}

/// Says that a box gave nothing.
pub fn log_failure(relay: &str, prefix: &str, error: RelayError) {
    let event = RelayEvent {
        relay,
        prefix,
        error: error.to_string(),
    };
    events::emit(part::STORE, Level::Info, "relay_failed", &event);
}
