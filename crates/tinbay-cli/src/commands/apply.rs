//! `tinbay apply`.

use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tinbay_core::config::{ConfigKey, ConfigObject};
use tinbay_core::units::Revision;
use tinbay_wire::admin::{ChangeItem, ChangeRequest};

use super::{api, block_on};
use crate::api::Api;
use crate::config_file::ConfigFile;
use crate::error::CliError;
use crate::options::{ApplyOptions, CommonOptions};
use crate::report::print_json;

/// Maximum number of objects in one change that boxes accept.
const MAX_ITEMS_PER_CHANGE: usize = 100;

/// Result of applying objects.
#[derive(Debug, Clone, Serialize)]
pub struct Applied {
    /// Number of objects written.
    pub objects: usize,
    /// Ids of the changes.
    pub changes: Vec<String>,
    /// Revision of the last change.
    pub revision: Revision,
}

/// Writes the objects of a file.
///
/// # Errors
/// Returns the errors of [`ConfigFile::read`] and of [`Api`].
pub fn run(common: &CommonOptions, options: &ApplyOptions) -> Result<(), CliError> {
    let objects = ConfigFile::read(&options.file)?.objects();
    let api = api(common);
    let owned_options = options.clone();
    let applied = block_on(move || async move {
        let id = owned_options.change_id.unwrap_or_else(new_change_id);
        let applied = apply_objects(&api, &id, &owned_options.operator, objects).await?;
        if let Some(wait_ms) = owned_options.wait_ms {
            api.wait_in_force(applied.revision, wait_ms).await?;
        }
        Ok(applied)
    })?;
    if common.json {
        return print_json(&applied);
    }
    println!(
        "{} object(s) written at revision {} by change(s) {}",
        applied.objects,
        applied.revision,
        applied.changes.join(", ")
    );
    if options.wait_ms.is_some() {
        println!("in force on every box");
    }
    Ok(())
}

/// Writes objects in changes of up to 100; the ids of further changes are `ID.2`, `ID.3` and so on.
///
/// # Errors
/// Returns the error of the first change that fails; earlier changes stay in effect.
pub async fn apply_objects(
    api: &Api,
    change_id: &str,
    operator: &str,
    objects: Vec<ConfigObject>,
) -> Result<Applied, CliError> {
    let revisions = current_revisions(api).await?;
    let mut applied = Applied {
        objects: objects.len(),
        changes: Vec::new(),
        revision: 0,
    };
    for (index, chunk) in objects.chunks(MAX_ITEMS_PER_CHANGE).enumerate() {
        let id = match index {
            0 => change_id.to_owned(),
            _ => format!("{change_id}.{}", index + 1),
        };
        let change = ChangeRequest {
            change_id: id.clone(),
            operator: operator.to_owned(),
            items: chunk
                .iter()
                .map(|object| put_item(object, &revisions))
                .collect(),
        };
        applied.revision = api.change(&change).await?.revision;
        applied.changes.push(id);
    }
    Ok(applied)
}

/// Returns the current revision of each object. Sent as the expected revisions, they make a
/// concurrent change by another operator a conflict instead of silently overwriting it.
async fn current_revisions(api: &Api) -> Result<HashMap<ConfigKey, Revision>, CliError> {
    let records = api.objects(None, None).await?;
    let records = records.into_iter();
    Ok(records
        .map(|record| (record.object.key(), record.revision))
        .collect())
}

fn put_item(object: &ConfigObject, revisions: &HashMap<ConfigKey, Revision>) -> ChangeItem {
    ChangeItem::Put {
        object: object.clone(),
        expected: Some(revisions.get(&object.key()).copied().unwrap_or(0)),
    }
}

/// Generates the id of a change.
pub fn new_change_id() -> String {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!(
        "change-{:x}-{:04x}",
        since_epoch.as_millis(),
        rand::random::<u16>()
    )
}
