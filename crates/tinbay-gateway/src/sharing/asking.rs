//! Asks the holder of a server for room, and goes by the box's own part where none answers.

use std::rc::Rc;
use std::time::Duration;

use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::links::{RoomHolder, RoomLinks};
use super::messages::{RoomRequestPart, RoomWord};
use super::taken::RoomOutcome;
use crate::servers::Server;

/// Pause after which a holder is asked again, as messages may be lost; it also tells that the request still
/// waits.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Times that a holder is asked without a word before it counts as silent.
const MOST_ASKS: u32 = 2;

/// Times that a holder is asked beyond those until the request can't be in time: by then it has decided, or it
/// never will.
const MOST_ASKS_BEYOND: u32 = 3;

/// How long a silent holder is not asked.
const SILENT_LIFE_MS: Millis = 1_000;

/// Requests that a box may have running at a scarce server whose holder is silent: as many boxes know of
/// that server, they still give it no more than a few.
const OWN_PART: usize = 1;

/// When a caller comes back that finds no holder: by then there is another one, or the server is used as
/// before.
const NO_ANSWER_AWAY_MS: Millis = 1_000;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomWish {
    /// Its client account, by its name.
    pub account: Fingerprint,
    /// Its rank, 0 first.
    pub rank: u8,
    /// Tokens it has the server read and make.
    pub units: u32,
    /// Time in which the server reads its prompt.
    pub reading_ms: Millis,
    /// Time within which it must begin to be in time.
    pub in_time_ms: Millis,
    /// Tells it from others; the same when it comes back.
    pub digest: u64,
}

/// What became of a question for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomAnswered {
    /// What let the request in, or turned it away.
    pub outcome: RoomOutcome,
    /// Where it is turned away: when to come back.
    pub turn_in_ms: Option<Millis>,
}

impl RoomAnswered {
    fn let_in(outcome: RoomOutcome) -> Self {
        let turn_in_ms = None;
        Self {
            outcome,
            turn_in_ms,
        }
    }

    fn turned_away(outcome: RoomOutcome, turn_in_ms: Millis) -> Self {
        let turn_in_ms = Some(turn_in_ms);
        Self {
            outcome,
            turn_in_ms,
        }
    }
}

/// Asks for room at a server; nothing where it has plenty.
pub async fn ask(
    links: &dyn RoomLinks,
    server: &Rc<Server>,
    wish: RoomWish,
) -> Option<RoomAnswered> {
    if !links.is_scarce(server) {
        return None;
    }
    let holder = links.room_holder(server)?;
    if is_silent(links, &holder) {
        return Some(take_own_part(server));
    }
    let (number, receiver) = links.sharing().begin();
    let part = question(server, number, wish);
    let word = repeat_question(links, &holder, server, part, receiver).await;
    links.sharing().end(number);
    let answered = match word {
        Some(RoomWord::LetIn) => RoomAnswered::let_in(RoomOutcome::Holder),
        Some(RoomWord::TurnedAway { turn_in_ms }) => {
            RoomAnswered::turned_away(RoomOutcome::TurnedAway, Millis::from(turn_in_ms))
        }
        Some(RoomWord::NotHeld | RoomWord::Waits) | None => {
            note_silent(links, &holder);
            take_own_part(server)
        }
    };
    Some(answered)
}

fn question(server: &Server, number: u32, wish: RoomWish) -> RoomRequestPart {
    RoomRequestPart {
        server: server.fingerprint(),
        number,
        account: wish.account,
        rank: wish.rank,
        units: wish.units,
        reading_ms: u16::try_from(wish.reading_ms).unwrap_or(u16::MAX),
        in_time_ms: u16::try_from(wish.in_time_ms).unwrap_or(u16::MAX),
        digest: wish.digest,
    }
}

/// Asks until the holder decides; nothing where it does not answer.
async fn repeat_question(
    links: &dyn RoomLinks,
    holder: &RoomHolder,
    server: &Rc<Server>,
    part: RoomRequestPart,
    mut receiver: tokio::sync::oneshot::Receiver<RoomWord>,
) -> Option<RoomWord> {
    let mut unheard = 0;
    for _ in 0..most_asks(part) {
        if unheard >= MOST_ASKS {
            break;
        }
        links.ask(holder, server, part);
        if let Ok(word) = tokio::time::timeout(ASK_AGAIN, &mut receiver).await {
            return word.ok();
        }
        let is_heard = links.sharing().take_heard(part.number);
        unheard = if is_heard { 0 } else { unheard + 1 };
    }
    None
}

fn most_asks(part: RoomRequestPart) -> u32 {
    let in_time = Duration::from_millis(u64::from(part.in_time_ms));
    let until_late = in_time.as_millis() / ASK_AGAIN.as_millis();
    until_late as u32 + MOST_ASKS_BEYOND
}

fn is_silent(links: &dyn RoomLinks, holder: &RoomHolder) -> bool {
    match holder {
        RoomHolder::Own => false,
        RoomHolder::Other(holder) => links.sharing().is_silent(holder, links.now_ms()),
    }
}

fn note_silent(links: &dyn RoomLinks, holder: &RoomHolder) {
    if let RoomHolder::Other(holder) = holder {
        let until_ms = links.now_ms() + SILENT_LIFE_MS;
        links.sharing().note_silent(holder, until_ms);
    }
}

/// Without a holder each box gives a scarce server a request at a time.
fn take_own_part(server: &Server) -> RoomAnswered {
    if server.usage.borrow().running() < OWN_PART {
        return RoomAnswered::let_in(RoomOutcome::OwnPart);
    }
    RoomAnswered::turned_away(RoomOutcome::NoAnswer, NO_ANSWER_AWAY_MS)
}
