//! Selection of the boxes that relay the store.

use quickcheck::QuickCheck;
use tinbay_core::serving::capacity::RankedBox;
use tinbay_core::serving::relays::{order_for, relays_of};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("box-{number}")).collect()
}

fn alike(names: &[String]) -> Vec<RankedBox<'_>> {
    let ranked = |id| RankedBox { id, capacity: 100 };
    names.iter().map(String::as_str).map(ranked).collect()
}

#[test]
fn relays_of_small_zone_is_one() {
    let names = names(3);
    assert_eq!(relays_of("z1", &alike(&names)).len(), 1);
    assert!(relays_of("z1", &[]).is_empty());
}

#[test]
fn relays_of_grow_with_the_zone() {
    let names = names(200);
    let relays = relays_of("z1", &alike(&names));
    assert_eq!(relays.len(), 4);
}

/// The relays do not depend on the order of the boxes, and do not change when a box that is not a
/// relay leaves.
#[test]
fn relays_of_same_for_every_box() {
    fn property(count: u8, leaving: u8) -> bool {
        let names = names(usize::from(count) + 2);
        let mut listed = alike(&names);
        let relays = relays_of("z1", &listed);
        listed.reverse();
        let is_same = relays_of("z1", &listed) == relays;
        let leaving = names[usize::from(leaving) % names.len()].as_str();
        listed.retain(|ranked| ranked.id != leaving);
        let after = relays_of("z1", &listed);
        let kept = |relay: &&str| *relay == leaving || after.contains(relay);
        is_same && (after.len() < relays.len() || relays.iter().all(kept))
    }
    QuickCheck::new().quickcheck(property as fn(u8, u8) -> bool);
}

/// A relay sends the store's changes to all boxes behind it, so it has to be a box with a strong
/// link while there is one.
#[test]
fn relays_of_strong_boxes_first() {
    let names = names(70);
    let mut boxes = alike(&names);
    for ranked in &mut boxes[..68] {
        ranked.capacity = 1;
    }
    let relays = relays_of("z1", &boxes);
    assert_eq!(relays.len(), 2);
    assert!(
        relays
            .iter()
            .all(|relay| ["box-68", "box-69"].contains(relay))
    );
    let left = &boxes[..69];
    let relays = relays_of("z1", left);
    assert_eq!(relays.first(), Some(&"box-68"));
    assert_eq!(relays.len(), 2);
}

#[test]
fn order_for_near_first_and_spread() {
    let near = ["near-1", "near-2", "near-3"];
    let far = ["far-1"];
    let names = names(40);
    let orders: Vec<Vec<&str>> = names
        .iter()
        .map(|name| order_for(name, &near, &far))
        .collect();
    assert!(orders.iter().all(|order| order.last() == Some(&"far-1")));
    for relay in near {
        assert!(orders.iter().any(|order| order.first() == Some(&relay)));
    }
}
