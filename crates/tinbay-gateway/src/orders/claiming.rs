//! Claims backend servers that no box holds, so that one box, the holder, sends load and unload
//! orders to each of them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::rendezvous;
use tinbay_core::serving::claims::{ClaimValidity, ClaimValue, HolderEntry, ProcessId};
use tinbay_core::serving::position::{Era, Position};
use tinbay_core::units::Millis;

use super::{era_mark, holder};
use crate::events::{self, part};
use crate::http::silence::UNACKNOWLEDGED_TIMEOUT;
use crate::node::Node;
use crate::port::store::{Item, StoreError, Transaction};
use crate::servers::Server;
use crate::watch::boxes::{CLAIM_PREFIX, MEMBER_PREFIX};
use crate::watch::counted;

/// Interval between checks of the claims.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Check interval right after startup, when this box resumes its own claims.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after startup without new claims, so that boxes can learn of each other first.
const STARTUP_GRACE_MS: Millis = 1_200;

/// Delay of a claim per box that ranks before this one, so that the best-placed box claims a free
/// server first.
const RANK_DELAY_MS: Millis = 900;

/// Time for which this box must have been unable to reach a server before it releases the claim on
/// it. By then the kernel has given up on orders that it could not deliver before, so that none
/// arrives once another box sends orders.
const RELEASE_AFTER_MS: Millis = UNACKNOWLEDGED_TIMEOUT.as_millis() as Millis;

#[derive(Serialize)]
struct ReleaseEvent<'a> {
    server: &'a str,
    address: &'a str,
    outcome: &'a str,
}

#[derive(Serialize)]
struct ClaimEvent<'a> {
    server: &'a str,
    address: &'a str,
    token: u64,
    before: Option<&'a str>,
}

#[derive(Serialize)]
struct ResumeEvent<'a> {
    server: &'a str,
    address: &'a str,
    token: u64,
}

/// Maintains this box's claims until it stops.
pub async fn run(node: Rc<Node>) {
    let mut free_since_ms: HashMap<String, Millis> = HashMap::new();
    loop {
        tokio::time::sleep(check_interval(&node)).await;
        if node.is_leaving.get() {
            continue;
        }
        era_mark::write_if_due(&node).await;
        for server in engine_servers(&node) {
            check_claim(&node, &server, &mut free_since_ms).await;
        }
    }
}

/// A restarted box checks its claims quickly, as all other boxes wait for the status of its
/// servers.
fn check_interval(node: &Node) -> Duration {
    if node.now_ms() < STARTUP_GRACE_MS {
        STARTUP_CHECK_INTERVAL
    } else {
        CHECK_INTERVAL
    }
}

fn engine_servers(node: &Node) -> Vec<Rc<Server>> {
    let servers = node.servers.borrow();
    servers
        .all()
        .filter(|server| node.loads_per_s(&server.record().service).is_some())
        .cloned()
        .collect()
}

async fn check_claim(
    node: &Rc<Node>,
    server: &Rc<Server>,
    free_since_ms: &mut HashMap<String, Millis>,
) {
    if needs_renewal(node, server) {
        claim_server(node, server).await;
        return;
    }
    if should_release(node, server) {
        release_server(node, server).await;
        return;
    }
    if server.pool.link().is_down() {
        free_since_ms.remove(&server.address_text);
        return;
    }
    if node.claims.borrow().is_being_released(&server.address_text) {
        // Writing the claim anew settles whether the release was executed.
        claim_server(node, server).await;
        return;
    }
    if is_held_by_earlier_process(node, server) && node.can_order() {
        claim_server(node, server).await;
        return;
    }
    if let Some(token) = node.order_token(server) {
        free_since_ms.remove(&server.address_text);
        if holder::ensure_running(node, server) {
            log_resumed(server, token);
        }
        return;
    }
    let now_ms = node.now_ms();
    if now_ms < STARTUP_GRACE_MS {
        return;
    }
    if !is_free(node, server, now_ms) || !node.proof.get().holds(&node.claim_terms(), now_ms) {
        free_since_ms.remove(&server.address_text);
        return;
    }
    let since_ms = *free_since_ms
        .entry(server.address_text.clone())
        .or_insert(now_ms);
    if now_ms >= since_ms + own_rank(node, server) as Millis * RANK_DELAY_MS {
        claim_server(node, server).await;
    }
}

/// Logs that this box starts to order a server under a claim that it has not just written.
fn log_resumed(server: &Server, token: u64) {
    let event = ResumeEvent {
        server: &server.record().id,
        address: &server.address_text,
        token,
    };
    events::emit(part::ORDERS, Level::Info, "claim_resumed", &event);
}

/// Whether this box has to write its claim on the server again: the store was restored and is in a
/// new era, and this box still holds the server by a membership proof from the earlier era.
fn needs_renewal(node: &Node, server: &Server) -> bool {
    let own_id = &node.settings.borrow().box_id;
    let claims = node.claims.borrow();
    claims.is_to_be_renewed(&server.address_text, own_id, node.now_ms())
}

/// Whether the claim on the server is one that this box wrote before it was restarted.
fn is_held_by_earlier_process(node: &Node, server: &Server) -> bool {
    let own_id = &node.settings.borrow().box_id;
    let claims = node.claims.borrow();
    claims.is_held_by_earlier_process(&server.address_text, own_id)
}

/// Whether another box should hold the server, as this one has lost its links and can't reach it.
fn should_release(node: &Node, server: &Server) -> bool {
    let is_cut_off = server
        .pool
        .link()
        .is_down_for(RELEASE_AFTER_MS, node.now_ms());
    let own_id = &node.settings.borrow().box_id;
    let is_holder = node.holder_of(server).as_deref() == Some(own_id.as_str());
    let may_order_arrive = node.undelivered_orders.may_arrive(&server.address_text);
    node.links.is_partitioned() && is_cut_off && is_holder && !may_order_arrive
}

