//! Watches the configuration in the key-value service while this box is a keeper. Other boxes fetch
//! it from the keepers of their zone or from one another.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::{ConfigChange, ConfigKey, ConfigObject, ConfigUpdate};
use tinbay_core::units::Revision;

use super::Controller;
use crate::logging::part;
use crate::platform::{Listing, PlatformError, WatchedChange, keys};
use crate::state::Node;

/// Delay before a watch is restarted, doubled with each failure. The jitter of all controllers
/// keeps keepers from reconnecting at the same moment after an outage.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Upper bound of the delay between attempts during a long outage.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A watch without events for this long is checked against the newest revision.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Applies configuration changes from the key-value service as they are made.
pub struct ConfigWatchController {
    node: Arc<Node>,
    failures: u32,
}

impl ConfigWatchController {
    /// Creates a controller without an active watch.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            failures: 0,
        }
    }

    async fn watch(&mut self) {
        if !self.is_keeper() {
            self.failures = 0;
            return;
        }
        match self.list_and_follow().await {
            Ok(()) => self.failures = 0,
            Err(error) => {
                self.failures = self.failures.saturating_add(1);
                log::debug!(target: part::CONFIG, "configuration watch ended, restarting it: {error}");
            }
        }
    }

    /// Reads the whole configuration once, then applies changes until an error occurs or this box
    /// is no longer a keeper.
    async fn list_and_follow(&mut self) -> Result<(), PlatformError> {
        let listing = self.node.kv.list(keys::CONFIG).await?;
        let from = listing.revision;
        self.node.config.apply_update(&whole_update(&listing));
        self.node.note_contact();
        self.failures = 0;
        log::info!(target: part::CONFIG, "configuration revision {from} is in force after a full read");
        let mut watch = self.node.kv.watch(keys::CONFIG, from + 1).await?;
        while self.is_keeper() {
            match tokio::time::timeout(WATCH_IDLE_TIMEOUT, watch.next()).await {
                Ok(changes) => self.apply(&changes?),
                Err(_) => self.check_head().await?,
            }
        }
        Ok(())
    }

    fn apply(&self, changes: &[WatchedChange]) {
        self.node.note_contact();
        for change in changes.iter().filter_map(to_change) {
            self.node
                .config
                .apply(&change.key, change.revision, change.object);
        }
        // All changes of a transaction arrive in one batch, so the highest revision is complete.
        if let Some(newest) = changes.iter().map(|change| change.revision).max() {
            self.node.config.advance(newest);
            log::debug!(target: part::CONFIG, "configuration revision {newest} is in force");
        }
    }

    /// Fails if the watch has missed a change, for instance because its connection broke without
    /// an error.
    async fn check_head(&self) -> Result<(), PlatformError> {
        let head = self.node.kv.get(keys::CONFIG_HEAD).await?;
        self.node.note_contact();
        let newest: Revision = head.map_or(0, |pair| pair.revision);
        if newest > self.node.config.in_force() {
            return Err(PlatformError::Unreachable);
        }
        Ok(())
    }

    fn is_keeper(&self) -> bool {
        self.node.has_joined() && self.node.is_keeper()
    }
}

/// Converts a listing of all stored objects into a full configuration update.
pub fn whole_update(listing: &Listing) -> ConfigUpdate {
    let changes = listing
        .pairs
        .iter()
        .filter_map(|pair| parse(&pair.key, pair.revision, Some(&pair.value)))
        .collect();
    ConfigUpdate {
        whole: true,
        revision: listing.revision,
        changes,
    }
}

fn to_change(change: &WatchedChange) -> Option<ConfigChange> {
    parse(&change.key, change.revision, change.value.as_deref())
}

/// Parses a stored object. One that cannot be parsed is logged and skipped.
fn parse(key: &str, revision: Revision, value: Option<&[u8]>) -> Option<ConfigChange> {
    let name = key.strip_prefix(keys::CONFIG)?;
    let key: ConfigKey = name.parse().ok()?;
    let object = match value {
        None => None,
        Some(json) => match serde_json::from_slice::<ConfigObject>(json) {
            Ok(object) => Some(object),
            Err(error) => {
                log::error!(target: part::CONFIG, "{key} at revision {revision} cannot be parsed, skipping it: {error}");
                return None;
            }
        },
    };
    Some(ConfigChange {
        key,
        revision,
        object,
    })
}

impl Controller for ConfigWatchController {
    fn period(&self) -> Duration {
        (RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(4))).min(MAX_RETRY_DELAY)
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.watch().boxed_local()
    }
}
