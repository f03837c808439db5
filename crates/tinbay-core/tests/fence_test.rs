//! Tests of fencing tokens and of an engine's check of them.

use quickcheck::QuickCheck;
use tinbay_core::fence::{Fence, FenceGuard, FenceRefusal, MAX_SUCCESSION, Order};

fn order(epoch: u64, rank: u32, incarnation: u64) -> Order {
    Order {
        fence: Fence { epoch, rank },
        incarnation,
    }
}

#[test]
fn check_lower_epoch_is_stale() {
    let mut guard = FenceGuard::default();
    assert_eq!(guard.check(&order(5, 0, 1), 1), Ok(()));
    assert_eq!(guard.check(&order(4, 9, 1), 1), Err(FenceRefusal::Stale));
    assert_eq!(guard.check(&order(5, 0, 1), 1), Ok(()));
}

#[test]
fn check_next_in_succession_shuts_out_owner() {
    let mut guard = FenceGuard::default();
    assert_eq!(guard.check(&order(5, 0, 1), 1), Ok(()));
    assert_eq!(guard.check(&order(5, 1, 1), 1), Ok(()));
    assert_eq!(guard.check(&order(5, 0, 1), 1), Err(FenceRefusal::Stale));
}

#[test]
fn check_other_run_is_refused_and_not_kept() {
    let mut guard = FenceGuard::default();
    assert_eq!(
        guard.check(&order(9, 0, 1), 2),
        Err(FenceRefusal::Incarnation)
    );
    assert_eq!(guard.highest(), Fence::default());
}

#[test]
fn check_any_sequence_never_goes_back() {
    fn holds(orders: Vec<(u8, u8)>) -> bool {
        let mut guard = FenceGuard::default();
        let mut highest = Fence::default();
        orders.into_iter().all(|(epoch, rank)| {
            let order = order(u64::from(epoch), u32::from(rank), 1);
            let accepted = guard.check(&order, 1).is_ok();
            let expected = order.fence >= highest;
            highest = highest.max(order.fence);
            accepted == expected
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn parse_printed_order_round_trips() {
    fn holds(epoch: u64, rank: u32, incarnation: u64) -> bool {
        let order = order(epoch, rank, incarnation);
        order.to_string().parse() == Ok(order)
    }
    QuickCheck::new().quickcheck(holds as fn(u64, u32, u64) -> bool);
}

#[test]
fn above_a_later_epoch_is_none() {
    let seen = Fence { epoch: 3, rank: 0 };
    assert_eq!(Fence::above(seen, 2, 0), None);
}

#[test]
fn above_an_earlier_epoch_is_the_place() {
    let seen = Fence { epoch: 1, rank: 70 };
    let expected = Fence { epoch: 2, rank: 3 };
    assert_eq!(Fence::above(seen, 2, 3), Some(expected));
}

#[test]
fn above_gives_places_in_any_order_a_higher_rank_each() {
    let mut seen = Fence { epoch: 1, rank: 0 };
    for position in [2, 1, 0, 0, 63, 1] {
        let next = Fence::above(seen, 1, position).expect("position within the succession");
        assert!(next > seen, "{next:?} after {seen:?}");
        seen = next;
    }
}

#[test]
fn above_never_gives_two_places_one_fence() {
    fn holds(rank: u32, position: u8, other: u8) -> bool {
        let seen = Fence { epoch: 1, rank };
        let position = u32::from(position) % MAX_SUCCESSION;
        let other = u32::from(other) % MAX_SUCCESSION;
        let first = Fence::above(seen, 1, position);
        let second = Fence::above(seen, 1, other);
        position == other || first.is_none() || first != second
    }
    QuickCheck::new().quickcheck(holds as fn(u32, u8, u8) -> bool);
}
