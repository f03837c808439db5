//! `tinbay drain`.

use super::{api, block_on};
use crate::api::Api;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;

/// Makes a box leave; it is found by name through any other box.
///
/// # Errors
/// As the calls it makes.
pub fn run(common: &CommonOptions, id: &str) -> Result<(), CliError> {
    let api = api(common);
    let token = common.token.clone();
    let wanted = id.to_owned();
    let answer = block_on(move || async move {
        let status = api.status().await?;
        let found = status.boxes.iter().find(|b| b.record.id.as_str() == wanted);
        let address = found.map(|entry| entry.record.address.clone());
        let address = address.ok_or(CliError::Option {
            option: "box",
            value: wanted,
            allowed: "give a box that status shows",
        })?;
        let there = Api::new(&CommonOptions {
            servers: vec![address],
            token,
            json: false,
        });
        there.drain().await
    })?;
    if common.json {
        return print_json(&answer);
    }
    println!("box {} is leaving", answer.id);
    Ok(())
}
