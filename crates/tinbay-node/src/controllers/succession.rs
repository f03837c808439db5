//! Takes engines over, by epoch or, while the key-value service is out, by succession.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tinbay_core::config::EngineSpec;
use tinbay_core::engine::OwnerSettings;
use tinbay_core::fence::{Fence, Order};
use tinbay_core::ids::{BoxId, EngineId};
use tinbay_core::units::{Millis, Revision};
use tinbay_core::view::{BoxRecord, BoxState};
use tinbay_wire::control::{Message, Reply, Succession};
use tinbay_wire::engine::{EngineRefusal, EngineState};

use super::box_lease::LEASE_TTL_MS;
use crate::engines::{EngineApi, EngineError, HttpEngine};
use crate::logging::part;
use crate::owners::OwnedEngine;
use crate::platform::{Guard, PlatformError, TxnEnd, Write, keys};
use crate::state::Node;
use crate::util::sync::{lock, read, write};

/// After a former owner's lease has lapsed, time for an order it sent just before to arrive.
const LAPSE_GRACE_MS: Millis = 2_000;

/// Boxes that a takeover names at most; others are added once they stand behind the owner.
const NAMED_AT_TAKEOVER: usize = 8;

/// How long the lease of a lost owner keeps others from an engine that checks no orders.
pub const FORMER_LEASE_MS: Millis = LEASE_TTL_MS + LAPSE_GRACE_MS;

