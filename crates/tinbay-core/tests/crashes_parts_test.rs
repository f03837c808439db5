//! Tests of the detection of prompt parts that crash servers.

use std::ops::Range;

use quickcheck::{QuickCheck, TestResult};
use tinbay_core::crashes::parts::{
    Announcement, COINCIDENCE_MS, CrashReport, Heard, MAX_SUSPICION_MS, OBJECTION_MS,
    PROOF_HOLD_MS, PartJudge, PartRefusal, PartSet, Proof, ProofEffect, REFUSAL_LIFE_MS, Suspicion,
    TRIAL_INTERVAL_MS,
};
use tinbay_core::serving::prompt::PartId;

/// Part that all prompts of an account begin with.
const FIRST: PartId = PartId(0xf1);

/// Part that crashes servers.
const BAD: PartId = PartId(0xbad);

/// Part of a sound session.
const SESSION: PartId = PartId(0x5e55);

/// Time between two crashes in most tests.
const GAP_MS: u64 = 400;

fn report(part: PartId, companions: &[PartId], crash: u64, request: u64) -> CrashReport {
    CrashReport {
        part,
        companions: companions.to_vec(),
        crash,
        request,
        age_ms: 0,
        is_certain: true,
    }
}

/// Records crashes with these numbers during different requests with a part, [`GAP_MS`] apart.
fn crash(judge: &mut PartJudge, part: PartId, crashes: impl IntoIterator<Item = u64>) {
    for number in crashes {
        judge.record_crash(&report(part, &[], number, number), number * GAP_MS);
    }
}

fn suspicion(announcement: Option<Announcement>) -> Suspicion {
    match announcement {
        Some(Announcement::Suspicion(suspicion)) => suspicion,
        other => panic!("no suspicion: {other:?}"),
    }
}

/// Records that a request with these parts was answered; returns the effects.
fn answer(judge: &mut PartJudge, parts: &[PartId], now_ms: u64) -> Vec<ProofEffect> {
    let record = |part: &PartId| {
        judge.record_proof(
            Proof {
                part: *part,
                age_ms: 0,
            },
            now_ms,
        )
    };
    parts.iter().map(record).collect()
}

/// Records enough crashes to refuse a part and returns the refusal and the time of it.
fn refuse(judge: &mut PartJudge, part: PartId) -> (PartRefusal, u64) {
    crash(judge, part, 1..=3);
    let now_ms = 3 * GAP_MS + OBJECTION_MS;
    let refusals = judge.judge(now_ms);
    assert_eq!(refusals.len(), 1, "{refusals:?}");
    (refusals[0].clone(), now_ms)
}

#[test]
fn part_is_refused_after_three_crashes_and_time_for_objections() {
    let mut judge = PartJudge::default();
    crash(&mut judge, BAD, 1..=3);
    let suspected_ms = 3 * GAP_MS;
    assert!(judge.is_awaiting_judgement(&[FIRST, BAD], suspected_ms));
    assert!(!judge.is_awaiting_judgement(&[FIRST], suspected_ms));
    assert!(judge.judge(suspected_ms + OBJECTION_MS - 1).is_empty());
    let refusals = judge.judge(suspected_ms + OBJECTION_MS);
    assert_eq!(refusals[0].parts, PartSet::new(BAD, &[]));
    let now_ms = suspected_ms + OBJECTION_MS;
    assert!(judge.refused_set(&[FIRST, BAD], now_ms).is_some());
    assert!(judge.refused_set(&[FIRST, SESSION], now_ms).is_none());
    assert!(!judge.is_awaiting_judgement(&[FIRST, BAD], now_ms));
}

#[test]
fn part_with_two_crashes_is_not_suspected() {
    let mut judge = PartJudge::default();
    crash(&mut judge, BAD, 1..=2);
    assert!(judge.judge(2 * GAP_MS + MAX_SUSPICION_MS).is_empty());
    assert!(!judge.has_suspected());
}

/// Three crashes under the same request are the request's, not its parts'.
#[test]
fn part_of_one_request_is_not_suspected() {
    let mut judge = PartJudge::default();
    for number in 1..=5 {
        let again = report(BAD, &[], number, 7);
        assert_eq!(judge.record_crash(&again, number * GAP_MS), None);
    }
}

