//! Looks up the configured objects that a request refers to.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::ids::ModelRef;
use tinbay_wire::headers;

use super::{Context, DEFAULT_CLASS, Failure, Filter, Operation, default_class};
use crate::state::Node;

/// Resolves the request's class and, for completions, its adapter and version.
pub struct CatalogFilter;

impl Filter for CatalogFilter {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        context: &'a mut Context<'_>,
    ) -> LocalBoxFuture<'a, Result<(), Failure>> {
        async move {
            find_class(node, context)?;
            match context.operation.clone() {
                Operation::Completion(request) => find_model(node, context, &request.model),
                Operation::Service { name, .. } => {
                    context.organisation = name;
                    Ok(())
                }
            }
        }
        .boxed_local()
    }
}

fn find_model(node: &Node, context: &mut Context<'_>, model: &ModelRef) -> Result<(), Failure> {
    let adapter = node
        .config
        .adapter(model.adapter())
        .ok_or_else(|| Failure::UnknownAdapter(model.adapter().to_owned()))?;
    if !node.config.has_version(model) {
        return Err(Failure::UnknownVersion(model.clone()));
    }
    context.base_model = adapter.base_model;
    context.organisation = adapter.organisation;
    Ok(())
}

fn find_class(node: &Node, context: &mut Context<'_>) -> Result<(), Failure> {
    let in_body = match &context.operation {
        Operation::Completion(request) => request.class.clone(),
        Operation::Service { .. } => None,
    };
    let named = in_body.or_else(|| context.header(headers::CLASS).map(str::to_owned));
    let name = named.as_deref().unwrap_or(DEFAULT_CLASS);
    context.class = match node.config.class(name) {
        Some(class) => class,
        None if name == DEFAULT_CLASS => default_class(),
        None => return Err(Failure::UnknownClass(name.to_owned())),
    };
    Ok(())
}
