//! Tests of policy programs.

use tinbay_core::policy::{Policy, PolicyError, PolicyRequest, Treatment};

fn request(class: &str, prompt_bytes: usize, repeatable: bool) -> PolicyRequest<'_> {
    PolicyRequest {
        class,
        organisation: "organisation",
        adapter: "adapter",
        prompt_bytes,
        max_tokens: 64,
        base: Treatment {
            rank: 10,
            urgent: false,
            max_wait_ms: 1_000,
            repeatable,
        },
    }
}

#[test]
fn classify_sets_what_it_returns_and_keeps_the_rest() {
    let policy = Policy::compile(
        "fn classify(request) { if request.prompt_bytes > 100 { return #{ rank: 60 }; } #{} }",
    )
    .expect("compiles");
    let long = policy.classify(&request("batch", 200, true)).expect("runs");
    assert_eq!((long.rank, long.max_wait_ms), (60, 1_000));
    let short = policy.classify(&request("batch", 10, true)).expect("runs");
    assert_eq!(short.rank, 10);
}

#[test]
fn classify_never_makes_work_repeatable() {
    let policy =
        Policy::compile("fn classify(request) { #{ repeatable: true } }").expect("compiles");
    let treated = policy.classify(&request("bid", 0, false)).expect("runs");
    assert!(!treated.repeatable);
}

#[test]
fn compile_endless_program_is_refused() {
    let refused = Policy::compile("fn classify(request) { loop { } }");
    assert!(matches!(refused, Err(PolicyError::Run { .. })));
}

#[test]
fn compile_without_classify_is_refused() {
    assert!(matches!(
        Policy::compile("let x = 1;"),
        Err(PolicyError::NoClassify)
    ));
}

#[test]
fn compile_value_out_of_range_is_refused() {
    let refused = Policy::compile("fn classify(request) { #{ rank: 1000 } }");
    assert!(matches!(
        refused,
        Err(PolicyError::Value { field: "rank", .. })
    ));
    let refused =
        Policy::compile("fn classify(r) { #{} } fn settings() { #{ stall_weight: 2.0 } }");
    assert!(matches!(
        refused,
        Err(PolicyError::Value {
            field: "stall_weight",
            ..
        })
    ));
}

#[test]
fn compile_failing_on_one_sample_is_refused() {
    // The program fails only on a request with an empty prompt.
    let refused = Policy::compile("fn classify(r) { #{ rank: 100 / r.prompt_bytes } }");
    assert!(matches!(refused, Err(PolicyError::Run { .. })));
}

#[test]
fn classify_that_fails_later_is_an_error_not_a_panic() {
    let policy = Policy::compile("fn classify(r) { if r.class == \"odd\" { throw \"no\"; } #{} }")
        .expect("compiles");
    assert!(policy.classify(&request("odd", 0, true)).is_err());
}
