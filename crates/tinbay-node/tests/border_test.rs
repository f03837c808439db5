//! The HTTP interface of a box: bad input is answered with typed errors and causes no panic.

mod common;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use common::{
    Answer, await_that, complete, post, put_objects, send, send_and_close, standin, start_box,
    start_box_with, start_box_with_engine, write_class,
};
use quickcheck::QuickCheck;
use tinbay_standin::Kind;
use tinbay_standin::engine::expected_text;

fn assert_code(answer: &Answer, status: u16, code: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("a JSON body");
    assert_eq!(body["error"]["code"], code, "{answer:?}");
    assert!(body["error"]["message"].is_string());
    assert!(body["error"]["not_run"].is_boolean());
}

#[test]
fn complete_malformed_json_is_400() {
    let started = start_box();
    let answer = post(started.node.address(), "/v1/completions", "{\"model\": 5}");
    assert_code(&answer, 400, "malformed_body");
}

#[test]
fn complete_unknown_names_are_404() {
    let started = start_box();
    let address = started.node.address();
    await_that("a change is taken", || {
        write_class(address, "c1", "counter").status == 200
    });
    let adapter = post(
        address,
        "/v1/completions",
        "{\"model\":\"a@v1\",\"prompt\":\"\"}",
    );
    assert_code(&adapter, 404, "unknown_adapter");
    let class = post(
        address,
        "/v1/completions",
        "{\"model\":\"a@v1\",\"prompt\":\"\",\"class\":\"nobody\"}",
    );
    assert_code(&class, 404, "unknown_class");
    let service = post(address, "/v1/services/nobody/call", "{}");
    assert_code(&service, 404, "unknown_service");
}

#[test]
fn complete_body_over_limit_is_413() {
    let started = start_box();
    let answer = post(
        started.node.address(),
        "/v1/completions",
        &"x".repeat(10_000),
    );
    assert_code(&answer, 413, "body_too_large");
}

#[test]
fn complete_bad_key_is_400() {
    let started = start_box();
    let headers = [("x-tinbay-key", "not a key")];
    let body = b"{\"model\":\"a@v1\",\"prompt\":\"\"}";
    let address = started.node.address();
    let answer = send(address, "POST", "/v1/completions", &headers, body).expect("an answer");
    assert_code(&answer, 400, "bad_key");
}

#[test]
fn complete_resume_without_key_is_400() {
    let started = start_box();
    let headers = [("x-tinbay-resume-from", "3")];
    let body = b"{\"model\":\"a@v1\",\"prompt\":\"\"}";
    let address = started.node.address();
    let answer = send(address, "POST", "/v1/completions", &headers, body).expect("an answer");
    assert_code(&answer, 400, "bad_parameter");
}

// Calls that first try an address that refuses connections must not consume the retry budget, or
// later calls are refused once it is empty.
#[test]
fn service_with_a_server_off_answers_every_call() {
    let started = start_box();
    let address = started.node.address();
    let service = standin(Kind::Service);
    let object = format!(
        "{{\"service\":{{\"name\":\"lookup\",\"addresses\":[\"127.0.0.1:1\",\"{}\"],\
         \"repeatable\":false,\"timeout_ms\":1000}}}}",
        service.address()
    );
    put_objects(address, &[object]);
    await_that("the service answers", || {
        post(address, "/v1/services/lookup/call", "{}").status == 200
    });
    let calls = (0..60).map(|_| post(address, "/v1/services/lookup/call", "{}"));
    let refused: Vec<Answer> = calls.filter(|answer| answer.status != 200).collect();
    assert!(
        refused.is_empty(),
        "{} of 60: {:?}",
        refused.len(),
        refused[0]
    );
}

/// Starts a service that answers each call by these bytes and closes the connection.
fn start_raw_service(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(answer);
        }
    });
    address
}

