//! `tinbay policy check` and `tinbay policy try`.

use tinbay_core::policy::{Policy, PolicySettings};

use super::{api, block_on};
use crate::config_file::read_text;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;

/// Compiles a program here, with the same samples as a box.
///
/// # Errors
/// [`CliError::Policy`] with line and column.
pub fn check(common: &CommonOptions, file: &str) -> Result<(), CliError> {
    let program = read_text(file)?;
    let policy = Policy::compile(&program).map_err(|source| CliError::Policy {
        path: file.to_owned(),
        source,
    })?;
    show(common, policy.settings())
}

/// Compiles a program at a box.
///
/// # Errors
/// As the call it makes.
pub fn try_at_box(common: &CommonOptions, file: &str) -> Result<(), CliError> {
    let program = read_text(file)?;
    let api = api(common);
    let settings = block_on(move || async move { api.try_policy(&program).await })?;
    show(common, settings)
}

fn show(common: &CommonOptions, settings: PolicySettings) -> Result<(), CliError> {
    if common.json {
        return print_json(&settings);
    }
    println!(
        "the program is good; stall_weight {}",
        settings.stall_weight
    );
    Ok(())
}
