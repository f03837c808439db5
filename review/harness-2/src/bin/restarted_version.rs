//! Case: a server starts again under its id in another software version while the store is down. A
//! stream that it begins is recorded under the version that it had before.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tinbay_platform_standin::store::Faults;
use tinbay_platform_standin::{
    Proxy, ProxyFault, Server, ServerTerms, Store, StreamTerms, store, versions_in,
};
use tinbay_review_2::{CONTACT, Case, Record, Request, read_piece};

const ENGINES: usize = 4;
const ADAPTERS: usize = 12;
const STREAMS: usize = 96;
const DEADLINE_MS: u64 = 12_000;

/// How long the store is down (largest dose of `platform_down` on the small deployments).
const STORE_DOWN: Duration = Duration::from_millis(4_500);

/// A caller tries to go on this often after refusals.
const TRIES: usize = 6;

/// What a caller has of a stream, over its tries.
struct Stream {
    number: usize,
    text: Vec<u8>,
    first_id: String,
    is_cut: bool,
}

impl Stream {
    fn versions(&self) -> BTreeSet<String> {
        versions_in(&self.text)
    }

    fn last_event(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.text);
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok())
            .max()
            .unwrap_or_default()
    }
}

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = Store::start();
    store.put("op/config", &configuration());
    let engines: Vec<Server> = (1..=ENGINES)
        .map(|number| add_engine(&store, number))
        .collect();
    let first = case.add_box("front-ba-hall-a-1", "ba-hall-a", store.address());
    let second = case.add_box("front-ba-hall-b-1", "ba-hall-b", store.address());
    case.add_box("front-ba-hall-c-1", "ba-hall-c", store.address());
    let proxies = [Proxy::start(first.front), Proxy::start(first.front)];
    let ways = [proxies[0].address(), proxies[1].address()];
    warm_up(&case, first.front);
    thread::sleep(CONTACT + Duration::from_secs(6));
    let restarted = engines
        .iter()
        .max_by_key(|engine| engine.stream_runs().len())
        .unwrap_or_else(|| case.give_up("no engine"));
    if case.has_trouble {
        store.set_faults(Faults {
            refuse_with: Some(503),
            ..Faults::default()
        });
        record.line("the store is down");
    }
    let down = Instant::now();
    thread::sleep(Duration::from_millis(300));
    if case.has_trouble {
        restarted.set_software_version("v2");
        // Its base model comes from its own disk (0.49 s), then the adapter (0.25 s).
        restarted.set_terms(ServerTerms {
            load: Duration::from_millis(740),
            ..ServerTerms::default()
        });
        restarted.restart_in_place(unix_ms());
        record.line(format!(
            "{} starts again under its id, in version v2",
            restarted.id()
        ));
    }
    thread::sleep(Duration::from_millis(200));
    // The calls of callers in the meantime bring the adapters back.
    let begun = run_streams(
        &record,
        &ways,
        &proxies,
        "w",
        case.has_trouble.then_some(down),
    );
    if case.has_trouble {
        thread::sleep(STORE_DOWN.saturating_sub(down.elapsed()));
        store.set_faults(Faults::default());
        record.line("the store is back");
        restarted.register_again("ba-hall-a");
    }
    let mixed = resume_all(&record, begun, second.front);
    case.end(
        mixed > 2,
        &format!("streams with events of two software versions: {mixed} (at most 2)"),
    );
}

/// Begins streams through two ways to the first box, and cuts one of the ways.
fn run_streams(
    record: &Record,
    ways: &[SocketAddr; 2],
    proxies: &[Proxy; 2],
    name: &str,
    down: Option<Instant>,
) -> Vec<Stream> {
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, way, name) = (
                record.clone(),
                ways[number / ADAPTERS % 2],
                name.to_string(),
            );
            thread::spawn(move || begin(&record, number, way, &name))
        })
        .collect();
    if let Some(down) = down {
        thread::sleep(Duration::from_millis(3_800).saturating_sub(down.elapsed()));
        proxies[0].set_fault(ProxyFault::Reset);
        record.line("one half of the callers' connections to the box is reset");
    }
    callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect()
}

