//! Stand-in of a model server: requests, orders, reports and its entry in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Conn, Message};
use super::json::Json;
use super::record::Record;
use super::store::Store;

pub const MODEL: &str = "m70";
pub const SERVICE: &str = "llm";
pub const ADAPTER_SLOTS: usize = 16;
const LOAD: Duration = Duration::from_millis(250);
const MOST_INCOMING: usize = 4;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct OrderSeen {
    pub at_ms: u64,
    pub server: String,
    pub holder: String,
    pub token: u64,
}

/// All orders of a run, in the order of their arrival.
pub type Orders = Arc<Mutex<Vec<OrderSeen>>>;

#[derive(Default)]
struct State {
    seq: u64,
    /// Adapters with the time at which their load is done.
    adapters: BTreeMap<String, Instant>,
    running: BTreeMap<String, usize>,
    /// Unloads that wait for their runs.
    leaving: BTreeSet<String>,
    active: usize,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    state: Mutex<State>,
    is_gone: AtomicBool,
    store: Arc<Store>,
    record: Arc<Record>,
    orders: Orders,
}

impl Engine {
    pub fn start(
        id: &str,
        listener: TcpListener,
        zone: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        orders: &Orders,
    ) -> Arc<Engine> {
        let engine = Arc::new(Engine {
            id: id.to_string(),
            address: listener.local_addr().expect("an address"),
            zone: zone.to_string(),
            state: Mutex::default(),
            is_gone: AtomicBool::new(false),
            store: Arc::clone(store),
            record: Arc::clone(record),
            orders: Arc::clone(orders),
        });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&accepting);
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            while !beating.is_gone.load(Ordering::SeqCst) {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Takes the entry out of the store, as a server that has left.
    pub fn leave(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
    }

    fn models(&self) -> (u64, String, String) {
        let state = self.state.lock().expect("the engine's lock");
        let now = Instant::now();
        let names = |is_ready: bool| {
            let chosen = state.adapters.iter().filter(|(_, done)| (**done <= now) == is_ready);
            let prefix = if is_ready { String::new() } else { format!("{MODEL}/") };
            let names: Vec<String> = chosen.map(|(name, _)| format!("\"{prefix}{name}@1\"")).collect();
            names.join(",")
        };
        let models = format!(
            "[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]",
            names(true)
        );
        (state.seq, models, names(false))
    }

    fn beat(&self) {
        let (seq, models, _) = self.models();
        let value = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":{models},\"seq\":{seq}}}",
            self.address, self.zone
        );
        if !self.is_gone.load(Ordering::SeqCst) {
            self.store.put(&format!("servers/{}", self.id), &value);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Some(request) = conn.read() {
            let expected = request.header("expect-instance");
            let goes_on = if !expected.is_empty() && expected != self.id {
                let id = request.header("request-id").to_string();
                conn.answer(421, &[("Instance-Id", &self.id), ("Request-Id", &id)], "")
            } else {
                match (request.method(), request.path()) {
                    ("GET", "/report") => {
                        let body = self.report();
                        conn.answer(200, &[("Content-Type", "application/json")], &body)
                    }
                    ("GET", "/health") => conn.answer(200, &[("Instance-Id", &self.id)], ""),
                    ("POST", "/order") => {
                        let status = self.order(&Json::parse(&request.text()));
                        conn.answer(status, &[("Content-Type", "application/json")], "{}")
                    }
                    _ => self.run(&mut conn, &request),
                }
            };
            if !goes_on {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let (seq, models, incoming) = self.models();
        let active = self.state.lock().expect("the engine's lock").active;
        format!(
            "{{\"stage\":\"both\",\"models\":{models},\"incoming\":[{incoming}],\"busy\":false,\"seq\":{seq},\"queued\":0,\"active\":{active},\"kvUsed\":{},\"kvTotal\":219357,\"handles\":0,\"state\":\"ready\",\"nextToken\":0,\"runs\":[]}}",
            active * 700
        )
    }

    fn order(&self, order: &Json) -> u16 {
        let holder = order.get("holder").text().to_string();
        let token = order.get("fencingToken").number();
        let operation = order.get("operation").text().to_string();
        let adapter = order.get("adapter").text().to_string();
        let mut state = self.state.lock().expect("the engine's lock");
        let now = Instant::now();
        let mut seen = self.orders.lock().expect("the list of orders");
        seen.push(OrderSeen {
            at_ms: self.record.now_ms(),
            server: self.id.clone(),
            holder: holder.clone(),
            token: token.unwrap_or(0),
        });
        drop(seen);
        let is_incoming = |done: &&Instant| **done > now;
        let status = if token.is_none() || holder.is_empty() {
            400
        } else if order.get("expected").number().is_some_and(|expected| expected != state.seq) {
            409
        } else if operation == "load" && state.adapters.contains_key(&adapter) {
            200
        } else if operation == "load" && state.adapters.values().filter(is_incoming).count() >= MOST_INCOMING {
            409
        } else if operation == "load" {
            if state.adapters.len() >= ADAPTER_SLOTS {
                self.record.line(&format!("{}: LIMIT: ordered to load beyond its places", self.id));
            }
            state.adapters.insert(adapter.clone(), now + LOAD);
            state.seq += 1;
            202
        } else if operation == "unload" {
            state.seq += 1;
            if state.running.get(&adapter).copied().unwrap_or(0) > 0 {
                state.leaving.insert(adapter.clone());
                202
            } else {
                state.adapters.remove(&adapter);
                200
            }
        } else {
            400
        };
        let expected = order.get("expected").number();
        let line = format!(
            "{}: order {operation} {adapter} expected {expected:?} from {holder} token {} -> {status}",
            self.id,
            token.unwrap_or(0)
        );
        self.record.line(&line);
        status
    }

    fn run(&self, conn: &mut Conn, request: &Message) -> bool {
        let id = request.header("request-id").to_string();
        let name = request.header("model").to_string();
        let adapter = name.split_once('/').map(|(_, adapter)| adapter.to_string());
        if let Some(adapter) = &adapter {
            let mut state = self.state.lock().expect("the engine's lock");
            let is_ready = state.adapters.get(adapter).is_some_and(|done| *done <= Instant::now());
            if !is_ready || state.leaving.contains(adapter) {
                drop(state);
                return conn.answer(421, &[("Request-Id", &id)], "");
            }
            *state.running.entry(adapter.clone()).or_default() += 1;
            state.active += 1;
        }
        self.record.line(&format!("{}: runs {id} {name}", self.id));
        let is_whole = self.write_stream(conn, request, &id);
        if let Some(adapter) = &adapter {
            let mut state = self.state.lock().expect("the engine's lock");
            state.active -= 1;
            let left = state.running.get_mut(adapter).map_or(0, |count| {
                *count -= 1;
                *count
            });
            if left == 0 && state.leaving.remove(adapter) {
                state.adapters.remove(adapter);
            }
        }
        is_whole
    }

    /// Streams 14 events: at once, or with pauses of 385 ms on the path of slow streams.
    fn write_stream(&self, conn: &mut Conn, request: &Message, id: &str) -> bool {
        let pause = if request.path().starts_with("/slow/") { 385 } else { 4 };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(Duration::from_millis(20));
        if !conn.send(&head) {
            return false;
        }
        for event in 1..=14 {
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            if !conn.send(&format!("{:x}\r\n{text}\r\n", text.len())) {
                return false;
            }
            if event < 14 {
                thread::sleep(Duration::from_millis(pause));
            }
        }
        conn.send("0\r\n\r\n")
    }
}
