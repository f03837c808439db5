//! Determines a request's scheduling parameters from its class and policy.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::policy::{PolicyRequest, Treatment};

use super::{Context, Failure, Filter, Operation};
use crate::state::Node;

/// Sets the treatment of a request by running the policy of its class.
pub struct TreatmentFilter;

impl Filter for TreatmentFilter {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>> {
        async move {
            context.treatment = treat(node, context);
            Ok(())
        }
        .boxed_local()
    }
}

fn treat(node: &Node, context: &Context<'_>) -> Treatment {
    let class = &context.class;
    let (adapter, prompt_bytes, max_tokens, repeatable) = match &context.operation {
        Operation::Completion(request) => (
            request.model.adapter(),
            request.prompt.len(),
            request.max_tokens,
            true,
        ),
        Operation::Service { repeatable, .. } => ("", 0, 0, *repeatable),
    };
    let request = PolicyRequest {
        class: &class.name,
        organisation: &context.organisation,
        adapter,
        prompt_bytes,
        max_tokens,
        base: Treatment {
            rank: class.rank,
            urgent: class.urgent,
            max_wait_ms: class.max_wait_ms,
            repeatable: class.repeatable && repeatable,
        },
    };
    node.policies
        .treat(&node.config, &node.metrics, class, &request)
}
