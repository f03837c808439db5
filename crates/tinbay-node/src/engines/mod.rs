//! The border to model engines.

mod http;

pub use http::HttpEngine;

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tinbay_core::fence::Order;
use tinbay_core::ids::ModelRef;
use tinbay_http::stream::LineReader;
use tinbay_wire::engine::{EngineRefusal, EngineRequest, EngineState};

/// Why an engine did not do what it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Nothing was handed over.
    #[error("engine cannot be reached")]
    Unreachable,
    /// It refused; nothing ran.
    #[error("engine refused: {0}")]
    Refused(EngineRefusal),
    /// It was handed over and no answer came.
    #[error("engine gave no answer")]
    NoAnswer,
}

/// A model engine.
pub trait EngineApi {
    /// Runs a request or resumes its stream; the reader gives chunks as events.
    fn complete<'a>(
        &'a self,
        order: Order,
        call: &'a EngineRequest,
        within: Duration,
    ) -> LocalBoxFuture<'a, Result<LineReader, EngineError>>;

    /// Loads a model.
    fn load<'a>(
        &'a self,
        order: Order,
        model: &'a ModelRef,
        weights: &'a str,
    ) -> LocalBoxFuture<'a, Result<EngineState, EngineError>>;

    /// Unloads a model.
    fn unload<'a>(
        &'a self,
        order: Order,
        model: &'a ModelRef,
    ) -> LocalBoxFuture<'a, Result<EngineState, EngineError>>;

    /// Raises the highest fence the engine has seen and changes nothing else.
    fn fence(&self, order: Order) -> LocalBoxFuture<'_, Result<EngineState, EngineError>>;

    /// Reads what the engine holds and runs.
    fn state(&self) -> LocalBoxFuture<'_, Result<EngineState, EngineError>>;
}
