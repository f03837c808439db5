//! HTTP client for model engines.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ntex::client::ClientResponse;
use serde::Serialize;
use tinbay_core::fence::Order;
use tinbay_core::ids::ModelRef;
use tinbay_http::client::{CallError, await_head, get_json, pooled_client, read_answer, read_any};
use tinbay_http::stream::LineReader;
use tinbay_wire::engine::{AdapterOrder, EngineRefusalBody, EngineRequest, EngineState};
use tinbay_wire::headers;

use super::{EngineApi, EngineError};

/// Timeout of every call except loads and completions.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for loading an adapter.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP status (409 Conflict) with which an engine refuses an order without acting on it.
const REFUSAL_STATUS: u16 = 409;

/// Client of the engine at one address.
pub struct HttpEngine {
    base: String,
}

impl HttpEngine {
    /// Creates a client of the engine at `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            base: format!("http://{address}"),
        }
    }

    async fn post<B: Serialize>(
        &self,
        path: &str,
        order: Order,
        body: &B,
        timeout: Duration,
    ) -> Result<ClientResponse, EngineError> {
        let url = format!("{}{path}", self.base);
        let request = pooled_client()
            .await
            .post(url.as_str())
            .set_header(headers::FENCE, order.to_string());
        let response = await_head(request.send_json(body), timeout)
            .await
            .map_err(to_engine_error)?;
        if response.status().is_success() {
            return Ok(response);
        }
        if response.status().as_u16() != REFUSAL_STATUS {
            return Err(EngineError::NoAnswer);
        }
        let refusal: EngineRefusalBody = read_any(&response).await.map_err(to_engine_error)?;
        Err(EngineError::Refused(refusal.refusal))
    }

    async fn order<B: Serialize>(
        &self,
        path: &str,
        order: Order,
        body: &B,
        timeout: Duration,
    ) -> Result<EngineState, EngineError> {
        let response = self.post(path, order, body, timeout).await?;
        read_answer(&response).await.map_err(to_engine_error)
    }
}

fn to_engine_error(error: CallError) -> EngineError {
    match error {
        CallError::NotConnected => EngineError::Unreachable,
        _ => EngineError::NoAnswer,
    }
}

impl EngineApi for HttpEngine {
    fn complete<'a>(
        &'a self,
        order: Order,
        call: &'a EngineRequest,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<LineReader, EngineError>> {
        async move {
            let response = self.post("/v1/completions", order, call, timeout).await?;
            Ok(LineReader::new(response.take_payload()))
        }
        .boxed_local()
    }

    fn load<'a>(
        &'a self,
        order: Order,
        model: &'a ModelRef,
        weights: &'a str,
    ) -> LocalBoxFuture<'a, Result<EngineState, EngineError>> {
        async move {
            let body = AdapterOrder {
                lora_name: model.clone(),
                lora_path: weights.to_owned(),
            };
            self.order("/v1/load_lora_adapter", order, &body, LOAD_TIMEOUT)
                .await
        }
        .boxed_local()
    }

    fn unload<'a>(
        &'a self,
        order: Order,
        model: &'a ModelRef,
    ) -> LocalBoxFuture<'a, Result<EngineState, EngineError>> {
        async move {
            let body = AdapterOrder {
                lora_name: model.clone(),
                lora_path: String::new(),
            };
            self.order("/v1/unload_lora_adapter", order, &body, ORDER_TIMEOUT)
                .await
        }
        .boxed_local()
    }

    fn fence(&self, order: Order) -> LocalBoxFuture<'_, Result<EngineState, EngineError>> {
        async move { self.order("/v1/fence", order, &(), ORDER_TIMEOUT).await }.boxed_local()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<EngineState, EngineError>> {
        async move {
            let url = format!("{}/v1/state", self.base);
            get_json(&url, ORDER_TIMEOUT).await.map_err(to_engine_error)
        }
        .boxed_local()
    }
}
