//! Reads the content of the store, either from a relay or from the store itself.
//!
//! A box that is not a relay reads the store itself only if no relay answers, and then at a limited
//! rate: during an outage of the store, all boxes would otherwise call it in vain.

use std::cell::Cell;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::position::{Position, Revision};
use tinbay_core::units::Millis;

use super::access::CatchUp;
use super::relay::{self, RelayBox, RelayError, Relays};
use super::replica::Freshness;
use super::{WatchPace, counted};
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Change, Changes, Item, Listing, StoreError, StoreResult};

/// Maximum number of relays to ask before the store.
const MAX_RELAYS_ASKED: usize = 4;

/// How long one request to a relay waits for changes. A relay that stops answering is noticed only
/// after this time, and a change of the configuration may take two seconds in all.
const RELAY_WAIT_MS: Millis = 800;

/// Margin for a late answer of the store before the local copy counts as too old to answer other
/// boxes from.
const COPY_AGE_MARGIN_MS: Millis = 250;

/// Freshness of a listing that may be some seconds old: it confirms nothing, and no other box is
/// answered from it.
const STALE_LISTING_FRESHNESS: Freshness = Freshness {
    confirmed_ms: 0,
    max_relayed_age_ms: None,
    is_complete: false,
    is_reported_complete: false,
};

/// Pause between reads of the store by a box that is not a relay, while none succeeds.
const STORE_READ_PAUSE_MS: Millis = 2_000;

/// The same for a relay, on which other boxes depend to notice that the store answers again.
const RELAY_STORE_READ_PAUSE_MS: Millis = 1_000;

/// Time after a successful read of the store in which reads are not limited.
const STORE_SUCCESS_LIFE_MS: Millis = 2_000;

/// Shortest time that an answer to a watch may take beyond its wait. For as long, a zone relies on a
/// relay whose store has stopped answering, and sends requests to servers that have left.
const MIN_DELAY_LIMIT_MS: Millis = 400;

/// Longest such time, for a store that is slower still.
const MAX_DELAY_LIMIT_MS: Millis = 1_500;

/// Ratio of the allowed delay of an answer to the delay of the last answer.
const DELAY_LIMIT_FACTOR: f64 = 3.0;

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    key: &'a str,
    revision: Revision,
    error: String,
}

#[derive(Serialize)]
struct CatchUpEvent<'a> {
    prefix: &'a str,
    oldest_revision: Revision,
    newest_revision: Revision,
    watches: u64,
}

/// Lists all items under a prefix.
///
/// # Errors
/// When neither a relay nor the store answers, or the rate limit keeps this box from reading the
/// store now.
pub async fn list(node: &Node, prefix: &str, pace: WatchPace) -> StoreResult<(Listing, Freshness)> {
    let limiter = node.store_read_limiters.of(pace);
    let sources = Sources::choose(node, limiter);
    for relay in sources.to_ask() {
        let asked = relay::request_listing(node, relay, prefix).await;
        count(node, "list", asked.as_ref().err());
        match asked {
            Ok(listed) => return Ok(listed),
            Err(error) => relay::log_failure(&relay.id, prefix, error),
        }
    }
    sources.check_limiter(node, limiter)?;
    let is_stale = pace.allows_stale_start && node.replica.confirmed_ms(prefix).is_none();
    let listed = node.store.list(prefix, is_stale).await;
    let listed = counted(node, "list", limiter.record_result(listed, node.now_ms()))?;
    if let Some(catch_up) = &listed.catch_up {
        report_catch_up(node, prefix, catch_up);
    }
    let mut listing = listed.listing;
    for item in &mut listing.items {
        replace_account_keys(node, item);
    }
    let freshness = match listed.confirmed_ms {
        Some(confirmed_ms) => from_store(confirmed_ms, pace),
        None => STALE_LISTING_FRESHNESS,
    };
    Ok((listing, freshness))
}

/// Counts the watches that brought a listing to one position, and logs the positions of its pages.
fn report_catch_up(node: &Node, prefix: &str, catch_up: &CatchUp) {
    let labels = ["catch_up", "ok"];
    let calls = node.metrics.store_calls.with_label_values(&labels);
    calls.inc_by(catch_up.watches);
    let event = CatchUpEvent {
        prefix,
        oldest_revision: catch_up.oldest_at.revision,
        newest_revision: catch_up.newest_at.revision,
        watches: catch_up.watches,
    };
    events::emit(part::STORE, Level::Info, "pages_differ", &event);
}

