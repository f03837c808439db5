//! Tests `tinbay report`, the summary of the requests in logs.

use std::fs;
use std::io::{self, BufReader, Read, Write};
use std::path::Path;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};
use tinbay_cli::request_report::lines::{LineRead, Lines, MAX_LINE_BYTES};
use tinbay_cli::request_report::tally::{MAX_KEYS, OTHERS};
use tinbay_cli::request_report::{Analysis, Report};

const MAX_STEPS: usize = 60;

/// Returns the log line of a stream answered on time, with its fields replaced by those of
/// `changes`; a field that is null there is removed.
fn line(changes: &Value) -> String {
    let mut line = json!({
        "time": "2026-01-02T03:04:05.678Z", "level": "INFO", "part": "front", "event": "request",
        "request": "8172a12e2f17137f", "route": "chat", "service": "model", "configuration": 3,
        "account": "acme", "model": "base/a1", "server": "s-1", "status": 200,
        "outcome": "answered", "sent_after_ms": 5, "head_ms": 90, "kind": "streaming",
        "objective_ms": 800, "objective_gap_ms": 300, "lateness": "in_time",
        "first_piece_ms": 100, "at_server_ms": 95, "pauses_ms": 2_000, "longest_pause_ms": 200,
        "longest_pause_untaken_ms": 0, "longest_pause_at": 3, "untaken_ms": 0, "pieces": 20,
        "total_ms": 2_100,
    });
    let fields = line.as_object_mut().expect("an object");
    for (name, value) in changes.as_object().expect("an object") {
        match value {
            Value::Null => fields.remove(name),
            value => fields.insert(name.clone(), value.clone()),
        };
    }
    line.to_string()
}

fn analyse(text: &str) -> Report {
    analyse_bytes(text.as_bytes())
}

fn analyse_bytes(bytes: &[u8]) -> Report {
    let mut analysis = Analysis::new(MAX_STEPS).expect("analysis is created");
    analysis.read_log("all.log", bytes).expect("log is read");
    analysis.report()
}

/// Returns the cause in the report of a single line.
fn cause_of(changes: &Value) -> String {
    let report = analyse(&line(changes));
    assert_eq!(report.by_cause.len(), 1, "{report:?}");
    report.by_cause[0].key.name.clone()
}

/// Writes the log of one test and returns its path.
fn write_log(test: &str, text: &[u8]) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("report-{test}.log"));
    fs::write(&path, text).expect("a log is written");
    path.display().to_string()
}

