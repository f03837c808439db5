//! The lease under which a box gives orders to engines that do not check them.
//!
//! The lease is a key in the key-value service. The holder counts its life from before it
//! asked for the renewal, so it knows of the end no later than the service does.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::config::EngineSpec;
use tinbay_core::units::Millis;

use super::Controller;
use crate::logging::part;
use crate::platform::{LeaseId, PlatformError, TxnEnd, Write, keys};
use crate::state::Node;

/// Life of the lease.
pub const LEASE_TTL_MS: Millis = 5_000;

/// The same as the key-value service takes it.
const TTL_S: i64 = LEASE_TTL_MS as i64 / 1_000;

/// Time between renewals.
const PERIOD: Duration = Duration::from_secs(1);

/// The holder holds the lease for over this much before the service does.
const MARGIN_MS: Millis = 1_000;

/// Until when orders may be given; read right before each.
#[derive(Debug, Default)]
pub struct BoxLease {
    sure_until_ms: AtomicU64,
}

impl BoxLease {
    /// Whether the lease is certainly held at `now_ms`.
    pub fn is_sure(&self, now_ms: Millis) -> bool {
        now_ms < self.sure_until_ms.load(Ordering::Acquire)
    }

    fn extend(&self, until_ms: Millis) {
        self.sure_until_ms.store(until_ms, Ordering::Release);
    }
}

/// Holds the lease while the box may own engines that check no orders.
pub struct BoxLeaseController {
    node: Arc<Node>,
    lease: Option<LeaseId>,
    /// State of the fleet for which it was last looked whether a lease is needed.
    generation: Option<u64>,
    needed: bool,
}

impl BoxLeaseController {
    /// A controller without a lease.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            lease: None,
            generation: None,
            needed: false,
        }
    }

    async fn hold(&mut self) {
        if !self.is_needed() {
            return;
        }
        let asked_ms = self.node.clock.now_ms();
        let held = match self.lease {
            Some(lease) => self.renew(lease).await,
            None => self.begin().await,
        };
        match held {
            Ok(true) => {
                let life_ms = LEASE_TTL_MS - MARGIN_MS;
                self.node.lease.extend(asked_ms + life_ms);
            }
            Ok(false) => self.lease = None,
            Err(error) => log::debug!(target: part::OWNER, "lease not renewed: {error}"),
        }
    }

    /// Whether any engine of the region checks no orders; looked up once a fleet change, since
    /// there may be thousands.
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

    async fn begin(&mut self) -> Result<bool, PlatformError> {
        let lease = self.node.kv.grant_lease(TTL_S).await?;
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
        self.hold().boxed_local()
    }
}