/// Waits for changes under a prefix after a position.
///
/// # Errors
/// When neither a relay nor the store answers, or the changes are no longer kept there.
pub async fn watch(
    node: &Node,
    prefix: &str,
    after: Position,
    pace: WatchPace,
) -> StoreResult<(Changes, Freshness)> {
    let limiter = node.store_read_limiters.of(pace);
    let sources = Sources::choose(node, limiter);
    if let Some(answer) = watch_relays(node, sources.to_ask(), prefix, after).await {
        return answer;
    }
    let confirmed_ms = node.now_ms();
    let wait_ms = if sources.reads_itself || limiter.allows_wait(pace.wait_ms, confirmed_ms) {
        pace.wait_ms
    } else {
        0
    };
    sources.check_limiter(node, limiter)?;
    let max_delay_ms = limiter.delay_limit_ms();
    let watched = node.store.watch(prefix, after, wait_ms, max_delay_ms).await;
    if watched.is_ok() {
        let took_ms = node.now_ms() - confirmed_ms;
        limiter.record_delay(took_ms.saturating_sub(wait_ms));
    }
    let mut changes = counted(node, "watch", limiter.record_result(watched, node.now_ms()))?;
    for change in &mut changes.changes {
        if let Change::Put(item) = change {
            replace_account_keys(node, item);
        }
    }
    Ok((changes, from_store(confirmed_ms, pace)))
}

/// Waits for changes at a relay. If one does not answer, several may have failed together, so that
/// the others are asked at the same time and without waiting for changes. `None` if none answers.
async fn watch_relays(
    node: &Node,
    relays: &[RelayBox],
    prefix: &str,
    after: Position,
) -> Option<StoreResult<(Changes, Freshness)>> {
    for (position, relay) in relays.iter().enumerate() {
        match watch_relay(node, relay, prefix, after, RELAY_WAIT_MS).await {
            Ok(answer) => return Some(answer),
            Err(RelayError::NoAnswer) => {
                let others = &relays[position + 1..];
                let mut asking: FuturesUnordered<_> = others
                    .iter()
                    .map(|relay| watch_relay(node, relay, prefix, after, 0))
                    .collect();
                while let Some(asked) = asking.next().await {
                    if let Ok(answer) = asked {
                        return Some(answer);
                    }
                }
                return None;
            }
            Err(_) => {}
        }
    }
    None
}

/// Waits for changes at one relay; that these are no longer kept there is an answer, too.
async fn watch_relay(
    node: &Node,
    relay: &RelayBox,
    prefix: &str,
    after: Position,
    wait_ms: Millis,
) -> Result<StoreResult<(Changes, Freshness)>, RelayError> {
    let asked = relay::request_changes(node, relay, prefix, after, wait_ms).await;
    count(node, "watch", asked.as_ref().err());
    match asked {
        Ok(changes) => Ok(Ok(changes)),
        Err(RelayError::HistoryGone) => Ok(Err(StoreError::HistoryGone)),
        Err(error) => {
            relay::log_failure(&relay.id, prefix, error);
            Err(error)
        }
    }
}

