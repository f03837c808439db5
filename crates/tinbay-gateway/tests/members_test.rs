//! Which boxes count as up, by the messages and zone reports received.

use tinbay_core::units::Millis;
use tinbay_gateway::members::{MemberRecord, Members, box_fingerprint, zone_fingerprint};

fn record(zone: &str) -> MemberRecord {
    let address = "127.0.0.1:1".parse().expect("an address");
    MemberRecord {
        front: address,
        peer: address,
        control: address,
        zone: zone.to_string(),
        is_leaving: false,
        capacity: 1,
    }
}

/// Members as known to a box of zone z1: `near-1` and `near-2` of its own zone and two of zone z2,
/// all listed at 0.
fn members() -> Members {
    let mut members = Members::new("z1");
    for id in ["near-1", "near-2"] {
        members.put(id, record("z1"), 0);
    }
    for id in ["far-1", "far-2"] {
        members.put(id, record("z2"), 0);
    }
    members
}

fn is_up(members: &Members, id: &str, now_ms: Millis) -> bool {
    members.get(id).expect("a known box").is_up(now_ms)
}

/// Records contact twice a second from `from_ms` to `to_ms`.
fn keep_in_touch(members: &mut Members, from_ms: Millis, to_ms: Millis) {
    for now_ms in (from_ms..=to_ms).step_by(500) {
        members.record_contact(now_ms);
    }
}

#[test]
fn note_zone_report_box_of_other_zone_is_not_up() {
    let mut members = members();
    let silent = [box_fingerprint("far-2")];
    assert!(members.record_zone_report("far-1", &silent, 5_000));
    assert!(!members.record_zone_report("far-1", &silent, 5_500));
    assert!(!is_up(&members, "far-2", 5_500));
    assert!(is_up(&members, "far-1", 5_500));
    assert_eq!(members.silent_in_other_zones(5_700), vec![(silent[0], 200)]);
}

#[test]
fn note_zone_report_ends_with_the_next_that_does_not_name_it() {
    let mut members = members();
    members.record_zone_report("far-1", &[box_fingerprint("far-2")], 5_000);
    members.record_zone_report("far-1", &[], 5_500);
    assert!(is_up(&members, "far-2", 5_500));
}

/// A report that is not repeated expires, so a box whose zone is cut off from this one counts as up
/// again.
#[test]
fn note_zone_report_expires() {
    let mut members = members();
    members.record_zone_report("far-1", &[box_fingerprint("far-2")], 5_000);
    assert!(!is_up(&members, "far-2", 7_400));
    assert!(is_up(&members, "far-2", 7_500));
    assert!(members.silent_in_other_zones(7_500).is_empty());
}

#[test]
fn put_entry_ends_the_silence_report() {
    let mut members = members();
    members.record_zone_report("far-1", &[box_fingerprint("far-2")], 5_000);
    members.put("far-2", record("z2"), 5_100);
    assert!(is_up(&members, "far-2", 5_100));
}

/// Reports about a box of this box's own zone are ignored.
#[test]
fn note_silent_own_zone_is_ignored() {
    let mut members = members();
    assert!(!members.record_silence_report(box_fingerprint("near-1"), 5_000));
    assert!(is_up(&members, "near-1", 5_000));
}

#[test]
fn silent_near_lists_boxes_not_heard() {
    let mut members = members();
    keep_in_touch(&mut members, 0, 6_000);
    members.record_heard("near-1", 5_500);
    members.record_heard("near-2", 3_000);
    assert_eq!(
        members.silent_in_own_zone("own", 6_000),
        vec![box_fingerprint("near-2")]
    );
}

/// A box that was itself frozen or cut off has heard no other box for long, and reports none of
/// them as silent.
#[test]
fn silent_near_is_empty_after_own_gap() {
    let mut members = members();
    keep_in_touch(&mut members, 0, 3_000);
    members.record_heard("near-1", 7_900);
    members.record_contact(8_000);
    assert!(members.silent_in_own_zone("own", 8_000).is_empty());
    keep_in_touch(&mut members, 8_000, 10_500);
    members.record_heard("near-1", 10_500);
    assert_eq!(
        members.silent_in_own_zone("own", 10_500),
        vec![box_fingerprint("near-2")]
    );
}

/// A box that misses most of its zone is probably cut off itself, and reports none as silent.
#[test]
fn silent_near_is_empty_where_most_are_missed() {
    let mut members = members();
    keep_in_touch(&mut members, 0, 6_000);
    assert!(members.silent_in_own_zone("own", 6_000).is_empty());
}

