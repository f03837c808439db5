//! `tinbay diff`.

use std::collections::HashMap;

use serde::Serialize;
use tinbay_core::config::{ConfigKey, ConfigObject};

use super::{api, block_on};
use crate::config_file::ConfigFile;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;

/// How an object of a file differs from the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Change {
    /// The object does not exist yet.
    Added,
    /// The object exists with different content.
    Changed,
}

#[derive(Debug, Serialize)]
struct Difference {
    object: ConfigKey,
    change: Change,
}

/// Compares a file with the configuration in force.
///
/// # Errors
/// Returns [`CliError::Differs`] if there is any difference, and the errors of
/// [`ConfigFile::read`] and of [`Api`](crate::api::Api).
pub fn run(common: &CommonOptions, file: &str) -> Result<(), CliError> {
    let wanted = ConfigFile::read(file)?.objects();
    let api = api(common);
    let records = block_on(move || async move { api.objects(None, None).await })?;
    let in_force: HashMap<ConfigKey, ConfigObject> = records
        .into_iter()
        .map(|record| (record.object.key(), record.object))
        .collect();
    let differences: Vec<Difference> = wanted
        .iter()
        .filter_map(|object| compare(object, &in_force))
        .collect();
    if common.json {
        print_json(&differences)?;
    } else {
        print_differences(&differences);
    }
    match differences.len() {
        0 => Ok(()),
        count => Err(CliError::Differs(count)),
    }
}

fn compare(
    object: &ConfigObject,
    in_force: &HashMap<ConfigKey, ConfigObject>,
) -> Option<Difference> {
    let key = object.key();
    let change = match in_force.get(&key) {
        None => Change::Added,
        Some(existing) if existing != object => Change::Changed,
        Some(_) => return None,
    };
    Some(Difference {
        object: key,
        change,
    })
}

fn print_differences(differences: &[Difference]) {
    for difference in differences {
        let sign = match difference.change {
            Change::Added => '+',
            Change::Changed => '~',
        };
        println!("{sign} {}", difference.object);
    }
}