/// Replaces the keys of client accounts in a configuration read from the store by digests. If this
/// fails, the value is replaced by an empty one, which every box rejects.
fn replace_account_keys(node: &Node, item: &mut Item) {
    if item.key != node.dialect.keys().configuration {
        return;
    }
    item.value = match node.dialect.digest_keys(&item.value) {
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

/// Freshness of an answer of the store. Other boxes are answered from it until the next watch is
/// overdue.
fn from_store(confirmed_ms: Millis, pace: WatchPace) -> Freshness {
    let max_relayed_age_ms = 2 * pace.wait_ms + 2 * pace.gap_ms + COPY_AGE_MARGIN_MS;
    Freshness {
        confirmed_ms,
        max_relayed_age_ms: Some(max_relayed_age_ms),
        is_complete: true,
        is_reported_complete: true,
    }
}

/// Sources of one read, in the order in which they are asked.
struct Sources {
    relays: Relays,
    /// Whether this box is a relay and reads the store now.
    reads_itself: bool,
}

impl Sources {
    fn choose(node: &Node, limiter: &StoreReadLimiter) -> Self {
        let relays = relay::relays(node);
        let reads_itself = relays.includes_self && limiter.allows_relay_read(node.now_ms());
        Self {
            relays,
            reads_itself,
        }
    }

    /// Relays that are asked before the store; none if this box reads the store itself.
    fn to_ask(&self) -> &[RelayBox] {
        if self.reads_itself {
            return &[];
        }
        let count = self.relays.to_ask.len().min(MAX_RELAYS_ASKED);
        &self.relays.to_ask[..count]
    }

    /// Whether this box may read the store itself now.
    fn check_limiter(&self, node: &Node, limiter: &StoreReadLimiter) -> StoreResult<()> {
        let is_allowed =
            !self.relays.includes_self && limiter.try_acquire(STORE_READ_PAUSE_MS, node.now_ms());
        if self.reads_itself || is_allowed {
            return Ok(());
        }
        Err(StoreError::NotAsked)
    }
}

/// Limits, per group of prefixes, how often a box that is not a relay reads the store itself.
///
/// The configuration has a limiter of its own: if the store refuses all relays but serves this box,
/// its changes must still be read within seconds, and other prefixes may just have used up a shared
/// limit.
#[derive(Debug, Default)]
pub struct StoreReadLimiters {
    configuration: StoreReadLimiter,
    others: StoreReadLimiter,
}

impl StoreReadLimiters {
    /// The limiter for a prefix that is followed at this pace.
    pub fn of(&self, pace: WatchPace) -> &StoreReadLimiter {
        if pace.has_own_read_limiter {
            &self.configuration
        } else {
            &self.others
        }
    }
}

/// Rate limit of reads of the store, for the prefixes that share it together: one call per pause
/// while no read succeeds. While reads succeed, none of these prefixes is limited.
#[derive(Debug)]
pub struct StoreReadLimiter {
    last_attempt_ms: Cell<Option<Millis>>,
    last_success_ms: Cell<Option<Millis>>,
    is_failing: Cell<bool>,
    delay_limit_ms: Cell<Millis>,
}

impl Default for StoreReadLimiter {
    fn default() -> Self {
        Self {
            last_attempt_ms: Cell::default(),
            last_success_ms: Cell::default(),
            is_failing: Cell::default(),
            delay_limit_ms: Cell::new(MIN_DELAY_LIMIT_MS),
        }
    }
}

impl StoreReadLimiter {
    /// Time that an answer to a watch may take beyond its wait before the call is given up.
    pub fn delay_limit_ms(&self) -> Millis {
        self.delay_limit_ms.get()
    }

    /// Adapts the allowed delay to the delay of the last answer beyond its wait. An answer with
    /// changes comes before the end of the wait and is ignored.
    pub fn record_delay(&self, late_ms: Millis) {
        if late_ms > 0 {
            let delay_limit_ms = (late_ms as f64 * DELAY_LIMIT_FACTOR) as Millis;
            let delay_limit_ms = delay_limit_ms.clamp(MIN_DELAY_LIMIT_MS, MAX_DELAY_LIMIT_MS);
            self.delay_limit_ms.set(delay_limit_ms);
        }
    }

    /// Requests permission to read the store now; returns false if the limit is used up.
    pub fn try_acquire(&self, pause_ms: Millis, now_ms: Millis) -> bool {
        let last_ms = self.last_attempt_ms.get();
        let is_pause = last_ms.is_some_and(|last_ms| now_ms < last_ms + pause_ms);
        if is_pause && !self.has_succeeded_lately(now_ms) {
            return false;
        }
        self.last_attempt_ms.set(Some(now_ms));
        true
    }

    /// Whether a read may wait for changes. A read that waits shows only at its end that the store
    /// answers, and reads of other prefixes must not become limited before.
    pub fn allows_wait(&self, wait_ms: Millis, now_ms: Millis) -> bool {
        self.has_succeeded_lately(now_ms + wait_ms)
    }

    /// Whether the store has answered this box lately.
    fn has_succeeded_lately(&self, now_ms: Millis) -> bool {
        let last_ms = self.last_success_ms.get();
        last_ms.is_some_and(|last_ms| now_ms < last_ms + STORE_SUCCESS_LIFE_MS)
    }

    /// Whether a relay reads the store now: always while reads succeed, else once per pause; in
    /// between it asks the relays of other zones. A relay that asked only those could not answer
    /// its zone for a while after the store has recovered.
    pub fn allows_relay_read(&self, now_ms: Millis) -> bool {
        !self.is_failing() || self.try_acquire(RELAY_STORE_READ_PAUSE_MS, now_ms)
    }

    /// Records the outcome of a read of the store.
    pub fn record_result<T>(&self, result: StoreResult<T>, now_ms: Millis) -> StoreResult<T> {
        match &result {
            Ok(_) => {
                self.last_success_ms.set(Some(now_ms));
                self.is_failing.set(false);
            }
            Err(StoreError::HistoryGone | StoreError::TooLong { .. }) => {}
            Err(error) => {
                self.is_failing.set(true);
                if *error == StoreError::NoAnswer {
                    let delay_limit_ms = self.delay_limit_ms.get() * 2;
                    self.delay_limit_ms
                        .set(delay_limit_ms.min(MAX_DELAY_LIMIT_MS));
                }
            }
        }
        result
    }

    /// Whether the last read of the store failed. The store may refuse this box and serve others,
    /// so that even a relay then asks other relays first.
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
