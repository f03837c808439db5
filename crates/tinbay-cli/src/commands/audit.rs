//! `tinbay audit`.

use tinbay_wire::admin::AuditRecord;

use super::{api, block_on};
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::{Table, print_json};

/// Shows the audit trail.
///
/// # Errors
/// As the call it makes.
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
            objects(record),
        ]);
    }
    print!("{table}");
    Ok(())
}

fn objects(record: &AuditRecord) -> String {
    let named: Vec<String> = record
        .items
        .iter()
        .take(3)
        .map(|item| item.key.to_string())
        .collect();
    let more = record.items.len().saturating_sub(named.len());
    match more {
        0 => named.join(" "),
        more => format!("{} and {more} more", named.join(" ")),
    }
}
