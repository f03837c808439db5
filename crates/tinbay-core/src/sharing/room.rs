//! Room of one server, as the box that holds it deals it while it is scarce.
//!
//! What a server queues by itself is let in by arrival. So it is given only what it works on and what it
//! begins next; everything else waits here, where who is let in next can still be chosen.

use super::accounts::AccountsHad;
use super::order::{Place, order};
use super::places::PlaceTimes;
use super::returns::Returns;
use super::scarcity::{Fullness, Scarcity};
use super::weights::AccountWeights;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// Requests that a server is given beyond its places, as a part of these: what begins in the time until the
/// end of a request is known here.
const NEXT_PART: f64 = 0.25;

/// How long a request that was let in counts until its box tells that it runs.
const LET_IN_LIFE_MS: Millis = 250;

/// How long a request waits here without being asked for again: its caller or its box is gone.
const SILENT_LIFE_MS: Millis = 450;

/// Most requests that wait at one server; places are some tens at most, and who comes after so many can't
/// be in time.
const MOST_WAITING: usize = 128;

/// Longest time that callers are told to stay away: they heed it up to a third of the time that they have
/// left, which is some seconds.
const LONGEST_AWAY_MS: Millis = 4_000;

/// Shortest time that callers are told to stay away.
const SHORTEST_AWAY_MS: Millis = 50;

/// Part of an account's places that goes to callers who come back.
const RETURNS_PART: f64 = 0.5;

/// Names one question for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AskId {
    /// The box that asks.
    pub box_key: Fingerprint,
    /// Its number there.
    pub number: u32,
}

/// A request that asks for room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomAsk {
    /// Names the question; one that is repeated is the same.
    pub id: AskId,
    /// Its client account.
    pub account: Fingerprint,
    /// Its rank, 0 first.
    pub rank: u8,
    /// Tokens it has the server read and make.
    pub units: f64,
    /// Time in which the server reads its prompt.
    pub reading_ms: f64,
    /// Time within which it must begin to be in time.
    pub in_time_ms: Millis,
    /// Tells it from others; the same when it comes back.
    pub digest: u64,
}

/// What becomes of a request that asked for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomAnswer {
    /// It is let in.
    LetIn,
    /// It can't be in time: it does not run.
    TurnedAway {
        /// When to come back.
        turn_in_ms: Millis,
    },
}

/// A decision on one question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The question.
    pub id: AskId,
    /// The answer.
    pub answer: RoomAnswer,
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: AskId,
    place: Place,
    reading_ms: f64,
    begin_by_ms: Millis,
    heard_ms: Millis,
    digest: u64,
}

/// A request that was let in.
#[derive(Debug, Clone, Copy)]
struct LetIn {
    id: AskId,
    reading_ms: f64,
    at_ms: Millis,
}

/// What an account's part is worked out from.
struct PartTerms<'a> {
    weights: &'a AccountWeights,
    slots: usize,
    most_for_weight: f64,
    now_ms: Millis,
}

/// Room of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerRoom {
    scarcity: Scarcity,
    waiting: Vec<Waiting>,
    /// Requests that were let in and whose boxes have not yet told that they run.
    let_in: Vec<LetIn>,
    /// Words that are said once more, as their boxes asked again.
    repeated: Vec<Decision>,
    had: AccountsHad,
    places: PlaceTimes,
    returns: Returns,
}

