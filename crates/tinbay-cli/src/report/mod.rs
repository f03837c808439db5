//! What the command line prints.

mod table;

pub use table::Table;

use serde::Serialize;

use crate::error::CliError;

/// Prints a value as indented JSON.
///
/// # Errors
/// When it cannot be written as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), CliError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
