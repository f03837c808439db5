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
use model::EngineModel;

/// Time-out of a fetch from the weight store.
const LOAD_WITHIN: Duration = Duration::from_secs(30);

/// Interval at which a reader polls a running stream for new chunks.
const CHUNK_POLL: Duration = Duration::from_millis(1);

/// How long a hanging request is held before it is handled.
const HANG: Duration = Duration::from_secs(60);

struct Engine {
    settings: EngineSettings,
    model: Mutex<EngineModel>,
}

type Shared = Arc<Engine>;

impl Engine {
    fn model(&self) -> MutexGuard<'_, EngineModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks the fence of an order, if this engine checks fences.
    fn check_order(&self, request: &HttpRequest) -> Result<(), EngineRefusal> {
        let order = read_order(request);
        if !self.settings.checks_orders {
            return Ok(());
        }
        let order = order.ok_or(EngineRefusal::NoFence)?;
        self.model().check_order(&order)
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
        model: Mutex::new(EngineModel::new(&settings)),
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
    let call: EngineRequest = match reply::body(payload).await {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    if engine.model().takes_hang() {
        tokio::time::sleep(HANG).await;
    }
    if let Err(refusal) = engine.check_order(&request) {
        return refuse(refusal);
    }
    let begun = match call.resume_from {
        Some(_) => engine.model().resume(&call),
        None => engine.model().begin(&call),
    };
    let run = match begun {
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
    let mut goes_on = true;
    while goes_on {
        let pause = engine.model().token_pause();
        tokio::time::sleep(pause).await;
        goes_on = engine.model().add_token(&call.request, run);
    }
}

/// Sends the chunks of a stream to one reader, with the injected faults.
async fn send_stream(engine: Shared, call: EngineRequest, run: u64, body: BodySender) {
    let mut position = call.resume_from.unwrap_or(0);
    let breaks_after = engine.model().takes_break();
    loop {
        let ready = engine.model().chunk(&call, run, position);
        let chunk = match ready {
            model::NextChunk::Ready(chunk) => chunk,
            model::NextChunk::NotYet => {
                if body.is_closed() {
                    return;
                }
                tokio::time::sleep(CHUNK_POLL).await;
                continue;
            }
            model::NextChunk::Gone => return,
        };
        if breaks_after == Some(position) {
            return;
        }
        let repeats = engine.model().repeats_chunks();
        for _ in 0..=u32::from(repeats) {
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
struct ReaderGone;

async fn send_chunk(body: &BodySender, chunk: &Chunk) -> Result<(), ReaderGone> {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    body.send(event(&json)).await.map_err(|_| ReaderGone)
}

async fn cancel(engine: State<Shared>, payload: Payload) -> HttpResponse {
    match reply::body::<EngineRequest>(payload).await {
        Ok(call) => {
            engine.model().cancel(&call.request);
            reply::json(&engine.model().state())
        }
        Err(answer) => answer,
    }
}

async fn load(engine: State<Shared>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let order: AdapterOrder = match reply::body(payload).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    if let Err(refusal) = engine.check_order(&request) {
        return refuse(refusal);
    }
    let incarnation = match engine.model().begin_load(&order.lora_name) {
        Ok(incarnation) => incarnation,
        Err(refusal) => return refuse(refusal),
    };
    let fetched = fetch_weights(&engine.settings, &order).await;
    if engine
        .model()
        .end_load(&order.lora_name, incarnation, fetched)
    {
        return reply::json(&engine.model().state());
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
    let fetched: Result<FetchRequest, _> = post_json(&url, &request, LOAD_WITHIN).await;
    fetched.is_ok()
}

async fn unload(engine: State<Shared>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let order: AdapterOrder = match reply::body(payload).await {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    if let Err(refusal) = engine.check_order(&request) {
        return refuse(refusal);
    }
    // Not in the scrutinee of the match: its lock would be held while the response takes it again.
    let unloaded = engine.model().unload(&order.lora_name);
    match unloaded {
        Ok(()) => reply::json(&engine.model().state()),
        Err(refusal) => refuse(refusal),
    }
}

/// Handles an order that only raises the highest fence seen.
async fn fence(engine: State<Shared>, request: HttpRequest) -> HttpResponse {
    match engine.check_order(&request) {
        Ok(()) => reply::json(&engine.model().state()),
        Err(refusal) => refuse(refusal),
    }
}

async fn read_state(engine: State<Shared>) -> HttpResponse {
    reply::json(&engine.model().state())
}

async fn set_faults(engine: State<Shared>, payload: Payload) -> HttpResponse {
    match reply::body::<EngineFaults>(payload).await {
        Ok(faults) => {
            engine.model().set_faults(faults);
            reply::json(&faults)
        }
        Err(answer) => answer,
    }
}

async fn restart(engine: State<Shared>) -> HttpResponse {
    engine.model().restart();
    reply::json(&engine.model().state())
}

async fn leave(engine: State<Shared>) -> HttpResponse {
    engine.model().leave();
    reply::json(&engine.model().state())
}

async fn read_report(engine: State<Shared>) -> HttpResponse {
    reply::json(engine.model().report())
}
