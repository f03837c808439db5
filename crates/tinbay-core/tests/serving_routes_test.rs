//! Routes, traffic splits, and how long callers wait for streams.

use tinbay_core::serving::configuration::{Configuration, Route, RouteKind, Target};
use tinbay_core::serving::routes::RouteTable;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        objective_ms: 150,
        objective_gap_ms: None,
        priority: 0,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        most_attempts: 1,
        resumable: false,
        is_public: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(&Configuration {
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/"),
        ],
        ..Configuration::default()
    })
}

fn found(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.name.clone())
}

#[test]
fn find_longest_prefix() {
    assert_eq!(found("a.example", "/x/y/z"), Some("long".into()));
    assert_eq!(found("a.example", "/x/z"), Some("short".into()));
}

#[test]
fn find_ignores_port_and_case_of_host() {
    assert_eq!(found("A.example:8080", "/x/"), Some("short".into()));
}

#[test]
fn find_other_host_or_path_is_none() {
    assert_eq!(found("a.example", "/z/"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn choose_service_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![
        Target {
            service: "many".into(),
            weight: 90,
        },
        Target {
            service: "few".into(),
            weight: 10,
        },
    ];
    assert_eq!(split.choose_service(0.0), Some("many"));
    assert_eq!(split.choose_service(0.899), Some("many"));
    assert_eq!(split.choose_service(0.901), Some("few"));
    assert_eq!(split.choose_service(0.999_999), Some("few"));
}

#[test]
fn stream_patience_is_the_longest_of_three() {
    let mut stream = route("r", "h", "/");
    assert_eq!(stream.first_piece_timeout_ms(), None);
    stream.kind = RouteKind::Streaming;
    stream.objective_ms = 600;
    assert_eq!(stream.first_piece_timeout_ms(), Some(2_400));
    stream.objective_gap_ms = Some(500);
    assert_eq!(stream.first_piece_timeout_ms(), Some(4_000));
    stream.objective_ms = 150;
    stream.objective_gap_ms = Some(100);
    assert_eq!(stream.first_piece_timeout_ms(), Some(2_000));
}
