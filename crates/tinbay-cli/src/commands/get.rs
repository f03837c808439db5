//! `tinbay get`.

use tinbay_core::config::Kind;
use tinbay_wire::admin::ObjectRecord;

use super::{api, block_on};
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::{Table, print_json};

/// Prints configuration objects.
///
/// # Errors
/// Returns the errors of [`Api`](crate::api::Api), or [`CliError::Output`].
pub fn run(common: &CommonOptions, kind: Option<Kind>, name: Option<&str>) -> Result<(), CliError> {
    let api = api(common);
    let name = name.map(str::to_owned);
    let records = block_on(move || async move { api.objects(kind, name.as_deref()).await })?;
    if common.json {
        return print_json(&records);
    }
    let mut table = Table::new(&["REVISION", "OBJECT", "CONTENT"]);
    for record in &records {
        table.add(vec![
            record.revision.to_string(),
            record.object.key().to_string(),
            content(record)?,
        ]);
    }
    print!("{table}");
    Ok(())
}

/// Returns the object's content as JSON, without the kind, which its key already shows.
fn content(record: &ObjectRecord) -> Result<String, CliError> {
    let value = serde_json::to_value(&record.object)?;
    let inner = value.as_object().and_then(|map| map.values().next());
    Ok(inner.map(ToString::to_string).unwrap_or_default())
}
