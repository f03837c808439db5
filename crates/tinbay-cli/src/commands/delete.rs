//! `tinbay delete`.

use tinbay_wire::admin::{ChangeItem, ChangeRequest};

use super::apply::new_change_id;
use super::{api, block_on};
use crate::error::CliError;
use crate::options::{CommonOptions, DeleteOptions};
use crate::report::print_json;

/// Deletes an object.
///
/// # Errors
/// Returns the errors of [`Api`](crate::api::Api).
pub fn run(common: &CommonOptions, options: &DeleteOptions) -> Result<(), CliError> {
    let api = api(common);
    let owned_options = options.clone();
    let accepted = block_on(move || async move {
        let change = ChangeRequest {
            change_id: new_change_id(),
            operator: owned_options.operator,
            items: vec![ChangeItem::Delete {
                key: owned_options.key,
            }],
        };
        let accepted = api.change(&change).await?;
        if let Some(wait_ms) = owned_options.wait_ms {
            api.wait_in_force(accepted.revision, wait_ms).await?;
        }
        Ok(accepted)
    })?;
    if common.json {
        return print_json(&accepted);
    }
    println!("{} deleted at revision {}", options.key, accepted.revision);
    Ok(())
}
