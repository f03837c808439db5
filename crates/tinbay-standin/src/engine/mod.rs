//! Stand-in for a model engine: adapter slots, a batch, streams that can be resumed and
//! cancelled, and an optional check of the fence of orders.
//!
//! The generated text depends only on model, prompt and position, so that tests can recognize a
//! wrong answer. `/control/faults` injects faults; `/control/report` returns what ran, and counts
//! of orders and requests that a correct box does not send.

mod model;
mod text;

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use tinbay_core::assemble::Chunk;
use tinbay_core::fence::Order;
use tinbay_http::client::post_json;
use tinbay_http::server::{ServerHandle, start_server};
use tinbay_http::stream::{BodySender, body_channel, event};
use tinbay_wire::completion::DONE_EVENT;
use tinbay_wire::engine::{AdapterOrder, EngineRefusal, EngineRefusalBody, EngineRequest};
use tinbay_wire::headers;

pub use model::{EngineFaults, EngineReport, EngineSettings};
pub use text::{expected_text, token_text};

use crate::reply;
use crate::weights::FetchRequest;
use model::SimulatedEngine;

/// Time-out of a fetch from the weight store.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a reader polls a running stream for new chunks.
const CHUNK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How long a hanging request is held before it is handled.
const MAX_HANG: Duration = Duration::from_secs(60);

struct Engine {
    settings: EngineSettings,
    simulation: Mutex<SimulatedEngine>,
}

type Shared = Arc<Engine>;

impl Engine {
    fn simulation(&self) -> MutexGuard<'_, SimulatedEngine> {
        self.simulation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks the fence of an order, if this engine checks fences.
    fn check_order(&self, request: &HttpRequest) -> Result<(), EngineRefusal> {
        let order = read_order(request);
        if !self.settings.checks_orders {
            return Ok(());
        }
        let order = order.ok_or(EngineRefusal::NoFence)?;
        self.simulation().check_order(&order)
    }
}

fn read_order(request: &HttpRequest) -> Option<Order> {
    let value = request.headers().get(headers::FENCE)?;
    value.to_str().ok()?.parse().ok()
}

fn refuse(refusal: EngineRefusal) -> HttpResponse {
    reply::json_status(StatusCode::CONFLICT, &EngineRefusalBody { refusal })
}

/// Starts the stand-in.
///
/// # Errors
/// Returns an error if the server can't start.
pub fn start(listener: TcpListener, settings: EngineSettings) -> io::Result<ServerHandle> {
    let engine = Arc::new(Engine {
        simulation: Mutex::new(SimulatedEngine::new(&settings)),
        settings,
    });
    start_server("engine", listener, 2, move |app| {
        app.state(Arc::clone(&engine))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/cancel", web::post().to(cancel))
            .route("/v1/load_lora_adapter", web::post().to(load))
            .route("/v1/unload_lora_adapter", web::post().to(unload))
            .route("/v1/fence", web::post().to(fence))
            .route("/v1/state", web::get().to(read_state))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/restart", web::post().to(restart))
            .route("/control/leave", web::post().to(leave))
            .route("/control/report", web::get().to(read_report));
    })
}

async fn complete(engine: State<Shared>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let call: EngineRequest = match reply::parse_body(payload).await {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    if engine.simulation().take_hang() {
        tokio::time::sleep(MAX_HANG).await;
    }
    let delay_ms = engine.simulation().faults().start_delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if let Err(refusal) = engine.check_order(&request) {
        return refuse(refusal);
    }
    let started = match call.resume_from {
        Some(_) => engine.simulation().resume(&call),
        None => engine.simulation().start_run(&call),
    };
    let run = match started {
        Ok(run) => run,
        Err(refusal) => return refuse(refusal),
    };
    if call.resume_from.is_none() {
        ntex::rt::spawn(generate(Arc::clone(&engine), call.clone(), run));
    }
    let (body, stream) = body_channel();
    ntex::rt::spawn(send_stream(Arc::clone(&engine), call, run, body));
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream)
}

/// Generates the tokens of a request, also if no one reads them.
async fn generate(engine: Shared, call: EngineRequest, run: u64) {
    let prefill_ms = engine.settings.prefill_ms;
    tokio::time::sleep(Duration::from_millis(prefill_ms)).await;
    let mut continues = true;
    while continues {
        let interval = engine.simulation().token_interval();
        tokio::time::sleep(interval).await;
        continues = engine.simulation().add_token(&call.request, run);
    }
}

