//! Stand-in for a plain service. It counts how often each call ran.

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

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// How long the response of a call is withheld when its reply is lost.
const MAX_HANG: Duration = Duration::from_secs(60);

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay of every call before it runs.
    pub delay_ms: u64,
    /// Number of next calls that run without a timely response.
    pub lose_replies: u32,
    /// Number of next calls that are refused before they run.
    pub refuse: u32,
    /// Fraction of calls that run without a timely response.
    pub lose_share: f64,
    /// Fraction of calls that are refused before they run.
    pub refuse_share: f64,
    /// Fraction of calls that run only after `late_ms`.
    pub late_share: f64,
    /// Delay of those calls.
    pub late_ms: u64,
    /// Seed for the selection of calls by these fractions.
    pub seed: u64,
}

/// How one call is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answer,
    Refuse,
    LoseReply,
    Delay,
}

/// Response to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Request key of the call, or its request id if it has none.
    pub call: String,
    /// How often the call has run, including this time.
    pub runs: u32,
    /// The request body.
    pub echo: String,
}

#[derive(Default)]
struct Service {
    faults: Mutex<ServiceFaults>,
    runs: Mutex<BTreeMap<String, u32>>,
    calls: AtomicU64,
}

impl Service {
    /// Selects the outcome of the next call: counted faults apply first, then the fractions.
    fn next_outcome(&self) -> Outcome {
        let mut faults = self.faults();
        if faults.refuse > 0 {
            faults.refuse -= 1;
            return Outcome::Refuse;
        }
        if faults.lose_replies > 0 {
            faults.lose_replies -= 1;
            return Outcome::LoseReply;
        }
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        let hash = xxh3_64_with_seed(&number.to_be_bytes(), faults.seed);
        let sample = hash as f64 / u64::MAX as f64;
        if sample < faults.lose_share {
            Outcome::LoseReply
        } else if sample < faults.lose_share + faults.refuse_share {
            Outcome::Refuse
        } else if sample < faults.lose_share + faults.refuse_share + faults.late_share {
            Outcome::Delay
        } else {
            Outcome::Answer
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
/// Returns an error if the server can't start.
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
    let Ok(body) = read_body(payload.into_inner(), MAX_BODY_BYTES).await else {
        return HttpResponse::BadRequest().finish();
    };
    let faults = *service.faults();
    let outcome = service.next_outcome();
    if outcome == Outcome::Refuse {
        return HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE)
            .header(headers::NOT_RUN, "true")
            .finish();
    }
    let delay_ms = match outcome {
        Outcome::Delay => faults.late_ms,
        _ => faults.delay_ms,
    };
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let name = call_id(&request);
    let runs = {
        let mut runs = service.runs();
        let count = runs.entry(name.clone()).or_default();
        *count += 1;
        *count
    };
    if outcome == Outcome::LoseReply {
        tokio::time::sleep(MAX_HANG).await;
    }
    reply::json(&ServiceAnswer {
        call: name,
        runs,
        echo: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// The caller's request key if present, otherwise the request id.
fn call_id(request: &HttpRequest) -> String {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    header(headers::KEY)
        .or_else(|| header(headers::REQUEST_ID))
        .unwrap_or_default()
}

async fn set_faults(service: State<Arc<Service>>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<ServiceFaults>(payload).await {
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
