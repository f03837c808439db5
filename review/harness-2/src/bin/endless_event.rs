//! Case: a model server in trouble sends the body of a stream without end, and the box that relays it
//! keeps all of it in memory.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use tinbay_platform_standin::http::read_answer;
use tinbay_platform_standin::{
    Behaviour, Endless, MoveTerms, Server, ServerTerms, Store, StreamEnd, StreamTerms, store,
};
use tinbay_review_2::{BoxProcess, CONTACT, Case, MEMORY_MB, Request, link, read_piece, wait_for};

const ENGINES: usize = 4;
const CALLERS: usize = 8;
const KEPT: usize = 8;

/// A caller leaves a stream that was silent for the longest of two seconds, four times the objective
/// (1,000 ms) and eight times the pause (400 ms), as for `batch-explain`.
const PATIENCE: Duration = Duration::from_millis(4_000);

/// Deadline of a stream, as for `batch-explain`.
const DEADLINE_MS: u64 = 6_000;

const PROMPT_TOKENS: u64 = 24_000;

fn main() {
    let case = Case::start();
    let store = Store::start();
    store.put("op/config", &configuration());
    let engines: Vec<Server> = (1..=ENGINES)
        .map(|number| add_engine(&store, number))
        .collect();
    let plain = Server::start_unregistered(&store, "p-1", "plain");
    plain.register_at("ready", plain.address(), "ba-hall-a");
    let node = case.add_box("front-ba-hall-a-1", "ba-hall-a", store.address());
    let is_over = Arc::new(AtomicBool::new(false));
    let events = Arc::new(AtomicUsize::new(0));
    for caller in 0..CALLERS {
        let (node, is_over) = (Arc::clone(&node), Arc::clone(&is_over));
        let events = Arc::clone(&events);
        thread::spawn(move || call_streams(caller, &node, &is_over, &events));
    }
    // Prompts are read at some engines and written at others once pauses are too long.
    let reads_for_others = |engine: &Server| {
        let runs = engine.stream_runs();
        runs.iter().any(|run| run.end == Some(StreamEnd::Moved))
    };
    let has_reader = wait_for(Duration::from_secs(40), || {
        engines.iter().any(reads_for_others)
    });
    if !has_reader {
        case.give_up("no engine reads prompts for others");
    }
    let faulty = engines
        .iter()
        .position(reads_for_others)
        .unwrap_or_default();
    case.record.line(format!(
        "engine {} reads prompts for others; {} KB in use",
        engines[faulty].id(),
        node.memory_kb()
    ));
    thread::sleep(CONTACT + Duration::from_millis(500));
    plain.set_terms(ServerTerms {
        run: Duration::from_secs(4),
        ..ServerTerms::default()
    });
    let kept = open_kept(&node);
    if case.has_trouble {
        engines[faulty].set_behaviour(Behaviour::Endless(Endless::Chunks));
        case.record
            .line("the engine begins to send bodies without end");
    }
    thread::sleep(Duration::from_millis(500));
    let sent: Vec<_> = (0..KEPT)
        .zip(kept)
        .map(|(number, mut stream)| {
            let request = Request::new("once", &format!("kept-{number}"), 8_000);
            let is_sent = request.write(&mut stream);
            case.record.line(format!(
                "kept-{number} sent on its kept connection: {is_sent}"
            ));
            (number, stream)
        })
        .collect();
    let watched = watch_memory(&case, &node, &is_over);
    let mut lost = 0;
    for (number, mut stream) in sent {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let answer = read_answer(&mut stream);
        let has_run = plain
            .runs()
            .iter()
            .any(|id| *id == format!("kept-{number}"));
        let is_answered = answer.as_ref().is_some_and(|answer| answer.is_whole);
        case.record.line(format!(
            "kept-{number}: run by the sound server: {has_run}, answer: {}",
            answer.map_or("none, closed".to_string(), |answer| answer
                .status
                .to_string())
        ));
        lost += usize::from(has_run && !is_answered);
    }
    is_over.store(true, Ordering::Relaxed);
    let (peak_kb, was_killed) = watched.join().unwrap_or_default();
    case.end(
        was_killed && lost > 3,
        &format!(
            "peak memory {peak_kb} KB of {MEMORY_MB} MB, killed for it: {was_killed}; requests on kept \
             connections run by a sound server and closed without an answer: {lost} (at most 3); \
             events delivered: {}",
            events.load(Ordering::Relaxed)
        ),
    );
}

