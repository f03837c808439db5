//! Metrics of the answers that a box relays.

use tinbay_core::serving::lateness::Lateness;
use tinbay_gateway::answer_metrics::MeasuredAnswer;
use tinbay_gateway::metrics::Metrics;
use tinbay_gateway::shown_labels::ShownLabels;

fn answer<'a>(service: &'a str, account: &'a str, lateness: Lateness) -> MeasuredAnswer<'a> {
    MeasuredAnswer {
        kind: "streaming",
        service,
        account: Some(account),
        first_piece_ms: Some(250),
        longest_pause_ms: Some(450),
        untaken_ms: Some(30),
        lateness,
    }
}

/// Counts the lines of a metric, one per combination of labels.
fn count_series(text: &str, metric: &str) -> usize {
    let begin = format!("{metric}{{");
    text.lines().filter(|line| line.starts_with(&begin)).count()
}

#[test]
fn count_answer_shows_class_and_times() {
    let metrics = Metrics::new().expect("measures");
    metrics.count_answer(answer("chat", "acme", Lateness::Pause));
    metrics.count_answer(answer("chat", "acme", Lateness::Pause));
    let text = metrics.to_text();
    for line in [
        r#"tinbay_answers_total{kind="streaming",lateness="late_pause",service="chat"} 2"#,
        r#"tinbay_account_answers_total{account="acme",lateness="late_pause"} 2"#,
        r#"tinbay_first_piece_seconds_bucket{kind="streaming",service="chat",le="0.3"} 2"#,
        r#"tinbay_first_piece_seconds_bucket{kind="streaming",service="chat",le="0.15"} 0"#,
        r#"tinbay_longest_pause_seconds_bucket{kind="streaming",service="chat",le="0.4"} 0"#,
        r#"tinbay_longest_pause_seconds_bucket{kind="streaming",service="chat",le="0.5"} 2"#,
        r#"tinbay_untaken_seconds_bucket{kind="streaming",service="chat",le="0.02"} 0"#,
        r#"tinbay_untaken_seconds_bucket{kind="streaming",service="chat",le="0.05"} 2"#,
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
}

#[test]
fn count_answer_without_chunks_records_no_times() {
    let metrics = Metrics::new().expect("measures");
    metrics.count_answer(MeasuredAnswer {
        account: None,
        first_piece_ms: None,
        longest_pause_ms: None,
        untaken_ms: None,
        ..answer("chat", "acme", Lateness::InTime)
    });
    let text = metrics.to_text();
    assert_eq!(count_series(&text, "tinbay_answers_total"), 1);
    assert_eq!(count_series(&text, "tinbay_account_answers_total"), 0);
    assert_eq!(count_series(&text, "tinbay_first_piece_seconds_count"), 0);
    assert_eq!(count_series(&text, "tinbay_longest_pause_seconds_count"), 0);
    assert_eq!(count_series(&text, "tinbay_untaken_seconds_count"), 0);
}

#[test]
fn count_answer_limits_number_of_labels() {
    let metrics = Metrics::new().expect("measures");
    for number in 0..1_000 {
        let name = format!("name-{number}");
        metrics.count_answer(answer(&name, &name, Lateness::InTime));
    }
    let text = metrics.to_text();
    assert_eq!(count_series(&text, "tinbay_answers_total"), 65);
    assert_eq!(count_series(&text, "tinbay_account_answers_total"), 65);
    let others = r#"tinbay_account_answers_total{account="(others)",lateness="in_time"} 936"#;
    assert!(text.contains(others), "{text}");
}

#[test]
fn label_keeps_first_values() {
    let labels = ShownLabels::new(2, "(others)");
    assert_eq!(labels.label("a"), "a");
    assert_eq!(labels.label("b"), "b");
    assert_eq!(labels.label("c"), "(others)");
    assert_eq!(labels.label("a"), "a");
}
