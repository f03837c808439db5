//! Starts a box with stand-ins for the platform services, all in this process.
#![allow(dead_code)] // Not every test file uses all of it.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use log::LevelFilter;
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_node::logging::LogFormat;
use tinbay_node::node::{self, NodeHandle};
use tinbay_node::options::Options;
use tinbay_standin::{Kind, ServerHandle, StandinSettings};

/// A box with its platform services.
pub struct TestBox {
    pub node: NodeHandle,
    pub kv: ServerHandle,
    _boxes: ServerHandle,
}

/// Any free port of the loopback interface.
fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub fn standin(kind: Kind) -> ServerHandle {
    let listener = TcpListener::bind(any_port()).expect("a port");
    tinbay_standin::start(kind, listener, &StandinSettings::default()).expect("a stand-in")
}

/// Starts a single box with default settings.
pub fn start_box() -> TestBox {
    start_box_with(|_| {})
}

/// Starts a single box with changed settings.
pub fn start_box_with(change: impl FnOnce(&mut Options)) -> TestBox {
    let kv = standin(Kind::Kv);
    let boxes = standin(Kind::Boxes);
    let mut options = Options {
        box_id: BoxId::new("box-1"),
        zone: ZoneId::new("zone-a"),
        region: "main".to_owned(),
        listen: any_port(),
        control_listen: any_port(),
        advertise: None,
        control_advertise: None,
        kv: kv.address(),
        box_list: boxes.address(),
        admin_token: None,
        workers: 1,
        locate_valid_ms: 100,
        stop_within_ms: 1_000,
        max_body_bytes: 4_096,
        log_level: LevelFilter::Off,
        log_format: LogFormat::Text,
        dead_after_ms: 3_000,
    };
    change(&mut options);
    let node = node::start(options).expect("a box");
    TestBox {
        node,
        kv,
        _boxes: boxes,
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends raw bytes and closes the connection.
pub fn send_and_close(address: SocketAddr, bytes: &[u8]) {
    use std::io::Write;
    if let Ok(mut stream) = std::net::TcpStream::connect(address) {
        let _ = stream.write_all(bytes);
    }
}

/// Sends the bytes of a request and reads the response; `None` if the box closes without one.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    // The box may answer and close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

/// Sends a request and reads the response; `None` if the box closes without one.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: box\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    send_raw(address, &bytes)
}

/// Posts a JSON body and expects a response.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Answer {
    let headers = [("content-type", "application/json")];
    send(address, "POST", path, &headers, body.as_bytes()).expect("an answer")
}

/// A box with an engine, and adapter `a` in version `v1` configured for it.
pub struct TestEngine {
    pub started: TestBox,
    pub engine: ServerHandle,
}

/// Starts a box and an engine, and waits until a completion succeeds.
pub fn start_box_with_engine() -> TestEngine {
    let started = start_box();
    let engine = standin(Kind::Engine);
    let objects = [
        format!(
            "{{\"engine\":{{\"name\":\"engine-1\",\"address\":\"{}\",\"zone\":\"zone-a\",\"region\":\"main\",\
             \"base_model\":\"base\",\"slots\":4,\"batch_limit\":8,\"checks_orders\":true}}}}",
            engine.address()
        ),
        "{\"adapter\":{\"name\":\"a\",\"organisation\":\"o\",\"base_model\":\"base\"}}".to_owned(),
        "{\"version\":{\"adapter\":\"a\",\"name\":\"v1\",\"weights\":\"store://a\"}}".to_owned(),
    ];
    let address = started.node.address();
    put_objects(address, &objects);
    await_that("the engine answers", || {
        complete(address, "first", "warm up", 1).status == 200
    });
    TestEngine { started, engine }
}

/// Writes configuration objects, retrying until the box accepts changes.
pub fn put_objects(address: SocketAddr, objects: &[String]) {
    let items: Vec<String> = objects
        .iter()
        .map(|object| format!("{{\"put\":{{\"object\":{object}}}}}"))
        .collect();
    let body = format!(
        "{{\"change_id\":\"objects\",\"operator\":\"test\",\"items\":[{}]}}",
        items.join(",")
    );
    await_that("the objects are configured", || {
        post(address, "/admin/v1/changes", &body).status == 200
    });
}

/// Requests a completion by adapter `a` in version `v1`, not streamed.
pub fn complete(address: SocketAddr, request_id: &str, prompt: &str, max_tokens: u32) -> Answer {
    let body =
        format!("{{\"model\":\"a@v1\",\"prompt\":\"{prompt}\",\"max_tokens\":{max_tokens}}}");
    let headers = [("x-request-id", request_id)];
    let path = "/v1/completions";
    send(address, "POST", path, &headers, body.as_bytes()).expect("an answer")
}

/// Posts a configuration change with one class.
pub fn write_class(address: SocketAddr, change_id: &str, name: &str) -> Answer {
    let body = format!(
        "{{\"change_id\":\"{change_id}\",\"operator\":\"test\",\"items\":[{{\"put\":{{\"object\":\
         {{\"class\":{{\"name\":\"{name}\",\"rank\":1,\"max_wait_ms\":1000}}}}}}}}]}}"
    );
    post(address, "/admin/v1/changes", &body)
}

/// Waits up to 20 s until a condition holds.
pub fn await_that(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
