//! The lease that a box needs to send orders to engines that do not check fencing tokens.
//!
//! The lease is a key in the key-value service. The holder measures the lifetime from before it
//! sent the renewal, so it considers the lease expired no later than the service does.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::EngineSpec;
use tinbay_core::units::Millis;

use super::Controller;
use crate::logging::part;
use crate::platform::{LeaseId, PlatformError, TxnEnd, Write, keys};
use crate::state::Node;

/// Lifetime of the lease.
pub const LEASE_TTL_MS: Millis = 5_000;

/// [`LEASE_TTL_MS`] in the unit of the key-value service.
const LEASE_TTL_S: i64 = LEASE_TTL_MS as i64 / 1_000;

/// Time between renewals.
const PERIOD: Duration = Duration::from_secs(1);

/// The holder considers the lease expired this much earlier than the service does.
const SAFETY_MARGIN_MS: Millis = 1_000;

/// Holds the lease while the region has engines that do not check orders.
pub struct BoxLeaseController {
    node: Arc<Node>,
    lease: Option<LeaseId>,
    /// Generation of the fleet configuration for which `needed` was computed.
    generation: Option<u64>,
    needed: bool,
}

impl BoxLeaseController {
    /// Creates a controller without a lease.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            lease: None,
            generation: None,
            needed: false,
        }
    }

    async fn acquire_or_renew(&mut self) {
        if !self.is_needed() {
            return;
        }
        let requested_ms = self.node.clock.now_ms();
        let outcome = self.renew_or_acquire().await;
        let now_ms = self.node.clock.now_ms();
        match outcome {
            Ok(true) => {
                let lifetime_ms = LEASE_TTL_MS - SAFETY_MARGIN_MS;
                self.node.lease.extend(requested_ms + lifetime_ms, now_ms);
            }
            Ok(false) => self.lease = None,
            Err(error) => {
                self.node.lease.record_failure(now_ms);
                log::debug!(target: part::OWNER, "box lease not acquired or renewed, retrying: {error}")
            }
        }
    }

    async fn renew_or_acquire(&mut self) -> Result<bool, PlatformError> {
        if let Some(lease) = self.lease {
            if self.renew(lease).await? {
                return Ok(true);
            }
            self.lease = None;
        }
        self.acquire().await
    }

    /// Whether any engine of the region does not check orders. Cached until the fleet configuration
    /// changes, since there may be thousands of engines.
    fn is_needed(&mut self) -> bool {
        let generation = self.node.config.fleet_generation();
        if self.generation != Some(generation) {
            self.generation = Some(generation);
            self.needed = self.has_unchecked_engine();
        }
        self.needed
    }

    fn has_unchecked_engine(&self) -> bool {
        let unchecked = |engine: &EngineSpec| {
            !engine.checks_orders && engine.region == self.node.options.region
        };
        self.node.config.engines().iter().any(unchecked)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        self.node.kv.keep_lease(lease).await
    }

    async fn acquire(&mut self) -> Result<bool, PlatformError> {
        let lease = self.node.kv.grant_lease(LEASE_TTL_S).await?;
        let write = Write::Put {
            key: keys::lease(self.node.id()),
            value: self.node.incarnation.to_string().into_bytes(),
            lease: Some(lease),
        };
        let end = self.node.kv.txn(&[], &[write]).await?;
        self.lease = Some(lease);
        Ok(matches!(end, TxnEnd::Done(_)))
    }
}

impl Controller for BoxLeaseController {
    fn period(&self) -> Duration {
        PERIOD
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.acquire_or_renew().boxed_local()
    }
}