/// Begins a stream, again after refusals, and reads it until its end or the end of its connection.
fn begin(record: &Record, number: usize, way: SocketAddr, name: &str) -> Stream {
    let began = Instant::now();
    let mut tries = 0;
    loop {
        tries += 1;
        let id = format!("{name}{number}-{tries}");
        let (text, is_cut) = read_stream(&request(number, &id), way);
        let stream = Stream {
            number,
            text,
            first_id: id,
            is_cut,
        };
        if stream.last_event() > 0 || began.elapsed() > Duration::from_secs(3) {
            record.line(format!(
                "stream {number}: {} events of {:?}, cut: {}",
                stream.last_event(),
                stream.versions(),
                stream.is_cut
            ));
            return stream;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn request(number: usize, id: &str) -> Request {
    Request::new("flow-again", id, DEADLINE_MS)
        .header("Model", &format!("m/a{}", 1 + number % ADAPTERS))
        .header("Token-Count", "491,200")
        .header("Prompt-Prefix", &format!("aa:155,{:x}:336", 4_096 + number))
}

/// Reads the body of an answer, without the marks of chunks; tells whether it was cut.
fn read_stream(request: &Request, to: SocketAddr) -> (Vec<u8>, bool) {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return (Vec::new(), true);
    };
    request.write(&mut stream);
    let end = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let mut bytes = Vec::new();
    let mut is_whole = false;
    while Instant::now() < end && !is_whole {
        match read_piece(&mut stream, Duration::from_millis(200)) {
            None => break,
            Some(piece) => bytes.extend_from_slice(&piece),
        }
        is_whole = bytes.ends_with(b"0\r\n\r\n")
            || !(bytes.is_empty() || bytes.starts_with(b"HTTP/1.1 200"));
    }
    let text = String::from_utf8_lossy(&bytes);
    if !text.starts_with("HTTP/1.1 200") {
        return (Vec::new(), true);
    }
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    // Chunk sizes stand alone on lines that end with CR LF.
    let mut plain = String::new();
    for line in body.split_inclusive('\n') {
        if !line.ends_with("\r\n") {
            plain.push_str(line);
        }
    }
    (plain.into_bytes(), !is_whole)
}

/// Takes up the streams that were cut at the other box; returns how many hold events of two versions.
fn resume_all(record: &Record, begun: Vec<Stream>, to: SocketAddr) -> usize {
    let callers: Vec<_> = begun
        .into_iter()
        .map(|stream| {
            let record = record.clone();
            thread::spawn(move || resume(&record, stream, to))
        })
        .collect();
    let streams = callers.into_iter().filter_map(|caller| caller.join().ok());
    streams.filter(|stream| stream.versions().len() > 1).count()
}

fn resume(record: &Record, mut stream: Stream, to: SocketAddr) -> Stream {
    if !stream.is_cut || stream.last_event() == 0 {
        return stream;
    }
    let before = stream.versions();
    for attempt in 1..=TRIES {
        let id = format!("r{}-{attempt}", stream.number);
        let request = request(stream.number, &id)
            .header("Resumes", &stream.first_id)
            .header("Last-Event-Id", &stream.last_event().to_string());
        let (text, _) = read_stream(&request, to);
        if !text.is_empty() {
            record.line(format!(
                "stream {}: begun with events of {before:?}, goes on with events of {:?}",
                stream.number,
                versions_in(&text)
            ));
            // The end that was cut off within an event is sent again.
            let whole = String::from_utf8_lossy(&stream.text)
                .rfind("\n\n")
                .map_or(0, |end| end + 2);
            stream.text.truncate(whole);
            stream.text.extend_from_slice(&text);
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }
    stream
}

/// Has each adapter loaded where it is asked for.
fn warm_up(case: &Case, to: SocketAddr) {
    let callers: Vec<_> = (0..ADAPTERS)
        .map(|number| {
            thread::spawn(move || {
                (0..20).any(|attempt| {
                    let (text, _) =
                        read_stream(&request(number, &format!("warm{number}-{attempt}")), to);
                    !text.is_empty()
                })
            })
        })
        .collect();
    for caller in callers {
        if !caller.join().unwrap_or_default() {
            case.give_up("an adapter is not served");
        }
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |now| now.as_millis() as u64)
}

fn configuration() -> serde_json::Value {
    let mut configuration = store::configuration_without_moves(1);
    configuration["services"][1]["engine"]["slots"] = json!(64);
    configuration["services"][1]["engine"]["adapterSlots"] = json!(16);
    configuration["services"][1]["engine"]["models"][0]["adapters"] = json!(ADAPTERS);
    configuration["limits"]["maxBodyBytes"] = json!(4_194_304);
    configuration
}

fn add_engine(store: &Store, number: usize) -> Server {
    let server = Server::start_incarnation(store, &format!("i-{number}"), "engine", unix_ms());
    server.set_software_version("v1");
    server.set_streams(StreamTerms {
        events: 60,
        event_gap: Duration::from_millis(80),
        slots: 64,
        ..StreamTerms::default()
    });
    server.register_at("ready", server.address(), "ba-hall-a");
    server
}