// Guards against a part of an answer, or nothing of it, that is taken for the whole.
#[test]
fn service_that_does_not_mark_the_end_of_its_answer_is_outcome_unknown() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\n\r\npayload"[..],
        b"HTTP/1.1 200 OK\r\nContent-Lenght: 7\r\n\r\npayload",
        b"HTTP/1.0 200 OK\r\n\r\npayl",
    ] {
        let started = start_box();
        let address = started.node.address();
        let object = format!(
            "{{\"service\":{{\"name\":\"lookup\",\"addresses\":[\"{}\"],\
             \"repeatable\":false,\"timeout_ms\":1000}}}}",
            start_raw_service(answer)
        );
        put_objects(address, &[object]);
        await_that("the service is known", || {
            post(address, "/v1/services/lookup/call", "{}").status != 404
        });
        let called = post(address, "/v1/services/lookup/call", "{}");
        assert_code(&called, 504, "outcome_unknown");
    }
}

// An engine breaks all streams for 250 ms. Retries without a delay use up all four attempts within
// milliseconds, and the request fails with `outcome_unknown`.
#[test]
fn complete_while_the_engine_breaks_streams_for_a_moment_is_answered() {
    let engine = start_box_with_engine();
    let address = engine.started.node.address();
    let set_faults = |faults: &str| post(engine.engine.address(), "/control/faults", faults).status;
    let breaking = "{\"break_streams\":1000,\"break_at\":0}";
    assert_eq!(set_faults(breaking), 200);
    let asked = std::thread::spawn(move || complete(address, "asked", "prompt", 5));
    std::thread::sleep(Duration::from_millis(250));
    assert_eq!(set_faults("{}"), 200);
    let answer = asked.join().expect("it ends");
    assert_eq!(answer.status, 200, "{answer:?}");
}

// Callers that choose the same x-request-id must not share a run at the engine, or they receive
// each other's text.
#[test]
fn complete_same_request_id_answers_each_caller_its_own() {
    let engine = start_box_with_engine();
    let address = engine.started.node.address();
    let prompts = ["one", "two", "three"];
    let asked = prompts
        .map(|prompt| std::thread::spawn(move || (prompt, complete(address, "same", prompt, 40))));
    for asked in asked {
        let (prompt, answer) = asked.join().expect("it ends");
        assert_eq!(answer.status, 200, "{answer:?}");
        let body: serde_json::Value = serde_json::from_str(&answer.body).expect("a JSON body");
        let model = "a@v1".parse().expect("a model");
        let expected = expected_text(&model, prompt, 40);
        assert_eq!(body["choices"][0]["text"], expected.as_str());
    }
}

#[test]
fn wrong_method_and_path_are_405_and_404() {
    let started = start_box();
    let address = started.node.address();
    let method = send(address, "GET", "/v1/completions", &[], b"").expect("an answer");
    assert_code(&method, 405, "method_not_allowed");
    let path = send(address, "GET", "/nowhere", &[], b"").expect("an answer");
    assert_code(&path, 404, "not_found");
}

#[test]
fn locate_bad_model_is_400() {
    let started = start_box();
    let address = started.node.address();
    let answer = send(address, "GET", "/v1/locate?model=x", &[], b"").expect("an answer");
    assert_code(&answer, 400, "bad_parameter");
}

#[test]
fn change_bad_policy_names_line_and_column() {
    let started = start_box();
    let body = "{\"change_id\":\"p\",\"operator\":\"t\",\"items\":[{\"put\":{\"object\":{\"policy\":\
                {\"name\":\"default\",\"program\":\"fn classify(r) {\\n let = 1; }\"}}}}]}";
    let answer = post(started.node.address(), "/admin/v1/changes", body);
    assert_code(&answer, 422, "invalid_change");
    assert!(answer.body.contains("line 2, column"), "{answer:?}");
}

#[test]
fn change_without_token_is_401() {
    let started = start_box_with(|options| options.admin_token = Some("secret".to_owned()));
    let address = started.node.address();
    assert_code(&write_class(address, "c1", "counter"), 401, "unauthorized");
    let headers = [("authorization", "Bearer secret")];
    let status = send(address, "GET", "/admin/v1/status", &headers, b"").expect("an answer");
    assert_eq!(status.status, 200);
}

