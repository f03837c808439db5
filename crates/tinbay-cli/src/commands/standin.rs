//! `tinbay standin`.

use std::net::TcpListener;

use crate::error::CliError;
use crate::options::StandinOptions;

/// Runs a stand-in until the process is stopped.
///
/// # Errors
/// Returns [`CliError::Start`] if the stand-in cannot listen on its address.
pub fn run(options: &StandinOptions) -> Result<(), CliError> {
    let listener = TcpListener::bind(options.listen)?;
    let handle = tinbay_standin::start(options.kind, listener, &options.settings)?;
    println!("listening {}", handle.address());
    handle.wait();
    Ok(())
}
