//! What servers announce about themselves in their answers.

use quickcheck::QuickCheck;
use tinbay_core::serving::notices::{Announced, AnswerNotice};

fn back_off(back_off_ms: u64) -> AnswerNotice {
    AnswerNotice {
        is_leaving: false,
        back_off_ms: Some(back_off_ms),
        ..AnswerNotice::default()
    }
}

#[test]
fn record_back_off_expires() {
    let mut announced = Announced::default();
    announced.record(back_off(3_000), 1_000);
    // The true time may be almost a millisecond ahead of the clock reading.
    assert_eq!(announced.back_off_until_ms(4_000), Some(4_001));
    assert_eq!(announced.back_off_until_ms(4_001), None);
}

/// Answers to requests sent before the back-off carry none; they must not end it.
#[test]
fn record_without_back_off_does_not_end_one() {
    let mut announced = Announced::default();
    announced.record(back_off(3_000), 0);
    announced.record(AnswerNotice::default(), 100);
    announced.record(back_off(0), 200);
    assert_eq!(announced.back_off_until_ms(2_999), Some(3_001));
}

#[test]
fn record_endless_back_off_does_not_overflow() {
    let mut announced = Announced::default();
    announced.record(back_off(u64::MAX), 5);
    assert_eq!(announced.back_off_until_ms(u64::MAX - 1), Some(u64::MAX));
}

/// Whatever answers arrive in whatever order, no answer withdraws what another one announced.
#[test]
fn record_any_answers_keeps_all_that_was_announced() {
    fn keeps(answers: Vec<(bool, Option<u16>, u8)>) -> bool {
        let mut announced = Announced::default();
        let mut now_ms = 0;
        let mut was_leaving = false;
        let mut until_ms = 0;
        answers.iter().all(|(is_leaving, back_off_ms, delay_ms)| {
            now_ms += u64::from(*delay_ms);
            was_leaving |= is_leaving;
            let back_off_until_ms =
                back_off_ms.map(|back_off_ms| now_ms + u64::from(back_off_ms) + 1);
            until_ms = until_ms.max(
                back_off_until_ms
                    .filter(|_| back_off_ms != &Some(0))
                    .unwrap_or(0),
            );
            let notice = AnswerNotice {
                is_leaving: *is_leaving,
                back_off_ms: back_off_ms.map(u64::from),
                ..AnswerNotice::default()
            };
            announced.record(notice, now_ms);
            let back_off_ends_ms = announced.back_off_until_ms(now_ms);
            announced.is_leaving() == was_leaving
                && back_off_ends_ms == Some(until_ms).filter(|until_ms| now_ms < *until_ms)
        })
    }
    QuickCheck::new().quickcheck(keeps as fn(Vec<(bool, Option<u16>, u8)>) -> bool);
}
