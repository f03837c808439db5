//! Routes, traffic splits, the budget of extra attempts, and how long callers wait for streams.

use quickcheck::QuickCheck;
use tinbay_core::serving::budget::{AttemptBudget, BudgetTerms};
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

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    extra: 52.0,
    window_ms: 10_000,
};

/// Boxes that count on their own never make more extra attempts in total than allowed.
#[test]
fn take_retry_within_terms_over_all_boxes() {
    fn property(boxes: u8, first_attempts: Vec<u16>) -> bool {
        let boxes = usize::from(boxes % 9) + 1;
        let mut taken = 0;
        let mut first_count = 0;
        for _ in 0..boxes {
            let mut budget = AttemptBudget::default();
            let mut times: Vec<u64> = first_attempts
                .iter()
                .map(|time| u64::from(time % 5_000))
                .collect();
            times.sort_unstable();
            for time in &times {
                budget.record_first_attempt(&TERMS, *time);
                first_count += 1;
            }
            taken += (0..100)
                .filter(|_| budget.take_retry(&TERMS, Some(boxes), 5_000))
                .count();
        }
        taken as f64 <= TERMS.ratio * f64::from(first_count) + TERMS.extra
    }
    QuickCheck::new().quickcheck(property as fn(u8, Vec<u16>) -> bool);
}

/// Guards against memory that grows with each request to a service that needs no retry.
#[test]
fn first_attempts_are_kept_for_one_window_without_any_retry() {
    let mut budget = AttemptBudget::default();
    for now_ms in 0..100_000 {
        budget.record_first_attempt(&TERMS, now_ms);
    }
    assert!(budget.first_attempts() as u64 <= TERMS.window_ms + 1);
}

/// Guards against a box that takes the fixed allowance of all boxes before it knows how many there
/// are.
#[test]
fn take_retry_without_first_attempts_is_refused_until_the_boxes_are_known() {
    let mut budget = AttemptBudget::default();
    assert!(!budget.take_retry(&TERMS, None, 1_000));
    assert!(budget.take_retry(&TERMS, Some(7), 1_000));
}

#[test]
fn take_retry_is_allowed_again_after_the_window() {
    let mut budget = AttemptBudget::default();
    let taken = (0..100)
        .filter(|_| budget.take_retry(&TERMS, Some(1), 1_000))
        .count();
    assert!(taken > 0);
    assert!(!budget.take_retry(&TERMS, Some(1), 1_000));
    assert!(budget.take_retry(&TERMS, Some(1), 11_001));
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
