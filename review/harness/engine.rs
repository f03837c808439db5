//! Stand-in of a model server: requests, orders, reports and its entry in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::clients::front_of;
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

/// A connection that is open.
struct Open {
    stream: TcpStream,
    is_busy: bool,
    /// The request that it carried last.
    last_id: String,
}

impl Open {
    fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

#[derive(Default)]
struct State {
    open: BTreeMap<u64, Open>,
    last_open: u64,
    /// Time left until the machine is taken away, once the server says so.
    remaining_ms: Option<u64>,
    has_ended: bool,
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
    pub zone: String,
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
                if accepting.has_ended() {
                    return;
                }
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

    fn has_ended(&self) -> bool {
        self.state.lock().expect("the engine's lock").has_ended
    }

    /// Says that the server leaves, and when its machine is taken away.
    pub fn drain(&self, remaining_ms: u64) {
        self.state.lock().expect("the engine's lock").remaining_ms = Some(remaining_ms);
        self.record.line(&format!("{}: says draining, {remaining_ms} ms left", self.id));
        self.beat();
    }

    /// Idle connections of boxes that `chooses` names and that have a request under way here.
    pub fn idle_beside_busy(&self, chooses: impl Fn(SocketAddr) -> bool) -> usize {
        let state = self.state.lock().expect("the engine's lock");
        let front = |each: &Open| front_of(&each.last_id);
        let busy: Vec<SocketAddr> = state.open.values().filter(|each| each.is_busy).filter_map(front).collect();
        let idle = state.open.values().filter(|each| !each.is_busy).filter_map(front);
        idle.filter(|front| busy.contains(front) && chooses(*front)).count()
    }

    /// Ends as a process that is killed: its listener and all connections are closed. `loses`
    /// chooses boxes on whose way one packet is lost, the one that closes an idle connection; it
    /// comes again after `again`. Only a box with a request under way here is asked for, and at most
    /// one packet is lost. Returns whether one was.
    pub fn end(&self, loses: impl Fn(SocketAddr) -> bool, again: Duration) -> bool {
        self.is_gone.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().expect("the engine's lock");
        state.has_ended = true;
        let open = std::mem::take(&mut state.open);
        drop(state);
        let (busy, mut idle): (Vec<Open>, Vec<Open>) = open.into_values().partition(|each| each.is_busy);
        // A connection of its own makes the listener's thread look and end.
        let _ = TcpStream::connect(self.address);
        thread::sleep(Duration::from_millis(1));
        let line = format!("{}: ends with {} answers under way, {} idle connections", self.id, busy.len(), idle.len());
        self.record.line(&line);
        let fronts: Vec<SocketAddr> = busy.iter().filter_map(|each| front_of(&each.last_id)).collect();
        let is_lost = |each: &Open| {
            let front = front_of(&each.last_id);
            front.is_some_and(|front| fronts.contains(&front) && loses(front))
        };
        let lost = idle.iter().position(is_lost).map(|position| idle.remove(position));
        idle.iter().for_each(Open::close);
        busy.iter().for_each(Open::close);
        if let Some(lost) = &lost {
            let front = front_of(&lost.last_id);
            self.record.line(&format!("{}: the packet is lost that closes an idle connection of {front:?}", self.id));
            thread::sleep(again);
            lost.close();
            self.record.line(&format!("{}: that packet comes again", self.id));
        }
        self.store.remove(&format!("servers/{}", self.id));
        lost.is_some()
    }

    fn set_busy(&self, number: u64, is_busy: bool, id: &str) {
        let mut state = self.state.lock().expect("the engine's lock");
        if let Some(open) = state.open.get_mut(&number) {
            open.is_busy = is_busy;
            if !id.is_empty() {
                open.last_id = id.to_string();
            }
        }
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
        let remaining_ms = self.state.lock().expect("the engine's lock").remaining_ms;
        let state = match remaining_ms {
            None => "\"ready\"".to_string(),
            Some(remaining_ms) => format!("\"draining\",\"remainingMs\":{remaining_ms}"),
        };
        let value = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":32,\"state\":{state},\"coldLeftMs\":0,\"stage\":\"both\",\"models\":{models},\"seq\":{seq}}}",
            self.address, self.zone
        );
        if !self.is_gone.load(Ordering::SeqCst) {
            self.store.put(&format!("servers/{}", self.id), &value);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        let Ok(stream) = conn.stream.try_clone() else {
            return;
        };
        let number = {
            let mut state = self.state.lock().expect("the engine's lock");
            state.last_open += 1;
            let number = state.last_open;
            let last_id = String::new();
            state.open.insert(number, Open { stream, is_busy: false, last_id });
            number
        };
        self.serve_requests(&mut conn, number);
        self.state.lock().expect("the engine's lock").open.remove(&number);
    }

    fn serve_requests(&self, conn: &mut Conn, number: u64) {
        while let Some(request) = conn.read() {
            self.set_busy(number, true, request.header("request-id"));
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
                    _ => self.run(conn, &request),
                }
            };
            self.set_busy(number, false, "");
            if !goes_on || self.has_ended() {
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

    /// Streams 14 events: at once, or with pauses of 385 ms on the paths of slow streams. Those on
    /// `/open/` have neither a length nor chunks and end with their connection.
    fn write_stream(&self, conn: &mut Conn, request: &Message, id: &str) -> bool {
        let is_unframed = request.path().starts_with("/open/");
        let is_slow = request.path().starts_with("/slow/") || is_unframed;
        let pause = if is_slow { 385 } else { 4 };
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        thread::sleep(Duration::from_millis(20));
        if !conn.send(&head) {
            return false;
        }
        for event in 1..=14 {
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let sent = if is_unframed { text } else { format!("{:x}\r\n{text}\r\n", text.len()) };
            if self.has_ended() || !conn.send(&sent) {
                self.record.line(&format!("{}: stops {id} before event {event} of 14", self.id));
                return false;
            }
            if event < 14 {
                thread::sleep(Duration::from_millis(pause));
            }
        }
        self.record.line(&format!("{}: has sent all of {id}", self.id));
        !is_unframed && conn.send("0\r\n\r\n")
    }
}
