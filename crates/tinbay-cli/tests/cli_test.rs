//! Tests the command line through its binary.

mod common;

use common::{lock_fleets, repository_path, stderr, stdout, tinbay};

#[test]
fn demo_answers_everything_right() {
    let _turn = lock_fleets();
    let output = tinbay(&["demo"]);
    let text = stdout(&output);
    assert!(output.status.success(), "{text}{}", stderr(&output));
    assert!(text.contains("8 of 8 answers right"), "{text}");
    assert!(
        text.contains("plain service call (not repeatable): answered"),
        "{text}"
    );
}

#[test]
fn demo_json_is_for_programs() {
    let _turn = lock_fleets();
    let output = tinbay(&["--json", "demo"]);
    let report: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(report["right"], 8);
}

#[test]
fn policy_check_names_the_place() {
    let good = tinbay(&[
        "policy",
        "check",
        &repository_path("examples/dochodok.rhai"),
    ]);
    assert!(good.status.success(), "{}", stderr(&good));
    let bad = tinbay(&["policy", "check", &repository_path("LICENSE")]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(stderr(&bad).contains("line 1"), "{}", stderr(&bad));
}

#[test]
fn apply_without_a_box_exits_3() {
    let file = repository_path("crates/tinbay-cli/samples/demo.toml");
    let output = tinbay(&["--server", "127.0.0.1:1", "apply", "-f", &file]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        stderr(&output).contains("no box answered"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn apply_malformed_file_exits_2() {
    let output = tinbay(&["apply", "-f", &repository_path("LICENSE")]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn completions_are_printed() {
    let output = tinbay(&["completions", "bash"]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("_tinbay"));
}

#[test]
fn load_wrong_option_names_value_and_allowed() {
    let output = tinbay(&["load", "--rate", "0"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("--rate is '0': give 0.1 to 5000"),
        "{}",
        stderr(&output)
    );
}
