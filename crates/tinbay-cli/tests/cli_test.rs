//! Tests the command line through its binary.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread;

use common::{lock_fleets, repository_path, stderr, stdout, tinbay};

#[test]
fn demo_answers_everything_right() {
    let _turn = lock_fleets();
    let output = tinbay(&["demo"]);
    let text = stdout(&output);
    assert!(output.status.success(), "{text}{}", stderr(&output));
    assert!(text.contains("8 of 8 answers right"), "{text}");
    assert!(
        text.contains("plain service call (not repeatable): answered"),
        "{text}"
    );
}

#[test]
fn demo_json_is_for_programs() {
    let _turn = lock_fleets();
    let output = tinbay(&["--json", "demo"]);
    let report: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(report["right"], 8);
}

#[test]
fn policy_check_names_the_place() {
    let good = tinbay(&[
        "policy",
        "check",
        &repository_path("examples/dochodok.rhai"),
    ]);
    assert!(good.status.success(), "{}", stderr(&good));
    let bad = tinbay(&["policy", "check", &repository_path("LICENSE")]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(stderr(&bad).contains("line 1"), "{}", stderr(&bad));
}

#[test]
fn apply_without_a_box_exits_3() {
    let file = repository_path("crates/tinbay-cli/samples/demo.toml");
    let output = tinbay(&["--server", "127.0.0.1:1", "apply", "-f", &file]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        stderr(&output).contains("no box answered"),
        "{}",
        stderr(&output)
    );
}

/// Runs `tinbay` against a server that answers 404, and returns the query of the request.
fn query_sent(args: &[&str]) -> Vec<(String, String)> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(stream.try_clone().expect("a stream")).lines();
        let first = lines.next().expect("a line").expect("a request line");
        while !lines.next().expect("a line").expect("a header").is_empty() {}
        let head = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("an answer");
        first
    });
    tinbay(&[&["--server", &address], args].concat());
    let line = serving.join().expect("a request");
    let target = line.split(' ').nth(1).expect("a target");
    let (_, query) = target.split_once('?').expect("a query");
    form_urlencoded::parse(query.as_bytes())
        .into_owned()
        .collect()
}

/// Guards against texts that are put into a query as they are.
#[test]
fn query_holds_any_text_as_it_was_given() {
    for odd in ["a&b", "a+b", "a#b", "a%41b", "a=b", "a b"] {
        let pair = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        let sent = query_sent(&["audit", "--change", odd]);
        assert_eq!(sent, [pair("change", odd)]);
        let sent = query_sent(&["get", "policy", odd]);
        assert_eq!(sent, [pair("kind", "policy"), pair("name", odd)]);
        let model = format!("{odd}@1");
        let sent = query_sent(&["locate", &model]);
        assert_eq!(sent, [pair("model", &model)]);
    }
}

#[test]
fn apply_malformed_file_exits_2() {
    let output = tinbay(&["apply", "-f", &repository_path("LICENSE")]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn completions_are_printed() {
    let output = tinbay(&["completions", "bash"]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("_tinbay"));
}

#[test]
fn load_wrong_option_names_value_and_allowed() {
    let output = tinbay(&["load", "--rate", "0"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("--rate is '0': give 0.1 to 5000"),
        "{}",
        stderr(&output)
    );
}
