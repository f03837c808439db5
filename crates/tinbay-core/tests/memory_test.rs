//! Tests of the memory bounds for requests and answers.

use quickcheck::QuickCheck;
use tinbay_core::memory::cuts::{UnreadAnswer, first_to_abort, to_cut};
use tinbay_core::memory::ledger::{Holder, Ledger, MemoryShort};
use tinbay_core::memory::reader::{
    BEHIND_AFTER_MS, CutCause, LATE_UNREAD_LIMIT_MS, MAX_LATE_MS, ReadTracker, ReaderTerms, Taken,
    unread_limit_ms,
};
use tinbay_core::memory::terms::MemoryTerms;
use tinbay_core::memory::waiting;
use tinbay_core::serving::configuration::{Route, RouteKind};
use tinbay_core::units::Millis;

const MB: u64 = 1_000_000;

/// Memory of a box on the platform.
const MEMORY_MB: f64 = 260.0;

const GREEDY: Option<u32> = Some(1);
const MODEST: Option<u32> = Some(2);

fn terms() -> MemoryTerms {
    MemoryTerms::of_memory(Some(MEMORY_MB))
}

fn holder(account: Option<u32>, connection: u64) -> Holder {
    Holder {
        account,
        connection,
    }
}

#[test]
fn admit_with_unread_answers_at_half_of_the_memory() {
    let mut ledger = Ledger::default();
    for connection in 0..130 {
        let account = Some(connection as u32 % 3);
        ledger.add(holder(account, connection), MB);
    }
    let newcomer = holder(Some(9), 200);
    let admitted = ledger.admit(&terms(), newcomer, 1);
    assert_eq!(admitted, Err(MemoryShort::Box));
    ledger.take_off(holder(Some(0), 0), MB);
    assert_eq!(ledger.admit(&terms(), newcomer, MB), Ok(()));
}

#[test]
fn admit_one_account_holds_most() {
    let mut ledger = Ledger::default();
    for connection in 0..65 {
        ledger.add(holder(GREEDY, connection), MB);
    }
    let refused = ledger.admit(&terms(), holder(GREEDY, 100), 1);
    assert_eq!(refused, Err(MemoryShort::Account));
    assert_eq!(ledger.admit(&terms(), holder(MODEST, 101), MB), Ok(()));
    assert_eq!(ledger.admit(&terms(), holder(None, 102), MB), Ok(()));
}

#[test]
fn admit_without_accounts_up_to_the_bound() {
    let mut ledger = Ledger::default();
    ledger.add(holder(None, 1), 129 * MB);
    assert_eq!(ledger.admit(&terms(), holder(None, 2), MB), Ok(()));
    let refused = ledger.admit(&terms(), holder(None, 2), MB + 1);
    assert_eq!(refused, Err(MemoryShort::Box));
}

#[test]
fn admit_memory_unknown() {
    let mut ledger = Ledger::default();
    let unbounded = MemoryTerms::of_memory(None);
    ledger.add(holder(GREEDY, 1), 1_000_000 * MB);
    assert_eq!(ledger.admit(&unbounded, holder(GREEDY, 1), MB), Ok(()));
    assert_eq!(ledger.excess_bytes(&unbounded), 0);
}

#[test]
fn excess_begins_before_requests_are_refused() {
    let mut ledger = Ledger::default();
    ledger.add(holder(MODEST, 1), 60 * MB);
    ledger.add(holder(GREEDY, 2), 50 * MB);
    assert!(ledger.excess_bytes(&terms()) > 0);
    assert_eq!(ledger.admit(&terms(), holder(Some(3), 3), MB), Ok(()));
}

