//! Helpers for the integration tests.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held by the test that runs a fleet of processes, so that fleets do not slow each other down.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Runs `tinbay` with the arguments and waits for its exit.
pub fn tinbay(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tinbay"))
        .args(args)
        .output()
        .expect("tinbay starts")
}

/// Locks out other tests that start fleets of processes until the guard is dropped.
pub fn lock_fleets() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the path of a file of the repository.
pub fn repository_path(name: &str) -> String {
    let mut path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    path.push("../..");
    path.push(name);
    path.display().to_string()
}

/// Returns the standard output as text.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the standard error as text.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
