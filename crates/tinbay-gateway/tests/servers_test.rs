//! The table of backend servers and their incarnations.

use std::rc::Rc;

use quickcheck::QuickCheck;
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::servers::{Report, ServerRecord, ServerState, SoftwareVersion};
use tinbay_gateway::clock::Clock;
use tinbay_gateway::servers::{Server, ServerChange, ServerTable};

fn record(born_ms: Option<u64>, port: u16) -> ServerRecord {
    ServerRecord {
        id: "i-1".to_string(),
        born_ms,
        service: "engine".to_string(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "z1".to_string(),
        software_version: SoftwareVersion::named("v1"),
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
    let first = table.get("i-1").expect("server i-1 is listed");
    assert_eq!(table.put(record(Some(6), 1)), ServerChange::Restarted);
    let next = table.get("i-1").expect("server i-1 is listed");
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
    let server = table.get("i-1").expect("server i-1 is listed");
    assert_eq!(server.address_text, "127.0.0.1:2");
}

#[test]
fn put_without_start_time_keeps_incarnation() {
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

/// The software of an incarnation never changes, so what the former one holds or runs is gone.
#[test]
fn put_other_software_version_is_a_restart() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(None, 1));
    let before = table.get("i-1").expect("server i-1 is listed");
    let upgraded = ServerRecord {
        software_version: SoftwareVersion::named("v2"),
        ..record(None, 1)
    };
    assert_eq!(table.put(upgraded), ServerChange::Restarted);
    let after = table.get("i-1").expect("server i-1 is listed");
    assert!(!Rc::ptr_eq(&before, &after));
}

/// The former life of a server tells nothing about the software of a restarted one.
#[test]
fn restarted_record_has_a_version_of_its_own_until_its_entry_is_read() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    let known = table.get("i-1").expect("server i-1 is listed").record();
    let report = |born_ms| Report {
        born_ms: Some(born_ms),
        ..Report::default()
    };
    let restarted = known.restarted(report(6));
    let again = known.restarted(report(7));
    assert_ne!(restarted.software_version, known.software_version);
    assert_ne!(restarted.software_version, again.software_version);
    assert_eq!(table.put(restarted), ServerChange::Restarted);
    // The entry names the version of this incarnation, which is no other one.
    let before = table.get("i-1").expect("server i-1 is listed");
    assert_eq!(table.put(record(Some(6), 1)), ServerChange::Same);
    let after = table.get("i-1").expect("server i-1 is listed");
    assert!(Rc::ptr_eq(&before, &after));
    assert_eq!(after.record().software_version, known.software_version);
}

/// Whatever the order of entries, the latest incarnation stays and keys of earlier ones find
/// nothing.
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
        let server = table.get("i-1").expect("server i-1 is listed");
        let known = keys.iter().filter(|key| table.by_key(**key).is_some());
        server.record().born_ms == Some(u64::from(*newest))
            && known.into_iter().all(|key| *key == server.key)
            && table.len() == 1
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(keeps as fn(Vec<u8>) -> bool);
}

/// Leaving is final for an incarnation. An entry that says `ready` can arrive after one that says
/// `draining`: from a listing by a box that was behind, or when an entry reappears. If the last
/// entry counted, a leaving server would get requests again.
#[test]
fn put_leaving_is_final() {
    let leaving = ServerRecord {
        state: ServerState::Draining,
        ..record(Some(5), 1)
    };
    let mut table = ServerTable::new(Clock::start());
    table.put(leaving);
    assert_eq!(table.put(record(Some(5), 1)), ServerChange::Same);
    assert!(
        table.ready("engine").is_empty(),
        "an older entry arrived late"
    );
    table.remove("i-1");
    table.put(record(Some(5), 1));
    assert!(table.ready("engine").is_empty(), "its entry reappeared");
    table.put(record(Some(6), 1));
    assert_eq!(table.ready("engine").len(), 1, "it restarted");
}

/// Applies a notice of leaving and of a back-off, as the answer to a request in progress does.
fn announce_leaving_and_back_off(server: &Server) {
    let notice = AnswerNotice {
        is_leaving: true,
        back_off_ms: Some(60_000),
        limit: None,
    };
    server.apply_notice(notice, 1);
}

#[test]
fn notices_stay_in_force_after_entry_expired() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(None, 1));
    let server = table.get("i-1").expect("server i-1 is listed");
    table.remove("i-1");
    announce_leaving_and_back_off(&server);
    table.put(record(None, 1));
    let again = table.get("i-1").expect("server i-1 is listed again");
    assert!(again.is_leaving());
    assert!(again.back_off_until_ms(2).is_some());
    table.remove("i-1");
    table.put(record(Some(5), 1));
    assert!(
        table.ready("engine").is_empty(),
        "no earlier start time, so no sign of a restart"
    );
}

#[test]
fn notices_do_not_apply_to_a_later_incarnation() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    let server = table.get("i-1").expect("server i-1 is listed");
    announce_leaving_and_back_off(&server);
    assert!(table.ready("engine").is_empty());
    assert_eq!(table.put(record(Some(6), 1)), ServerChange::Restarted);
    assert_eq!(table.ready("engine").len(), 1);
    announce_leaving_and_back_off(&server);
    assert_eq!(
        table.ready("engine").len(),
        1,
        "a late notice of the earlier incarnation"
    );
}

/// An entry of an incarnation can reappear after those of the next one are gone. That incarnation
/// has ended and must get no requests.
#[test]
fn put_earlier_incarnation_accepts_no_requests() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(6), 1));
    table.remove("i-1");
    table.put(record(Some(5), 1));
    assert!(table.ready("engine").is_empty());
    table.put(record(Some(6), 1));
    assert_eq!(table.ready("engine").len(), 1);
}

#[test]
fn ready_excludes_server_until_its_back_off_ends() {
    let mut table = ServerTable::new(Clock::start());
    table.put(record(Some(5), 1));
    let server = table.get("i-1").expect("server i-1 is listed");
    let notice = AnswerNotice {
        is_leaving: false,
        back_off_ms: Some(60_000),
        limit: None,
    };
    server.apply_notice(notice, 1);
    assert!(table.ready("engine").is_empty());
    let end_ms = table.first_available_ms("engine");
    assert_eq!(end_ms, server.back_off_until_ms(1));
    assert!(server.takes_work(end_ms.expect("the server is in a back-off")));
    assert_eq!(table.first_available_ms("plain"), None);
}
