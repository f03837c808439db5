//! Stand-in for a plain service; it counts how often each call ran.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use tinbay_http::body::read_body;
use tinbay_http::server::{ServerHandle, start_server};
use tinbay_wire::headers;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::reply;

/// Longest call body taken.
const MAX_CALL_BYTES: usize = 1024 * 1024;

/// How long a hanging call hangs at most.
const HANG: Duration = Duration::from_secs(60);

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Added to every call before it runs.
    pub delay_ms: u64,
    /// So many of the next calls run and never answer.
    pub lose_replies: u32,
    /// So many of the next calls are refused before they run.
    pub refuse: u32,
    /// Share of the calls that run and never answer.
    pub lose_share: f64,
    /// Share of the calls that are refused before they run.
    pub refuse_share: f64,
    /// Share of the calls that run late, after `late_ms`.
    pub late_share: f64,
    /// How late.
    pub late_ms: u64,
    /// Seed of the shares' draws.
    pub seed: u64,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answer,
    Refuse,
    Lose,
    Late,
}

/// Answer of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The call's name, as the caller's request id has it.
    pub call: String,
    /// How often it has run, this time included.
    pub runs: u32,
    /// The body that came.
    pub echo: String,
}

#[derive(Default)]
struct Service {
    faults: Mutex<ServiceFaults>,
    runs: Mutex<BTreeMap<String, u32>>,
    calls: AtomicU64,
}

impl Service {
    /// Draws what becomes of the next call: the counted faults first, then the shares.
    fn draw(&self) -> Fate {
        let mut faults = self.faults();
        if faults.refuse > 0 {
            faults.refuse -= 1;
            return Fate::Refuse;
        }
        if faults.lose_replies > 0 {
            faults.lose_replies -= 1;
            return Fate::Lose;
        }
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        let hash = xxh3_64_with_seed(&number.to_be_bytes(), faults.seed);
        let point = hash as f64 / u64::MAX as f64;
        if point < faults.lose_share {
            Fate::Lose
        } else if point < faults.lose_share + faults.refuse_share {
            Fate::Refuse
        } else if point < faults.lose_share + faults.refuse_share + faults.late_share {
            Fate::Late
        } else {
            Fate::Answer
        }
    }

    fn faults(&self) -> MutexGuard<'_, ServiceFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the stand-in.
///
/// # Errors
/// When the server cannot start.
pub fn start(listener: TcpListener) -> io::Result<ServerHandle> {
    let service = Arc::new(Service::default());
    start_server("service", listener, 1, move |app| {
        app.state(Arc::clone(&service))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/runs", web::get().to(read_runs))
            .route("/{call}*", web::post().to(call));
    })
}

async fn call(
    service: State<Arc<Service>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let Ok(body) = read_body(payload.into_inner(), MAX_CALL_BYTES).await else {
        return HttpResponse::BadRequest().finish();
    };
    let faults = *service.faults();
    let fate = service.draw();
    if fate == Fate::Refuse {
        return HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE)
            .header(headers::NOT_RUN, "true")
            .finish();
    }
    let delay_ms = match fate {
        Fate::Late => faults.late_ms,
        _ => faults.delay_ms,
    };
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let name = call_name(&request);
    let runs = {
        let mut runs = service.runs();
        let count = runs.entry(name.clone()).or_default();
        *count += 1;
        *count
    };
    if fate == Fate::Lose {
        tokio::time::sleep(HANG).await;
    }
    reply::json(&ServiceAnswer {
        call: name,
        runs,
        echo: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// The caller's key where there is one, else the request id.
fn call_name(request: &HttpRequest) -> String {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    header(headers::KEY)
        .or_else(|| header(headers::REQUEST_ID))
        .unwrap_or_default()
}

async fn set_faults(service: State<Arc<Service>>, payload: Payload) -> HttpResponse {
    match reply::body::<ServiceFaults>(payload).await {
        Ok(faults) => {
            *service.faults() = faults;
            reply::json(&faults)
        }
        Err(answer) => answer,
    }
}

async fn read_runs(service: State<Arc<Service>>) -> HttpResponse {
    reply::json(&*service.runs())
}
