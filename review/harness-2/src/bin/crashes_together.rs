//! Case: requests with a part that crashes servers come several at a time, so that the servers crash
//! at the same moment; the crashes of one moment count as one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use tinbay_platform_standin::http::Message;
use tinbay_platform_standin::{CrashPoint, Server, Store, StreamTerms, store};
use tinbay_review_2::{BoxProcess, CONTACT, Case, Record, Request, told};

const ENGINES: usize = 12;
const AT_ONCE: usize = 6;
const BURSTS: usize = 4;
const BURST_GAP: Duration = Duration::from_secs(6);
const BACK_AFTER: Duration = Duration::from_secs(3);
const BAD_PART: &str = "bad0";

/// The servers, those that have crashed included.
struct Engines {
    store: Store,
    all: Mutex<Vec<Server>>,
    next: AtomicUsize,
    is_crashing: bool,
}

impl Engines {
    fn add(&self) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let server = Server::start_unregistered(&self.store, &format!("i-{number}"), "engine");
        server.set_streams(StreamTerms {
            events: 14,
            event_gap: Duration::from_millis(50),
            ..StreamTerms::default()
        });
        if self.is_crashing {
            server.crash_on_part(BAD_PART, CrashPoint::AfterFirstEvent);
        }
        server.register_at("ready", server.address(), "ba-hall-a");
        self.all.lock().expect("engines").push(server);
    }

    fn list(&self) -> Vec<Server> {
        self.all.lock().expect("engines").clone()
    }
}

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = Store::start();
    store.put("op/config", &configuration());
    let engines = Arc::new(Engines {
        store: store.clone(),
        all: Mutex::default(),
        next: AtomicUsize::new(1),
        is_crashing: case.has_trouble,
    });
    (0..ENGINES).for_each(|_| engines.add());
    let plain = Server::start_unregistered(&store, "p-1", "plain");
    plain.register_at("ready", plain.address(), "ba-hall-a");
    let boxes = [
        case.add_box("front-ba-hall-a-1", "ba-hall-a", store.address()),
        case.add_box("front-ba-hall-b-1", "ba-hall-b", store.address()),
    ];
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    replace_crashed(&record, &engines, &is_over);
    for (caller, node) in boxes.iter().cycle().take(8).enumerate() {
        send_sound(caller, node, &is_over, &lost);
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    let mut sent: Vec<(String, Instant)> = Vec::new();
    for burst in 0..BURSTS {
        let calls: Vec<_> = (0..AT_ONCE)
            .map(|number| {
                let id = format!("b{burst}-{number}");
                sent.push((id.clone(), Instant::now()));
                // No two alike: each has a last part and a body of its own.
                let own = format!("{:x}", 65_536 + burst * AT_ONCE + number);
                let request = request(&id, BAD_PART, &own);
                let to = boxes[number % boxes.len()].front;
                thread::spawn(move || (request.id.clone(), request.call(to)))
            })
            .collect();
        for call in calls {
            let (id, answer): (String, Option<Message>) = call.join().unwrap_or_default();
            record.line(format!(
                "{id} with the part that crashes servers: {}",
                told(&answer)
            ));
        }
        thread::sleep(BURST_GAP);
    }
    is_over.store(true, Ordering::Relaxed);
    let servers = engines.list();
    let mut crashes: Vec<Instant> = servers.iter().filter_map(Server::crash_record_at).collect();
    crashes.sort();
    let Some(fifth) = crashes.get(4).copied() else {
        let verdict = format!("{} crashes, so that the rule does not apply", crashes.len());
        case.end(false, &verdict);
    };
    let binds = fifth + CONTACT;
    let arrived: Vec<&String> = sent
        .iter()
        .filter(|(_, at)| *at > binds)
        .filter(|(id, _)| {
            servers.iter().any(|server| {
                server
                    .arrival_times()
                    .iter()
                    .any(|arrival| arrival.id == *id)
            })
        })
        .map(|(id, _)| id)
        .collect();
    record.line(format!(
        "reached servers, sent later than contactMs after the fifth crash: {arrived:?}"
    ));
    case.end(
        arrived.len() > 3,
        &format!(
            "{} requests with the part reached servers, sent later than contactMs after the fifth crash (at most 3); \
             {} crashes; {} sound streams were cut off",
            arrived.len(),
            crashes.len(),
            lost.load(Ordering::Relaxed)
        ),
    );
}

/// Puts a new server in the place of each that has crashed, some seconds later.
fn replace_crashed(record: &Record, engines: &Arc<Engines>, is_over: &Arc<AtomicBool>) {
    let (record, engines, is_over) = (record.clone(), Arc::clone(engines), Arc::clone(is_over));
    thread::spawn(move || {
        let mut replaced = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            for server in engines.list() {
                let Some(at) = server.crash_record_at() else {
                    continue;
                };
                if replaced.iter().any(|id| id == server.id()) || at.elapsed() < BACK_AFTER {
                    continue;
                }
                replaced.push(server.id().to_string());
                server.deregister();
                engines.add();
                record.line(format!("{} had crashed and is back", server.id()));
            }
            thread::sleep(Duration::from_millis(10));
        }
    });
}

fn send_sound(
    caller: usize,
    node: &Arc<BoxProcess>,
    is_over: &Arc<AtomicBool>,
    lost: &Arc<AtomicUsize>,
) {
    let (to, is_over, lost): (SocketAddr, _, _) =
        (node.front, Arc::clone(is_over), Arc::clone(lost));
    thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let own = format!("{:x}", 1_000_000 + caller * 10_000 + number);
            let answer = request(&format!("s{caller}-{number}"), "600d", &own).call(to);
            let is_lost = answer.is_none_or(|answer| answer.status == 200 && !answer.is_whole);
            lost.fetch_add(usize::from(is_lost), Ordering::Relaxed);
            thread::sleep(Duration::from_millis(100));
        }
    });
}

fn request(id: &str, part: &str, own: &str) -> Request {
    Request::new("flow", id, 5_000)
        .header("Model", "m")
        .header("Token-Count", "491,70")
        .header("Prompt-Prefix", &format!("c0:93,{part}:62,{own}:336"))
        .body(format!("prompt {own}").into_bytes())
}

fn configuration() -> serde_json::Value {
    let mut configuration = store::configuration_without_moves(1);
    configuration["services"][1]["engine"]["adapterSlots"] = json!(16);
    configuration
}

/// When a server crashed.
trait Crashed {
    fn crash_record_at(&self) -> Option<Instant>;
}

impl Crashed for Server {
    fn crash_record_at(&self) -> Option<Instant> {
        self.crashed().map(|crash| crash.at)
    }
}
