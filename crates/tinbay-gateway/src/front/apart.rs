//! Chooses the server for a prompt where some engines read for others.
//!
//! A prompt for an adapter that is much asked for goes to an engine that reads for others, and its run
//! moves on from there. One that is short enough to be read beside running streams, or that is for a
//! rare adapter, goes to its home at once and stays there.

use std::rc::Rc;

use tinbay_core::handover::reading_room::{begins_in_time, reads_beside};
use tinbay_core::serving::homes::Pick;

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
    if reads_beside_streams(node, question, 0.0) {
        let homes = Survey::make(node, question, &split.homes, asked);
        return homes.to_choice(homes.pick());
    }
    let readers = Survey::make(node, question, &split.readers, asked);
    if let Some(reader) = readers.best_ready()
        && (is_to_ask(node, &reader, asked) || reads_in_time(node, question, &reader))
    {
        let copy = match readers.pick() {
            Pick::Send { copy, .. } => copy.map(|position| readers.server(position)),
            Pick::Load { at } => Some(readers.server(at)),
            Pick::Nowhere => None,
        };
        return Choice::Send {
            server: reader,
            copy,
        };
    }
    if let Some(reader) = readers.place_for_copy()
        && is_to_ask(node, &reader, asked)
    {
        return Choice::Ask(reader);
    }
    let homes = Survey::make(node, question, &split.homes, asked);
    homes.to_choice(homes.pick())
}

/// Whether an engine that reads for others begins a prompt in time.
fn reads_in_time(node: &Node, question: &Question, server: &Server) -> bool {
    let own_ms = node.reading_ms(&question.service, question.prompt.tokens);
    begins_in_time(
        node.backlog_ms(server) + own_ms,
        question.route.objective_ms,
    )
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
    pause_ms.is_none_or(|pause_ms| reads_beside(backlog_ms + own_ms, pause_ms))
}