/// For any sequence of additions and removals, the sums agree and return to 0.
#[test]
fn ledger_sums_agree() {
    fn agree(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut ledger = Ledger::default();
        let held: Vec<(Holder, u64)> = steps
            .iter()
            .map(|(account, connection, bytes)| {
                let account = (*account > 0).then_some(u32::from(*account));
                (holder(account, u64::from(*connection)), u64::from(*bytes))
            })
            .collect();
        for (holder, bytes) in &held {
            ledger.add(*holder, *bytes);
        }
        let total: u64 = held.iter().map(|(_, bytes)| bytes).sum();
        let by_connection: u64 = (0..=255)
            .map(|number| ledger.connection_bytes(number))
            .sum();
        let is_right = ledger.total_bytes() == total && by_connection == total;
        for (holder, bytes) in &held {
            ledger.take_off(*holder, *bytes);
        }
        let by_account: u64 = (0..=255).map(|account| ledger.account_bytes(account)).sum();
        is_right && ledger.total_bytes() == 0 && by_account == 0
    }
    QuickCheck::new().quickcheck(agree as fn(Vec<(u8, u8, u16)>) -> bool);
}

fn answer(account: Option<u32>, held_bytes: u64, bytes_per_s: u64) -> UnreadAnswer {
    UnreadAnswer {
        account,
        held_bytes,
        bytes_per_s,
        unread_ms: 500,
    }
}

#[test]
fn first_to_cut_one_account_holds_most() {
    let answers = [
        answer(MODEST, 4 * MB, 0),
        answer(GREEDY, 3 * MB, 1_000_000),
        answer(GREEDY, 2 * MB, 0),
    ];
    assert_eq!(first_to_abort(&answers), Some(2));
}

#[test]
fn first_to_cut_quick_reader_of_a_long_answer_is_spared() {
    let answers = [answer(None, 8 * MB, 20_000_000), answer(None, MB, 1_000)];
    assert_eq!(first_to_abort(&answers), Some(1));
}

#[test]
fn first_to_cut_same_pace_largest() {
    let answers = [answer(None, MB, 0), answer(None, 2 * MB, 0)];
    assert_eq!(first_to_abort(&answers), Some(1));
}

#[test]
fn first_to_cut_none_is_behind() {
    assert_eq!(first_to_abort(&[]), None);
}

/// The selected answers free the excess, if all answers together suffice, and no answer is selected
/// needlessly.
#[test]
fn to_cut_frees_what_is_asked() {
    fn frees(held: Vec<(u8, u16, u16)>, excess_bytes: u32) -> bool {
        let answers: Vec<UnreadAnswer> = held
            .iter()
            .map(|(account, bytes, pace)| {
                answer(
                    Some(u32::from(*account % 4)),
                    u64::from(*bytes) + 1,
                    u64::from(*pace),
                )
            })
            .collect();
        let all: u64 = answers.iter().map(|answer| answer.held_bytes).sum();
        let excess_bytes = u64::from(excess_bytes) % (2 * all + 1);
        let cut = to_cut(answers.clone(), excess_bytes);
        let freed: u64 = cut.iter().map(|index| answers[*index].held_bytes).sum();
        let last = cut.last().map_or(0, |index| answers[*index].held_bytes);
        let is_enough = freed >= excess_bytes.min(all);
        let is_tight = cut.is_empty() || freed - last < excess_bytes;
        let mut once = cut.clone();
        once.sort_unstable();
        once.dedup();
        is_enough && is_tight && once.len() == cut.len()
    }
    QuickCheck::new().quickcheck(frees as fn(Vec<(u8, u16, u16)>, u32) -> bool);
}

const READER: ReaderTerms = ReaderTerms {
    unread_limit_ms: 2_000,
    time_up_ms: 5_000,
};

fn taken(bytes: u64) -> Taken {
    let waits = false;
    Taken { bytes, waits }
}

#[test]
fn is_behind_reader_that_waits_for_more() {
    let mut tracker = ReadTracker::begin(0);
    let waits = true;
    tracker.look(Taken { bytes: 10, waits }, 1_000);
    tracker.look(Taken { bytes: 10, waits }, 60_000);
    assert!(!tracker.is_behind(60_000));
}

#[test]
fn is_behind_reader_that_takes_nothing() {
    let mut tracker = ReadTracker::begin(0);
    tracker.look(taken(10), 50);
    tracker.look(taken(10), 50 + BEHIND_AFTER_MS - 1);
    assert!(!tracker.is_behind(50 + BEHIND_AFTER_MS - 1));
    assert!(tracker.is_behind(50 + BEHIND_AFTER_MS));
}

