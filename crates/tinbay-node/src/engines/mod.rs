//! Interface to model engines.

mod http;

pub use http::HttpEngine;

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tinbay_core::fence::Order;
use tinbay_core::ids::ModelRef;
use tinbay_http::stream::LineReader;
use tinbay_wire::engine::{EngineRefusal, EngineRequest, EngineState};

/// Why an engine did not carry out an order or answer a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No connection to the engine; the order was not sent.
    #[error("engine cannot be reached")]
    Unreachable,
    /// The engine refused the order and did nothing.
    #[error("engine refused: {0}")]
    Refused(EngineRefusal),
    /// No valid response arrived; the engine may have carried out the order.
    #[error("engine gave no answer")]
    NoAnswer,
}

/// Operations of a model engine.
pub trait EngineApi {
    /// Runs a request or resumes its stream; the reader yields one event per chunk.
    /// `timeout` limits the wait for the response head, not the stream.
    fn complete<'a>(
        &'a self,
        order: Order,
        call: &'a EngineRequest,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<LineReader, EngineError>>;

    /// Loads a model from its weights.
    fn load<'a>(
        &'a self,
        order: Order,
        model: &'a ModelRef,
        weights: &'a str,
    ) -> LocalBoxFuture<'a, Result<EngineState, EngineError>>;

    /// Unloads a model and frees its place on the engine.
    fn unload<'a>(
        &'a self,
        order: Order,
        model: &'a ModelRef,
    ) -> LocalBoxFuture<'a, Result<EngineState, EngineError>>;

    /// Raises the highest fencing token that the engine has seen and changes nothing else.
    fn fence(&self, order: Order) -> LocalBoxFuture<'_, Result<EngineState, EngineError>>;

    /// Reads which models the engine has loaded and which requests it runs.
    fn state(&self) -> LocalBoxFuture<'_, Result<EngineState, EngineError>>;
}
