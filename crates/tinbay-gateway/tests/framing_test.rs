//! Tests of how the end of a response body is recognized from its head.

use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, Version};
use tinbay_gateway::http::framing::BodyFraming;
use tinbay_gateway::http::head::{HeadError, ResponseHead};

fn parts(status: u16, headers: &[(&'static str, &'static str)]) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = status.try_into().expect("a status");
    for (name, value) in headers {
        let name = HeaderName::from_static(name);
        let value = HeaderValue::from_static(value);
        response.headers_mut().append(name, value);
    }
    response.into_parts().0
}

fn read(headers: &[(&'static str, &'static str)]) -> Result<ResponseHead, HeadError> {
    ResponseHead::read(parts(200, headers), false)
}

fn framing(headers: &[(&'static str, &'static str)]) -> Result<BodyFraming, HeadError> {
    read(headers).map(|head| head.format.framing)
}

#[test]
fn of_response_without_a_body() {
    let head = ResponseHead::read(parts(200, &[]), true).expect("a head");
    assert_eq!(head.format.framing, BodyFraming::Length);
    assert!(head.format.allows_reuse());
}

#[test]
fn of_length() {
    assert_eq!(framing(&[("content-length", "3")]), Ok(BodyFraming::Length));
}

#[test]
fn of_chunks() {
    let chunked = framing(&[("transfer-encoding", "Chunked")]);
    assert_eq!(chunked, Ok(BodyFraming::Chunks));
}

#[test]
fn of_chunks_and_length_is_refused() {
    let both = framing(&[("content-length", "3"), ("transfer-encoding", "Chunked")]);
    assert_eq!(both, Err(HeadError::LengthAndTransferCoding));
}

#[test]
fn of_other_coding_is_refused() {
    for coding in [
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "identity",
        "",
    ] {
        let other = framing(&[("transfer-encoding", coding)]);
        assert_eq!(other, Err(HeadError::UnknownTransferCoding), "{coding:?}");
    }
}

#[test]
fn of_coding_stated_twice_is_refused() {
    let chunked = ("transfer-encoding", "chunked");
    let twice = framing(&[chunked, chunked]);
    assert_eq!(twice, Err(HeadError::UnknownTransferCoding));
}

#[test]
fn of_neither_until_close() {
    let headers = [
        ("content-type", "text/event-stream; charset=utf-8"),
        ("connection", "close"),
    ];
    let head = read(&headers).expect("a head");
    assert_eq!(head.format.framing, BodyFraming::UntilClose);
    assert!(head.format.is_event_stream);
    assert!(!head.may_reuse);
}

#[test]
fn of_neither_on_a_connection_that_stays_open_is_refused() {
    for headers in [&[][..], &[("connection", "keep-alive")]] {
        assert_eq!(
            framing(headers),
            Err(HeadError::EndNotMarked),
            "{headers:?}"
        );
    }
}

#[test]
fn of_neither_in_http_1_0_until_close() {
    let mut parts = parts(200, &[]);
    parts.version = Version::HTTP_10;
    let framing = ResponseHead::read(parts, false).map(|head| head.format.framing);
    assert_eq!(framing, Ok(BodyFraming::UntilClose));
}

#[test]
fn of_status_without_content_with_a_body_is_refused() {
    for headers in [
        [("content-length", "3")],
        [("transfer-encoding", "chunked")],
    ] {
        let ruled_out = ResponseHead::read(parts(204, &headers), true).map(|_| ());
        assert_eq!(ruled_out, Err(HeadError::BodyRuledOut), "{headers:?}");
    }
    assert!(ResponseHead::read(parts(204, &[("content-length", "0")]), true).is_ok());
}

#[test]
fn of_length_stated_twice() {
    for headers in [
        &[("content-length", "3, 3")][..],
        &[("content-length", "3"), ("content-length", "3")],
    ] {
        let response = read(headers).map(|head| head.into_response(()));
        let response = response.expect("a head");
        let lengths: Vec<_> = response
            .headers()
            .get_all("content-length")
            .iter()
            .collect();
        assert_eq!(lengths, ["3"], "{headers:?}");
    }
}

#[test]
fn of_other_length_is_refused() {
    for length in [
        "",
        "x",
        "1x",
        "+3",
        "-3",
        "3.0",
        "3 3",
        "3, 4",
        "3,",
        "18446744073709551616",
    ] {
        let other = framing(&[("content-length", length)]);
        assert_eq!(other, Err(HeadError::InvalidLength), "{length:?}");
    }
    let differing = framing(&[("content-length", "3"), ("content-length", "4")]);
    assert_eq!(differing, Err(HeadError::InvalidLength));
}

#[test]
fn of_status_that_is_not_final_is_refused() {
    for status in [101, 199, 600, 999] {
        let other = ResponseHead::read(parts(status, &[]), false).map(|_| ());
        assert_eq!(other, Err(HeadError::InvalidStatus), "{status}");
    }
}
