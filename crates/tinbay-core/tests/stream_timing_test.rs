//! Timing of streams, and their classification as on time or late.

use quickcheck::QuickCheck;
use tinbay_core::serving::configuration::{Route, RouteKind};
use tinbay_core::serving::lateness::{AnswerObjective, AnswerTimes, Lateness, ObjectivePart};
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::units::Millis;

const STREAM: AnswerObjective = AnswerObjective {
    within_ms: Some(800),
    counts_to: ObjectivePart::FirstPiece,
    pause_ms: Some(300),
};

const PLAIN: AnswerObjective = AnswerObjective {
    within_ms: Some(150),
    counts_to: ObjectivePart::End,
    pause_ms: None,
};

fn times(first_piece_ms: Millis, longest_pause_ms: Millis, end_ms: Millis) -> AnswerTimes {
    AnswerTimes {
        first_piece_ms: Some(first_piece_ms),
        longest_pause_ms,
        end_ms,
    }
}

fn sight_of(pieces_ms: &[Millis]) -> StreamTiming {
    let mut sight = StreamTiming::default();
    for piece_ms in pieces_ms {
        sight.record_piece(*piece_ms);
    }
    sight
}

fn route(kind: RouteKind, objective_gap_ms: Option<Millis>) -> Route {
    Route {
        name: "route".to_string(),
        host: "host".to_string(),
        path_prefix: "/".to_string(),
        kind,
        timeout_ms: 5_000,
        objective_ms: 800,
        objective_gap_ms,
        priority: 0,
        targets: Vec::new(),
        most_attempts: 1,
        resumable: false,
        is_public: true,
    }
}

#[test]
fn judge_each_class_of_streams() {
    let cases = [
        (times(800, 300, 9_000), Lateness::InTime),
        (times(801, 300, 9_000), Lateness::FirstPiece),
        (times(800, 301, 9_000), Lateness::Pause),
        (times(801, 301, 9_000), Lateness::FirstPieceAndPause),
        (times(0, 0, 0), Lateness::InTime),
    ];
    for (times, lateness) in cases {
        assert_eq!(Lateness::judge(&times, &STREAM), lateness, "{times:?}");
    }
}

#[test]
fn judge_each_class_of_plain_answers() {
    let cases = [
        (times(100, 5_000, 150), Lateness::InTime),
        (times(100, 0, 151), Lateness::End),
        (times(151, 0, 151), Lateness::FirstPiece),
    ];
    for (times, lateness) in cases {
        assert_eq!(Lateness::judge(&times, &PLAIN), lateness, "{times:?}");
    }
}

#[test]
fn judge_no_body_counts_to_its_end() {
    let empty = |end_ms| AnswerTimes {
        first_piece_ms: None,
        longest_pause_ms: 0,
        end_ms,
    };
    assert_eq!(Lateness::judge(&empty(150), &PLAIN), Lateness::InTime);
    assert_eq!(Lateness::judge(&empty(151), &PLAIN), Lateness::FirstPiece);
    assert_eq!(Lateness::judge(&empty(801), &STREAM), Lateness::FirstPiece);
}

#[test]
fn judge_stream_without_pause_objective_allows_any() {
    let objective = AnswerObjective {
        pause_ms: None,
        ..STREAM
    };
    let lateness = Lateness::judge(&times(1, 60_000, 60_001), &objective);
    assert_eq!(lateness, Lateness::InTime);
}

#[test]
fn objective_of_stream_counts_to_first_piece() {
    let objective = AnswerObjective::of_route(&route(RouteKind::Streaming, Some(300)));
    assert_eq!(objective, STREAM);
}

#[test]
fn objective_of_plain_route_has_no_pause() {
    for kind in [RouteKind::Safe, RouteKind::Unsafe] {
        let objective = AnswerObjective::of_route(&route(kind, Some(300)));
        assert_eq!(objective.counts_to, ObjectivePart::End);
        assert_eq!(objective.pause_ms, None);
    }
}

#[test]
fn objective_of_zero_is_none() {
    let route = Route {
        objective_ms: 0,
        ..route(RouteKind::Streaming, Some(0))
    };
    let objective = AnswerObjective::of_route(&route);
    assert_eq!(objective.within_ms, None);
    assert_eq!(objective.pause_ms, None);
    let slow = times(60_000, 60_000, 120_000);
    assert_eq!(Lateness::judge(&slow, &objective), Lateness::InTime);
}