/// A request that is retried crashes several servers, and the next one tells that its part does.
#[test]
fn part_of_requests_that_are_retried_is_suspected() {
    let mut judge = PartJudge::default();
    for (number, request) in [(1, 1), (2, 1), (3, 2), (4, 2)] {
        let retried = report(BAD, &[], number, request);
        assert_eq!(judge.record_crash(&retried, number * GAP_MS), None);
    }
    let third = judge.record_crash(&report(BAD, &[], 5, 3), 5 * GAP_MS);
    assert_eq!(suspicion(third).part, BAD);
}

/// Records the crash of servers with these numbers at the same moment, each under another request.
fn crash_at_once(judge: &mut PartJudge, part: PartId, crashes: Range<u64>, at_ms: u64) {
    for number in crashes {
        judge.record_crash(&report(part, &[], number, number), at_ms);
    }
}

/// Four servers that crash together may have a common cause, such as a host: they count once.
#[test]
fn four_crashes_at_the_same_moment_count_once() {
    let mut judge = PartJudge::default();
    crash_at_once(&mut judge, FIRST, 0..4, 0);
    let aged = CrashReport {
        age_ms: 250,
        ..report(FIRST, &[], 3, 50)
    };
    assert_eq!(judge.record_crash(&aged, 260), None);
    let second = judge.record_crash(&report(FIRST, &[], 0, 51), COINCIDENCE_MS);
    assert_eq!(second, None);
    assert!(!judge.has_suspected());
}

/// Guards against requests with a part that come together: their crashes counted as one, and the
/// next group reached servers, too.
#[test]
fn part_of_five_crashes_at_the_same_moment_is_refused() {
    let mut judge = PartJudge::default();
    crash_at_once(&mut judge, BAD, 0..5, 0);
    assert!(judge.has_suspected());
    assert_eq!(judge.judge(OBJECTION_MS).len(), 1);
    assert!(judge.refused_set(&[FIRST, BAD], OBJECTION_MS).is_some());
}

/// Two groups of three crashes are as many as five of one moment.
#[test]
fn part_of_two_groups_of_crashes_is_refused() {
    let mut judge = PartJudge::default();
    crash_at_once(&mut judge, BAD, 0..3, 0);
    assert!(!judge.has_suspected());
    crash_at_once(&mut judge, BAD, 3..6, 4_000);
    assert_eq!(judge.judge(4_000 + OBJECTION_MS).len(), 1);
}

/// Servers that end at the same moment under a part that other servers answer: whoever has proof
/// objects, however many servers there are.
#[test]
fn proven_part_of_many_crashes_at_the_same_moment_is_not_refused() {
    let mut tracker = PartJudge::default();
    let mut suspicions = Vec::new();
    for number in 0..40 {
        let announced = tracker.record_crash(&report(FIRST, &[], number, number), number);
        suspicions.extend(announced);
    }
    let mut other = PartJudge::default();
    answer(&mut other, &[FIRST], 0);
    let heard = other.hear_suspicion(&suspicion(suspicions.pop()), 45);
    let Heard::Disproved(proofs) = heard else {
        panic!("no objection");
    };
    assert!(tracker.record_proof(proofs[0], 50).is_news);
    assert!(tracker.judge(45 + MAX_SUSPICION_MS).is_empty());
    assert!(tracker.refused_set(&[FIRST], 2_000).is_none());
    // Crashes at other times count no more than before.
    tracker.record_crash(&report(FIRST, &[], 51, 51), 40 + COINCIDENCE_MS);
    assert!(!tracker.has_suspected());
}

/// A sound part whose only servers ended at the same moment is answered in its trial, and the
/// refusal is lifted.
#[test]
fn part_refused_for_crashes_of_one_moment_is_tried() {
    let mut judge = PartJudge::default();
    crash_at_once(&mut judge, SESSION, 0..40, 0);
    let now_ms = MAX_SUSPICION_MS;
    let refusals = judge.judge(now_ms);
    let set = &refusals[0].parts;
    assert!(judge.allows_trial(set, "first", now_ms));
    assert!(judge.allows_trial(set, "first", now_ms + 5));
    assert!(!judge.allows_trial(set, "second", now_ms + 6));
    answer(&mut judge, &[SESSION], now_ms + 700);
    assert!(judge.refused_set(&[SESSION], now_ms + 701).is_none());
}

