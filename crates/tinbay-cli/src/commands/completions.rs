//! `tinbay completions`.

use clap_complete::{Shell, generate};

use crate::cli::build_cli;

/// Prints a shell completion script.
pub fn run(shell: Shell) {
    generate(shell, &mut build_cli(), "tinbay", &mut std::io::stdout());
}
