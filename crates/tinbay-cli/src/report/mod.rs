//! Output of commands: tables and JSON.

mod table;

pub use table::Table;

use serde::Serialize;

use crate::error::CliError;

/// Prints a value as indented JSON.
///
/// # Errors
/// Returns [`CliError::Output`] if the value cannot be serialized.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), CliError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