fn tinbay(args: &[&str]) -> Output {
    tinbay_with_input(args, b"")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn tinbay_with_input(args: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tinbay"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("tinbay starts");
    let mut pipe = child.stdin.take().expect("standard input");
    pipe.write_all(input).expect("input is read");
    drop(pipe);
    child.wait_with_output().expect("tinbay ends")
}

/// Returns a log with one request of each result.
fn log_of_each_class() -> String {
    let lines = [
        line(&json!({})),
        line(&json!({"lateness": "late_first_piece", "first_piece_ms": 900, "at_server_ms": 895})),
        line(&json!({"lateness": "late_pause", "longest_pause_ms": 500})),
        line(&json!({
            "lateness": "late_first_piece_and_pause", "first_piece_ms": 900, "sent_after_ms": 700,
            "at_server_ms": 200, "longest_pause_ms": 500,
        })),
        line(
            &json!({"lateness": "late_end", "service": "plain", "route": "notes", "server": "s-2"}),
        ),
        line(&json!({"lateness": null})),
        line(&json!({
            "outcome": "cut", "cause": "the server broke off", "lateness": null, "server": "s-2",
        })),
        line(&json!({
            "outcome": "limit_reached", "cause": "not run: the account's limit is reached",
            "lateness": null, "status": 429, "server": null, "sent_after_ms": null,
            "at_server_ms": null, "head_ms": null, "first_piece_ms": null, "total_ms": 1,
            "account": "busy",
        })),
    ];
    lines.join("\n") + "\n"
}

#[test]
fn report_each_class_is_counted() {
    let report = analyse(&log_of_each_class());
    let total = &report.total;
    assert_eq!(total.requests, 8);
    assert_eq!(total.in_time, 1);
    assert_eq!(total.late_first_piece, 1);
    assert_eq!(total.late_pause, 1);
    assert_eq!(total.late_first_piece_and_pause, 1);
    assert_eq!(total.late_end, 1);
    assert_eq!(total.unjudged, 1);
    assert_eq!(total.failed, 1);
    assert_eq!(total.refused, 1);
    assert_eq!(total.not_in_time(), 6);
}

#[test]
fn report_each_key_has_its_rows() {
    let report = analyse(&log_of_each_class());
    let services: Vec<_> = report
        .by_service
        .iter()
        .map(|row| {
            (
                row.key.service.as_str(),
                row.key.route.as_str(),
                row.counts.requests,
            )
        })
        .collect();
    assert_eq!(services, [("model", "chat", 7), ("plain", "notes", 1)]);
    let accounts: Vec<_> = report
        .by_account
        .iter()
        .map(|row| (row.key.name.as_str(), row.counts.requests))
        .collect();
    assert_eq!(accounts, [("acme", 7), ("busy", 1)]);
    let servers: Vec<_> = report
        .by_server
        .iter()
        .map(|row| (row.key.name.as_str(), row.counts.not_in_time()))
        .collect();
    assert_eq!(servers, [("s-1", 3), ("s-2", 2), ("(none)", 1)]);
}

#[test]
fn report_sums_of_each_table_are_all_requests() {
    let report = analyse(&log_of_each_class());
    let sum = |counts: Vec<u64>| counts.into_iter().sum::<u64>();
    let requests = report.total.requests;
    assert_eq!(
        sum(report
            .by_service
            .iter()
            .map(|row| row.counts.requests)
            .collect()),
        requests
    );
    assert_eq!(
        sum(report
            .by_account
            .iter()
            .map(|row| row.counts.requests)
            .collect()),
        requests
    );
    assert_eq!(
        sum(report
            .by_server
            .iter()
            .map(|row| row.counts.requests)
            .collect()),
        requests
    );
    assert_eq!(
        sum(report
            .by_cause
            .iter()
            .map(|row| row.counts.requests)
            .collect()),
        requests
    );
    assert_eq!(
        sum(report
            .by_second
            .rows
            .iter()
            .map(|row| row.counts.requests)
            .collect()),
        requests
    );
}

#[test]
fn cause_late_first_piece_is_the_larger_part() {
    let late = |sent_after_ms, at_server_ms| {
        cause_of(&json!({
            "lateness": "late_first_piece", "sent_after_ms": sent_after_ms,
            "at_server_ms": at_server_ms,
        }))
    };
    assert_eq!(late(600, 300), "late: before the send");
    assert_eq!(late(300, 600), "late: at the server");
}

#[test]
fn cause_late_first_piece_without_server_part_takes_the_rest() {
    let cause = cause_of(&json!({
        "lateness": "late_first_piece", "at_server_ms": null, "sent_after_ms": 100,
        "first_piece_ms": 900,
    }));
    assert_eq!(cause, "late: at the server");
}

#[test]
fn cause_late_pause_is_the_side_that_made_most_of_it() {
    let late = |untaken_ms| {
        cause_of(&json!({
            "lateness": "late_pause", "longest_pause_ms": 400,
            "longest_pause_untaken_ms": untaken_ms,
        }))
    };
    assert_eq!(late(0), "late: pause of the server");
    assert_eq!(late(200), "late: pause of the server");
    assert_eq!(late(201), "late: pause of the caller's side");
    assert_eq!(late(u64::MAX), "late: pause of the caller's side");
}

#[test]
fn cause_failed_or_refused_is_as_told() {
    let cause = cause_of(&json!({"outcome": "cut", "cause": "the caller broke off"}));
    assert_eq!(cause, "cut: the caller broke off");
    assert_eq!(
        cause_of(&json!({"outcome": "time_up", "status": 504})),
        "time_up"
    );
}

#[test]
fn class_unknown_outcome_is_by_status() {
    let class = |status: u16| analyse(&line(&json!({"outcome": "new", "status": status}))).total;
    assert_eq!(class(503).refused, 1);
    assert_eq!(class(429).refused, 1);
    assert_eq!(class(502).failed, 1);
    assert_eq!(class(504).failed, 1);
}

#[test]
fn class_failure_of_a_server_is_no_refusal() {
    let report = analyse(&line(
        &json!({"outcome": "failed_by_server", "status": 503}),
    ));
    assert_eq!(report.total.failed, 1);
    assert_eq!(report.total.refused, 0);
}

#[test]
fn class_unknown_lateness_is_unjudged() {
    let report = analyse(&line(&json!({"lateness": "very late"})));
    assert_eq!(report.total.unjudged, 1);
}

#[test]
fn times_never_sent_all_passed_before_the_send() {
    let report = analyse(&line(&json!({
        "outcome": "not_run", "status": 503, "server": null, "sent_after_ms": null,
        "at_server_ms": null, "total_ms": 2_761,
    })));
    assert_eq!(report.total.before_send.mean_ms(), Some(2_761));
    assert_eq!(report.total.at_server.mean_ms(), None);
}

#[test]
fn times_sent_without_answer_pass_at_the_server() {
    let report = analyse(&line(&json!({
        "outcome": "time_up", "status": 504, "sent_after_ms": 100, "at_server_ms": null,
        "head_ms": null, "first_piece_ms": null, "total_ms": 900,
    })));
    assert_eq!(report.total.at_server.mean_ms(), Some(800));
}

#[test]
fn times_huge_values_are_summed() {
    let huge = line(&json!({"sent_after_ms": u64::MAX, "total_ms": u64::MAX}));
    let report = analyse(&format!("{huge}\n{huge}\n"));
    assert_eq!(
        report.total.before_send.mean_ms(),
        Some(u128::from(u64::MAX))
    );
}

#[test]
fn lines_name_of_a_box_may_stand_before() {
    let prefixed = format!(
        "front-hall-a-1 {}\nfront-hall-b {{x}} | {}\n",
        line(&json!({})),
        line(&json!({}))
    );
    let report = analyse(&prefixed);
    assert_eq!(report.lines.requests, 2);
    assert_eq!(report.lines.bad.total(), 0);
}

#[test]
fn box_name_is_the_first_word_or_the_log() {
    let name = |prefix: &str| {
        let report = analyse(&format!("{prefix}{}", line(&json!({}))));
        report.by_box[0].key.name.clone()
    };
    assert_eq!(name("front-hall-a-1 "), "front-hall-a-1");
    assert_eq!(name("box-2  | "), "box-2");
    assert_eq!(name("[box-3] app: "), "box-3");
    assert_eq!(name("box-4:"), "box-4");
    assert_eq!(name(""), "all.log");
    assert_eq!(name(" : "), "all.log");
}

#[test]
fn lines_of_something_else_are_no_requests() {
    let text = r#"
{"time":"2026-01-02T03:04:05.678Z","event":"try","request":"1","server":{"odd":true}}
{"event":"order","outcome":"done","dropped_lines":7}

{"no_event":true}
"#;
    let report = analyse(text);
    assert_eq!(report.lines.lines, 3);
    assert_eq!(report.lines.others, 3);
    assert_eq!(report.lines.dropped, 7);
    assert_eq!(report.lines.bad.total(), 0);
}

#[test]
fn lines_bad_ones_are_counted_by_reason() {
    let whole = line(&json!({}));
    let cut = &whole[..whole.len() / 2];
    let negative = line(&json!({"total_ms": -1}));
    let missing = line(&json!({"outcome": null}));
    let text =
        format!("{whole}\nthread 'main' panicked\n{cut}\n{negative}\n{missing}\n{{\"a\":]\n");
    let report = analyse(&text);
    assert_eq!(report.lines.requests, 1);
    assert_eq!(report.lines.bad.garbage, 2);
    assert_eq!(report.lines.bad.cut, 1);
    assert_eq!(report.lines.bad.wrong_field, 2);
    let examples: Vec<u64> = report
        .lines
        .bad_examples
        .iter()
        .map(|bad| bad.line)
        .collect();
    assert_eq!(examples, [2, 3, 4, 5, 6]);
    assert!(report.lines.bad_examples[3].reason.contains("outcome"));
}

#[test]
fn lines_bytes_that_are_no_text_are_bad() {
    let mut bytes = b"\xff\xfe\x00\n{\"\xff\xff\":1}\n{\"\xff\xff\n".to_vec();
    bytes.extend(line(&json!({})).bytes());
    let report = analyse_bytes(&bytes);
    assert_eq!(report.lines.bad.garbage, 2);
    assert_eq!(report.lines.bad.cut, 1);
    assert_eq!(report.lines.requests, 1);
}

#[test]
fn lines_cut_anywhere_never_panic() {
    let whole = line(&json!({"cause": "\u{1f980} \"quoted\""}));
    for end in 0..whole.len() {
        let report = analyse_bytes(&whole.as_bytes()[..end]);
        assert_eq!(report.lines.requests, 0, "cut at {end}");
        assert_eq!(report.lines.bad.total(), report.lines.lines, "cut at {end}");
    }
}

#[test]
fn lines_huge_one_is_passed_over() {
    let huge = line(&json!({"cause": "x".repeat(MAX_LINE_BYTES)}));
    let text = format!("{huge}\n{}\n", line(&json!({})));
    let report = analyse(&text);
    assert_eq!(report.lines.bad.too_long, 1);
    assert_eq!(report.lines.requests, 1);
}

/// A line without an end must not use more memory than the longest line that is read.
#[test]
fn lines_endless_one_is_passed_over() {
    let endless = io::repeat(b'x').take(64 * 1024 * 1024);
    let end = io::Cursor::new(b"\nnext\n");
    let mut lines = Lines::new(BufReader::new(endless.chain(end)));
    assert_eq!(lines.next_line().expect("a line"), Some(LineRead::TooLong));
    assert_eq!(
        lines.next_line().expect("a line"),
        Some(LineRead::Complete(b"next"))
    );
    assert_eq!(lines.next_line().expect("the end"), None);
}

#[test]
fn lines_longest_kept_is_whole() {
    let text = "x".repeat(MAX_LINE_BYTES);
    let mut lines = Lines::new(text.as_bytes());
    let read = lines.next_line().expect("a line");
    assert_eq!(read, Some(LineRead::Complete(text.as_bytes())));
}

#[test]
fn names_that_terminals_act_on_are_not_printed() {
    let report = analyse(&line(&json!({"account": "a\u{1b}[31m"})));
    assert_eq!(report.by_account[0].key.name, "a?[31m");
}

#[test]
fn keys_beyond_most_are_counted_together() {
    let mut analysis = Analysis::new(MAX_STEPS).expect("analysis is created");
    for number in 0..MAX_KEYS + 5 {
        let line = line(&json!({"server": format!("s-{number}")}));
        analysis
            .read_log("all.log", line.as_bytes())
            .expect("log is read");
    }
    let report = analysis.report();
    assert_eq!(report.by_server.len(), MAX_KEYS + 1);
    let others = report.by_server.iter().find(|row| row.key.name == OTHERS);
    assert_eq!(others.map(|row| row.counts.requests), Some(5));
}

#[test]
fn seconds_are_told_one_by_one() {
    let at = |time: &str| line(&json!({"time": time}));
    let text = [
        at("2026-01-02T03:04:07.000Z"),
        at("2026-01-02T03:04:05.999Z"),
        at("2026-01-02T03:04:05.000Z"),
        at("yesterday"),
        line(&json!({"time": null})),
    ];
    let seconds = analyse(&text.join("\n")).by_second;
    assert_eq!(seconds.step_s, 1);
    assert_eq!(seconds.without_time, 2);
    let rows: Vec<_> = seconds
        .rows
        .iter()
        .map(|row| (row.key.time.as_str(), row.counts.requests))
        .collect();
    assert_eq!(
        rows,
        [("2026-01-02T03:04:05Z", 2), ("2026-01-02T03:04:07Z", 1)]
    );
}

#[test]
fn seconds_of_a_long_log_widen() {
    let mut analysis = Analysis::new(4).expect("analysis is created");
    for second in 0..50 {
        let line = line(&json!({"time": format!("2026-01-02T03:04:{second:02}Z")}));
        analysis
            .read_log("all.log", line.as_bytes())
            .expect("log is read");
    }
    let seconds = analysis.report().by_second;
    assert!(seconds.rows.len() <= 4, "{seconds:?}");
    assert_eq!(seconds.step_s, 16);
    let sum: u64 = seconds.rows.iter().map(|row| row.counts.requests).sum();
    assert_eq!(sum, 50);
}

#[test]
fn seconds_far_apart_fit_one_step() {
    let mut analysis = Analysis::new(1).expect("analysis is created");
    for time in ["1970-01-01T00:00:00Z", "9999-12-31T23:59:59Z"] {
        let line = line(&json!({"time": time}));
        analysis
            .read_log("all.log", line.as_bytes())
            .expect("log is read");
    }
    assert_eq!(analysis.report().by_second.rows.len(), 1);
}

#[test]
fn report_order_of_logs_changes_nothing() {
    let text = log_of_each_class();
    let mut reversed: Vec<&str> = text.lines().collect();
    reversed.reverse();
    assert_eq!(analyse(&text), analyse(&reversed.join("\n")));
}

#[test]
fn tinbay_report_prints_all_tables() {
    let log = write_log("tables", log_of_each_class().as_bytes());
    let output = tinbay(&["report", &log]);
    let text = stdout(&output);
    assert!(output.status.success(), "{}", stderr(&output));
    for part in [
        "8 requests in 8 lines",
        "where time goes",
        "by cause",
        "late: before the send",
        "limit_reached: not run: the account's limit is reached",
        "by service and route",
        "by client account, the worst 2 of 2",
        "by server, the worst 3 of 3",
        "by box, the worst 1 of 1",
        "by time, steps of 1 s",
    ] {
        assert!(text.contains(part), "{part}\n{text}");
    }
    assert_eq!(text, stdout(&tinbay(&["report", &log])));
}

#[test]
fn tinbay_report_json_is_for_programs() {
    let output = tinbay_with_input(&["--json", "report"], log_of_each_class().as_bytes());
    assert!(output.status.success(), "{}", stderr(&output));
    let report: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(report["total"]["late_pause"], 1);
    assert_eq!(report["by_service"][0]["route"], "chat");
    assert_eq!(report["by_service"][0]["late_first_piece"], 1);
    assert_eq!(report["by_second"]["step_s"], 1);
    assert_eq!(report["times"][0]["part"], "before_send");
}

#[test]
fn tinbay_report_worst_servers_only() {
    let lines: Vec<String> = (0..30)
        .map(|number| {
            let lateness = if number == 17 {
                "late_pause"
            } else {
                "in_time"
            };
            line(&json!({"server": format!("s-{number:02}"), "lateness": lateness}))
        })
        .collect();
    let output = tinbay_with_input(
        &["report", "--worst", "2", "-"],
        lines.join("\n").as_bytes(),
    );
    let text = stdout(&output);
    assert!(text.contains("by server, the worst 2 of 30"), "{text}");
    assert!(text.contains("s-17"), "{text}");
    assert!(text.contains("s-00"), "{text}");
    assert!(!text.contains("s-01"), "{text}");
}

#[test]
fn tinbay_report_missing_log_shows_the_others_and_exits_2() {
    let log = write_log("missing", log_of_each_class().as_bytes());
    let output = tinbay(&["report", "/nonexistent/box.log", &log]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("/nonexistent/box.log"),
        "{}",
        stderr(&output)
    );
    assert!(
        stdout(&output).contains("8 requests in 8 lines"),
        "{}",
        stdout(&output)
    );
}

#[test]
fn tinbay_report_directory_is_no_log() {
    let output = tinbay(&["report", env!("CARGO_TARGET_TMPDIR")]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn tinbay_report_without_requests_exits_1() {
    let output = tinbay_with_input(&["report"], b"nothing of ours\n");
    assert_eq!(output.status.code(), Some(1));
    assert!(stdout(&output).contains("1 garbage"), "{}", stdout(&output));
    assert!(
        stderr(&output).contains("no finished request in 1 line"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn tinbay_report_wrong_option_names_value_and_allowed() {
    for (option, value, allowed) in [
        ("--worst", "0", "give 1 to 1000"),
        ("--steps", "many", "give 1 to 3600"),
    ] {
        let output = tinbay_with_input(&["report", option, value], b"");
        assert_eq!(output.status.code(), Some(2));
        let told = format!("{option} is '{value}': {allowed}");
        assert!(stderr(&output).contains(&told), "{}", stderr(&output));
    }
}

#[test]
fn tinbay_report_standard_input_twice_is_refused() {
    let output = tinbay_with_input(&["report", "-", "-"], b"");
    assert_eq!(output.status.code(), Some(2));
}
