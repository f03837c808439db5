//! `tinbay status`.

use tinbay_core::view::BoxState;
use tinbay_wire::admin::{EngineStatus, Status};

use super::{api, block_on};
use crate::api::Api;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::{Table, print_json};

/// Prints boxes, engines and revisions in force.
///
/// # Errors
/// Returns the errors of [`Api`].
pub fn run(common: &CommonOptions) -> Result<(), CliError> {
    let api = api(common);
    let token = common.token.clone();
    let status = block_on(move || async move {
        let mut status = api.status().await?;
        status.engines = fetch_engines(&status, token).await;
        Ok(status)
    })?;
    if common.json {
        return print_json(&status);
    }
    print_status(&status);
    Ok(())
}

/// Returns the engines of all boxes that answer.
async fn fetch_engines(status: &Status, token: Option<String>) -> Vec<EngineStatus> {
    let mut engines = Vec::new();
    for entry in &status.boxes {
        let api = Api::new(&CommonOptions {
            box_addresses: vec![entry.record.address.clone()],
            token: token.clone(),
            json: false,
        });
        if let Ok(answer) = api.status().await {
            engines.extend(answer.engines);
        }
    }
    engines.sort_by(|a, b| a.engine.cmp(&b.engine));
    engines
}

fn print_status(status: &Status) {
    println!(
        "revision {} in force at {}",
        status.revision, status.answered_by
    );
    let mut boxes = Table::new(&["BOX", "ZONE", "STATE", "ADDRESS", "REVISION", "SILENT_MS"]);
    for entry in &status.boxes {
        let state = match entry.record.state {
            BoxState::Live => "live",
            BoxState::Leaving => "leaving",
            BoxState::Starting => "starting",
        };
        let revision = entry
            .revision
            .map_or_else(|| "-".to_owned(), |r| r.to_string());
        boxes.add(vec![
            entry.record.id.to_string(),
            entry.record.zone.to_string(),
            state.to_owned(),
            entry.record.address.clone(),
            revision,
            entry.silent_ms.to_string(),
        ]);
    }
    print!("\n{boxes}");
    let mut engines = Table::new(&[
        "ENGINE", "OWNER", "EPOCH", "RANK", "READY", "LOADED", "QUEUED", "RUNNING",
    ]);
    for engine in &status.engines {
        engines.add(vec![
            engine.engine.to_string(),
            engine.owner.to_string(),
            engine.epoch.to_string(),
            engine.rank.to_string(),
            engine.ready.to_string(),
            engine.loaded.len().to_string(),
            engine.queued.to_string(),
            engine.running.to_string(),
        ]);
    }
    print!("\n{engines}");
}