/// A part that crashes servers has one trial, and none after it.
#[test]
fn part_that_crashes_a_server_in_its_trial_is_not_tried_again() {
    let mut judge = PartJudge::default();
    crash_at_once(&mut judge, BAD, 0..6, 0);
    let now_ms = MAX_SUSPICION_MS;
    let set = judge.judge(now_ms)[0].parts.clone();
    assert!(judge.allows_trial(&set, "first", now_ms));
    judge.record_crash(&report(BAD, &[], 7, 7), now_ms + 100);
    for at_ms in [now_ms + 101, now_ms + 2 * TRIAL_INTERVAL_MS] {
        assert!(!judge.allows_trial(&set, "first", at_ms));
        assert!(!judge.allows_trial(&set, "second", at_ms));
    }
}

/// A trial whose request reached no server is followed by another one.
#[test]
fn trial_without_outcome_is_followed_by_another() {
    let mut judge = PartJudge::default();
    crash_at_once(&mut judge, SESSION, 0..6, 0);
    let now_ms = MAX_SUSPICION_MS;
    let set = judge.judge(now_ms)[0].parts.clone();
    assert!(judge.allows_trial(&set, "first", now_ms));
    assert!(!judge.allows_trial(&set, "second", now_ms + TRIAL_INTERVAL_MS - 1));
    assert!(judge.allows_trial(&set, "second", now_ms + TRIAL_INTERVAL_MS));
}

/// Crashes at three different times leave no doubt, and a box that has not counted them has no say.
#[test]
fn part_refused_for_crashes_at_different_times_is_not_tried() {
    let mut judge = PartJudge::default();
    let (refusal, now_ms) = refuse(&mut judge, BAD);
    assert!(!judge.allows_trial(&refusal.parts, "first", now_ms));
    let mut other = PartJudge::default();
    other.hear_refusal(&refusal, now_ms);
    assert!(!other.allows_trial(&refusal.parts, "first", now_ms));
}

/// A part that crashes a hundred servers in a second is not taken for one cause that ends all of them
/// at the same moment.
#[test]
fn crashes_in_quick_succession_are_told_from_those_at_the_same_moment() {
    let mut judge = PartJudge::default();
    for number in 0..30 {
        judge.record_crash(&report(BAD, &[], number, number), number * 10);
    }
    assert!(judge.has_suspected());
}

#[test]
fn crashes_count_once_however_many_boxes_report_them() {
    let mut judge = PartJudge::default();
    for number in 0..20 {
        let same = report(BAD, &[], number % 2, number);
        assert_eq!(judge.record_crash(&same, number * GAP_MS), None);
    }
}

#[test]
fn answered_part_is_not_suspected_until_its_proof_is_old() {
    let mut judge = PartJudge::default();
    answer(&mut judge, &[FIRST, SESSION], 0);
    crash(&mut judge, FIRST, 1..=10);
    assert!(!judge.has_suspected());
    assert_eq!(judge.unproven(&[FIRST, BAD], 1), [BAD]);
    for number in 1..=3 {
        let at_ms = PROOF_HOLD_MS + number * GAP_MS;
        judge.record_crash(&report(FIRST, &[], 20 + number, number), at_ms);
    }
    assert!(judge.has_suspected());
}

#[test]
fn answer_after_the_crashes_clears_them() {
    let mut judge = PartJudge::default();
    crash(&mut judge, SESSION, 1..=3);
    let now_ms = 3 * GAP_MS + 50;
    assert!(answer(&mut judge, &[SESSION], now_ms)[0].is_news);
    assert!(judge.judge(now_ms + OBJECTION_MS).is_empty());
    let again = judge.record_crash(&report(SESSION, &[], 4, 4), now_ms + 10);
    assert_eq!(again, None);
}

