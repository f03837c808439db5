//! Servers and their incarnations, as a box keeps them.

use quickcheck::QuickCheck;
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::servers::{ServerRecord, ServerState};
use tinbay_gateway::clock::Clock;
use tinbay_gateway::servers::{Server, ServerChange, ServerTable};

fn record(born_ms: Option<u64>, port: u16) -> ServerRecord {
    ServerRecord {
        id: "i-1".to_string(),
        born_ms,
        service: "engine".to_string(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "z1".to_string(),
        slots: 8,
        state: ServerState::Ready,
        remaining_ms: None,
        slow_for_ms: 0,
        order_count: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    }
}

#[test]
fn put_restart_is_another_server() {
    let mut table = ServerTable::new(Clock::start());
    assert_eq!(table.put(record(Some(5), 1)), ServerChange::Arrived);
    let first = table.get("i-1").expect("it is there");
    assert_eq!(table.put(record(Some(6), 1)), ServerChange::Restarted);
    let next = table.get("i-1").expect("it is there");
    assert_ne!(first.key, next.key);
    assert!(table.by_key(first.key).is_none());
    assert!(table.by_fingerprint(first.fingerprint()).is_none());
    assert!(table.by_fingerprint(next.fingerprint()).is_some());
}

#[test]
fn put_another_address_is_another_server() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    assert_eq!(table.put(record(Some(5), 2)), ServerChange::Restarted);
    let server = table.get("i-1").expect("it is there");
    assert_eq!(server.address_text, "127.0.0.1:2");
}

#[test]
fn put_without_a_start_changes_no_incarnation() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    let leaving = ServerRecord {
        state: ServerState::Draining,
        ..record(None, 1)
    };
    assert_eq!(table.put(leaving), ServerChange::StateChanged);
    assert_eq!(table.put(record(Some(4), 1)), ServerChange::Same);
    assert_eq!(table.put(record(Some(6), 1)), ServerChange::Restarted);
}

/// In whatever order entries come, the newest incarnation stands, and no key of an older one leads
/// anywhere.
#[test]
fn put_in_any_order_keeps_the_newest() {
    fn keeps(births: Vec<u8>) -> bool {
        let mut table = ServerTable::new(Clock::start());
        let mut keys = Vec::new();
        for born in &births {
            table.put(record(Some(u64::from(*born)), 1));
            keys.extend(table.get("i-1").map(|server| server.key));
        }
        let Some(newest) = births.iter().max() else {
            return table.is_empty();
        };
        let server = table.get("i-1").expect("it is there");
        let known = keys.iter().filter(|key| table.by_key(**key).is_some());
        server.record().born_ms == Some(u64::from(*newest))
            && known.into_iter().all(|key| *key == server.key)
            && table.len() == 1
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(keeps as fn(Vec<u8>) -> bool);
}

/// An entry that says `ready` comes after one that says `draining`, from a listing through a box that
/// was behind, or after the entry was gone for a while: the incarnation leaves all the same. Its state
/// was that of the entry seen last.
#[test]
fn put_leaving_is_final_for_an_incarnation() {
    let leaving = ServerRecord {
        state: ServerState::Draining,
        ..record(Some(5), 1)
    };
    let mut table = ServerTable::new(Clock::start());
    table.put(leaving);
    assert_eq!(table.put(record(Some(5), 1)), ServerChange::Same);
    assert!(table.ready("engine").is_empty(), "an older entry came late");
    table.remove("i-1");
    table.put(record(Some(5), 1));
    assert!(table.ready("engine").is_empty(), "its entry came back");
    table.put(record(Some(6), 1));
    assert_eq!(table.ready("engine").len(), 1, "it has started again");
}

/// A server that says that it leaves and wants rest, noted on what a request under way holds.
fn say_all(server: &Server) {
    let notice = AnswerNotice {
        is_leaving: true,
        rest_ms: Some(60_000),
        limit: None,
    };
    server.note_said(notice, 1);
}

#[test]
fn said_outlasts_an_entry_that_goes_and_comes_back() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(None, 1));
    let server = table.get("i-1").expect("it is there");
    table.remove("i-1");
    say_all(&server);
    table.put(record(None, 1));
    let again = table.get("i-1").expect("it is there again");
    assert!(again.is_leaving());
    assert!(again.rest_until_ms(2).is_some());
    table.remove("i-1");
    table.put(record(Some(5), 1));
    assert!(
        table.ready("engine").is_empty(),
        "nothing says that it started"
    );
}

#[test]
fn said_does_not_bind_a_later_incarnation() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    let server = table.get("i-1").expect("it is there");
    say_all(&server);
    assert!(table.ready("engine").is_empty());
    assert_eq!(table.put(record(Some(6), 1)), ServerChange::Restarted);
    assert_eq!(table.ready("engine").len(), 1);
    say_all(&server);
    assert_eq!(
        table.ready("engine").len(),
        1,
        "a late word of the earlier one"
    );
}

/// Entries of an incarnation come back after those of the next one have gone: it has ended.
#[test]
fn put_earlier_incarnation_takes_no_work() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(6), 1));
    table.remove("i-1");
    table.put(record(Some(5), 1));
    assert!(table.ready("engine").is_empty());
    table.put(record(Some(6), 1));
    assert_eq!(table.ready("engine").len(), 1);
}

#[test]
fn ready_leaves_out_who_rests_until_the_end() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    let server = table.get("i-1").expect("it is there");
    let notice = AnswerNotice {
        is_leaving: false,
        rest_ms: Some(60_000),
        limit: None,
    };
    server.note_said(notice, 1);
    assert!(table.ready("engine").is_empty());
    let end_ms = table.first_rest_end_ms("engine");
    assert_eq!(end_ms, server.rest_until_ms(1));
    assert!(server.takes_work(end_ms.expect("it rests")));
    assert_eq!(table.first_rest_end_ms("plain"), None);
}