impl ServerRoom {
    /// Whether requests have to ask for room.
    pub fn is_scarce(&self) -> bool {
        self.scarcity.is_scarce()
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a question has not been decided yet.
    pub fn is_waiting(&self, id: AskId) -> bool {
        self.waiting.iter().any(|of| of.id == id)
    }

    /// Notes that a box told that requests began.
    pub fn note_begun(&mut self, box_key: Fingerprint, count: usize, now_ms: Millis) {
        self.places.note_begun(count, now_ms);
        for _ in 0..count {
            let known = self.let_in.iter().position(|of| of.id.box_key == box_key);
            let Some(position) = known else {
                return;
            };
            self.let_in.remove(position);
        }
    }

    /// Takes a request that asks for room, for the first time or again.
    pub fn ask(&mut self, ask: RoomAsk, now_ms: Millis) {
        if let Some(waiting) = self.waiting.iter_mut().find(|of| of.id == ask.id) {
            waiting.heard_ms = now_ms;
            return;
        }
        if self.let_in.iter().any(|of| of.id == ask.id) {
            let (id, answer) = (ask.id, RoomAnswer::LetIn);
            self.repeated.push(Decision { id, answer });
            return;
        }
        let is_return = self.returns.take(ask.digest, now_ms);
        self.waiting.push(Waiting {
            id: ask.id,
            place: Place {
                account: ask.account,
                is_return,
                rank: ask.rank,
                came_ms: now_ms,
                units: ask.units.max(1.0),
            },
            reading_ms: ask.reading_ms.max(0.0),
            begin_by_ms: now_ms.saturating_add(ask.in_time_ms),
            heard_ms: now_ms,
            digest: ask.digest,
        });
    }

    /// Decides who is let in and who is turned away now; `fullness` counts what boxes told.
    pub fn decide(
        &mut self,
        fullness: Fullness,
        weights: &AccountWeights,
        now_ms: Millis,
    ) -> Vec<Decision> {
        self.forget_old(now_ms);
        self.places.note_running(fullness.running, now_ms);
        let mut decisions = std::mem::take(&mut self.repeated);
        decisions.extend(self.decide_waiting(fullness, weights, now_ms));
        let fullness = Fullness {
            running: fullness.running + self.let_in.len(),
            ..fullness
        };
        let has_waiting = !self.waiting.is_empty();
        self.scarcity.note(fullness, has_waiting, now_ms);
        decisions
    }

    fn forget_old(&mut self, now_ms: Millis) {
        self.let_in.retain(|of| now_ms < of.at_ms + LET_IN_LIFE_MS);
        self.waiting
            .retain(|of| now_ms < of.heard_ms + SILENT_LIFE_MS);
        if self.waiting.is_empty() {
            self.had.tidy(now_ms);
        }
    }

    fn decide_waiting(
        &mut self,
        fullness: Fullness,
        weights: &AccountWeights,
        now_ms: Millis,
    ) -> Vec<Decision> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let places: Vec<Place> = self.waiting.iter().map(|of| of.place).collect();
        let positions = order(&places, &self.had, weights, now_ms);
        let gap_ms = self.places.gap_ms(fullness.slots, now_ms);
        let slots = fullness.slots.max(1);
        let terms = PartTerms {
            weights,
            slots,
            most_for_weight: self.had.most_for_weight(weights, now_ms),
            now_ms,
        };
        let mut decisions = Vec::new();
        let mut kept: Vec<Waiting> = Vec::new();
        let mut ahead = Ahead {
            requests: fullness.running + self.let_in.len(),
            reading_ms: fullness.backlog_ms + self.let_in_reading_ms(),
        };
        for position in positions {
            let waiting = self.waiting[position];
            let begins_in_ms = ahead.begins_in_ms(slots, gap_ms);
            let is_hopeless = is_hopeless(&waiting, &ahead, begins_in_ms, &terms);
            if is_hopeless || kept.len() >= MOST_WAITING {
                decisions.push(self.turn_away(&waiting, begins_in_ms, gap_ms, now_ms));
                continue;
            }
            if self.may_read(&waiting, &ahead, fullness, &terms)
                && self.has_place(&waiting.place, &ahead, &terms)
            {
                decisions.push(self.let_in(&waiting, now_ms));
            } else {
                kept.push(waiting);
            }
            ahead.requests += 1;
            ahead.reading_ms += waiting.reading_ms;
        }
        self.waiting = kept;
        decisions
    }