/// Marks the claim on a server as released. No order is sent to it from the start of the call.
async fn release_server(node: &Node, server: &Server) {
    let own_id = node.settings.borrow().box_id.clone();
    let address = &server.address_text;
    let position = {
        let mut claims = node.claims.borrow_mut();
        claims.begin_release(address);
        claims.stored_position(address)
    };
    let own_process = node.claims.borrow().own_process();
    let transaction = release_transaction(&own_id, own_process, &[(address.clone(), position)]);
    let result = counted(node, "commit", node.store.commit(&transaction).await);
    let outcome = match &result {
        Ok(_) => "done",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(_) => "unknown",
    };
    match result {
        Ok(position) => {
            let value = encode(&own_id, own_process, true, position.era);
            let key = format!("{CLAIM_PREFIX}{address}");
            let item = Item {
                key,
                value,
                position,
            };
            node.record_claim(address, &item);
        }
        Err(StoreError::Conflict { items }) => {
            for item in &items {
                node.record_claim(address, item);
            }
        }
        Err(_) => {}
    }
    let event = ReleaseEvent {
        server: &server.record().id,
        address,
        outcome,
    };
    events::emit(part::ORDERS, Level::Info, "claim_released", &event);
}

fn is_free(node: &Node, server: &Server, now_ms: Millis) -> bool {
    let claims = node.claims.borrow();
    let claim = claims.get(&server.address_text);
    let holder = claim.map(|claim| claim.value.holder.as_str());
    let entry = holder.map_or(HolderEntry::Listed, |holder| holder_entry(node, holder));
    let own_id = &node.settings.borrow().box_id;
    let terms = node.claim_terms();
    claims.may_take(&server.address_text, own_id, entry, &terms, now_ms)
}

fn holder_entry(node: &Node, holder: &str) -> HolderEntry {
    let members = node.members.borrow();
    match members.get(holder) {
        Some(member) if member.listed => HolderEntry::Listed,
        Some(member) => HolderEntry::MissingSince(member.listed_changed_ms),
        None => HolderEntry::MissingSince(node.boxes_listed_ms.get()),
    }
}

/// Number of boxes that rank before this one for a server. Boxes in the server's zone come first,
/// then the order is by rendezvous hash.
fn own_rank(node: &Node, server: &Server) -> usize {
    let now_ms = node.now_ms();
    let own_id = node.settings.borrow().box_id.clone();
    let own = node.own_record();
    let zone = server.record().zone.clone();
    let score = |id: &str, box_zone: &str| {
        let is_same_zone = box_zone == zone;
        (is_same_zone, rendezvous::score(&server.address_text, id))
    };
    let own_score = score(&own_id, &own.zone);
    let members = node.members.borrow();
    members
        .others(&own_id)
        .filter(|(_, member)| member.listed && member.is_up(now_ms))
        .filter(|(id, member)| score(id, &member.record.zone) > own_score)
        .count()
}

async fn claim_server(node: &Rc<Node>, server: &Rc<Server>) {
    let own_id = node.settings.borrow().box_id.clone();
    node.sync_era();
    let (before, stored) = {
        let claims = node.claims.borrow();
        let before = claims.get(&server.address_text).cloned();
        (before, claims.stored_position(&server.address_text))
    };
    let key = format!("{CLAIM_PREFIX}{}", server.address_text);
    let mut expected = vec![(key.clone(), stored)];
    if let Some(claim) = &before
        && claim.value.holder != own_id
        && !claim.value.is_released
        && claim.validity == ClaimValidity::Current
    {
        // A claim that was not released may be taken only while its holder has no entry.
        let holder_key = format!("{MEMBER_PREFIX}{}", claim.value.holder);
        expected.push((holder_key, Position::missing(stored.era)));
    }
    let own_process = node.claims.borrow().own_process();
    let value = encode(&own_id, own_process, false, stored.era);
    let transaction = Transaction {
        expected,
        put: vec![(key.clone(), value.clone(), None)],
        remove: Vec::new(),
    };
    match counted(node, "commit", node.store.commit(&transaction).await) {
        Ok(position) => {
            let item = Item {
                key,
                value,
                position,
            };
            node.record_claim(&server.address_text, &item);
            let event = ClaimEvent {
                server: &server.record().id,
                address: &server.address_text,
                token: position.fencing_token(),
                before: before.as_ref().map(|claim| claim.value.holder.as_str()),
            };
            events::emit(part::ORDERS, Level::Info, "claim_taken", &event);
            holder::ensure_running(node, server);
        }
        Err(StoreError::Conflict { items }) => {
            for item in items.iter().filter(|item| item.key == key) {
                node.record_claim(&server.address_text, item);
            }
        }
        Err(_) => {}
    }
}

fn encode(holder: &str, process: ProcessId, is_released: bool, era: Era) -> Vec<u8> {
    let value = ClaimValue {
        holder: holder.to_string(),
        is_released,
        era,
        process,
    };
    serde_json::to_vec(&value).unwrap_or_default()
}

/// Builds the transaction that marks claims as released.
pub fn release_transaction(
    own_id: &str,
    own_process: ProcessId,
    held: &[(String, Position)],
) -> Transaction {
    let key = |address: &str| format!("{CLAIM_PREFIX}{address}");
    Transaction {
        expected: held
            .iter()
            .map(|(address, position)| (key(address), *position))
            .collect(),
        put: held
            .iter()
            .map(|(address, position)| {
                let value = encode(own_id, own_process, true, position.era);
                (key(address), value, None)
            })
            .collect(),
        remove: Vec::new(),
    }
}
