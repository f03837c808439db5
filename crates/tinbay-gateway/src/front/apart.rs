//! Chooses the server for a prompt where some engines read for others.
//!
//! A prompt for an adapter that is much asked for goes to an engine that reads for others, and its run
//! moves on from there. One that is short enough to be read beside running streams goes to its home at
//! once, where it stays. Requests for rare adapters run at engines that serve them whole.

use std::rc::Rc;

use tinbay_core::handover::reading_room::reads_beside;
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
    if let Some(choice) = choose_home(node, question, split, asked) {
        return choice;
    }
    let readers = Survey::make(node, question, &split.readers, asked);
    let reading = readers.pick();
    let reader = match reading {
        Pick::Send { .. } => return readers.to_choice(reading),
        Pick::Load { at } => Some(readers.server(at)),
        Pick::Nowhere => None,
    };
    if let Some(reader) = reader
        .clone()
        .filter(|reader| is_to_ask(node, reader, asked))
    {
        return Choice::Send {
            server: reader,
            copy: None,
        };
    }
    let whole = Survey::make(node, question, &split.whole, asked);
    match whole.to_choice(whole.pick()) {
        Choice::Send { server, .. } if is_much_used(node, question, &server) => Choice::Send {
            server,
            copy: reader,
        },
        choice => choice,
    }
}

fn is_much_used(node: &Node, question: &Question, server: &Server) -> bool {
    let entry = question.model_key.and_then(|key| node.entry(server, key));
    entry.is_some_and(|entry| entry.is_much_used)
}

/// The home of a request that holds its adapter, if its prompt holds up no stream there.
fn choose_home(node: &Node, question: &Question, split: &Split, asked: &Asked) -> Option<Choice> {
    if !reads_beside_streams(node, question, 0.0) {
        return None;
    }
    let homes = Survey::make(node, question, &split.homes, asked);
    let pick = homes.pick();
    let Pick::Send { to, .. } = pick else {
        return None;
    };
    let home = homes.server(to);
    let is_fine = is_to_ask(node, &home, asked)
        || reads_beside_streams(node, question, node.backlog_ms(&home));
    is_fine.then(|| homes.to_choice(pick))
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
