//! Selects the answers to abort when a box holds too much memory.

use std::collections::HashMap;

use super::ledger::AccountHash;
use crate::units::{MS_PER_SECOND, Millis};

/// An answer that is buffered for a slow caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadAnswer {
    /// Client account of the caller; callers without one count as a single account.
    pub account: Option<AccountHash>,
    /// Buffered bytes.
    pub held_bytes: u64,
    /// Average read rate of the caller.
    pub bytes_per_s: u64,
    /// Time since the caller last read anything.
    pub unread_ms: Millis,
}

impl UnreadAnswer {
    /// Time in which the caller would read the buffered bytes at its average rate, plus the time
    /// since its last read.
    fn drain_ms(&self) -> u64 {
        let bytes_ms = self.held_bytes.saturating_mul(MS_PER_SECOND);
        bytes_ms / self.bytes_per_s.max(1) + self.unread_ms
    }
}

/// The answer to abort first: the one that takes longest to drain, of the account with the most
/// buffered bytes.
///
/// Choosing the largest answer instead would hit a caller that reads a long answer quickly;
/// choosing the oldest would let one account suffer for the slow callers of another.
pub fn first_to_abort(answers: &[UnreadAnswer]) -> Option<usize> {
    let account = heaviest_account(answers)?;
    let of_account = |answer: &UnreadAnswer| answer.account == account;
    answers
        .iter()
        .enumerate()
        .filter(|(_, answer)| of_account(answer))
        .max_by_key(|(_, answer)| (answer.drain_ms(), answer.held_bytes))
        .map(|(index, _)| index)
}

fn heaviest_account(answers: &[UnreadAnswer]) -> Option<Option<AccountHash>> {
    let mut held: HashMap<Option<AccountHash>, u64> = HashMap::new();
    for answer in answers {
        *held.entry(answer.account).or_default() += answer.held_bytes;
    }
    let heaviest = held
        .into_iter()
        .max_by_key(|(account, bytes)| (*bytes, *account));
    heaviest.map(|(account, _)| account)
}

/// The answers to abort, in order, to free at least `excess_bytes`.
pub fn to_cut(mut answers: Vec<UnreadAnswer>, excess_bytes: u64) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..answers.len()).collect();
    let mut freed_bytes = 0;
    let mut cut = Vec::new();
    while freed_bytes < excess_bytes {
        let Some(position) = first_to_abort(&answers) else {
            break;
        };
        freed_bytes += answers.swap_remove(position).held_bytes;
        cut.push(indices.swap_remove(position));
    }
    cut
}
