//! Prevents requests from being served with an outdated configuration, for instance after the
//! process was suspended.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{Context, Failure, Filter};
use crate::state::Node;

/// Delays requests until there is contact with another box or the key-value service, if there was
/// none for a while, and refuses them before the first configuration has arrived.
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
