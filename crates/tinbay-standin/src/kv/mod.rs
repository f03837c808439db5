//! Stand-in for the key-value service: the part of the etcd v3 JSON interface that tinbay uses.
//!
//! `/control/faults` makes it refuse calls, hang, slow down, or lose the responses of writes that
//! took effect; `/control/calls` returns the number of calls. Old revisions are not kept: a range
//! request for a revision reads the current state.

mod faults;
mod store;

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpResponse};
use serde::Serialize;
use tinbay_http::server::{ServerHandle, start_server};
use tinbay_http::stream::{BodySender, body_channel};
use tinbay_wire::etcd::{
    Int64, LeaseGrantRequest, LeaseRequest, LeaseResponse, RangeRequest, StreamItem, TxnRequest,
    WatchRequest, WatchResponse,
};

pub use faults::{CallCounts, KvFaults, ResponseMode};
use store::KvStore;

use crate::reply;

/// Interval of the check for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a hanging call is held before it fails with status 503.
const MAX_HANG: Duration = Duration::from_secs(120);

#[derive(Default)]
struct Kv {
    store: Mutex<KvStore>,
    faults: Mutex<KvFaults>,
    calls: Mutex<CallCounts>,
}

type Shared = Arc<Kv>;

impl Kv {
    fn store(&self) -> MutexGuard<'_, KvStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, KvFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn calls(&self) -> MutexGuard<'_, CallCounts> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults that precede its effect.
    async fn apply_faults(&self, count: impl FnOnce(&mut CallCounts)) -> Result<(), HttpResponse> {
        count(&mut self.calls());
        let faults = *self.faults();
        match faults.mode {
            ResponseMode::Up => {}
            ResponseMode::Refuse => return Err(unavailable()),
            ResponseMode::Hang => {
                tokio::time::sleep(MAX_HANG).await;
                return Err(unavailable());
            }
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        Ok(())
    }

    /// Whether to lose the response of this write; consumes one such fault.
    fn takes_reply_loss(&self) -> bool {
        let mut faults = self.faults();
        if faults.lose_write_replies == 0 {
            return false;
        }
        faults.lose_write_replies -= 1;
        true
    }
}

fn unavailable() -> HttpResponse {
    HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).finish()
}

/// Starts the stand-in.
///
/// # Errors
/// Returns an error if the server can't start.
pub fn start(listener: TcpListener) -> io::Result<ServerHandle> {
    let kv = Arc::new(Kv::default());
    spawn_lease_expiry(&kv);
    start_server("kv", listener, 2, move |app| {
        app.state(Arc::clone(&kv))
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/lease/grant", web::post().to(lease_grant))
            .route("/v3/lease/keepalive", web::post().to(lease_keepalive))
            .route("/v3/lease/revoke", web::post().to(lease_revoke))
            .route("/v3/watch", web::post().to(watch))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/calls", web::get().to(read_calls));
    })
}

/// Expires leases on a thread of its own, which ends with the stand-in.
fn spawn_lease_expiry(kv: &Shared) {
    let kv = Arc::downgrade(kv);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(LEASE_CHECK_INTERVAL);
            let Some(kv) = kv.upgrade() else { return };
            kv.store().expire_leases();
        }
    });
}

async fn range(kv: State<Shared>, payload: Payload) -> HttpResponse {
    let request: RangeRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if let Err(answer) = kv.apply_faults(|calls| calls.reads += 1).await {
        return answer;
    }
    reply::json(&kv.store().range(&request))
}

async fn txn(kv: State<Shared>, payload: Payload) -> HttpResponse {
    let request: TxnRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if let Err(answer) = kv.apply_faults(|calls| calls.writes += 1).await {
        return answer;
    }
    let answer = kv.store().txn(&request);
    if kv.takes_reply_loss() {
        return unavailable();
    }
    reply::json(&answer)
}

async fn lease_grant(kv: State<Shared>, payload: Payload) -> HttpResponse {
    let request: LeaseGrantRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if let Err(answer) = kv.apply_faults(|calls| calls.writes += 1).await {
        return answer;
    }
    let id = kv.store().grant_lease(request.ttl_s.0);
    reply::json(&LeaseResponse {
        id: Int64(id),
        ttl_s: request.ttl_s,
    })
}

async fn lease_keepalive(kv: State<Shared>, payload: Payload) -> HttpResponse {
    let request: LeaseRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if let Err(answer) = kv.apply_faults(|calls| calls.writes += 1).await {
        return answer;
    }
    let ttl_s = kv.store().renew_lease(request.id.0);
    reply::json(&StreamItem {
        result: LeaseResponse {
            id: request.id,
            ttl_s: Int64(ttl_s),
        },
    })
}

async fn lease_revoke(kv: State<Shared>, payload: Payload) -> HttpResponse {
    let request: LeaseRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if let Err(answer) = kv.apply_faults(|calls| calls.writes += 1).await {
        return answer;
    }
    kv.store().revoke_lease(request.id.0);
    reply::json(&serde_json::json!({}))
}

async fn watch(kv: State<Shared>, payload: Payload) -> HttpResponse {
    let request: WatchRequest = match reply::parse_body(payload).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if let Err(answer) = kv.apply_faults(|calls| calls.watches += 1).await {
        return answer;
    }
    let (body, stream) = body_channel();
    let mut changes = kv.store().watch(&request.create_request);
    let kv = Arc::clone(&kv);
    ntex::rt::spawn(async move {
        while let Some(response) = changes.recv().await {
            if kv.faults().mute_watches {
                continue;
            }
            if kv.faults().mode != ResponseMode::Up
                || send_json_line(&body, response).await.is_err()
            {
                return;
            }
        }
    });
    HttpResponse::Ok().streaming(stream)
}

#[derive(Debug)]
struct Disconnected;

async fn send_json_line(body: &BodySender, response: WatchResponse) -> Result<(), Disconnected> {
    let mut line = to_json(&StreamItem { result: response });
    line.push('\n');
    body.send(Bytes::from(line)).await.map_err(|_| Disconnected)
}

fn to_json<T: Serialize>(item: &T) -> String {
    serde_json::to_string(item).unwrap_or_default()
}

async fn set_faults(kv: State<Shared>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<KvFaults>(payload).await {
        Ok(faults) => {
            *kv.faults() = faults;
            if faults.mode != ResponseMode::Up {
                kv.store().close_watches();
            }
            reply::json(&faults)
        }
        Err(answer) => answer,
    }
}

async fn read_calls(kv: State<Shared>) -> HttpResponse {
    reply::json(&*kv.calls())
}
