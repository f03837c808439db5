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

/// Objects in one change; the boxes take up to 100.
const ITEMS_PER_CHANGE: usize = 100;

/// What was applied.
#[derive(Debug, Clone, Serialize)]
pub struct Applied {
    /// Objects written.
    pub objects: usize,
    /// Changes made.
    pub changes: Vec<String>,
    /// The revision of the last one.
    pub revision: Revision,
}

/// Applies a file.
///
/// # Errors
/// As the calls it makes.
pub fn run(common: &CommonOptions, options: &ApplyOptions) -> Result<(), CliError> {
    let objects = ConfigFile::read(&options.file)?.objects();
    let api = api(common);
    let job = options.clone();
    let applied = block_on(move || async move {
        let id = job.change_id.unwrap_or_else(new_change_id);
        let applied = apply_objects(&api, &id, &job.operator, objects).await?;
        if let Some(wait_ms) = job.wait_ms {
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

/// Writes objects, up to 100 a change; further changes are named `ID.2`, `ID.3` and so on.
///
/// # Errors
/// As the first change that is refused; those before it stay.
pub async fn apply_objects(
    api: &Api,
    change_id: &str,
    operator: &str,
    objects: Vec<ConfigObject>,
) -> Result<Applied, CliError> {
    let seen = seen_revisions(api).await?;
    let mut applied = Applied {
        objects: objects.len(),
        changes: Vec::new(),
        revision: 0,
    };
    for (index, part) in objects.chunks(ITEMS_PER_CHANGE).enumerate() {
        let id = match index {
            0 => change_id.to_owned(),
            _ => format!("{change_id}.{}", index + 1),
        };
        let change = ChangeRequest {
            change_id: id.clone(),
            operator: operator.to_owned(),
            items: part.iter().map(|object| put(object, &seen)).collect(),
        };
        applied.revision = api.change(&change).await?.revision;
        applied.changes.push(id);
    }
    Ok(applied)
}

/// The revision of each object as this operator sees it; a change made by another in the
/// meantime is then a conflict instead of being overwritten unseen.
async fn seen_revisions(api: &Api) -> Result<HashMap<ConfigKey, Revision>, CliError> {
    let records = api.objects(None, None).await?;
    let keyed = records.into_iter();
    Ok(keyed
        .map(|record| (record.object.key(), record.revision))
        .collect())
}

fn put(object: &ConfigObject, seen: &HashMap<ConfigKey, Revision>) -> ChangeItem {
    ChangeItem::Put {
        object: object.clone(),
        expected: Some(seen.get(&object.key()).copied().unwrap_or(0)),
    }
}

/// A name for a change that was given none.
pub fn new_change_id() -> String {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("change-{:x}-{:04x}", age.as_millis(), rand::random::<u16>())
}
