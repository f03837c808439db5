//! Formats the report as plain text.

use std::fmt::Write;

use super::analysis::{LineCounts, Report};
use super::tally::{Counts, Row};
use super::times::TimeRow;
use crate::report::Table;

/// Headings of the count columns, which follow the key columns.
const COUNT_HEADINGS: [&str; 12] = [
    "REQUESTS",
    "IN_TIME%",
    "IN_TIME",
    "LATE_FIRST",
    "LATE_PAUSE",
    "LATE_BOTH",
    "LATE_END",
    "UNJUDGED",
    "FAILED",
    "REFUSED",
    "BEFORE_SEND_MS",
    "AT_SERVER_MS",
];

/// Formats the report as text, limited to the `worst` client accounts, servers and boxes each.
pub fn to_text(report: &Report, worst: usize) -> String {
    let mut text = line_summary(&report.lines);
    append_table(&mut text, "where time goes", &times_table(&report.times));
    let by_cause = counts_table(&["CAUSE"], &report.by_cause, |key| vec![key.name.clone()]);
    append_table(&mut text, "by cause", &by_cause);
    let by_service = counts_table(&["SERVICE", "ROUTE"], &report.by_service, |key| {
        vec![key.service.clone(), key.route.clone()]
    });
    append_table(&mut text, "by service and route", &by_service);
    for (heading, key_name, rows) in [
        ("ACCOUNT", "client account", &report.by_account),
        ("SERVER", "server", &report.by_server),
        ("BOX", "box", &report.by_box),
    ] {
        let shown = &rows[..rows.len().min(worst)];
        let title = format!("by {key_name}, the worst {} of {}", shown.len(), rows.len());
        let table = counts_table(&[heading], shown, |key| vec![key.name.clone()]);
        append_table(&mut text, &title, &table);
    }
    let series = &report.by_second;
    let by_second = counts_table(&["TIME"], &series.rows, |key| vec![key.time.clone()]);
    let title = format!(
        "by time, steps of {} s, {} requests without a valid time",
        series.step_s, series.without_time
    );
    append_table(&mut text, &title, &by_second);
    text
}

fn line_summary(lines: &LineCounts) -> String {
    let bad = &lines.bad;
    let mut text = format!(
        "{} requests in {} lines\n{} lines can't be read: {} garbage, {} cut, {} too long, {} with a wrong field\n",
        lines.requests,
        lines.lines,
        bad.total(),
        bad.garbage,
        bad.cut,
        bad.too_long,
        bad.wrong_field,
    );
    if lines.dropped > 0 {
        let _ = writeln!(text, "{} lines were dropped by boxes", lines.dropped);
    }
    for example in &lines.bad_examples {
        let _ = writeln!(
            text,
            "  {}:{}: {}",
            example.log, example.line, example.reason
        );
    }
    text
}

/// Appends a table with a title, unless it has no rows.
fn append_table(text: &mut String, title: &str, table: &Table) {
    if table.is_empty() {
        return;
    }
    let _ = write!(text, "\n{title}\n{table}");
}

fn times_table(rows: &[TimeRow]) -> Table {
    let mut table = Table::new(&["PART", "REQUESTS", "P50_MS", "P95_MS", "P99_MS", "MAX_MS"]);
    for row in rows {
        table.add(vec![
            row.part.name().to_owned(),
            row.requests.to_string(),
            row.p50_ms.to_string(),
            row.p95_ms.to_string(),
            row.p99_ms.to_string(),
            row.max_ms.to_string(),
        ]);
    }
    table
}

fn counts_table<K>(
    headings: &[&str],
    rows: &[Row<K>],
    key_cells: impl Fn(&K) -> Vec<String>,
) -> Table {
    let headings: Vec<&str> = headings.iter().copied().chain(COUNT_HEADINGS).collect();
    let mut table = Table::new(&headings);
    for row in rows {
        let mut cells = key_cells(&row.key);
        cells.extend(count_cells(&row.counts));
        table.add(cells);
    }
    table
}

fn count_cells(counts: &Counts) -> [String; 12] {
    let cell = |mean_ms: Option<u128>| mean_ms.map_or("-".to_owned(), |ms| ms.to_string());
    let in_time = 100.0 * counts.in_time as f64 / counts.requests.max(1) as f64;
    [
        counts.requests.to_string(),
        format!("{in_time:.1}"),
        counts.in_time.to_string(),
        counts.late_first_piece.to_string(),
        counts.late_pause.to_string(),
        counts.late_first_piece_and_pause.to_string(),
        counts.late_end.to_string(),
        counts.unjudged.to_string(),
        counts.failed.to_string(),
        counts.refused.to_string(),
        cell(counts.before_send.mean_ms()),
        cell(counts.at_server.mean_ms()),
    ]
}
