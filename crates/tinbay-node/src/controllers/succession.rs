//! Takeover of engines: under a new epoch or, during an outage of the key-value service, by rank in
//! the last succession (the ordered list of boxes that may own the engine in an epoch).

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
use crate::owners::{ORDER_DELIVERY_MS, OwnedEngine};
use crate::platform::{Guard, PlatformError, TxnEnd, Write, keys};
use crate::state::Node;
use crate::util::sync::{lock, read, write};

/// Upper bound of the boxes named at a takeover. More are added as they become successors.
const MAX_NAMED_AT_TAKEOVER: usize = 8;

/// How long the lease of a failed owner blocks takeovers of an engine that does not check orders.
pub const FORMER_OWNER_LEASE_MS: Millis = LEASE_TTL_MS + ORDER_DELIVERY_MS;

/// Why a takeover failed; a later attempt may succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TakeoverError {
    /// The key-value service failed or did not answer.
    #[error("key-value service: {0}")]
    Platform(#[from] PlatformError),
    /// Another box has changed the stored succession concurrently.
    #[error("another box has changed the succession concurrently")]
    Raced,
    /// Another box has asked for the engine during the takeover.
    #[error("the engine was handed over during the takeover")]
    HandedOver,
    /// The former owner may still send orders to an engine that does not check them.
    #[error("the former owner {0} still holds its lease")]
    StillLeased(BoxId),
    /// Without the key-value service, nothing proves that the former owner has stopped sending
    /// orders.
    #[error("the engine does not check orders and the key-value service is unavailable")]
    UncheckedInOutage,
    /// Neither this box nor those asked know a succession.
    #[error("no succession is known and the key-value service is unavailable")]
    NoSuccession,
    /// Only boxes of the last succession may take over during an outage.
    #[error("the succession {0:?} does not name this box and the key-value service is unavailable")]
    NotInSuccession(Vec<BoxId>),
    /// The engine refused a request or did not answer.
    #[error("{0}")]
    Engine(#[from] EngineError),
}

/// A succession under which this box may take over an engine.
#[derive(Debug, Clone)]
pub struct Claim {
    succession: Succession,
    /// How often this box had handed the engine over before the claim.
    handovers: u64,
    /// The term of this box's lease before the claim.
    lease_term: u64,
}

/// Takes over an engine. `claim` is that of an earlier attempt, if any; on failure, the claim to
/// reuse in the next attempt is returned with the error.
pub async fn take_over(
    node: &Arc<Node>,
    spec: &EngineSpec,
    claim: Option<Claim>,
) -> Result<Succession, (Option<Claim>, TakeoverError)> {
    let is_current = |claim: &Claim| spec.checks_orders || claim.lease_term == node.lease.term();
    let claim = match claim.filter(is_current) {
        Some(claim) => claim,
        None => claim_engine(node, spec)
            .await
            .map_err(|error| (None, error))?,
    };
    let succession = &claim.succession;
    let Some(place) = succession.place_of(node.id()) else {
        return Err((None, TakeoverError::Raced));
    };
    match begin_ownership(node, spec, &claim, place).await {
        Ok(()) => {
            record_succession(node, succession);
            announce(node, succession).await;
            Ok(claim.succession)
        }
        // An owner with a later epoch has fenced the engine, so the succession known here is
        // obsolete.
        Err(error @ TakeoverError::Engine(EngineError::Refused(EngineRefusal::StaleFence))) => {
            lock(&node.successions).remove(&spec.name);
            Err((None, error))
        }
        Err(error @ TakeoverError::HandedOver) => Err((None, error)),
        Err(error) => Err((Some(claim), error)),
    }
}

async fn claim_engine(node: &Arc<Node>, spec: &EngineSpec) -> Result<Claim, TakeoverError> {
    let handovers = node.owners.handovers(&spec.name);
    let lease_term = node.lease.term();
    let succession = choose_succession(node, spec).await?;
    Ok(Claim {
        succession,
        handovers,
        lease_term,
    })
}

/// Writes a succession with the next epoch or, during an outage, finds the last one that names this
/// box.
async fn choose_succession(
    node: &Arc<Node>,
    spec: &EngineSpec,
) -> Result<Succession, TakeoverError> {
    match node.kv.get(&keys::owner(&spec.name)).await {
        Ok(pair) => {
            let revision = pair.as_ref().map_or(0, |pair| pair.revision);
            let previous: Option<Succession> =
                pair.and_then(|pair| serde_json::from_slice(&pair.value).ok());
            raise_epoch(node, spec, previous, revision).await
        }
        Err(_) if !spec.checks_orders => Err(TakeoverError::UncheckedInOutage),
        Err(_) => find_last_succession(node, spec).await,
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
        ensure_former_owner_stopped(node, previous).await?;
    }
    let succession = Succession {
        engine: spec.name.clone(),
        epoch: previous.as_ref().map_or(1, |previous| previous.epoch + 1),
        boxes: rank_successors(node, spec, previous.as_ref()),
        incarnation: node.incarnation,
    };
    write_succession(node, &succession, revision).await?;
    Ok(succession)
}

/// Adds boxes that have become successors since this box took over an engine, so that they can take
/// it over during an outage.
pub async fn extend_succession(
    node: &Arc<Node>,
    engine: &EngineId,
    successors: &[BoxId],
) -> Result<(), TakeoverError> {
    let pair = node.kv.get(&keys::owner(engine)).await?;
    let pair = pair.ok_or(TakeoverError::Raced)?;
    let stored: Option<Succession> = serde_json::from_slice(&pair.value).ok();
    let epoch = node.owners.get(engine).map(|owned| owned.fence().epoch);
    let stored = stored.filter(|stored| Some(stored.epoch) == epoch);
    let mut succession = stored.ok_or(TakeoverError::Raced)?;
    let missing = succession.missing(successors);
    if !missing.is_empty() {
        succession.boxes.extend(missing);
        write_succession(node, &succession, pair.revision).await?;
        log::info!(
            target: part::OWNER,
            "{engine} may be taken over by {:?} during an outage", succession.boxes,
        );
    }
    record_succession(node, &succession);
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
        // The write may have taken effect, so compare it with the value that is stored now.
        Err(PlatformError::ReplyLost) => match node.kv.get(&key).await? {
            Some(pair) if pair.value == value => Ok(()),
            _ => Err(TakeoverError::Raced),
        },
        Err(error) => Err(error.into()),
    }
}

