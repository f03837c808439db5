//! What boxes tell each other of room at a server.

use serde::{Deserialize, Serialize};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::sharing::room::{AskId, RoomAnswer, RoomAsk};
use tinbay_core::units::Millis;

/// A request that asks for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRequestPart {
    /// The server.
    pub server: Fingerprint,
    /// Number of the question, which the answer repeats.
    pub number: u32,
    /// Its client account, by its name.
    pub account: Fingerprint,
    /// Its rank, 0 first.
    pub rank: u8,
    /// Tokens it has the server read and make.
    pub units: u32,
    /// Time in which the server reads its prompt, in ms.
    pub reading_ms: u16,
    /// Time within which it must begin to be in time, in ms.
    pub in_time_ms: u16,
    /// Tells it from others; the same when it comes back.
    pub digest: u64,
}

impl RoomRequestPart {
    /// The question as one of a box.
    pub fn to_ask(self, box_key: Fingerprint) -> RoomAsk {
        let number = self.number;
        RoomAsk {
            id: AskId { box_key, number },
            account: self.account,
            rank: self.rank,
            units: f64::from(self.units),
            reading_ms: f64::from(self.reading_ms),
            in_time_ms: Millis::from(self.in_time_ms),
            digest: self.digest,
        }
    }
}

/// What the holder of a server says to a request that asked for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomWordPart {
    /// Number of the question.
    pub number: u32,
    /// What becomes of it.
    pub word: RoomWord,
}

/// What becomes of a request that asked for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoomWord {
    /// It waits.
    Waits,
    /// It is let in.
    LetIn,
    /// It can't be in time: it does not run.
    TurnedAway {
        /// When to come back, in ms.
        turn_in_ms: u16,
    },
    /// The box that was asked does not hold the server.
    NotHeld,
}

impl From<RoomAnswer> for RoomWord {
    fn from(answer: RoomAnswer) -> Self {
        match answer {
            RoomAnswer::LetIn => RoomWord::LetIn,
            RoomAnswer::TurnedAway { turn_in_ms } => RoomWord::TurnedAway {
                turn_in_ms: u16::try_from(turn_in_ms).unwrap_or(u16::MAX),
            },
        }
    }
}
