//! `tinbay policy check` and `tinbay policy try`.

use tinbay_core::policy::{Policy, PolicySettings};

use super::{api, block_on};
use crate::config_file::read_text;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;

/// Compiles a program locally and checks it with the same sample requests as a box.
///
/// # Errors
/// Returns [`CliError::Policy`] with line and column if the program is invalid, and
/// [`CliError::File`] if it cannot be read.
pub fn check(common: &CommonOptions, file: &str) -> Result<(), CliError> {
    let program = read_text(file)?;
    let policy = Policy::compile(&program).map_err(|source| CliError::Policy {
        path: file.to_owned(),
        source,
    })?;
    print_settings(common, policy.settings())
}

/// Compiles a program on a box.
///
/// # Errors
/// Returns [`CliError::File`] if the program cannot be read, and the errors of
/// [`Api`](crate::api::Api).
pub fn try_on_box(common: &CommonOptions, file: &str) -> Result<(), CliError> {
    let program = read_text(file)?;
    let api = api(common);
    let settings = block_on(move || async move { api.try_policy(&program).await })?;
    print_settings(common, settings)
}

fn print_settings(common: &CommonOptions, settings: PolicySettings) -> Result<(), CliError> {
    if common.json {
        return print_json(&settings);
    }
    println!(
        "the program is valid; stall_weight {}",
        settings.stall_weight
    );
    Ok(())
}
