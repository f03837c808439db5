//! Checks of the settings: one run reports every missing or invalid setting.

use std::process::{Command, Output};

fn run_node(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tinbay-node"))
        .args(args)
        .env("TINBAY_MISSPELT", "x")
        .output()
        .expect("tinbay-node starts")
}

#[test]
fn check_valid_settings_passes_and_warns_of_unknown() {
    let output = run_node(&[
        "--check",
        "--box-id=box-1",
        "--zone=a",
        "--kv=127.0.0.1:1",
        "--box-list=127.0.0.1:2",
    ]);
    assert!(output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "settings are valid\n"
    );
    let warnings = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(warnings.contains("TINBAY_MISSPELT"), "{warnings}");
}

#[test]
fn check_wrong_settings_names_each_with_value_and_allowed() {
    let output = run_node(&[
        "--check",
        "--box-id=a b",
        "--kv=nowhere",
        "--workers=0",
        "--log-level=loud",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for expected in [
        "--box-id is 'a b'",
        "--zone is missing",
        "--kv is 'nowhere': give an ip:port",
        "--box-list is missing",
        "--workers is '0': give 1 to 64",
        "--log-level is 'loud'",
    ] {
        assert!(text.contains(expected), "{expected} is not in {text}");
    }
}

#[test]
fn setting_from_environment_is_used() {
    let output = Command::new(env!("CARGO_BIN_EXE_tinbay-node"))
        .arg("--check")
        .env("TINBAY_BOX_ID", "box-1")
        .env("TINBAY_ZONE", "a")
        .env("TINBAY_KV", "127.0.0.1:1")
        .env("TINBAY_BOX_LIST", "127.0.0.1:2")
        .output()
        .expect("tinbay-node starts");
    assert!(output.status.success());
}
