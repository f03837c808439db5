//! Claims backend servers that no box holds, so that one box, the holder, sends load and unload
//! orders to each of them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::rendezvous;
use tinbay_core::serving::claims::{Claim, ClaimValidity, ClaimValue, HolderEntry, OwnProcess};
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;

use super::undelivered::ORDER_DELIVERY_MS;
use super::{era_mark, holder, releasing};
use crate::events::{self, part};
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
/// it, so that no order arrives once another box sends orders.
const RELEASE_AFTER_MS: Millis = ORDER_DELIVERY_MS;

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
    /// Whether this box goes on with the token of its last claim.
    is_continued: bool,
    /// Holder named by the claim that this one replaces.
    before: Option<&'a str>,
    /// How long this box has known the claim that this one replaces.
    before_known_ms: Option<Millis>,
}

#[derive(Serialize)]
struct ResumeEvent<'a> {
    server: &'a str,
    address: &'a str,
    token: u64,
}

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    address: &'a str,
    revision: Revision,
}

/// Logs that the store holds something at the key of a claim that is none.
pub fn log_unreadable(address: &str, position: Position) {
    let event = UnreadableEvent {
        address,
        revision: position.revision,
    };
    events::emit(part::ORDERS, Level::Warn, "claim_unreadable", &event);
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
            if node.is_leaving.get() {
                break;
            }
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

/// Whether this box has to write its claim on the server again: it still holds the server, and the
/// store was restored without the claim, or another writer has overwritten it.
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

/// Lets another box hold the server. No order is sent to it from the start of the call.
async fn release_server(node: &Node, server: &Server) {
    let address = &server.address_text;
    let outcome = releasing::release(node, std::slice::from_ref(address)).await;
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

/// What this box knows of the entry of a claim's holder. If that is another machine under this box's
/// name, its entry is the one that this box has replaced by its own.
fn holder_entry(node: &Node, holder: &str) -> HolderEntry {
    if holder == node.settings.borrow().box_id {
        return node
            .entry_since_ms
            .get()
            .map_or(HolderEntry::Listed, HolderEntry::MissingSince);
    }
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

/// A claim of this box that is about to be written.
struct NewClaim {
    key: String,
    value: ClaimValue,
    /// The claim that it replaces.
    before: Option<Claim>,
    /// Position of the claim in the store that it replaces.
    stored: Position,
}

impl NewClaim {
    fn on_server(node: &Node, server: &Server) -> Self {
        let own_id = node.settings.borrow().box_id.clone();
        node.sync_era();
        let claims = node.claims.borrow();
        let address = &server.address_text;
        let stored = claims.stored_position(address);
        let value = ClaimValue {
            continued_token: claims.continued_token(address, &own_id, node.now_ms()),
            ..own_value(&own_id, claims.own_process(), stored.era)
        };
        Self {
            key: claim_key(address),
            value,
            before: claims.get(address).cloned(),
            stored,
        }
    }

    fn transaction(&self) -> Transaction {
        let mut expected = vec![(self.key.clone(), self.stored)];
        if let Some(claim) = &self.before
            && claim.value.holder != self.value.holder
            && !claim.value.is_released
            && claim.validity == ClaimValidity::Current
        {
            // A claim that was not released may be taken only while its holder has no entry.
            let holder_key = format!("{MEMBER_PREFIX}{}", claim.value.holder);
            expected.push((holder_key, Position::missing(self.stored.era)));
        }
        Transaction {
            expected,
            put: vec![(self.key.clone(), encode(&self.value), None)],
            remove: Vec::new(),
        }
    }

    fn log_taken(&self, node: &Node, server: &Server, position: Position) {
        let before = self.before.as_ref();
        let token = self.value.continued_token;
        let event = ClaimEvent {
            server: &server.record().id,
            address: &server.address_text,
            token: token.unwrap_or_else(|| position.fencing_token()),
            is_continued: token.is_some(),
            before: before.map(|claim| claim.value.holder.as_str()),
            before_known_ms: before.map(|claim| node.now_ms().saturating_sub(claim.seen_ms)),
        };
        events::emit(part::ORDERS, Level::Info, "claim_taken", &event);
    }
}

async fn claim_server(node: &Rc<Node>, server: &Rc<Server>) {
    let claim = NewClaim::on_server(node, server);
    let transaction = claim.transaction();
    node.claims_being_written.update(|count| count + 1);
    let committed = node.store.commit(&transaction).await;
    node.claims_being_written.update(|count| count - 1);
    match counted(node, "commit", committed) {
        Ok(position) => {
            let item = Item {
                key: claim.key.clone(),
                value: encode(&claim.value),
                position,
            };
            node.record_claim(&server.address_text, &item);
            claim.log_taken(node, server, position);
            holder::ensure_running(node, server);
        }
        Err(StoreError::Conflict { items }) => record_claims(node, &items),
        Err(_) => {}
    }
}

/// A claim of this box that begins with its own token.
pub fn own_value(own_id: &str, own_process: OwnProcess, era: Era) -> ClaimValue {
    ClaimValue {
        holder: own_id.to_string(),
        is_released: false,
        era,
        process: own_process.id,
        machine: own_process.machine,
        continued_token: None,
    }
}

/// Records the claims among items read from the store.
pub fn record_claims(node: &Node, items: &[Item]) {
    for item in items {
        if let Some(address) = item.key.strip_prefix(CLAIM_PREFIX) {
            node.record_claim(address, item);
        }
    }
}

/// Key of the claim on the server at an address.
pub fn claim_key(address: &str) -> String {
    format!("{CLAIM_PREFIX}{address}")
}

/// The value of a claim as it is stored.
pub fn encode(value: &ClaimValue) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
