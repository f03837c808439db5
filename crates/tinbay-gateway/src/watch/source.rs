//! Where a box reads the store: from a box that passes on what it sees, or itself.
//!
//! A box that should ask others reads the store itself only where none of them gives anything,
//! and then seldom: while the store is away for all, many boxes would ask it in vain.

use std::cell::Cell;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::position::{Position, Revision};
use tinbay_core::units::Millis;

use super::relay::{self, RelayBox, RelayError, Relays};
use super::replica::Evidence;
use super::{WatchPace, counted};
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Change, Changes, Item, Listing, StoreError, StoreResult};

/// Relays that are asked before the store.
const MOST_RELAYS: usize = 4;

/// How long one question to a relay waits for changes. One that falls silent is noticed only
/// when this is over, and a change of the configuration may take two seconds in all.
const RELAY_WAIT_MS: Millis = 800;

/// Time by which an answer of the store may be late before what is known counts as too old.
const AGE_MARGIN_MS: Millis = 250;

/// What a listing shows that may be some seconds old: it proves nothing and is not passed on.
const OF_UNKNOWN_AGE: Evidence = Evidence {
    confirmed_ms: 0,
    passed_on_ms: None,
    is_complete: false,
    is_told_complete: false,
};

/// Pause between reads of the store by a box that should ask others, while none succeeds.
const STORE_PAUSE_MS: Millis = 2_000;

/// The same for a box that reads it for others, and looks for its return on their behalf.
const RELAY_STORE_PAUSE_MS: Millis = 1_000;

/// How long a read of the store that succeeded lets the other prefixes be read as well.
const STORE_SEEN_LIFE_MS: Millis = 2_000;

/// How much later than its wait an answer to a watch may be at least: a store that takes 60 times
/// its usual 4 ms is heard. Until then a zone believes a relay whose store fell silent; with 1,500 ms
/// a leaving server was sent requests for up to 2.2 s where 2.0 are allowed.
const LEAST_PATIENCE_MS: Millis = 400;

/// The same at most, for a store that is slower still.
const MOST_PATIENCE_MS: Millis = 1_500;

/// How much later than the last one an answer may be.
const PATIENCE_FACTOR: f64 = 3.0;

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    key: &'a str,
    revision: Revision,
    error: String,
}

/// All there is below a prefix.
///
/// # Errors
/// When neither another box nor the store gives it.
pub async fn list(node: &Node, prefix: &str, pace: WatchPace) -> StoreResult<(Listing, Evidence)> {
    let turn = node.store_turns.of(pace);
    let sources = Sources::now(node, turn);
    for relay in sources.to_ask() {
        let asked = relay::ask_list(node, relay, prefix).await;
        count(node, "list", asked.as_ref().err());
        match asked {
            Ok(listed) => return Ok(listed),
            Err(error) => relay::log_failure(&relay.id, prefix, error),
        }
    }
    sources.check_turn(node, turn)?;
    let is_stale = pace.begins_stale && node.replica.confirmed_ms(prefix).is_none();
    let asked_ms = node.now_ms();
    let listed = node.store.list(prefix, is_stale).await;
    let mut listing = counted(node, "list", turn.note(listed, node.now_ms()))?;
    for item in &mut listing.items {
        conceal(node, item);
    }
    let evidence = if is_stale {
        OF_UNKNOWN_AGE
    } else {
        from_store(asked_ms, pace)
    };
    Ok((listing, evidence))
}

/// What changes below a prefix after a position.
///
/// # Errors
/// When neither another box nor the store tells.
pub async fn watch(
    node: &Node,
    prefix: &str,
    after: Position,
    pace: WatchPace,
) -> StoreResult<(Changes, Evidence)> {
    let turn = node.store_turns.of(pace);
    let sources = Sources::now(node, turn);
    for relay in sources.to_ask() {
        let asked = relay::ask_watch(node, relay, prefix, after, RELAY_WAIT_MS).await;
        count(node, "watch", asked.as_ref().err());
        match asked {
            Ok(changes) => return Ok(changes),
            Err(RelayError::HistoryGone) => return Err(StoreError::HistoryGone),
            Err(error) => relay::log_failure(&relay.id, prefix, error),
        }
    }
    sources.check_turn(node, turn)?;
    let confirmed_ms = node.now_ms();
    let late_ms = turn.patience_ms();
    let watched = node.store.watch(prefix, after, pace.wait_ms, late_ms).await;
    if watched.is_ok() {
        let took_ms = node.now_ms() - confirmed_ms;
        turn.note_late(took_ms.saturating_sub(pace.wait_ms));
    }
    let mut changes = counted(node, "watch", turn.note(watched, node.now_ms()))?;
    for change in &mut changes.changes {
        if let Change::Put(item) = change {
            conceal(node, item);
        }
    }
    Ok((changes, from_store(confirmed_ms, pace)))
}

/// Takes the keys of client accounts out of what comes from the store; a configuration of which
/// they can't be taken out is kept as an empty one, which no box takes.
fn conceal(node: &Node, item: &mut Item) {
    if item.key != node.dialect.keys().configuration {
        return;
    }
    item.value = match node.dialect.conceal_keys(&item.value) {
        Ok(value) => value,
        Err(error) => {
            let event = UnreadableEvent {
                key: &item.key,
                revision: item.position.revision,
                error: error.to_string(),
            };
            events::emit(part::CONFIG, Level::Error, "value_unreadable", &event);
            Vec::new()
        }
    };
}