/// A box is listed in its own table but never hears itself, so it could report itself as silent.
/// In a fleet of one-box zones each box would then count all others as down, and a limit over all
/// boxes would be divided among too few of them.
#[test]
fn silent_near_never_names_the_box_itself() {
    let mut members = Members::new("z1");
    members.put("own", record("z1"), 0);
    keep_in_touch(&mut members, 0, 6_000);
    assert!(members.silent_in_own_zone("own", 6_000).is_empty());
}

/// In a zone of one box, no other box can report that it is down.
#[test]
fn judge_zone_reporters_last_reporter_of_a_silent_zone() {
    let mut members = members();
    members.record_zone_report("far-1", &[], 1_000);
    keep_in_touch(&mut members, 0, 4_000);
    members.mark_silent_zone_reporters(3_900);
    assert!(is_up(&members, "far-1", 3_900));
    members.mark_silent_zone_reporters(4_000);
    assert!(!is_up(&members, "far-1", 4_000));
    assert!(is_up(&members, "far-2", 4_000));
}

/// A zone that another box hears is not silent, even if it sends nothing to this box.
#[test]
fn judge_zone_reporters_not_while_others_hear_the_zone() {
    let mut members = members();
    members.record_zone_report("far-1", &[], 1_000);
    members.record_zone_heard(zone_fingerprint("z2"), 3_500);
    keep_in_touch(&mut members, 0, 4_500);
    members.mark_silent_zone_reporters(4_500);
    assert!(is_up(&members, "far-1", 4_500));
}

/// A zone that never reported to this box gets the same time as one that did.
#[test]
fn expect_zone_reporter_zone_that_never_reported() {
    let mut members = members();
    keep_in_touch(&mut members, 0, 4_000);
    members.expect_zone_reporter("far-1", 1_000);
    members.expect_zone_reporter("far-2", 1_500);
    members.mark_silent_zone_reporters(3_900);
    assert!(is_up(&members, "far-1", 3_900));
    members.mark_silent_zone_reporters(4_000);
    assert!(!is_up(&members, "far-1", 4_000));
    assert!(is_up(&members, "far-2", 4_000));
}

/// A silent box is still reported for a while after its entry is removed, as views of the store
/// differ by seconds between boxes.
#[test]
fn silent_near_lists_box_for_a_while_after_its_entry_is_gone() {
    let mut members = members();
    keep_in_touch(&mut members, 0, 20_000);
    members.record_heard("near-1", 20_000);
    members.unlist("near-2", 9_000);
    assert_eq!(
        members.silent_in_own_zone("own", 14_900),
        vec![box_fingerprint("near-2")]
    );
    keep_in_touch(&mut members, 0, 15_000);
    assert!(members.silent_in_own_zone("own", 15_000).is_empty());
}

/// A box that has just started may keep limits at once; after a gap in its own contact it waits
/// until no other box can still take it for failed.
#[test]
fn may_keep_at_once_but_not_right_after_a_gap() {
    let mut members = members();
    assert!(!members.may_hold_exclusive_role(0));
    members.record_contact(100);
    assert!(members.may_hold_exclusive_role(200));
    keep_in_touch(&mut members, 500, 3_000);
    assert!(members.may_hold_exclusive_role(4_000));
    members.record_contact(8_000);
    assert!(!members.may_hold_exclusive_role(8_100));
    keep_in_touch(&mut members, 8_500, 10_500);
    assert!(members.may_hold_exclusive_role(10_500));
}

/// Guards against boxes that divide what all share among too few, as some are silent or leaving and
/// still send requests.
#[test]
fn count_senders_includes_boxes_that_are_silent_leaving_or_just_unlisted() {
    let mut members = members();
    members.record_heard("near-1", 1_000);
    members.record_zone_report("far-1", &[box_fingerprint("far-2")], 5_000);
    let leaving = MemberRecord {
        is_leaving: true,
        ..record("z1")
    };
    members.put("near-2", leaving, 5_000);
    assert!(!is_up(&members, "near-1", 5_000));
    assert!(!is_up(&members, "near-2", 5_000));
    assert!(!is_up(&members, "far-2", 5_000));
    assert_eq!(members.count_senders("own", 5_000), 5);
    members.unlist("near-1", 5_000);
    assert_eq!(members.count_senders("own", 10_900), 5);
    assert_eq!(members.count_senders("own", 11_000), 4);
}
