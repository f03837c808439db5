//! Every scenario of the repository, against real processes.

mod common;

use common::{repository_path, stderr, stdout, take_turn, tinbay};

/// Seed of runs that need no other; another repeats a failure found elsewhere.
const SEED: u64 = 1;

fn assert_kept(name: &str) {
    assert_kept_with(name, SEED);
}

fn assert_kept_with(name: &str, seed: u64) {
    let _turn = take_turn();
    let file = repository_path(&format!("scenarios/{name}.rhai"));
    let output = tinbay(&["scenario", "run", &format!("--seed={seed}"), &file]);
    assert!(
        output.status.success(),
        "{}{}",
        stdout(&output),
        stderr(&output)
    );
    assert!(stdout(&output).starts_with("kept"), "{}", stdout(&output));
    println!("{}", stdout(&output));
}

#[test]
fn scenario_path() {
    assert_kept("path");
}

#[test]
fn scenario_exact_version() {
    assert_kept("exact_version");
}

#[test]
fn scenario_never_unload() {
    assert_kept("never_unload");
}

#[test]
fn scenario_whole_answers() {
    assert_kept("whole_answers");
}

// Requests between two owners used up their attempts and were refused or lost.
#[test]
fn scenario_lost_owner() {
    assert_kept("lost_owner");
}

// Callers that resumed an answer between two owners were refused by the time that their class may wait to start.
#[test]
fn scenario_resume_between_owners() {
    assert_kept("resume_between_owners");
}

// Streams through another box were told that the rest was gone while the engine had it.
#[test]
fn scenario_forwarded_streams() {
    assert_kept("forwarded_streams");
}

// Requests cut off before their first piece were told "outcome_unknown" while the engine ran them.
#[test]
fn scenario_cut_before_first() {
    assert_kept("cut_before_first");
}

// Requests queued at a box that died were told "outcome_unknown" once the retry budget was spent.
#[test]
fn scenario_queued_at_lost_owner() {
    assert_kept("queued_at_lost_owner");
}

// Requests passed to a box that froze stood still for 15 s and more and were then lost.
#[test]
fn scenario_frozen_owner() {
    assert_kept("frozen_owner");
}

#[test]
fn scenario_not_run() {
    assert_kept("not_run");
}

#[test]
fn scenario_not_run_after_unknown() {
    assert_kept("not_run_after_unknown");
}

#[test]
fn scenario_at_most_once() {
    assert_kept("at_most_once");
}

#[test]
fn scenario_at_most_once_many() {
    assert_kept("at_most_once_many");
}

#[test]
fn scenario_unfenced() {
    assert_kept("unfenced");
}

#[test]
fn scenario_frozen_box() {
    assert_kept("frozen_box");
}

#[test]
fn scenario_leaving() {
    assert_kept("leaving");
}

#[test]
fn scenario_leaving_engine() {
    assert_kept("leaving_engine");
}

#[test]
fn scenario_planned_stop() {
    assert_kept("planned_stop");
}

// A restarted box was held to own its engines for seconds before it took them over.
#[test]
fn scenario_restarted_box() {
    assert_kept("restarted_box");
}

// An owner that had started again was held to be dead for the silence of its former run, and asks stood still
// at its former successor.
#[test]
fn scenario_restarted_owner() {
    assert_kept("restarted_owner");
}

// Work that runs once was told "unknown" after it had been sent to a new run of its owner.
#[test]
fn scenario_restarted_owner_once() {
    assert_kept("restarted_owner_once");
}

// A box that woke from a freeze held boxes of another zone to be alive for good and passed requests to them.
#[test]
fn scenario_woken_box() {
    assert_kept("woken_box");
}

#[test]
fn scenario_configuration() {
    assert_kept("configuration");
}

#[test]
fn scenario_cut_zone() {
    assert_kept("cut_zone");
}

#[test]
fn scenario_platform_outage() {
    assert_kept("platform_outage");
}

// An engine whose next owner had come after its last takeover had none until an outage ended.
#[test]
fn scenario_outage_after_join() {
    assert_kept("outage_after_join");
}

// An owner that started again in an outage had forgotten the succession, and its engines had no owner.
#[test]
fn scenario_outage_restart() {
    assert_kept("outage_restart");
}

// Boxes that joined in an outage were held to own engines that they could not take over.
#[test]
fn scenario_outage_new_box() {
    assert_kept("outage_new_box");
}

#[test]
fn scenario_overload() {
    assert_kept("overload");
}

// Series of faults that overlap, as the long soak by hand plays them with many seeds.
#[test]
fn scenario_soak_seeds_1_to_3() {
    for seed in 1..=3 {
        assert_kept_with("soak", seed);
    }
}

// Asks that ended late at a replaced owner had requests refused.
#[test]
fn scenario_soak_seed_206() {
    assert_kept_with("soak", 206);
}

// Boxes that joined as an outage began were held to own engines that they could not take over.
#[test]
fn scenario_soak_seed_324() {
    assert_kept_with("soak", 324);
}

// An engine loses two owners within the time that its callers may wait.
#[test]
fn scenario_soak_seed_409() {
    assert_kept_with("soak", 409);
}

// The next owner comes a few milliseconds after requests that were queued at the lost one had to start.
#[test]
fn scenario_soak_seed_415() {
    assert_kept_with("soak", 415);
}

// An adapter was ordered to be unloaded while it served, after a box that passed requests on had died.
#[test]
fn scenario_soak_seed_437() {
    assert_kept_with("soak", 437);
}

#[test]
fn scenario_broken_promise_is_named_with_trace_and_seed() {
    let _turn = take_turn();
    let directory = std::env::temp_dir().join(format!("tinbay-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let file = directory.join("broken.rhai");
    std::fs::write(&file, "check(1 == 2, \"one is two\");").expect("a file");
    let output = tinbay(&["scenario", "run", "--seed=7", &file.display().to_string()]);
    std::fs::remove_dir_all(&directory).expect("removed");
    assert_eq!(output.status.code(), Some(5));
    let text = stdout(&output);
    assert!(
        text.starts_with("BROKEN") && text.contains("one is two"),
        "{text}"
    );
    assert!(text.contains("with seed 7"), "{text}");
}

#[test]
fn scenario_log_dir_holds_the_log_of_each_process() {
    let _turn = take_turn();
    let directory = std::env::temp_dir().join(format!("tinbay-logs-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let file = directory.join("one-box.rhai");
    std::fs::write(&file, "start_box(\"box-1\", \"a\"); await_ready();").expect("a file");
    let log_dir = directory.join("logs").display().to_string();
    let output = tinbay(&[
        "scenario",
        "run",
        "--log-dir",
        &log_dir,
        &file.display().to_string(),
    ]);
    let log = std::fs::read_to_string(directory.join("logs/box-1.log"));
    std::fs::remove_dir_all(&directory).expect("removed");
    assert!(output.status.success(), "{}", stderr(&output));
    let log = log.expect("a log of the box");
    assert!(log.contains("box box-1 listens on"), "{log}");
}
