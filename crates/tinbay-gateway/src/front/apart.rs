//! Chooses the server for a prompt where some engines read for others.
//!
//! A prompt goes to an engine that reads for others, and its run moves on to its home. One that is short
//! enough to be read beside running streams goes home at once.

use std::rc::Rc;

use tinbay_core::handover::reading_room::can_prefill_beside_streams;
use tinbay_core::serving::placement::Pick;

use super::adapters::is_to_ask;
use super::choice::{Asked, Choice, Survey};
use super::question::Question;
use crate::handover::split::Split;
use crate::node::Node;
use crate::servers::Server;

/// Where a request for an adapter should run.
pub fn choose_for_adapter(
    node: &Node,
    question: &Question,
    split: &Split,
    asked: &Asked,
) -> Choice {
    if let Some(choice) = choose_home(node, question, split, asked) {
        return choice;
    }
    let readers = Survey::make(node, question, &split.readers, asked);
    match readers.pick() {
        Pick::Nowhere => {
            let homes = Survey::make(node, question, &split.homes, asked);
            homes.to_choice(homes.pick())
        }
        pick => readers.to_choice(pick),
    }
}

/// The home of a request, if its prompt holds up no stream there.
fn choose_home(node: &Node, question: &Question, split: &Split, asked: &Asked) -> Option<Choice> {
    if !reads_beside_streams(node, question, 0.0) {
        return None;
    }
    let homes = Survey::make(node, question, &split.homes, asked);
    let choice = homes.to_choice(homes.pick());
    let is_fine = match &choice {
        Choice::Send { server, .. } => {
            is_to_ask(node, server, asked)
                || reads_beside_streams(node, question, node.backlog_ms(server))
        }
        Choice::Load(_) => true,
        Choice::Nowhere => false,
    };
    is_fine.then_some(choice)
}

/// Where a request for a base model alone should run.
pub fn choose_for_model(
    node: &Node,
    question: &Question,
    home: Option<Rc<Server>>,
    reader: Option<Rc<Server>>,
) -> Option<Rc<Server>> {
    match (home, reader) {
        (Some(home), Some(reader)) => {
            let is_fine = reads_beside_streams(node, question, node.backlog_ms(&home));
            Some(if is_fine { home } else { reader })
        }
        (home, reader) => home.or(reader),
    }
}

/// Whether a prompt holds up no stream at an engine that has so much to read already.
fn reads_beside_streams(node: &Node, question: &Question, backlog_ms: f64) -> bool {
    let own_ms = node.reading_ms(&question.service, question.prompt.tokens);
    let pause_ms = question.route.objective_gap_ms;
    pause_ms.is_none_or(|pause_ms| can_prefill_beside_streams(backlog_ms + own_ms, pause_ms))
}
