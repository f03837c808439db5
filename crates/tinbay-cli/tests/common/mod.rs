//! Helpers of the integration tests.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Fleets of processes run one at a time, so that they do not slow each other down.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Runs `tinbay` with arguments.
pub fn tinbay(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tinbay"))
        .args(args)
        .output()
        .expect("tinbay starts")
}

/// Waits for the turn of a test that starts processes.
pub fn take_turn() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A file of the repository.
pub fn repository_path(name: &str) -> String {
    let mut path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    path.push("../..");
    path.push(name);
    path.display().to_string()
}

/// Standard output as text.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Standard error as text.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