/// Sends the chunks of a stream to one reader, with the injected faults.
async fn send_stream(engine: Shared, call: EngineRequest, run: u64, body: BodySender) {
    let mut position = call.resume_from.unwrap_or(0);
    let break_position = engine.simulation().take_break();
    loop {
        let ready = engine.simulation().chunk(&call, run, position);
        let chunk = match ready {
            model::NextChunk::Ready(chunk) => chunk,
            model::NextChunk::Pending => {
                if body.is_closed() {
                    return;
                }
                tokio::time::sleep(CHUNK_POLL_INTERVAL).await;
                continue;
            }
            model::NextChunk::Ended => return,
        };
        if break_position == Some(position) {
            return;
        }
        let sends_twice = engine.simulation().sends_chunks_twice();
        for _ in 0..=u32::from(sends_twice) {
            if send_chunk(&body, &chunk).await.is_err() {
                return;
            }
        }
        position += 1;
        if chunk.last {
            let _ = body.send(event(DONE_EVENT)).await;
            return;
        }
    }
}

#[derive(Debug)]
struct Disconnected;

async fn send_chunk(body: &BodySender, chunk: &Chunk) -> Result<(), Disconnected> {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    body.send(event(&json)).await.map_err(|_| Disconnected)
}

async fn cancel(engine: State<Shared>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<EngineRequest>(payload).await {
        Ok(call) => {
            engine.simulation().cancel(&call.request);
            reply::json(&engine.simulation().state())
        }
        Err(answer) => answer,
    }
}

async fn load(engine: State<Shared>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let order: AdapterOrder = match reply::parse_body(payload).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    execute(execute_load(Arc::clone(&engine), request, order)).await
}

/// Executes an order in a task of its own, so that it ends also if its sender disconnects before.
async fn execute(order: impl Future<Output = HttpResponse> + 'static) -> HttpResponse {
    let executed = ntex::rt::spawn(order).await;
    executed.unwrap_or_else(|_| HttpResponse::InternalServerError().finish())
}

async fn execute_load(engine: Shared, request: HttpRequest, order: AdapterOrder) -> HttpResponse {
    if let Err(refusal) = engine.check_order(&request) {
        return refuse(refusal);
    }
    let incarnation = match engine.simulation().start_load(&order.lora_name) {
        Ok(incarnation) => incarnation,
        Err(refusal) => return refuse(refusal),
    };
    let fetched = fetch_weights(&engine.settings, &order).await;
    if engine
        .simulation()
        .end_load(&order.lora_name, incarnation, fetched)
    {
        return reply::json(&engine.simulation().state());
    }
    refuse(EngineRefusal::LoadFailed)
}

async fn fetch_weights(settings: &EngineSettings, order: &AdapterOrder) -> bool {
    let Some(store) = &settings.weight_store else {
        tokio::time::sleep(Duration::from_millis(settings.load_ms)).await;
        return true;
    };
    let request = FetchRequest {
        path: order.lora_path.clone(),
    };
    let url = format!("http://{store}/v1/fetch");
    let fetched: Result<FetchRequest, _> = post_json(&url, &request, LOAD_TIMEOUT).await;
    fetched.is_ok()
}

async fn unload(engine: State<Shared>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let order: AdapterOrder = match reply::parse_body(payload).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    execute(execute_unload(Arc::clone(&engine), request, order)).await
}

async fn execute_unload(engine: Shared, request: HttpRequest, order: AdapterOrder) -> HttpResponse {
    let delay_ms = engine.simulation().faults().unload_delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if let Err(refusal) = engine.check_order(&request) {
        return refuse(refusal);
    }
    // Not in the scrutinee of the match: its lock would be held while the response takes it again.
    let unloaded = engine.simulation().unload(&order.lora_name);
    match unloaded {
        Ok(()) => reply::json(&engine.simulation().state()),
        Err(refusal) => refuse(refusal),
    }
}

/// Handles an order that only raises the highest fence seen.
async fn fence(engine: State<Shared>, request: HttpRequest) -> HttpResponse {
    match engine.check_order(&request) {
        Ok(()) => reply::json(&engine.simulation().state()),
        Err(refusal) => refuse(refusal),
    }
}

async fn read_state(engine: State<Shared>) -> HttpResponse {
    reply::json(&engine.simulation().state())
}

async fn set_faults(engine: State<Shared>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<EngineFaults>(payload).await {
        Ok(faults) => {
            engine.simulation().set_faults(faults);
            reply::json(&faults)
        }
        Err(answer) => answer,
    }
}

async fn restart(engine: State<Shared>) -> HttpResponse {
    engine.simulation().restart();
    reply::json(&engine.simulation().state())
}

async fn leave(engine: State<Shared>) -> HttpResponse {
    engine.simulation().leave();
    reply::json(&engine.simulation().state())
}

async fn read_report(engine: State<Shared>) -> HttpResponse {
    reply::json(engine.simulation().report())
}
