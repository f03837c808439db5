//! Tests of the assembly of streamed answers.

use quickcheck::QuickCheck;
use tinbay_core::assemble::{AssembleError, Assembler, Chunk, Taken};
use tinbay_core::ids::ModelRef;

fn chunk(attempt: u32, position: u64, last: bool) -> Chunk {
    Chunk {
        request: "request".to_owned(),
        attempt,
        model: ModelRef::new("adapter", "v1"),
        position,
        text: position.to_string(),
        last,
    }
}

fn assembler() -> Assembler {
    let mut assembler = Assembler::new("request", ModelRef::new("adapter", "v1"), 0);
    assembler.start_attempt(1);
    assembler
}

#[test]
fn take_in_order_completes() {
    let mut assembler = assembler();
    assert_eq!(assembler.take(&chunk(1, 0, false)), Ok(Taken::Passed));
    assert_eq!(assembler.take(&chunk(1, 1, true)), Ok(Taken::Completed));
    assert!(assembler.is_complete());
}

#[test]
fn take_repeated_chunk_is_dropped() {
    let mut assembler = assembler();
    assert_eq!(assembler.take(&chunk(1, 0, false)), Ok(Taken::Passed));
    assert_eq!(assembler.take(&chunk(1, 0, false)), Ok(Taken::Dropped));
}

#[test]
fn take_of_abandoned_attempt_is_dropped() {
    let mut assembler = assembler();
    assembler.start_attempt(2);
    assert_eq!(assembler.take(&chunk(1, 0, true)), Ok(Taken::Dropped));
    assert!(!assembler.is_complete());
}

#[test]
fn take_gap_is_an_error() {
    let gap = AssembleError::Gap {
        wanted: 0,
        found: 1,
    };
    assert_eq!(assembler().take(&chunk(1, 1, false)), Err(gap));
}

#[test]
fn take_other_model_or_request_is_an_error() {
    let mut other_model = chunk(1, 0, false);
    other_model.model = ModelRef::new("adapter", "v2");
    assert!(matches!(
        assembler().take(&other_model),
        Err(AssembleError::OtherModel { .. })
    ));
    let mut other_request = chunk(1, 0, false);
    other_request.request = "another".to_owned();
    assert!(matches!(
        assembler().take(&other_request),
        Err(AssembleError::OtherRequest(_))
    ));
}

#[test]
fn take_any_arrival_passes_each_position_once_in_order() {
    // For late, repeated and abandoned chunks in any order, the positions passed on are 0, 1, 2,
    // ...
    fn holds(arrivals: Vec<(u8, u8)>) -> bool {
        let mut assembler = assembler();
        let mut passed = Vec::new();
        for (attempt, position) in arrivals {
            let chunk = chunk(u32::from(attempt % 3), u64::from(position % 8), false);
            if assembler.take(&chunk) == Ok(Taken::Passed) {
                passed.push(chunk.position);
            }
        }
        let expected: Vec<u64> = (0..passed.len() as u64).collect();
        passed == expected
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