/// This box first, then its successors by the view, then boxes that may soon be successors:
/// starting boxes, and boxes of the previous succession, which may restart.
fn rank_successors(node: &Node, spec: &EngineSpec, previous: Option<&Succession>) -> Vec<BoxId> {
    let members = read(&node.members);
    let view = members.view();
    let ranked = view.succession(&spec.name, &spec.zone, &spec.region);
    let starting = view
        .boxes()
        .filter(|record| record.state == BoxState::Starting && record.zone == spec.zone);
    let candidates = ranked.into_iter().chain(starting).map(|record| &record.id);
    let previous = previous.iter().flat_map(|previous| &previous.boxes);
    let mut boxes = vec![node.id().clone()];
    for id in candidates.chain(previous) {
        if boxes.len() < MAX_NAMED_AT_TAKEOVER && !boxes.contains(id) {
            boxes.push(id.clone());
        }
    }
    boxes
}

/// The last succession that names this box, from its own records or those of the engine's other
/// candidates.
async fn find_last_succession(
    node: &Arc<Node>,
    spec: &EngineSpec,
) -> Result<Succession, TakeoverError> {
    let known = lock(&node.successions).get(&spec.name).cloned();
    if let Some(known) = known.filter(|known| known.place_of(node.id()).is_some()) {
        return Ok(known);
    }
    let received = query_succession(node, spec).await;
    let received = received.ok_or(TakeoverError::NoSuccession)?;
    match received.place_of(node.id()) {
        Some(_) => Ok(received),
        None => Err(TakeoverError::NotInSuccession(received.boxes)),
    }
}

