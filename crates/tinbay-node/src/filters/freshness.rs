//! Lets requests pass only while the configuration of the box is as recent as it can know.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{Context, Failure, Filter};
use crate::state::Node;

/// Waits for contact with another box or the key-value service if there was none for a while, and
/// refuses requests before the first configuration has arrived.
pub struct FreshnessFilter;

impl Filter for FreshnessFilter {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        _context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>> {
        async move {
            node.refresh_after_silence().await;
            if node.config.in_force() == 0 {
                return Err(Failure::StaleConfiguration);
            }
            Ok(())
        }
        .boxed_local()
    }
}
