//! Lets requests pass only while the box can serve by the newest configuration it can know.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{Context, Failure, Filter};
use crate::state::Node;

/// Waits after a silence, refuses before the first configuration.
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
