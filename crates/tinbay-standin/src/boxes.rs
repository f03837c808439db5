//! Stand-in for the platform's list of boxes, which shows changes late.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};
use tinbay_core::ids::BoxId;
use tinbay_http::server::{ServerHandle, start_server};
use tinbay_wire::box_list::{BoxList, ListedBox};

use crate::reply;

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct BoxListFaults {
    /// Time until a change becomes visible.
    pub lag_ms: u64,
    /// Whether reads of the list fail with status 503.
    pub down: bool,
}

/// Body of `POST /control/remove`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RemoveBox {
    /// Box to remove from the list.
    pub id: BoxId,
}

#[derive(Default)]
struct Boxes {
    faults: Mutex<BoxListFaults>,
    list: Mutex<BoxListState>,
}

#[derive(Default)]
struct BoxListState {
    visible: BTreeMap<BoxId, ListedBox>,
    pending: Vec<(Instant, Change)>,
}

enum Change {
    Set(ListedBox),
    Remove(BoxId),
}

impl Boxes {
    fn faults(&self) -> MutexGuard<'_, BoxListFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self) -> MutexGuard<'_, BoxListState> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: Change) {
        let visible_at = Instant::now() + Duration::from_millis(self.faults().lag_ms);
        self.list().pending.push((visible_at, change));
    }
}

impl BoxListState {
    fn apply_due(&mut self) {
        let now = Instant::now();
        for (visible_at, change) in std::mem::take(&mut self.pending) {
            if visible_at > now {
                self.pending.push((visible_at, change));
                continue;
            }
            match change {
                Change::Set(listed) => {
                    self.visible.insert(listed.id.clone(), listed);
                }
                Change::Remove(id) => {
                    self.visible.remove(&id);
                }
            }
        }
    }
}

/// Starts the stand-in.
///
/// # Errors
/// Returns an error if the server can't start.
pub fn start(listener: TcpListener) -> io::Result<ServerHandle> {
    let boxes = Arc::new(Boxes::default());
    start_server("boxes", listener, 1, move |app| {
        app.state(Arc::clone(&boxes))
            .route("/v1/boxes", web::get().to(read_list))
            .route("/control/set", web::post().to(set_box))
            .route("/control/remove", web::post().to(remove_box))
            .route("/control/faults", web::post().to(set_faults));
    })
}

async fn read_list(boxes: State<Arc<Boxes>>) -> HttpResponse {
    if boxes.faults().down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut list = boxes.list();
    list.apply_due();
    reply::json(&BoxList {
        boxes: list.visible.values().cloned().collect(),
    })
}

async fn set_box(boxes: State<Arc<Boxes>>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<ListedBox>(payload).await {
        Ok(listed) => {
            boxes.change(Change::Set(listed.clone()));
            reply::json(&listed)
        }
        Err(answer) => answer,
    }
}

async fn remove_box(boxes: State<Arc<Boxes>>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<RemoveBox>(payload).await {
        Ok(removal) => {
            boxes.change(Change::Remove(removal.id.clone()));
            reply::json(&removal)
        }
        Err(answer) => answer,
    }
}

async fn set_faults(boxes: State<Arc<Boxes>>, payload: Payload) -> HttpResponse {
    match reply::parse_body::<BoxListFaults>(payload).await {
        Ok(faults) => {
            *boxes.faults() = faults;
            reply::json(&faults)
        }
        Err(answer) => answer,
    }
}
