//! Case: a request that crashes servers has a body of more than 128 KiB. The box compares the part that
//! it has read when it passes that length, which depends on how the bytes arrive: the same request counts
//! as a new one each time.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use tinbay_platform_standin::http::{Message, read_answer};
use tinbay_platform_standin::{CrashPoint, Server, ServerTerms, Store, store};
use tinbay_review_2::{CONTACT, Case, Record, Request, told};

const SERVERS: usize = 8;
const BACK_AFTER: Duration = Duration::from_secs(3);
const TRIES: usize = 14;
const TRY_GAP: Duration = Duration::from_secs(1);
const MARK: &str = "CRASHES-THE-SERVER";

/// Length of the body; `maxBodyBytes` is 4,194,304.
const BODY_BYTES: usize = 160_000;

struct Servers {
    store: Store,
    all: Mutex<Vec<Server>>,
    next: AtomicUsize,
    is_crashing: bool,
}

impl Servers {
    fn add(&self) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let server = Server::start_unregistered(&self.store, &format!("p-{number}"), "plain");
        server.set_terms(ServerTerms {
            run: Duration::from_millis(30),
            ..ServerTerms::default()
        });
        if self.is_crashing {
            server.crash_on(MARK, CrashPoint::BeforeHead);
        }
        server.register_at("ready", server.address(), "ba-hall-a");
        self.all.lock().expect("servers").push(server);
    }

    fn list(&self) -> Vec<Server> {
        self.all.lock().expect("servers").clone()
    }
}

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = Store::start();
    store.put("op/config", &configuration());
    let servers = Arc::new(Servers {
        store: store.clone(),
        all: Mutex::default(),
        next: AtomicUsize::new(1),
        is_crashing: case.has_trouble,
    });
    (0..SERVERS).for_each(|_| servers.add());
    let boxes = [
        case.add_box("front-ba-hall-a-1", "ba-hall-a", store.address()),
        case.add_box("front-ba-hall-b-1", "ba-hall-b", store.address()),
    ];
    let is_over = Arc::new(AtomicBool::new(false));
    replace_crashed(&record, &servers, &is_over);
    thread::sleep(CONTACT);
    let mut sent: Vec<(String, Instant)> = Vec::new();
    for number in 0..TRIES {
        let id = format!("bad-{number}");
        sent.push((id.clone(), Instant::now()));
        let answer = call(&id, number, boxes[number % 2].front);
        record.line(format!("{id}, the same request again: {}", told(&answer)));
        thread::sleep(TRY_GAP);
    }
    is_over.store(true, Ordering::Relaxed);
    let all = servers.list();
    let mut crashes: Vec<Instant> = all
        .iter()
        .filter_map(|server| server.crashed().map(|crash| crash.at))
        .collect();
    crashes.sort();
    let Some(third) = crashes.get(2).copied() else {
        let verdict = format!("{} crashes, so that the rule does not apply", crashes.len());
        case.end(false, &verdict);
    };
    let arrived: Vec<&String> = sent
        .iter()
        .filter(|(_, at)| *at > third + CONTACT)
        .filter(|(id, _)| {
            all.iter().any(|server| {
                server
                    .arrival_times()
                    .iter()
                    .any(|arrival| arrival.id == *id)
            })
        })
        .map(|(id, _)| id)
        .collect();
    record.line(format!(
        "reached servers, sent later than contactMs after the third crash: {arrived:?}"
    ));
    case.end(
        arrived.len() > 3,
        &format!(
            "{} repeats of the request reached servers, sent later than contactMs after it had crashed the third \
             (at most 3); {} servers crashed",
            arrived.len(),
            crashes.len()
        ),
    );
}

/// Puts a new server in the place of each that has crashed, some seconds later.
fn replace_crashed(record: &Record, servers: &Arc<Servers>, is_over: &Arc<AtomicBool>) {
    let (record, servers, is_over) = (record.clone(), Arc::clone(servers), Arc::clone(is_over));
    thread::spawn(move || {
        let mut replaced = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            for server in servers.list() {
                let Some(crash) = server.crashed() else {
                    continue;
                };
                if replaced.iter().any(|id| id == server.id()) || crash.at.elapsed() < BACK_AFTER {
                    continue;
                }
                replaced.push(server.id().to_string());
                server.deregister();
                servers.add();
                record.line(format!("{} had crashed and is back", server.id()));
            }
            thread::sleep(Duration::from_millis(10));
        }
    });
}

/// Sends the request, whose path and body are always the same. Its bytes leave the caller in segments
/// whose lengths differ from one time to the next, as on any network.
fn call(id: &str, number: usize, to: SocketAddr) -> Option<Message> {
    let mut body = MARK.as_bytes().to_vec();
    body.resize(BODY_BYTES, b'x');
    let request = Request::new("once", id, 2_000).body(body);
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let bytes = request.bytes();
    let mut at = 0;
    let mut segment = 0;
    while at < bytes.len() {
        segment += 1;
        let length = 1_448 * (1 + (segment * 7 + number * 5) % 6);
        let end = (at + length).min(bytes.len());
        stream.write_all(&bytes[at..end]).ok()?;
        at = end;
        thread::sleep(Duration::from_millis(1));
    }
    read_answer(&mut stream)
}

fn configuration() -> serde_json::Value {
    let mut configuration = store::configuration(1);
    configuration["limits"]["maxBodyBytes"] = json!(4_194_304);
    configuration
}
