//! `tinbay locate`.

use tinbay_core::ids::ModelRef;

use super::{api, block_on};
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;

/// Prints the addresses that a caller should use.
///
/// # Errors
/// Returns the errors of [`Api`](crate::api::Api).
pub fn run(common: &CommonOptions, model: Option<&ModelRef>) -> Result<(), CliError> {
    let api = api(common);
    let model = model.cloned();
    let answer = block_on(move || async move { api.locate(model.as_ref()).await })?;
    if common.json {
        return print_json(&answer);
    }
    for address in &answer.addresses {
        println!("{address}");
    }
    println!("valid for {} ms, key {}", answer.valid_ms, answer.key);
    Ok(())
}