/// Another box with proof objects, and the tracker that suspects the part drops the suspicion.
#[test]
fn objection_of_another_box_ends_a_suspicion() {
    let mut tracker = PartJudge::default();
    crash(&mut tracker, SESSION, 1..=2);
    let third = tracker.record_crash(&report(SESSION, &[], 3, 3), 3 * GAP_MS);
    let suspicion = suspicion(third);
    let mut other = PartJudge::default();
    answer(&mut other, &[SESSION], 100);
    let Heard::Disproved(proofs) = other.hear_suspicion(&suspicion, 3 * GAP_MS) else {
        panic!("no objection");
    };
    let effect = tracker.record_proof(proofs[0], 3 * GAP_MS + 20);
    assert!(effect.is_news);
    assert!(tracker.judge(3 * GAP_MS + OBJECTION_MS).is_empty());
    let mut third_box = PartJudge::default();
    assert_eq!(third_box.hear_suspicion(&suspicion, 9), Heard::New);
    assert_eq!(third_box.hear_suspicion(&suspicion, 10), Heard::Known);
}

/// The first part of an account is in each crash, too, but under more requests, so that the part
/// that causes the crashes is judged first and explains them.
#[test]
fn first_part_without_proof_is_not_refused_beside_the_cause() {
    let mut judge = PartJudge::default();
    for number in 1..=3 {
        for request in 0..4 {
            let sound = report(FIRST, &[], number, 100 * number + request);
            judge.record_crash(&sound, number * GAP_MS);
        }
        let cause = report(BAD, &[FIRST], number, 100 * number + 9);
        judge.record_crash(
            &report(FIRST, &[BAD], number, 100 * number + 9),
            number * GAP_MS,
        );
        judge.record_crash(&cause, number * GAP_MS);
    }
    let mut refused = Vec::new();
    for now_ms in (3 * GAP_MS..3 * GAP_MS + 2 * MAX_SUSPICION_MS).step_by(50) {
        refused.extend(judge.judge(now_ms));
    }
    assert_eq!(refused.len(), 1, "{refused:?}");
    assert!(refused[0].parts.parts().contains(&BAD));
    assert!(judge.refused_set(&[FIRST, SESSION], 5_000).is_none());
}

/// A session whose first requests met three crashes is judged after the part that was in all of
/// them, even where another tracker decides.
#[test]
fn session_in_some_crashes_is_not_refused_beside_the_cause() {
    let mut cause_tracker = PartJudge::default();
    let mut session_tracker = PartJudge::default();
    crash(&mut session_tracker, SESSION, [1, 3]);
    crash(&mut cause_tracker, BAD, 1..=4);
    let fourth = cause_tracker.record_crash(&report(BAD, &[], 5, 5), 5 * GAP_MS);
    let heard = suspicion(fourth);
    session_tracker.hear_suspicion(&heard, 5 * GAP_MS + 5);
    session_tracker.record_crash(&report(SESSION, &[], 5, 95), 5 * GAP_MS + 5);
    assert!(session_tracker.has_suspected());
    let now_ms = 5 * GAP_MS + 5 + OBJECTION_MS;
    assert!(session_tracker.judge(now_ms).is_empty());
    for refusal in cause_tracker.judge(now_ms) {
        session_tracker.hear_refusal(&refusal, now_ms + 5);
    }
    assert!(session_tracker.judge(now_ms + MAX_SUSPICION_MS).is_empty());
    assert!(
        session_tracker
            .refused_set(&[FIRST, BAD], now_ms + 9)
            .is_some()
    );
}

/// Two trackers may refuse at the same moment; the set that explains less is not refused then.
#[test]
fn refusal_that_another_one_explains_is_not_applied() {
    let mut judge = PartJudge::default();
    let refusal = |part: PartId, crashes: &[u64]| PartRefusal {
        parts: PartSet::new(part, &[]),
        evidence: tinbay_core::crashes::parts::Evidence {
            crashes: crashes.to_vec(),
            requests: 3,
        },
        age_ms: 0,
    };
    judge.hear_refusal(&refusal(SESSION, &[1, 3, 4]), 0);
    assert!(judge.refused_set(&[SESSION], 1).is_some());
    judge.hear_refusal(&refusal(BAD, &[1, 2, 3, 4]), 2);
    assert!(judge.refused_set(&[SESSION], 3).is_none());
    assert!(judge.refused_set(&[BAD], 3).is_some());
}

