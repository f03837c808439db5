//! Stand-in for the weight store: fetches are limited in rate, and slow down beyond a number of
//! concurrent ones.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};
use tinbay_http::server::{ServerHandle, start_server};

use crate::reply;

/// Capacity of the store.
#[derive(Debug, Clone)]
pub struct WeightStoreSettings {
    /// Fetches that may start per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent fetches at which each runs at full speed.
    pub at_once: u32,
    /// Duration of a fetch at full speed.
    pub load_ms: u64,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            loads_per_s: 9.0,
            at_once: 6,
            load_ms: 120,
        }
    }
}

/// Body of `POST /v1/fetch`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Location of the weights.
    pub path: String,
}

/// Response of `GET /control/fetches`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct FetchCounts {
    /// Fetches started.
    pub begun: u64,
    /// Maximum number of concurrent fetches so far.
    pub most_at_once: u32,
}

struct Weights {
    settings: WeightStoreSettings,
    state: Mutex<StoreState>,
}

struct StoreState {
    next_start: Instant,
    active: u32,
    counts: FetchCounts,
}

impl Weights {
    /// Reserves the next start time that the rate allows.
    fn reserve_start(&self) -> Instant {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let start = state.next_start.max(Instant::now());
        state.next_start = start + Duration::from_secs_f64(1.0 / self.settings.loads_per_s);
        start
    }

    /// Starts a fetch; returns its duration, given the fetches that already run.
    fn start_fetch(&self) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.active += 1;
        state.counts.begun += 1;
        state.counts.most_at_once = state.counts.most_at_once.max(state.active);
        let slowdown = f64::from(state.active) / f64::from(self.settings.at_once);
        Duration::from_millis(self.settings.load_ms).mul_f64(slowdown.max(1.0))
    }

    fn end_fetch(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.active -= 1;
    }
}

/// Starts the stand-in.
///
/// # Errors
/// Returns an error if the server can't start.
pub fn start(listener: TcpListener, settings: WeightStoreSettings) -> io::Result<ServerHandle> {
    let weights = Arc::new(Weights {
        settings,
        state: Mutex::new(StoreState {
            next_start: Instant::now(),
            active: 0,
            counts: FetchCounts::default(),
        }),
    });
    start_server("weights", listener, 1, move |app| {
        app.state(Arc::clone(&weights))
            .route("/v1/fetch", web::post().to(fetch))
            .route("/control/fetches", web::get().to(read_counts));
    })
}

async fn fetch(weights: State<Arc<Weights>>, payload: Payload) -> HttpResponse {
    let request: FetchRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    tokio::time::sleep_until(weights.reserve_start().into()).await;
    let duration = weights.start_fetch();
    tokio::time::sleep(duration).await;
    weights.end_fetch();
    reply::json(&request)
}

async fn read_counts(weights: State<Arc<Weights>>) -> HttpResponse {
    let state = weights.state.lock().unwrap_or_else(PoisonError::into_inner);
    reply::json(&state.counts)
}