#[test]
fn change_refused_is_in_the_audit_trail() {
    let started = start_box();
    let address = started.node.address();
    await_that("a change is taken", || {
        write_class(address, "good", "counter").status == 200
    });
    assert_code(&write_class(address, "bad", "a b"), 422, "invalid_change");
    let trail = send(address, "GET", "/admin/v1/audit", &[], b"").expect("an answer");
    let trail: serde_json::Value = serde_json::from_str(&trail.body).expect("a JSON body");
    let refused: Vec<bool> = trail
        .as_array()
        .expect("a list")
        .iter()
        .map(|record| record["refused"].is_string())
        .collect();
    assert_eq!(refused, vec![false, true]);
}

#[test]
fn change_same_id_twice_is_made_once() {
    let started = start_box();
    let address = started.node.address();
    await_that("a change is taken", || {
        write_class(address, "once", "counter").status == 200
    });
    let first = write_class(address, "once", "counter").body;
    let again = write_class(address, "once", "another-name").body;
    assert_eq!(first, again, "the same revision is reported");
    let objects = send(address, "GET", "/admin/v1/objects?kind=class", &[], b"");
    let body = objects.expect("an answer").body;
    assert!(
        body.contains("counter") && !body.contains("another-name"),
        "{body}"
    );
}

#[test]
fn change_two_operators_race_one_conflicts() {
    let started = start_box();
    let address = started.node.address();
    await_that("a change is taken", || {
        write_class(address, "c0", "counter").status == 200
    });
    for round in 0..20 {
        let race = |operator: &str| {
            let body = format!(
                "{{\"change_id\":\"race-{round}-{operator}\",\"operator\":\"{operator}\",\"items\":[{{\"put\":\
                 {{\"expected\":0,\"object\":{{\"class\":{{\"name\":\"class-{round}\",\"rank\":1,\
                 \"max_wait_ms\":1000}}}}}}}}]}}"
            );
            std::thread::spawn(move || post(address, "/admin/v1/changes", &body))
        };
        let (first, second) = (race("one"), race("two"));
        let answers = [
            first.join().expect("an answer"),
            second.join().expect("an answer"),
        ];
        let mut statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
        statuses.sort_unstable();
        assert_eq!(statuses, vec![200, 409], "{answers:?}");
        let lost = answers.iter().find(|answer| answer.status == 409);
        assert_code(lost.expect("one of them"), 409, "conflict");
    }
}

#[test]
fn border_any_bytes_do_not_end_the_box() {
    let started = start_box();
    let address = started.node.address();
    let bytes = move |bytes: Vec<u8>| {
        send_and_close(address, &bytes);
        true
    };
    QuickCheck::new()
        .tests(60)
        .quickcheck(Bytes(Box::new(bytes)));
    let bodies = move |body: Vec<u8>| {
        let paths = [
            "/v1/completions",
            "/admin/v1/changes",
            "/internal/v1/run",
            "/v1/services/a/b",
        ];
        paths.iter().all(|path| {
            let answer = send(address, "POST", path, &[("x-tinbay-key", "k")], &body);
            answer.is_some_and(|answer| answer.status >= 400 && answer.status != 500)
        })
    };
    QuickCheck::new()
        .tests(60)
        .quickcheck(Bytes(Box::new(bodies)));
    let alive = send(address, "GET", "/healthz", &[], b"").expect("an answer");
    assert_eq!(alive.status, 200);
}

/// A property of a byte string, as a closure, since QuickCheck accepts only functions without
/// captures.
struct Bytes(Box<dyn Fn(Vec<u8>) -> bool>);

impl quickcheck::Testable for Bytes {
    fn result(&self, gen_source: &mut quickcheck::Gen) -> quickcheck::TestResult {
        let bytes = <Vec<u8> as quickcheck::Arbitrary>::arbitrary(gen_source);
        quickcheck::TestResult::from_bool((self.0)(bytes))
    }
}
