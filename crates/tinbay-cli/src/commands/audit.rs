//! `tinbay audit`.

use tinbay_wire::admin::AuditRecord;

use super::{api, block_on};
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::{Table, print_json};

/// Prints the audit trail.
///
/// # Errors
/// Returns the errors of [`Api`](crate::api::Api).
pub fn run(common: &CommonOptions, change: Option<&str>) -> Result<(), CliError> {
    let api = api(common);
    let change = change.map(str::to_owned);
    let records = block_on(move || async move { api.audit(change.as_deref()).await })?;
    if common.json {
        return print_json(&records);
    }
    let mut table = Table::new(&[
        "REVISION", "AT_MS", "OPERATOR", "CHANGE", "BOX", "OUTCOME", "OBJECTS",
    ]);
    for record in &records {
        table.add(vec![
            record.revision.to_string(),
            record.at_ms.to_string(),
            record.operator.clone(),
            record.change_id.clone(),
            record.by_box.to_string(),
            record
                .refused
                .clone()
                .unwrap_or_else(|| "accepted".to_owned()),
            object_summary(record),
        ]);
    }
    print!("{table}");
    Ok(())
}

/// Lists the first three objects of a change and the number of further ones.
fn object_summary(record: &AuditRecord) -> String {
    let keys: Vec<String> = record
        .items
        .iter()
        .take(3)
        .map(|item| item.key.to_string())
        .collect();
    let more = record.items.len().saturating_sub(keys.len());
    match more {
        0 => keys.join(" "),
        more => format!("{} and {more} more", keys.join(" ")),
    }
}