/// Why an engine was not taken over; the next step tries again.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TakeoverError {
    /// The key-value service gave no answer.
    #[error("key-value service: {0}")]
    Platform(#[from] PlatformError),
    /// Another box took it in the same moment.
    #[error("another box was first")]
    Raced,
    /// The former owner may still give orders to an engine that does not check them.
    #[error("the former owner {0} still holds its lease")]
    StillLeased(BoxId),
    /// In an outage nobody can make sure that the former owner of such an engine is silent.
    #[error("the engine checks no orders and the key-value service is out")]
    UncheckedInOutage,
    /// Neither this box nor those asked know a succession.
    #[error("no succession is known while the key-value service is out")]
    NoSuccession,
    /// Only boxes of the last succession may take over in an outage.
    #[error("the succession {0:?} does not name this box while the key-value service is out")]
    NotInSuccession(Vec<BoxId>),
    /// The engine gave no answer.
    #[error("{0}")]
    Engine(#[from] EngineError),
}

/// Takes an engine over. `claimed` is the record written by an earlier try, if any.
pub async fn take_over(
    node: &Arc<Node>,
    spec: &EngineSpec,
    claimed: Option<Succession>,
) -> Result<Succession, (Option<Succession>, TakeoverError)> {
    let succession = match claimed {
        Some(claimed) => claimed,
        None => claim(node, spec).await.map_err(|error| (None, error))?,
    };
    let Some(place) = succession.place_of(node.id()) else {
        return Err((None, TakeoverError::Raced));
    };
    match assume(node, spec, succession.epoch, place).await {
        Ok(()) => {
            note_succession(node, &succession);
            announce(node, &succession).await;
            Ok(succession)
        }
        // Someone with a later epoch was there: what is known here is worth nothing any more.
        Err(error @ EngineError::Refused(EngineRefusal::StaleFence)) => {
            lock(&node.successions).remove(&spec.name);
            Err((None, error.into()))
        }
        Err(error) => Err((Some(succession), error.into())),
    }
}

/// Writes the next epoch or, in an outage, finds this box's place in the last one.
async fn claim(node: &Arc<Node>, spec: &EngineSpec) -> Result<Succession, TakeoverError> {
    match node.kv.get(&keys::owner(&spec.name)).await {
        Ok(pair) => {
            let revision = pair.as_ref().map_or(0, |pair| pair.revision);
            let previous: Option<Succession> =
                pair.and_then(|pair| serde_json::from_slice(&pair.value).ok());
            raise_epoch(node, spec, previous, revision).await
        }
        Err(_) if !spec.checks_orders => Err(TakeoverError::UncheckedInOutage),
        Err(_) => last_succession(node, spec).await,
    }
}

async fn raise_epoch(
    node: &Arc<Node>,
    spec: &EngineSpec,
    previous: Option<Succession>,
    revision: Revision,
) -> Result<Succession, TakeoverError> {
    if !spec.checks_orders
        && let Some(previous) = &previous
    {
        silence_former_owner(node, previous).await?;
    }
    let succession = Succession {
        engine: spec.name.clone(),
        epoch: previous.as_ref().map_or(1, |previous| previous.epoch + 1),
        boxes: heirs(node, spec, previous.as_ref()),
        incarnation: node.incarnation,
    };
    write_succession(node, &succession, revision).await?;
    Ok(succession)
}

/// Names boxes that have come to stand behind this one since it took an engine over, so that they can
/// succeed in an outage.
pub async fn extend_succession(
    node: &Arc<Node>,
    engine: &EngineId,
    heirs: &[BoxId],
) -> Result<(), TakeoverError> {
    let pair = node.kv.get(&keys::owner(engine)).await?;
    let pair = pair.ok_or(TakeoverError::Raced)?;
    let stored: Option<Succession> = serde_json::from_slice(&pair.value).ok();
    let epoch = node.owners.get(engine).map(|owned| owned.fence().epoch);
    let stored = stored.filter(|stored| Some(stored.epoch) == epoch);
    let mut succession = stored.ok_or(TakeoverError::Raced)?;
    let missing = succession.missing(heirs);
    if !missing.is_empty() {
        succession.boxes.extend(missing);
        write_succession(node, &succession, pair.revision).await?;
        log::info!(
            target: part::OWNER,
            "{engine} may be taken over by {:?} in an outage", succession.boxes,
        );
    }
    note_succession(node, &succession);
    announce(node, &succession).await;
    Ok(())
}

/// Writes a succession unless the stored one has changed since `revision`.
async fn write_succession(
    node: &Arc<Node>,
    succession: &Succession,
    revision: Revision,
) -> Result<(), TakeoverError> {
    let key = keys::owner(&succession.engine);
    let value = serde_json::to_vec(succession).unwrap_or_default();
    let guards = [Guard {
        key: key.clone(),
        revision,
    }];
    let writes = [Write::Put {
        key: key.clone(),
        value: value.clone(),
        lease: None,
    }];
    match node.kv.txn(&guards, &writes).await {
        Ok(TxnEnd::Done(_)) => Ok(()),
        Ok(TxnEnd::GuardFailed) => Err(TakeoverError::Raced),
        // The write may have taken effect; what is stored now tells.
        Err(PlatformError::ReplyLost) => match node.kv.get(&key).await? {
            Some(pair) if pair.value == value => Ok(()),
            _ => Err(TakeoverError::Raced),
        },
        Err(error) => Err(error.into()),
    }
}

/// This box first, then those behind it by the view, then those that may stand there soon: boxes that start,
/// and boxes of the previous succession, which may start again.
fn heirs(node: &Node, spec: &EngineSpec, previous: Option<&Succession>) -> Vec<BoxId> {
    let members = read(&node.members);
    let view = members.view();
    let ranked = view.succession(&spec.name, &spec.zone, &spec.region);
    let starting = view
        .boxes()
        .filter(|record| record.state == BoxState::Starting && record.zone == spec.zone);
    let ranked = ranked.into_iter().chain(starting).map(|heir| &heir.id);
    let previous = previous.iter().flat_map(|previous| &previous.boxes);
    let mut boxes = vec![node.id().clone()];
    for id in ranked.chain(previous) {
        if boxes.len() < NAMED_AT_TAKEOVER && !boxes.contains(id) {
            boxes.push(id.clone());
        }
    }
    boxes
}

/// The last succession, with a place for this box: its own record, or what those behind the engine know.
async fn last_succession(node: &Arc<Node>, spec: &EngineSpec) -> Result<Succession, TakeoverError> {
    let known = lock(&node.successions).get(&spec.name).cloned();
    if let Some(known) = known.filter(|known| known.place_of(node.id()).is_some()) {
        return Ok(known);
    }
    let told = ask_succession(node, spec).await;
    let told = told.ok_or(TakeoverError::NoSuccession)?;
    match told.place_of(node.id()) {
        Some(_) => Ok(told),
        None => Err(TakeoverError::NotInSuccession(told.boxes)),
    }
}

/// The newest succession that other boxes behind an engine know.
async fn ask_succession(node: &Arc<Node>, spec: &EngineSpec) -> Option<Succession> {
    let others: Vec<BoxRecord> = {
        let members = read(&node.members);
        let heirs = members
            .view()
            .succession(&spec.name, &spec.zone, &spec.region);
        let others = heirs.into_iter().filter(|heir| heir.id != *node.id());
        others.cloned().collect()
    };
    let asks = others.iter().map(|other| {
        let message = Message::SuccessionOf(spec.name.clone());
        node.ask_soon(&other.control_address, message)
    });
    join_all(asks)
        .await
        .into_iter()
        .filter_map(|reply| match reply {
            Ok(Reply::Succession(succession)) => succession,
            _ => None,
        })
        .reduce(|newest, other| match other.is_newer_than(&newest) {
            true => other,
            false => newest,
        })
}

/// Makes sure that the former owner of an engine that checks no orders gives none any more.
async fn silence_former_owner(node: &Node, previous: &Succession) -> Result<(), TakeoverError> {
    let Some(owner) = previous.boxes.first() else {
        return Ok(());
    };
    if owner == node.id() {
        // This process never owned the engine, so the former one of this box has ended.
        return Ok(());
    }
    if hands_over(node, owner, previous).await {
        return Ok(());
    }
    let lease = node.kv.get(&keys::lease(owner)).await?;
    let held = lease.is_some_and(|pair| pair.value == previous.incarnation.to_string().as_bytes());
    if held {
        return Err(TakeoverError::StillLeased(owner.clone()));
    }
    tokio::time::sleep(Duration::from_millis(LAPSE_GRACE_MS)).await;
    Ok(())
}

async fn hands_over(node: &Node, owner: &BoxId, previous: &Succession) -> bool {
    let record: Option<BoxRecord> = read(&node.members).view().get(owner).cloned();
    let Some(record) = record else {
        return false;
    };
    if record.incarnation != previous.incarnation {
        return false;
    }
    let message = Message::HandOver(previous.engine.clone());
    let reply = node.ask_soon(&record.control_address, message).await;
    matches!(reply, Ok(Reply::Ok))
}

/// Raises the engine's fence, learns what it holds and begins to decide for it.
async fn assume(
    node: &Arc<Node>,
    spec: &EngineSpec,
    epoch: u64,
    place: u32,
) -> Result<(), EngineError> {
    let asked_ms = node.clock.now_ms();
    let api = HttpEngine::new(&spec.address);
    let mut state: EngineState = api.state().await?;
    let fence = Fence::above(state.fence, epoch, place)
        .ok_or(EngineError::Refused(EngineRefusal::StaleFence))?;
    let order = Order {
        fence,
        incarnation: state.incarnation,
    };
    if spec.checks_orders {
        state = api.fence(order).await?;
    }
    let settings = OwnerSettings::from_policy(node.policies.settings(&node.config));
    let owned = OwnedEngine::new(spec.clone(), settings, order, node.clock, node.jobs.clone());
    owned.learn(&state, asked_ms);
    node.owners.insert(owned);
    node.metrics.engines_owned.set(node.owners.count() as i64);
    log::info!(
        target: part::OWNER,
        "owner of {} by epoch {} rank {}, {} adapters loaded",
        spec.name, fence.epoch, fence.rank, state.loaded.len(),
    );
    Ok(())
}

/// Tells the heirs, so that they can succeed in an outage, and through them the former owner.
async fn announce(node: &Node, succession: &Succession) {
    let heirs: Vec<BoxRecord> = {
        let members = read(&node.members);
        let view = members.view();
        let leaving = view
            .boxes()
            .filter(|record| record.state == BoxState::Leaving);
        succession
            .boxes
            .iter()
            .filter_map(|id| view.get(id))
            .chain(leaving)
            .filter(|record| record.id != *node.id())
            .cloned()
            .collect()
    };
    let told = heirs.iter().map(|heir| {
        let message = Message::Succession(succession.clone());
        node.ask_soon(&heir.control_address, message)
    });
    // A box that misses this learns from the engine's refusal.
    join_all(told).await;
}

/// Keeps a succession and gives the engine up if it names a later owner.
pub fn note_succession(node: &Node, succession: &Succession) {
    let mut successions = lock(&node.successions);
    let known = successions.get(&succession.engine);
    if known.is_some_and(|known| !succession.is_newer_than(known)) {
        return;
    }
    successions.insert(succession.engine.clone(), succession.clone());
    drop(successions);
    if let Some(owner) = succession.boxes.first() {
        // Heard before its next heartbeat: without it this box would take the engine back at once.
        write(&node.members).mark_live(owner, succession.incarnation);
    }
    let owned = node.owners.get(&succession.engine);
    if owned.is_some_and(|owned| owned.fence().epoch < succession.epoch) {
        log::info!(target: part::OWNER, "{} goes to {:?}", succession.engine, succession.boxes.first());
        node.give_up(&succession.engine);
    }
}