#[test]
fn judge_nothing_read_for_as_long_as_the_route_allows() {
    let tracker = ReadTracker::begin(0);
    assert_eq!(tracker.judge(&READER, false, 1_999), None);
    assert_eq!(tracker.judge(&READER, false, 2_000), Some(CutCause::Unread));
}

/// The answer of a caller that reads 100 bytes per second is aborted exactly at the deadline.
#[test]
fn judge_slow_trickle_reader() {
    let mut tracker = ReadTracker::begin(0);
    let mut cut = None;
    for step in 1..600 {
        let now_ms: Millis = step * 100;
        tracker.look(taken(now_ms / 1_000 * 100), now_ms);
        cut = tracker.judge(&READER, false, now_ms);
        if cut.is_some() {
            assert_eq!(now_ms, READER.time_up_ms);
            break;
        }
    }
    assert_eq!(cut, Some(CutCause::TimeUp));
}

#[test]
fn judge_whole_answer_waits_for_its_caller_until_its_time() {
    let tracker = ReadTracker::begin(0);
    assert_eq!(tracker.judge(&READER, true, 4_999), None);
    assert_eq!(tracker.judge(&READER, true, 5_000), Some(CutCause::Unread));
}

#[test]
fn judge_whole_answer_is_delivered_late() {
    let mut tracker = ReadTracker::begin(0);
    for step in 1..=60 {
        let now_ms: Millis = step * 100;
        tracker.look(taken(now_ms), now_ms);
        assert_eq!(tracker.judge(&READER, true, now_ms), None);
    }
}

#[test]
fn judge_whole_answer_late_and_unread() {
    let mut tracker = ReadTracker::begin(0);
    tracker.look(taken(1), 5_000);
    assert_eq!(tracker.judge(&READER, true, 5_000), None);
    let end_ms = 5_000 + LATE_UNREAD_LIMIT_MS;
    assert_eq!(tracker.judge(&READER, true, end_ms), Some(CutCause::Unread));
}

#[test]
fn judge_whole_answer_trickled_for_too_long() {
    let mut tracker = ReadTracker::begin(0);
    let end_ms = READER.time_up_ms + MAX_LATE_MS;
    tracker.look(taken(1), end_ms - 1);
    assert_eq!(tracker.judge(&READER, true, end_ms - 1), None);
    tracker.look(taken(2), end_ms);
    assert_eq!(tracker.judge(&READER, true, end_ms), Some(CutCause::TimeUp));
}

/// The answer of a caller that never stops reading is aborted as well.
#[test]
fn is_overdue_steady_reader() {
    let mut tracker = ReadTracker::begin(0);
    let end_ms = READER.time_up_ms + MAX_LATE_MS;
    for now_ms in (0..end_ms).step_by(50) {
        tracker.look(taken(now_ms), now_ms);
        assert!(!tracker.is_behind(now_ms) && !tracker.is_overdue(&READER, now_ms));
    }
    assert!(tracker.is_overdue(&READER, end_ms));
}

fn route(kind: RouteKind) -> Route {
    Route {
        name: String::new(),
        host: String::new(),
        path_prefix: String::new(),
        kind,
        timeout_ms: 30_000,
        objective_ms: 800,
        objective_gap_ms: Some(300),
        priority: 1,
        targets: Vec::new(),
        most_attempts: 1,
        resumable: false,
        is_public: false,
    }
}

#[test]
fn unread_limit_stream_and_plain() {
    let stream = route(RouteKind::Streaming);
    assert_eq!(
        Some(unread_limit_ms(&stream)),
        stream.first_piece_timeout_ms()
    );
    assert_eq!(unread_limit_ms(&route(RouteKind::Safe)), 30_000);
}

#[test]
fn waiting_sum_over_boxes() {
    for boxes in [1, 8, 64, 195, 2_200] {
        let sum = waiting::bound_bytes(Some(boxes)) * boxes as u64;
        assert!(sum <= (64 * 1_048_576).max(boxes as u64 * 1_048_576));
    }
}

#[test]
fn waiting_one_long_request_passes() {
    assert!(waiting::takes_more(0, waiting::bound_bytes(Some(2_200))));
    let bound = waiting::bound_bytes(Some(1));
    assert!(!waiting::takes_more(bound, bound));
}