/// Parts that always ran together are refused only together.
#[test]
fn parts_that_always_run_together_are_refused_together() {
    let mut judge = PartJudge::default();
    for number in 1..=3 {
        judge.record_crash(&report(BAD, &[FIRST], number, number), number * GAP_MS);
    }
    let refusals = judge.judge(3 * GAP_MS + OBJECTION_MS);
    assert_eq!(refusals[0].parts, PartSet::new(BAD, &[FIRST]));
    let now_ms = 3 * GAP_MS + OBJECTION_MS;
    assert!(judge.refused_set(&[FIRST, SESSION], now_ms).is_none());
    assert!(judge.refused_set(&[SESSION, BAD], now_ms).is_none());
    // The part alone crashes a server, which tells the two apart.
    judge.record_crash(&report(BAD, &[SESSION], 4, 4), now_ms);
    let refusals = judge.judge(now_ms + OBJECTION_MS);
    assert_eq!(refusals[0].parts, PartSet::new(BAD, &[]));
}

#[test]
fn crash_after_the_refusal_is_added_to_it() {
    let mut judge = PartJudge::default();
    let (refusal, now_ms) = refuse(&mut judge, BAD);
    assert_eq!(refusal.evidence.crashes.len(), 3);
    let later = judge.record_crash(&report(BAD, &[], 9, 9), now_ms + 10);
    let Some(Announcement::Refusal(grown)) = later else {
        panic!("not announced: {later:?}");
    };
    assert_eq!(grown.evidence.crashes.len(), 4);
    let mut other = PartJudge::default();
    assert_eq!(other.hear_refusal(&refusal, 0), Heard::New);
    assert_eq!(other.hear_refusal(&grown, 1), Heard::New);
    assert_eq!(other.hear_refusal(&refusal, 2), Heard::Known);
}

/// A run that was under way as its part was refused is answered: the refusal is lifted everywhere,
/// and word of it that comes late changes nothing.
#[test]
fn late_proof_lifts_a_refusal_for_good() {
    let mut judge = PartJudge::default();
    let (refusal, now_ms) = refuse(&mut judge, SESSION);
    let effects = answer(&mut judge, &[FIRST, SESSION], now_ms + 300);
    assert!(!effects[0].is_news);
    assert_eq!(effects[1].lifted, [PartSet::new(SESSION, &[])]);
    let proof = Proof {
        part: SESSION,
        age_ms: 0,
    };
    assert!(judge.refused_set(&[SESSION], now_ms + 301).is_none());
    let mut other = PartJudge::default();
    assert_eq!(other.hear_refusal(&refusal, now_ms), Heard::New);
    assert!(other.record_proof(proof, now_ms + 310).is_news);
    let late = PartRefusal {
        age_ms: 900,
        ..refusal
    };
    assert_ne!(other.hear_refusal(&late, now_ms + 900), Heard::New);
    assert!(other.refused_set(&[SESSION], now_ms + 901).is_none());
    assert!(!other.record_proof(proof, now_ms + 902).is_news);
}

/// After a wrong proof the old proof counts no longer: three more crashes refuse the part again.
#[test]
fn part_is_refused_again_after_more_crashes() {
    let mut judge = PartJudge::default();
    let (_, refused_ms) = refuse(&mut judge, BAD);
    answer(&mut judge, &[BAD], refused_ms + 100);
    for number in 1..=3 {
        let at_ms = refused_ms + 100 + number * GAP_MS;
        judge.record_crash(&report(BAD, &[], 30 + number, 30 + number), at_ms);
    }
    let now_ms = refused_ms + 100 + 3 * GAP_MS + OBJECTION_MS;
    assert_eq!(judge.judge(now_ms).len(), 1);
    assert!(judge.refused_set(&[BAD], now_ms).is_some());
}

