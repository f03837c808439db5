//! Clients: they ask a directory where to go and send requests there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::engine::MODEL;
use super::http::Conn;
use super::json::Json;
use super::record::Record;

pub const HOST: &str = "pension.example";

/// A generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// How the answer to a request ended.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub status: u16,
    /// A success with all events and a marked end.
    pub is_whole: bool,
    /// Events of a success whose end is marked.
    pub events_of_marked: Option<usize>,
    /// A success whose head came and whose end did not, though the deadline is not over.
    pub is_cut: bool,
}

/// Slow streams that have begun and not ended, by the box that passes them on.
static SLOW: Mutex<BTreeMap<SocketAddr, usize>> = Mutex::new(BTreeMap::new());

/// Number of slow streams that run through a box.
pub fn slow_streams(front: SocketAddr) -> usize {
    SLOW.lock().expect("the streams' lock").get(&front).copied().unwrap_or(0)
}

/// Asks a directory for addresses.
pub fn resolve(directory: SocketAddr, zone: &str) -> Vec<SocketAddr> {
    let Some(mut conn) = Conn::connect(directory, Duration::from_secs(1)) else {
        return Vec::new();
    };
    let path = format!("/resolve?name={HOST}&region=bratislava&zone={zone}");
    conn.send(&format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"));
    let Some(answer) = conn.read() else {
        return Vec::new();
    };
    let body = Json::parse(&answer.text());
    let addresses = body.get("addresses").list().iter();
    addresses.filter_map(|address| address.text().parse().ok()).collect()
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// By request, the box to which it was sent.
static SENT_TO: Mutex<BTreeMap<String, SocketAddr>> = Mutex::new(BTreeMap::new());

/// The box to which a request was sent.
pub fn front_of(id: &str) -> Option<SocketAddr> {
    SENT_TO.lock().expect("the requests' lock").get(id).copied()
}

/// Sends one streaming request on a new connection and reads its answer.
pub fn stream(record: &Arc<Record>, front: SocketAddr, route: &str, adapter: u64, deadline_ms: u64) -> Outcome {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let id = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + number);
    SENT_TO.lock().expect("the requests' lock").insert(id.clone(), front);
    let mut outcome = Outcome::default();
    let Some(mut conn) = Conn::connect(front, Duration::from_secs(1)) else {
        return outcome;
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
    record.line(&format!("client: sends {id} {MODEL}/a{adapter} to {front}"));
    let body = "x".repeat(1_300);
    let text = format!(
        "POST {route}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: {MODEL}/a{adapter}\r\n\
         Token-Count: 646,70\r\nPrompt-Prefix: 5c1e07a2:93,91bd3f06:62,{number:x}:491\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let began = Instant::now();
    if !conn.send(&text) {
        return outcome;
    }
    let head = conn.read_head();
    let has_head = head.as_ref().is_some_and(|head| head.status() == 200);
    let is_slow = has_head && route == "/slow/";
    if is_slow {
        *SLOW.lock().expect("the streams' lock").entry(front).or_default() += 1;
    }
    let answer = head.and_then(|head| conn.read_body(head));
    if is_slow {
        *SLOW.lock().expect("the streams' lock").entry(front).or_default() -= 1;
    }
    outcome.is_cut = has_head && answer.is_none() && began.elapsed() < Duration::from_millis(deadline_ms);
    if let Some(answer) = answer {
        outcome.status = answer.status();
        if outcome.status == 200 {
            outcome.events_of_marked = Some(answer.text().matches("id: ").count());
        }
        outcome.is_whole = outcome.events_of_marked == Some(14);
    }
    let Outcome { status, events_of_marked, is_cut, .. } = outcome;
    record.line(&format!(
        "client: {id} gets status {status}, events of an answer whose end is marked: {events_of_marked:?}, cut: {is_cut}, after {} ms",
        began.elapsed().as_millis()
    ));
    outcome
}
