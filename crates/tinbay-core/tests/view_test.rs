//! Tests of the view of other boxes and of the roles that follow from it.

use quickcheck::QuickCheck;
use tinbay_core::ids::{BoxId, EngineId, ZoneId};
use tinbay_core::rendezvous;
use tinbay_core::view::{
    BoxRecord, BoxState, HEARTBEAT_MS, SUCCESSION_LENGTH, View, dead_after_ms, heartbeat_period_ms,
};

fn record(number: usize, zone: &str, state: BoxState) -> BoxRecord {
    BoxRecord {
        id: BoxId::new(format!("box-{number}")),
        zone: ZoneId::new(zone),
        region: "main".to_owned(),
        address: format!("10.0.0.{number}:80"),
        control_address: format!("10.0.0.{number}:81"),
        incarnation: 1,
        state,
    }
}

fn view(boxes: usize) -> View {
    let mut view = View::default();
    for number in 0..boxes {
        let zone = ["a", "b", "c"][number % 3];
        view.merge(record(number, zone, BoxState::Live));
    }
    view
}

#[test]
fn merge_older_record_changes_nothing() {
    let mut view = view(1);
    view.mark_leaving(&BoxId::new("box-0"));
    assert!(
        !view.merge(record(0, "a", BoxState::Live)),
        "a leaving run does not become live again"
    );
    let mut restarted = record(0, "a", BoxState::Live);
    restarted.incarnation = 2;
    assert!(view.merge(restarted), "a later run does");
}

// Guards against expecting a restarted box to own its engines before it can take them over.
#[test]
fn succession_leaves_out_a_box_that_starts() {
    let mut view = view(3);
    let mut started = record(1, "b", BoxState::Starting);
    started.incarnation = 2;
    assert!(
        view.merge(started.clone()),
        "a later run replaces the known one"
    );
    let engine = EngineId::new("engine-1");
    let owner = |view: &View| {
        let succession = view.succession(&engine, &ZoneId::new("b"), "main");
        succession.first().map(|record| record.id.clone())
    };
    assert_ne!(owner(&view), Some(started.id.clone()));
    started.state = BoxState::Live;
    assert!(view.merge(started.clone()));
    assert_eq!(owner(&view), Some(started.id.clone()));
    let stale = record(1, "b", BoxState::Starting);
    assert!(!view.merge(BoxRecord {
        incarnation: 2,
        ..stale
    }));
    assert!(view.mark_leaving(&started.id));
    assert_ne!(owner(&view), Some(started.id));
}

// Guards against a former owner taking an engine back because its view still lists the new owner as
// starting.
#[test]
fn mark_live_takes_the_run_that_owns_an_engine() {
    let mut view = View::default();
    let starting = record(0, "a", BoxState::Starting);
    view.merge(starting.clone());
    assert!(!view.mark_live(&starting.id, 2), "another run of the box");
    assert!(view.mark_live(&starting.id, 1));
    assert_eq!(view.live("main").count(), 1);
    view.mark_leaving(&starting.id);
    assert!(
        !view.mark_live(&starting.id, 1),
        "a leaving run does not become live again"
    );
}

// Guards against a restarted box that joins as if it were alone: it knows the others by their
// heartbeats and so does not ask them for their views.
#[test]
fn is_unmet_box_known_by_its_heartbeat_until_joined() {
    let view = view(2);
    let known = BoxId::new("box-1");
    assert!(view.is_unmet(&known, false));
    assert!(!view.is_unmet(&known, true));
    assert!(view.is_unmet(&BoxId::new("box-9"), true));
}

// Guards against two boxes of a zone that start at the same time, consider each other as starting,
// and finally declare each other dead.
#[test]
fn is_unmet_box_known_as_starting() {
    let mut view = view(1);
    let id = BoxId::new("box-3");
    view.merge(record(3, "a", BoxState::Starting));
    assert!(view.is_unmet(&id, true));
    view.merge(record(3, "a", BoxState::Live));
    assert!(!view.is_unmet(&id, true));
}

#[test]
fn succession_prefers_the_engine_zone() {
    let view = view(9);
    let succession = view.succession(&EngineId::new("engine-1"), &ZoneId::new("b"), "main");
    assert_eq!(succession.len(), SUCCESSION_LENGTH);
    assert!(
        succession
            .iter()
            .all(|record| record.zone == ZoneId::new("b"))
    );
}

#[test]
fn succession_falls_back_to_the_region() {
    let view = view(3);
    let succession = view.succession(&EngineId::new("engine-1"), &ZoneId::new("b"), "main");
    assert_eq!(succession[0].zone, ZoneId::new("b"));
    assert_eq!(succession.len(), 3);
}

#[test]
fn succession_leaves_out_leaving_boxes() {
    let mut view = view(3);
    view.mark_leaving(&BoxId::new("box-1"));
    let succession = view.succession(&EngineId::new("engine-1"), &ZoneId::new("b"), "main");
    assert!(
        succession
            .iter()
            .all(|record| record.id != BoxId::new("box-1"))
    );
}

#[test]
fn keepers_of_a_leaving_zone_stay() {
    let mut view = view(3);
    view.mark_leaving(&BoxId::new("box-0"));
    assert_eq!(view.keepers(&ZoneId::new("a")).len(), 1);
}

#[test]
fn heartbeat_period_keeps_a_keeper_level() {
    assert_eq!(heartbeat_period_ms(0), HEARTBEAT_MS);
    assert_eq!(heartbeat_period_ms(36), HEARTBEAT_MS);
    for boxes in [36, 72, 200, 400] {
        let per_second = boxes as f64 * 1_000.0 / heartbeat_period_ms(boxes) as f64;
        assert!(
            per_second <= 72.0,
            "{boxes} boxes send {per_second} a second"
        );
    }
    assert_eq!(heartbeat_period_ms(200), 3_000);
    assert_eq!(dead_after_ms(200, 3_000), 9_000);
    assert_eq!(dead_after_ms(3, 3_000), 3_000);
}

#[test]
fn rank_moves_few_on_a_change() {
    // If one of 20 nodes is removed, only its keys move.
    let nodes: Vec<String> = (0..20).map(|number| format!("node-{number}")).collect();
    let mut moved = 0;
    for key in 0..1_000 {
        let key = format!("key-{key}");
        let before = rendezvous::pick(&key, nodes.iter().map(String::as_str));
        let after = rendezvous::pick(&key, nodes[1..].iter().map(String::as_str));
        if before != after {
            assert_eq!(before, Some("node-0"));
            moved += 1;
        }
    }
    assert!((20..=90).contains(&moved), "about one in 20, found {moved}");
}

#[test]
fn rank_begins_with_the_pick() {
    fn holds(key: String, nodes: Vec<String>, count: usize) -> bool {
        let count = count % 8 + 1;
        let ranked = rendezvous::rank(&key, nodes.iter().map(String::as_str), count);
        let picked = rendezvous::pick(&key, nodes.iter().map(String::as_str));
        ranked.first().copied() == picked && ranked.len() == count.min(nodes.len())
    }
    QuickCheck::new().quickcheck(holds as fn(String, Vec<String>, usize) -> bool);
}
