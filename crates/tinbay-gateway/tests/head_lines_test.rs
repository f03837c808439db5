//! Tests of the line ends of response heads.

use tinbay_gateway::http::head_lines::{BareLineFeed, HeadLines};

/// Checks bytes that follow a request.
fn check(bytes: &[u8]) -> Result<(), BareLineFeed> {
    let lines = HeadLines::default();
    lines.begin_head();
    lines.check(bytes)
}

/// Checks bytes that follow a request and are received one by one.
fn check_one_by_one(bytes: &[u8]) -> Result<(), BareLineFeed> {
    let lines = HeadLines::default();
    lines.begin_head();
    bytes.chunks(1).try_for_each(|byte| lines.check(byte))
}

#[test]
fn check_body_may_hold_line_feeds() {
    let answer = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 1\n\nid: 2\n\n";
    assert_eq!(check(answer), Ok(()));
    assert_eq!(check_one_by_one(answer), Ok(()));
}

#[test]
fn check_head_with_a_line_feed_alone_is_refused() {
    for answer in [
        &b"HTTP/1.1 200 OK\n"[..],
        b"\n",
        b"HTTP/1.1 200 OK\r\nA: b\n",
        b"HTTP/1.1 200 OK\r\nA: b\r\n\n",
        b"HTTP/1.1 200 OK\r\n\n",
    ] {
        assert_eq!(check(answer), Err(BareLineFeed), "{answer:?}");
        assert_eq!(check_one_by_one(answer), Err(BareLineFeed), "{answer:?}");
    }
}

#[test]
fn check_head_after_an_interim_one_is_checked() {
    let interim = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n";
    let sound = [&interim[..], b"HTTP/1.1 200 OK\r\n\r\n\n"].concat();
    assert_eq!(check(&sound), Ok(()));
    let malformed = [&interim[..], b"HTTP/1.1 200 OK\n"].concat();
    assert_eq!(check(&malformed), Err(BareLineFeed));
}

#[test]
fn check_head_after_empty_lines_is_checked() {
    assert_eq!(check(b"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n"), Ok(()));
    assert_eq!(check(b"\r\nHTTP/1.1 200 OK\n"), Err(BareLineFeed));
}

#[test]
fn check_each_response_of_a_connection() {
    let lines = HeadLines::default();
    lines.begin_head();
    assert_eq!(lines.check(b"HTTP/1.1 200 OK\r\n\r\nbody\n"), Ok(()));
    lines.begin_head();
    assert_eq!(lines.check(b"HTTP/1.1 200 OK\n"), Err(BareLineFeed));
}