    /// What requests that were let in have to be read and their boxes have not yet told.
    fn let_in_reading_ms(&self) -> f64 {
        self.let_in.iter().map(|of| of.reading_ms).sum()
    }

    /// Whether the server may be given the request's prompt to read now. While it has much to read, prompts of
    /// an account that has had more than its part wait, as long as they can be in time.
    fn may_read(
        &self,
        waiting: &Waiting,
        ahead: &Ahead,
        fullness: Fullness,
        terms: &PartTerms<'_>,
    ) -> bool {
        ahead.reading_ms <= fullness.most_backlog_ms()
            || terms.now_ms >= waiting.begin_by_ms
            || !self.is_above_part(&waiting.place, terms)
    }

    /// Whether the server may be given one more request now: it is given those that it works on and those
    /// that it begins next. One of an account that has had more than its part goes there only as the very
    /// next, so that those of others find nothing before them that came earlier.
    fn has_place(&self, place: &Place, ahead: &Ahead, terms: &PartTerms<'_>) -> bool {
        let next = (terms.slots as f64 * NEXT_PART).ceil() as usize;
        let is_very_next = ahead.requests <= terms.slots;
        let is_next = ahead.requests < terms.slots + next;
        is_very_next || (is_next && !self.is_above_part(place, terms))
    }

    /// Whether a request's account has had clearly more than its part lately.
    fn is_above_part(&self, place: &Place, terms: &PartTerms<'_>) -> bool {
        let used = self.had.used(place.account, terms.now_ms);
        used > terms.most_for_weight * terms.weights.of(place.account)
    }

    fn let_in(&mut self, waiting: &Waiting, now_ms: Millis) -> Decision {
        self.had
            .note(waiting.place.account, waiting.place.units, now_ms);
        self.let_in.push(LetIn {
            id: waiting.id,
            reading_ms: waiting.reading_ms,
            at_ms: now_ms,
        });
        Decision {
            id: waiting.id,
            answer: RoomAnswer::LetIn,
        }
    }

    /// Callers of an account come back one after the other, at half of the pace at which it gets places: the
    /// rest is left to new requests. What no room can be set aside for comes back as a new one.
    fn turn_away(
        &mut self,
        waiting: &Waiting,
        begins_in_ms: f64,
        gap_ms: f64,
        now_ms: Millis,
    ) -> Decision {
        let first_ms = now_ms + begins_in_ms as Millis;
        let account = waiting.place.account;
        let part = self.had.part(account, now_ms) * RETURNS_PART;
        let turns = self.had.turns(account);
        let gap_ms = (gap_ms / part) as Millis;
        let turn_in_ms = turns.next_ms(first_ms, gap_ms, LONGEST_AWAY_MS, now_ms);
        let turn_in_ms = turn_in_ms.max(SHORTEST_AWAY_MS);
        if turn_in_ms < LONGEST_AWAY_MS {
            let turn_ms = now_ms + turn_in_ms;
            self.returns.promise(waiting.digest, turn_ms, now_ms);
        }
        Decision {
            id: waiting.id,
            answer: RoomAnswer::TurnedAway { turn_in_ms },
        }
    }
}

/// Whether a request is turned away: no place is free for it in time. What is to be read before it turns nobody
/// away: that is an estimate, and prompts share parts that are read once.
fn is_hopeless(waiting: &Waiting, ahead: &Ahead, begins_in_ms: f64, terms: &PartTerms<'_>) -> bool {
    let is_late = terms.now_ms + begins_in_ms as Millis > waiting.begin_by_ms;
    is_late && ahead.requests >= terms.slots
}

/// What comes before a request.
struct Ahead {
    requests: usize,
    reading_ms: f64,
}

impl Ahead {
    /// Time until a place is free for a request.
    fn begins_in_ms(&self, slots: usize, gap_ms: f64) -> f64 {
        let places_short = (self.requests + 1).saturating_sub(slots);
        places_short as f64 * gap_ms
    }
}