/// A sound part that was refused once: an answer between two crashes speaks for it, also at another
/// box.
#[test]
fn part_that_was_lifted_is_proven_by_answers_between_crashes() {
    let mut tracker = PartJudge::default();
    let (refusal, refused_ms) = refuse(&mut tracker, SESSION);
    let mut other = PartJudge::default();
    other.hear_refusal(&refusal, refused_ms);
    for judge in [&mut tracker, &mut other] {
        answer(judge, &[SESSION], refused_ms + 100);
    }
    let later = |number: u64| refused_ms + 100 + number * GAP_MS;
    for number in 1..=2 {
        tracker.record_crash(
            &report(SESSION, &[], 30 + number, 30 + number),
            later(number),
        );
    }
    answer(&mut other, &[SESSION], later(2) + 50);
    let third = tracker.record_crash(&report(SESSION, &[], 33, 33), later(3));
    let Heard::Disproved(proofs) = other.hear_suspicion(&suspicion(third), later(3) + 5) else {
        panic!("no objection");
    };
    assert!(tracker.record_proof(proofs[0], later(3) + 10).is_news);
    assert!(tracker.judge(later(3) + OBJECTION_MS).is_empty());
}

#[test]
fn refusal_ends_by_its_age() {
    let mut judge = PartJudge::default();
    let (refusal, now_ms) = refuse(&mut judge, BAD);
    let mut other = PartJudge::default();
    let old = PartRefusal {
        age_ms: (REFUSAL_LIFE_MS - 10) as u32,
        ..refusal
    };
    other.hear_refusal(&old, REFUSAL_LIFE_MS);
    assert!(other.refused_set(&[BAD], REFUSAL_LIFE_MS + 9).is_some());
    assert!(other.refused_set(&[BAD], REFUSAL_LIFE_MS + 10).is_none());
    assert!(
        judge
            .refused_set(&[BAD], now_ms + REFUSAL_LIFE_MS)
            .is_none()
    );
}

#[test]
fn part_set_as_text_is_read_back() {
    let set = PartSet::new(BAD, &[FIRST]);
    assert_eq!(set.to_string(), "f1-bad");
    assert_eq!(set.to_string().parse(), Ok(set));
    for wrong in ["", "-", "f1-", "no part", "f1-f2f2f2f2f2f2f2f2f2"] {
        assert!(wrong.parse::<PartSet>().is_err(), "{wrong}");
    }
}

#[test]
fn state_is_bounded() {
    let mut judge = PartJudge::default();
    for number in 0..60_000 {
        let part = PartId(number);
        answer(&mut judge, &[PartId(1_000_000 + number)], number);
        judge.record_crash(&report(part, &[], number, number), number);
    }
    let (refused, suspected, counted) = judge.counts(60_000);
    assert_eq!((refused, suspected), (0, 0));
    assert!(counted <= 4_096);
    let oldest = PartId(1_000_000);
    let newest = PartId(1_059_999);
    assert_eq!(judge.unproven(&[oldest, newest], 60_000), [oldest]);
}

/// For any order of crashes and answers, a part is refused only after enough crashes since the last
/// answer, and never while a proof holds.
#[test]
fn part_is_refused_only_by_enough_crashes_without_an_answer() {
    fn holds(steps: Vec<(u8, u8)>) -> TestResult {
        let mut judge = PartJudge::default();
        let mut now_ms = 0;
        let mut since_answer = 0;
        for (step, pause) in steps {
            now_ms += 50 + u64::from(pause) * 10;
            if step % 8 == 0 {
                answer(&mut judge, &[BAD], now_ms);
                since_answer = 0;
            } else {
                let request = u64::from(step % 5);
                judge.record_crash(&report(BAD, &[], now_ms, request), now_ms);
                since_answer += 1;
            }
            judge.judge(now_ms);
            if judge.refused_set(&[BAD], now_ms).is_some() && since_answer < 3 {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> TestResult);
}

/// Whenever the servers crash, the fifth crash under a part that no box has proof of is enough.
#[test]
fn part_is_suspected_after_five_crashes_at_any_times() {
    fn holds(gaps: (u16, u16, u16, u16)) -> bool {
        let mut judge = PartJudge::default();
        let mut at_ms = 0;
        let gaps = [0, gaps.0, gaps.1, gaps.2, gaps.3].map(u64::from);
        for (number, gap) in (1..).zip(gaps) {
            // Most gaps are near the length of a moment.
            at_ms += gap % (3 * COINCIDENCE_MS);
            judge.record_crash(&report(BAD, &[], number, number), at_ms);
        }
        judge.has_suspected()
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn((u16, u16, u16, u16)) -> bool);
}
