//! How targets of requests are built from texts that others have chosen.

use quickcheck::QuickCheck;
use tinbay_gateway::http::target::{InvalidTarget, RequestTarget};

/// Length from which no target is valid.
const TOO_LONG_BYTES: usize = 70_000;

#[test]
fn build_with_plain_texts_leaves_them_readable() {
    let target = RequestTarget::build("/range")
        .segment("7:a-b_c")
        .parameter("prefix", "servers/")
        .parameter("after", "servers/i-1.a_b~c:80")
        .finish()
        .expect("a target");
    let text = "/range/7:a-b_c?prefix=servers/&after=servers/i-1.a_b~c:80";
    assert_eq!(target.to_uri().to_string(), text);
}

#[test]
fn build_with_any_texts_is_decoded_to_them() {
    fn property(first: String, second: String) -> bool {
        let target = RequestTarget::build("/range")
            .parameter("first", &first)
            .parameter("second", &second)
            .finish()
            .expect("a target");
        let uri = target.to_uri();
        let query = uri.query().expect("a query").as_bytes();
        let decoded: Vec<(String, String)> = form_urlencoded::parse(query).into_owned().collect();
        uri.path() == "/range" && decoded == [("first".into(), first), ("second".into(), second)]
    }
    QuickCheck::new().quickcheck(property as fn(String, String) -> bool);
}

#[test]
fn segment_with_separators_stays_one_segment() {
    let target = RequestTarget::build("/copies")
        .segment("a/b?c#d e")
        .finish();
    let target = target.expect("a target");
    assert_eq!(target.to_uri().to_string(), "/copies/a%2Fb%3Fc%23d%20e");
}

#[test]
fn finish_with_a_long_text_names_the_length() {
    let target = RequestTarget::build("/range").parameter("after", &"a".repeat(TOO_LONG_BYTES));
    match target.finish() {
        Err(InvalidTarget::Invalid { length_bytes, .. }) => assert!(length_bytes > TOO_LONG_BYTES),
        other => panic!("{other:?}"),
    }
}

#[test]
fn parse_of_texts_that_are_no_targets_is_refused() {
    for text in ["", "health", "http://h/health"] {
        assert_eq!(
            RequestTarget::parse(text),
            Err(InvalidTarget::RelativePath),
            "{text:?}"
        );
    }
    assert_eq!(RequestTarget::parse("/a#b"), Err(InvalidTarget::Fragment));
    for text in ["/a b", "/a\n", "/\0", "/\u{7f}", "/a<b"] {
        let parsed = RequestTarget::parse(text);
        assert!(
            matches!(parsed, Err(InvalidTarget::Invalid { .. })),
            "{text:?}: {parsed:?}"
        );
    }
}

#[test]
fn parse_of_a_target_keeps_its_text() {
    for text in ["/", "/health", "/a%20b?x=1&y=%26"] {
        let target = RequestTarget::parse(text).expect("a target");
        assert_eq!(target.to_uri().to_string(), text);
    }
}