/// Asks the engine's other candidates for the newest succession that they know.
async fn query_succession(node: &Arc<Node>, spec: &EngineSpec) -> Option<Succession> {
    let others: Vec<BoxRecord> = {
        let members = read(&node.members);
        let ranked = members
            .view()
            .succession(&spec.name, &spec.zone, &spec.region);
        let others = ranked.into_iter().filter(|record| record.id != *node.id());
        others.cloned().collect()
    };
    let queries = others.iter().map(|other| {
        let message = Message::SuccessionOf(spec.name.clone());
        node.ask_soon(&other.control_address, message)
    });
    join_all(queries)
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

/// Makes sure that no orders of the former owner can arrive at an engine that does not check them:
/// either it has handed the engine over, or its lease has expired.
async fn ensure_former_owner_stopped(
    node: &Node,
    previous: &Succession,
) -> Result<(), TakeoverError> {
    let Some(owner) = previous.boxes.first() else {
        return Ok(());
    };
    if owner == node.id() {
        wait_for_own_orders(node, previous).await;
        return Ok(());
    }
    if request_handover(node, owner, previous).await {
        return Ok(());
    }
    let lease = node.kv.get(&keys::lease(owner)).await?;
    let is_held =
        lease.is_some_and(|pair| pair.value == previous.incarnation.to_string().as_bytes());
    if is_held {
        return Err(TakeoverError::StillLeased(owner.clone()));
    }
    tokio::time::sleep(Duration::from_millis(ORDER_DELIVERY_MS)).await;
    Ok(())
}

/// Waits for the orders that this box has sent under its own earlier ownership.
async fn wait_for_own_orders(node: &Node, previous: &Succession) {
    if previous.incarnation == node.incarnation {
        return node.wait_for_orders(&previous.engine).await;
    }
    // The earlier process has ended before the clock of this one began.
    let left_ms = ORDER_DELIVERY_MS.saturating_sub(node.clock.now_ms());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}

/// Asks the former owner to give up the engine; `false` if that run of it does not confirm.
async fn request_handover(node: &Node, owner: &BoxId, previous: &Succession) -> bool {
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

/// Raises the engine's fencing token, reads its state and starts scheduling for it.
async fn begin_ownership(
    node: &Arc<Node>,
    spec: &EngineSpec,
    claim: &Claim,
    place: u32,
) -> Result<(), TakeoverError> {
    let requested_ms = node.clock.now_ms();
    let api = HttpEngine::new(&spec.address);
    let mut state: EngineState = api.state().await?;
    let fence = Fence::above(state.fence, claim.succession.epoch, place)
        .ok_or(EngineError::Refused(EngineRefusal::StaleFence))?;
    let order = Order {
        fence,
        incarnation: state.incarnation,
    };
    if spec.checks_orders {
        state = api.fence(order).await?;
    }
    let settings = OwnerSettings::from_policy(node.policies.settings(&node.config));
    let owned = OwnedEngine::new(
        spec.clone(),
        claim.lease_term,
        settings,
        order,
        node.clock,
        node.jobs.clone(),
    );
    owned.learn(&state, requested_ms);
    if !node.owners.insert(owned, claim.handovers) {
        return Err(TakeoverError::HandedOver);
    }
    node.metrics.engines_owned.set(node.owners.count() as i64);
    log::info!(
        target: part::OWNER,
        "took over {} with epoch {} rank {}, {} adapters loaded",
        spec.name, fence.epoch, fence.rank, state.loaded.len(),
    );
    Ok(())
}

/// Sends a succession to the boxes that it names, so that they can take over during an outage, and
/// to leaving boxes. The former owner is usually among them.
async fn announce(node: &Node, succession: &Succession) {
    let recipients: Vec<BoxRecord> = {
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
    let sends = recipients.iter().map(|recipient| {
        let message = Message::Succession(succession.clone());
        node.ask_soon(&recipient.control_address, message)
    });
    // A former owner that misses this message learns of the change when the engine refuses its
    // orders.
    join_all(sends).await;
}

/// Stores a succession if it is newer than the known one, and gives up the engine if it has a later
/// epoch than this box's ownership.
pub fn record_succession(node: &Node, succession: &Succession) {
    let mut successions = lock(&node.successions);
    let known = successions.get(&succession.engine);
    if known.is_some_and(|known| !succession.is_newer_than(known)) {
        return;
    }
    successions.insert(succession.engine.clone(), succession.clone());
    drop(successions);
    if let Some(owner) = succession.boxes.first() {
        // The announcement arrives before the owner's next heartbeat. If the owner still counted as
        // starting, this box would take the engine back at once.
        write(&node.members).mark_live(owner, succession.incarnation);
    }
    let owned = node.owners.get(&succession.engine);
    if owned.is_some_and(|owned| owned.fence().epoch < succession.epoch) {
        log::info!(target: part::OWNER, "{} was taken over by {:?}; it is given up here", succession.engine, succession.boxes.first());
        node.give_up(&succession.engine);
    }
}
