//! Asks for room for a request on an overloaded server, which is shared between client accounts.

use std::rc::Rc;

use tinbay_core::serving::prompt::TokenCount;
use tinbay_core::units::Millis;

use super::choice::{self, Choice, HolderRequests};
use super::inbound::InboundRequest;
use super::refusal::Refusal;
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::servers::Server;
use crate::sharing::asking::{self, RoomRequest};
use crate::sharing::links::RoomContext;

/// Most servers whose holders are asked for room for one request. A request refused by two finds no
/// room in time on a third.
const MAX_ASKED: usize = 2;

/// Where a request finds room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// On the chosen server.
    Here,
    /// Possibly on another server, which has to be chosen.
    Elsewhere,
}

/// Asks for room for a request on the chosen server if that server is overloaded.
///
/// # Errors
/// When no server has room in time. The request has not run, and the refusal tells the caller when
/// its account's turn is.
pub async fn take(
    node: &Rc<Node>,
    inbound: &InboundRequest,
    server: &Rc<Server>,
    tried: &[String],
) -> Result<Room, Refusal> {
    let Some(wish) = wish(node, inbound) else {
        return Ok(Room::Here);
    };
    let began_ms = node.now_ms();
    let Some(answered) = asking::ask(&**node, server, wish).await else {
        return Ok(Room::Here);
    };
    inbound
        .room
        .note(answered.outcome, node.now_ms() - began_ms);
    count(node, inbound, answered.outcome.name());
    let Some(retry_after_ms) = answered.retry_after_ms else {
        return Ok(Room::Here);
    };
    inbound.room.note_full(server.key);
    let may_ask_more = inbound.room.full_count() < MAX_ASKED;
    if may_ask_more && has_other_room(node, inbound, tried) {
        return Ok(Room::Elsewhere);
    }
    Err(Refusal::NoRoom { retry_after_ms })
}

/// The room that a request needs. `None` for a request without client account or model: servers
/// without models are not shared between accounts.
fn wish(node: &Node, inbound: &InboundRequest) -> Option<RoomRequest> {
    let account = inbound.client_account()?;
    inbound.model_key?;
    let units = match inbound.prompt.count {
        TokenCount::Declared(tokens) => u32::try_from(tokens).unwrap_or(u32::MAX),
        TokenCount::Undeclared | TokenCount::Unreadable => inbound.prompt.tokens,
    };
    let reading_ms = node.reading_ms(&inbound.service, inbound.prompt.tokens) as Millis;
    Some(RoomRequest {
        account: box_fingerprint(&account.name),
        rank: inbound.rank(),
        units,
        reading_ms,
        in_time_ms: in_time_ms(inbound, reading_ms, node.now_ms()),
        digest: inbound.digest.get().map_or(0, |digest| digest.short()),
    })
}

/// Time within which a request must start for its first chunk to meet the objective, after
/// deducting its own prefill.
fn in_time_ms(inbound: &InboundRequest, reading_ms: Millis, now_ms: Millis) -> Millis {
    let objective_ms = inbound.route.objective_ms;
    let begin_by_ms = inbound.arrived_ms + objective_ms - reading_ms.min(objective_ms / 2);
    begin_by_ms.saturating_sub(now_ms)
}

/// Whether another server that is not overloaded, as far as this box knows, could take the request.
fn has_other_room(node: &Node, inbound: &InboundRequest, tried: &[String]) -> bool {
    match choice::choose(node, inbound, tried, &HolderRequests::default()) {
        Choice::Send { server, .. } | Choice::Load(server) => !node.is_scarce(&server),
        Choice::Nowhere => false,
    }
}

fn count(node: &Node, inbound: &InboundRequest, outcome: &str) {
    if let Some(account) = inbound.client_account() {
        node.metrics.count_room(&account.name, outcome);
    }
}
