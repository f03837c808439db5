//! Asks for admission of a request to an overloaded server. Its holder, the box that manages it,
//! shares the server's slots between client accounts.

use std::rc::Rc;

use tinbay_core::serving::prompt::TokenCount;
use tinbay_core::units::Millis;

use super::choice::{self, Choice, HolderRequests};
use super::inbound::InboundRequest;
use super::refusal::Refusal;
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::servers::Server;
use crate::sharing::asking::{self, AdmissionParams};
use crate::sharing::links::AdmissionContext;

/// Most servers whose holders are asked to admit one request. A request rejected by two is not
/// admitted in time by a third.
const MAX_ASKED: usize = 2;

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// On the chosen server, or that server needs no admission.
    Admitted,
    /// Not on the chosen server; another one may admit it.
    TryAnother,
}

/// Asks for admission of a request to the chosen server if that server is overloaded.
///
/// # Errors
/// When no server admits it in time. The request has not run, and the refusal tells the caller when
/// to retry.
pub async fn request(
    node: &Rc<Node>,
    inbound: &InboundRequest,
    server: &Rc<Server>,
    tried: &[String],
) -> Result<Admission, Refusal> {
    let Some(params) = admission_params(node, inbound) else {
        return Ok(Admission::Admitted);
    };
    let began_ms = node.now_ms();
    let Some(answer) = asking::request_admission(&**node, server, params).await else {
        return Ok(Admission::Admitted);
    };
    inbound
        .admission
        .record(answer.outcome, node.now_ms() - began_ms);
    count_outcome(node, inbound, answer.outcome.name());
    let Some(retry_after_ms) = answer.retry_after_ms else {
        return Ok(Admission::Admitted);
    };
    inbound.admission.record_full(server.key);
    let may_ask_more = inbound.admission.full_count() < MAX_ASKED;
    if may_ask_more && has_other_server(node, inbound, tried) {
        return Ok(Admission::TryAnother);
    }
    Err(Refusal::NotAdmitted { retry_after_ms })
}

/// Parameters of the admission that a request needs. `None` for a request without client account or
/// model: servers without models are not shared between accounts.
fn admission_params(node: &Node, inbound: &InboundRequest) -> Option<AdmissionParams> {
    let account = inbound.client_account()?;
    inbound.model_key?;
    let units = match inbound.prompt.count {
        TokenCount::Declared(tokens) => u32::try_from(tokens).unwrap_or(u32::MAX),
        TokenCount::Undeclared | TokenCount::Unreadable => inbound.prompt.tokens,
    };
    let prefill_ms = node.prefill_ms(&inbound.service, inbound.prompt.tokens) as Millis;
    Some(AdmissionParams {
        account: box_fingerprint(&account.name),
        rank: inbound.rank(),
        units,
        prefill_ms,
        in_time_ms: in_time_ms(inbound, prefill_ms, node.now_ms()),
        digest: inbound.digests().next().map_or(0, |digest| digest.short()),
    })
}

/// Time within which a request must start for its first chunk to meet the objective, after
/// deducting its own prefill.
fn in_time_ms(inbound: &InboundRequest, prefill_ms: Millis, now_ms: Millis) -> Millis {
    let objective_ms = inbound.route.objective_ms;
    let begin_by_ms = inbound.arrived_ms + objective_ms - prefill_ms.min(objective_ms / 2);
    begin_by_ms.saturating_sub(now_ms)
}

/// Whether another server that is not overloaded, as far as this box knows, could take the request.
fn has_other_server(node: &Node, inbound: &InboundRequest, tried: &[String]) -> bool {
    match choice::choose(node, inbound, tried, &HolderRequests::default()) {
        Choice::Send { server, .. } | Choice::Load(server) => !node.is_scarce(&server),
        Choice::Nowhere => false,
    }
}

fn count_outcome(node: &Node, inbound: &InboundRequest, outcome: &str) {
    if let Some(account) = inbound.client_account() {
        node.metrics.count_admission(&account.name, outcome);
    }
}
