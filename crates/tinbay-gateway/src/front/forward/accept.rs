//! Takes requests that other boxes forward to this one.

use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use tinbay_core::memory::ledger::ConnectionNumber;
use tinbay_core::units::Millis;

use super::headers::{AnswerKind, Forwarded, write_kind};
use crate::front::inbound::{CheckedAccount, InboundRequest};
use crate::front::refusal::Refusal;
use crate::http::body::AnswerBody;
use crate::members::box_fingerprint;
use crate::node::Node;

/// Parses the head of a forwarded request. It counts as having arrived when it arrived at the
/// forwarding box, so that its deadline stays the same.
///
/// # Errors
/// When another box has to be asked: this one does not know the route or the account.
pub fn read(
    node: &Node,
    mut parts: Parts,
    now_ms: Millis,
    draw: f64,
    connection: ConnectionNumber,
) -> Result<InboundRequest, Refusal> {
    let forwarded = Forwarded::take(&mut parts.headers).ok_or(Refusal::NoRequestId)?;
    let arrived_ms = now_ms.saturating_sub(forwarded.age_ms);
    let mut inbound = InboundRequest::read(node, parts, arrived_ms, draw, connection)?;
    inbound.is_forwarded = true;
    let account = match &forwarded.account {
        None => None,
        Some(name) => {
            let account = inbound.in_force.account_of(box_fingerprint(name));
            Some(account.ok_or(Refusal::KeyNotProved)?)
        }
    };
    let checked = CheckedAccount {
        account,
        proof_age_ms: 0,
    };
    let _ = inbound.account.set(checked);
    Ok(inbound)
}

/// Declines a forwarded request if this box can't run it either.
pub fn reject_if_unable(node: &Node, inbound: &InboundRequest) -> Option<Response<AnswerBody>> {
    let is_able = node.is_ready() && node.links.reaches(&inbound.service);
    (!is_able).then(decline)
}

/// The answer that makes the forwarding box ask another one.
pub fn decline() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    write_kind(response.headers_mut(), AnswerKind::Declined);
    response
}

/// Tells the forwarding box what the answer to its request means.
pub fn mark_result(response: &mut Response<AnswerBody>, refusal: Option<&Refusal>) {
    let kind = match refusal {
        None => AnswerKind::FromServer,
        Some(refusal) if refusal.says_not_run() => AnswerKind::NotRun,
        Some(_) => AnswerKind::MayHaveRun,
    };
    write_kind(response.headers_mut(), kind);
}
