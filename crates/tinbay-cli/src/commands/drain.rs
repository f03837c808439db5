//! `tinbay drain`.

use super::{api, block_on};
use crate::api::Api;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;

/// Drains a box, whose address is looked up by name at any box.
///
/// # Errors
/// Returns [`CliError::Option`] if no box has this name, and the errors of [`Api`].
pub fn run(common: &CommonOptions, id: &str) -> Result<(), CliError> {
    let api = api(common);
    let token = common.token.clone();
    let id = id.to_owned();
    let answer = block_on(move || async move {
        let status = api.status().await?;
        let found = status.boxes.iter().find(|b| b.record.id.as_str() == id);
        let address = found.map(|entry| entry.record.address.clone());
        let address = address.ok_or(CliError::Option {
            option: "box",
            value: id,
            allowed: "give a box that `tinbay status` shows",
        })?;
        let box_api = Api::new(&CommonOptions {
            box_addresses: vec![address],
            token,
            json: false,
        });
        box_api.drain().await
    })?;
    if common.json {
        return print_json(&answer);
    }
    println!("box {} is leaving", answer.id);
    Ok(())
}
