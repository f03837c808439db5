//! Brings a request to a server and its answer back.

use std::rc::Rc;

use super::{Exchange, Filter, Filtering, Step};
use crate::front::deliver;
use crate::front::question::Question;
use crate::front::refusal::Refusal;
use crate::node::Node;

/// Brings a request to a server and its answer back; the last filter.
pub struct Delivery;

impl Filter for Delivery {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> Filtering<'a> {
        Box::pin(async move {
            let body = exchange.body.take().ok_or(Refusal::CallerBrokeOff)?;
            note_first_send(node, &exchange.question);
            let answer = deliver::deliver(node, &exchange.question, body).await?;
            Ok(Step::Answer(answer))
        })
    }
}

/// Second sends are allowed in proportion to the first ones.
fn note_first_send(node: &Node, question: &Question) {
    let now_ms = node.now_ms();
    let mut budgets = node.budgets.borrow_mut();
    let budget = budgets.entry(question.service.clone()).or_default();
    budget.note_first_attempt(now_ms);
}