/// What one watch confirms is as old as the next one waits before that is over.
fn from_store(confirmed_ms: Millis, pace: WatchPace) -> Evidence {
    let passed_on_ms = 2 * pace.wait_ms + 2 * pace.gap_ms + AGE_MARGIN_MS;
    Evidence {
        confirmed_ms,
        passed_on_ms: Some(passed_on_ms),
        is_complete: true,
        is_told_complete: true,
    }
}

/// Who is asked for one read, and in which order.
struct Sources {
    relays: Relays,
    /// Whether this box reads the store for others, and does so now.
    reads_itself: bool,
}

impl Sources {
    fn now(node: &Node, turn: &StoreTurn) -> Self {
        let relays = relay::relays(node);
        let reads_itself = relays.is_one && turn.takes_relay(node.now_ms());
        Self {
            relays,
            reads_itself,
        }
    }

    /// Relays that are asked before the store; none where this box reads that itself.
    fn to_ask(&self) -> &[RelayBox] {
        if self.reads_itself {
            return &[];
        }
        let count = self.relays.to_ask.len().min(MOST_RELAYS);
        &self.relays.to_ask[..count]
    }

    /// Whether this box may read the store itself now.
    fn check_turn(&self, node: &Node, turn: &StoreTurn) -> StoreResult<()> {
        let may_take = !self.relays.is_one && turn.take(STORE_PAUSE_MS, node.now_ms());
        if self.reads_itself || may_take {
            return Ok(());
        }
        Err(StoreError::NotAsked)
    }
}

/// When a box that should ask others reads the store itself, by what it reads.
///
/// Where all relays are turned away and the store serves this box, a change of the configuration
/// must be read within seconds: with turns for all prefixes together it came 3 s late on a fleet
/// of 79 boxes, as the servers' prefix had taken the turn before.
#[derive(Debug, Default)]
pub struct StoreTurns {
    configuration: StoreTurn,
    others: StoreTurn,
}

impl StoreTurns {
    /// The turns of a prefix that is followed at this pace.
    pub fn of(&self, pace: WatchPace) -> &StoreTurn {
        if pace.has_own_turns {
            &self.configuration
        } else {
            &self.others
        }
    }
}

/// One call at a time shows whether the store is there; while it is, all that share the turns
/// read it.
#[derive(Debug)]
pub struct StoreTurn {
    tried_ms: Cell<Option<Millis>>,
    seen_ms: Cell<Option<Millis>>,
    is_failing: Cell<bool>,
    patience_ms: Cell<Millis>,
}

impl Default for StoreTurn {
    fn default() -> Self {
        Self {
            tried_ms: Cell::default(),
            seen_ms: Cell::default(),
            is_failing: Cell::default(),
            patience_ms: Cell::new(LEAST_PATIENCE_MS),
        }
    }
}

impl StoreTurn {
    /// How much later than its wait an answer to a watch may be before it is given up.
    pub fn patience_ms(&self) -> Millis {
        self.patience_ms.get()
    }

    /// Notes how much later than its wait an answer came; one that brought changes came early and
    /// tells nothing.
    pub fn note_late(&self, late_ms: Millis) {
        if late_ms > 0 {
            let patience_ms = (late_ms as f64 * PATIENCE_FACTOR) as Millis;
            let patience_ms = patience_ms.clamp(LEAST_PATIENCE_MS, MOST_PATIENCE_MS);
            self.patience_ms.set(patience_ms);
        }
    }

    /// Takes a turn, if one is left.
    pub fn take(&self, pause_ms: Millis, now_ms: Millis) -> bool {
        let is_within = |since_ms: Option<Millis>, span_ms: Millis| {
            since_ms.is_some_and(|since_ms| now_ms < since_ms + span_ms)
        };
        let is_there = is_within(self.seen_ms.get(), STORE_SEEN_LIFE_MS);
        if !is_there && is_within(self.tried_ms.get(), pause_ms) {
            return false;
        }
        self.tried_ms.set(Some(now_ms));
        true
    }

    /// Whether a box that reads the store for others reads it now: always while that succeeds, else
    /// now and then, and asks the relays of other zones in between. One that only asked these stayed
    /// out of touch for its zone after the store was back, and a leaving server was sent requests
    /// for 2.2 s in place of 2.0.
    pub fn takes_relay(&self, now_ms: Millis) -> bool {
        !self.is_failing() || self.take(RELAY_STORE_PAUSE_MS, now_ms)
    }

    /// Notes how a read of the store ended.
    pub fn note<T>(&self, result: StoreResult<T>, now_ms: Millis) -> StoreResult<T> {
        match &result {
            Ok(_) => {
                self.seen_ms.set(Some(now_ms));
                self.is_failing.set(false);
            }
            Err(StoreError::HistoryGone) => {}
            Err(error) => {
                self.is_failing.set(true);
                if *error == StoreError::NoAnswer {
                    let patience_ms = self.patience_ms.get() * 2;
                    self.patience_ms.set(patience_ms.min(MOST_PATIENCE_MS));
                }
            }
        }
        result
    }

    /// Whether the last read of the store failed: it may turn this box away and serve others,
    /// which are asked first then even by a box that reads the store for its zone.
    pub fn is_failing(&self) -> bool {
        self.is_failing.get()
    }
}

fn count(node: &Node, call: &str, error: Option<&RelayError>) {
    let outcome = match error {
        None | Some(RelayError::HistoryGone) => "ok",
        Some(RelayError::NoAnswer) => "no_answer",
        Some(RelayError::NotInTouch) => "not_in_touch",
    };
    let labels = [call, outcome];
    node.metrics.relay_calls.with_label_values(&labels).inc();
}