#[test]
fn name_each_is_read_back() {
    for lateness in Lateness::ALL {
        assert_eq!(Lateness::from_name(lateness.name()), Some(lateness));
    }
    assert_eq!(Lateness::from_name("late"), None);
}

#[test]
fn times_are_counted_from_arrival() {
    let sight = sight_of(&[1_200, 1_250, 1_700]);
    let times = AnswerTimes::from_timing(&sight, 1_000, 1_800);
    assert_eq!(times.first_piece_ms, Some(200));
    assert_eq!(times.longest_pause_ms, 450);
    assert_eq!(times.end_ms, 800);
}

#[test]
fn pause_longest_first_of_equals_is_named() {
    let sight = sight_of(&[10, 110, 120, 220]);
    assert_eq!(sight.longest_pause_ms(), 100);
    assert_eq!(sight.longest_pause_at(), 1);
    assert_eq!(sight.pauses_ms(), 210);
}

#[test]
fn pause_allowed_is_not_long() {
    let sight = sight_of(&[0, 300]);
    assert!(!sight.has_long_pause(Some(300)));
    assert!(sight.has_long_pause(Some(299)));
    assert!(!sight.has_long_pause(None));
}

#[test]
fn pause_before_first_piece_is_none() {
    let sight = sight_of(&[5_000]);
    assert_eq!(sight.longest_pause_ms(), 0);
    assert_eq!(sight.first_ms(), Some(5_000));
}

#[test]
fn pause_is_the_largest_gap() {
    fn property(gaps_ms: Vec<u16>, start_ms: u32) -> bool {
        let mut now_ms = Millis::from(start_ms);
        let mut sight = sight_of(&[now_ms]);
        for gap_ms in &gaps_ms {
            now_ms += Millis::from(*gap_ms);
            sight.record_piece(now_ms);
        }
        let largest_ms = gaps_ms.iter().copied().max().unwrap_or_default();
        let sum_ms: Millis = gaps_ms.iter().copied().map(Millis::from).sum();
        sight.longest_pause_ms() == Millis::from(largest_ms) && sight.pauses_ms() == sum_ms
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u16>, u32) -> bool);
}

/// A clock that appears to run backwards produces no pause.
#[test]
fn pause_backward_clock_is_none() {
    let sight = sight_of(&[1_000, 900, 950]);
    assert_eq!(sight.longest_pause_ms(), 50);
}

#[test]
fn untaken_caller_reads_at_once_is_none() {
    let mut sight = StreamTiming::default();
    sight.record_read_start(0);
    for now_ms in [100, 500] {
        sight.record_piece(now_ms);
        sight.record_read_start(now_ms);
    }
    assert_eq!(sight.longest_pause_ms(), 400);
    assert_eq!(sight.longest_pause_untaken_ms(), 0);
    assert_eq!(sight.untaken_ms(900), 0);
}

#[test]
fn untaken_caller_reads_late_is_its_part_of_the_pause() {
    let mut sight = sight_of(&[100]);
    sight.record_read_start(400);
    sight.record_read_start(450);
    sight.record_piece(500);
    sight.record_read_start(500);
    assert_eq!(sight.longest_pause_ms(), 400);
    assert_eq!(sight.longest_pause_untaken_ms(), 300);
    assert_eq!(sight.untaken_ms(10_000), 300);
}

#[test]
fn untaken_caller_never_asks_again_counts_to_the_end() {
    let sight = sight_of(&[100, 100]);
    assert_eq!(sight.untaken_ms(2_100), 2_000);
    assert_eq!(sight.silence_ms(2_100), Some(2_000));
}

#[test]
fn untaken_before_first_piece_is_none() {
    let sight = StreamTiming::default();
    assert_eq!(sight.untaken_ms(5_000), 0);
    assert_eq!(sight.silence_ms(5_000), None);
}

/// The time in which the caller's side did not read is part of the pauses, whenever it asks.
#[test]
fn untaken_never_exceeds_pauses() {
    fn property(steps: Vec<(u16, bool)>) -> bool {
        let mut now_ms = 0;
        let mut sight = sight_of(&[0]);
        for (gap_ms, has_piece) in steps {
            now_ms += Millis::from(gap_ms);
            sight.record_read_start(now_ms);
            if has_piece {
                sight.record_piece(now_ms);
            }
        }
        sight.longest_pause_untaken_ms() <= sight.longest_pause_ms()
            && sight.untaken_ms(now_ms) <= now_ms
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u16, bool)>) -> bool);
}