/// Kills the box when it uses more memory than its machine has, as the platform does.
fn watch_memory(
    case: &Case,
    node: &Arc<BoxProcess>,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<(u64, bool)> {
    let (record, node, is_over) = (case.record.clone(), Arc::clone(node), Arc::clone(is_over));
    thread::spawn(move || {
        let (mut peak_kb, mut told_kb) = (0, 0);
        while !is_over.load(Ordering::Relaxed) {
            peak_kb = peak_kb.max(node.memory_kb());
            if peak_kb > told_kb + 32_768 {
                record.line(format!("the box uses {peak_kb} KB"));
                told_kb = peak_kb;
            }
            if peak_kb > MEMORY_MB * 1_024 {
                record.line(format!(
                    "over memoryMb ({peak_kb} KB): the platform kills the box"
                ));
                node.kill();
                return (peak_kb, true);
            }
            thread::sleep(Duration::from_millis(10));
        }
        (peak_kb, false)
    })
}

/// Connections on which a request has been answered.
fn open_kept(node: &BoxProcess) -> Vec<TcpStream> {
    (0..KEPT)
        .filter_map(|number| {
            let mut stream = TcpStream::connect(node.front).ok()?;
            let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
            Request::new("again", &format!("first-{number}"), 8_000).write(&mut stream);
            read_answer(&mut stream)?;
            Some(stream)
        })
        .collect()
}

fn call_streams(caller: usize, node: &BoxProcess, is_over: &AtomicBool, events: &AtomicUsize) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("s{caller}-{number}");
        let request = Request::new("flow", &id, DEADLINE_MS)
            .header("Model", &format!("m/a{}", 1 + (caller + number) % 2))
            .header("Token-Count", &format!("{PROMPT_TOKENS},100"))
            .header(
                "Prompt-Prefix",
                &format!("{:x}:{PROMPT_TOKENS}", 1_000 * caller + number),
            );
        let Ok(mut stream) = TcpStream::connect(node.front) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        request.write(&mut stream);
        let began = Instant::now();
        let (mut text, mut last) = (Vec::new(), Instant::now());
        while last.elapsed() < PATIENCE && began.elapsed() < Duration::from_millis(DEADLINE_MS) {
            match read_piece(&mut stream, Duration::from_millis(100)) {
                None => break,
                Some(piece) if piece.is_empty() => {}
                Some(piece) => {
                    text.extend_from_slice(&piece);
                    last = Instant::now();
                    if text.ends_with(b"0\r\n\r\n")
                        || (!text.starts_with(b"HTTP/1.1 200") && text.len() > 12)
                    {
                        break;
                    }
                }
            }
        }
        let got = String::from_utf8_lossy(&text).matches("\ndata: ").count();
        events.fetch_add(got, Ordering::Relaxed);
        if got == 0 {
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn configuration() -> serde_json::Value {
    let mut configuration = store::configuration_with_moves(1);
    configuration["services"][1]["engine"]["adapterSlots"] = json!(16);
    configuration["services"][1]["engine"]["models"][0]["adapters"] = json!(8);
    configuration["limits"]["maxBodyBytes"] = json!(4_194_304);
    for route in configuration["routes"].as_array_mut().into_iter().flatten() {
        if route["name"] == "flow" {
            route["targetLatencyMs"] = json!(1_000);
            route["timeoutMs"] = json!(DEADLINE_MS);
            route["targetGapMs"] = json!(400);
        } else {
            route["timeoutMs"] = json!(8_000);
        }
    }
    configuration
}

fn add_engine(store: &Store, number: usize) -> Server {
    let server = Server::start_unregistered(store, &format!("i-{number}"), "engine");
    server.set_streams(StreamTerms {
        events: 20,
        event_gap: Duration::from_millis(20),
        prefill: Duration::from_millis(600),
        ..StreamTerms::default()
    });
    server.offer_moves(MoveTerms {
        copy: Duration::from_millis(60),
        handle: Duration::from_secs(10),
    });
    server.add_loaded_adapters(&["a1", "a2"]);
    server.register_at("ready", link::start(server.address()), "ba-hall-a");
    server
}
