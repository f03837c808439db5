//! Whose answer is cut first when a box holds too much.

use std::collections::HashMap;

use super::ledger::AccountPrint;
use crate::units::{MS_PER_SECOND, Millis};

/// An answer that is held for a caller who does not keep up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadAnswer {
    /// Client account of its caller; those without one count as one.
    pub account: Option<AccountPrint>,
    /// Bytes held for it.
    pub held_bytes: u64,
    /// Bytes a second that its caller takes.
    pub bytes_per_s: u64,
    /// For how long its caller has taken nothing.
    pub unread_ms: Millis,
}

impl UnreadAnswer {
    /// Time until its caller would have what is held, at its pace so far, with the time for which it has
    /// taken nothing.
    fn drain_ms(&self) -> u64 {
        let bytes_ms = self.held_bytes.saturating_mul(MS_PER_SECOND);
        bytes_ms / self.bytes_per_s.max(1) + self.unread_ms
    }
}

/// Which answer is cut first: of the account for which most is held, the one that takes longest to be
/// read.
///
/// Load: unread answers reach the bound together, most of them of one account. Cutting the largest alone
/// would hit a caller who reads a long answer quickly; cutting the oldest alone would hit one account for
/// what another one does.
pub fn first_to_cut(answers: &[UnreadAnswer]) -> Option<usize> {
    let account = heaviest_account(answers)?;
    let of_account = |answer: &UnreadAnswer| answer.account == account;
    answers
        .iter()
        .enumerate()
        .filter(|(_, answer)| of_account(answer))
        .max_by_key(|(_, answer)| (answer.drain_ms(), answer.held_bytes))
        .map(|(index, _)| index)
}

fn heaviest_account(answers: &[UnreadAnswer]) -> Option<Option<AccountPrint>> {
    let mut held: HashMap<Option<AccountPrint>, u64> = HashMap::new();
    for answer in answers {
        *held.entry(answer.account).or_default() += answer.held_bytes;
    }
    let heaviest = held
        .into_iter()
        .max_by_key(|(account, bytes)| (*bytes, *account));
    heaviest.map(|(account, _)| account)
}

/// The answers that are cut to be rid of so many bytes, first ones first.
pub fn to_cut(mut answers: Vec<UnreadAnswer>, excess_bytes: u64) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..answers.len()).collect();
    let mut freed_bytes = 0;
    let mut cut = Vec::new();
    while freed_bytes < excess_bytes {
        let Some(position) = first_to_cut(&answers) else {
            break;
        };
        freed_bytes += answers.swap_remove(position).held_bytes;
        cut.push(indices.swap_remove(position));
    }
    cut
}
