//! Entry point of the `tinbay` binary.

use std::process::ExitCode;

use tinbay_cli::cli::build_cli;
use tinbay_cli::commands;
use tinbay_cli::error::CliError;
use tinbay_cli::options::Options;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tinbay: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), CliError> {
    let matches = build_cli().get_matches();
    let options = Options::from_matches(&matches)?;
    commands::run(&options)
}
