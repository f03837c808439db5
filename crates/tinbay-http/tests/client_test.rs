//! The error of a failed call tells whether the peer may have received the request.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

use tinbay_http::client::{CallError, get_json, get_text};
use tinbay_platform_standin::raw_answer::corrupt;

/// Sends one request to an address.
fn send_request(address: String) -> Result<serde_json::Value, CallError> {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let url = format!("http://{address}/");
    system.block_on(async move { get_json(&url, Duration::from_secs(10)).await })
}

#[test]
fn await_head_peer_gone_after_the_request_is_broken() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(read > 0, "the peer received the request");
    });
    assert_eq!(send_request(address), Err(CallError::Broken));
    peer.join().expect("the peer ends");
}

#[test]
fn await_head_nobody_listens_is_not_connected() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    assert_eq!(send_request(address), Err(CallError::NotConnected));
}

/// Reads a text from a peer that answers by these bytes and closes the connection.
fn read_text(answer: &[u8]) -> Result<String, CallError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    let answer = answer.to_vec();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(read > 0, "the peer received the request");
        let _ = stream.write_all(&answer);
    });
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let text = system.block_on(async move { get_text(&url, Duration::from_secs(10)).await });
    peer.join().expect("the peer ends");
    text
}

/// Asserts that the answers are no responses to the client, though the request may have run.
fn assert_refused(answers: &[&str]) {
    for answer in answers {
        let text = read_text(answer.as_bytes());
        assert!(
            text.as_ref().is_err_and(|error| !error.is_not_sent()),
            "{text:?}, for {answer:?}"
        );
    }
}

#[test]
fn await_head_whole_answer_is_read() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\npayload",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npayload\r\n0\r\n\r\n",
    ] {
        assert_eq!(read_text(answer.as_bytes()).as_deref(), Ok("payload"));
    }
    let empty = read_text(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(empty.as_deref(), Ok(""));
    let no_content = read_text(b"HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(no_content.as_deref(), Ok(""));
}

// The library reads such a response as empty, or up to the close, which may be that of a peer that
// crashed.
#[test]
fn await_head_end_not_marked_is_refused() {
    assert_refused(&[
        "HTTP/1.1 200 OK\r\n\r\npayload",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npayload",
        "HTTP/1.1 200 OK\r\nContent-Lenght: 7\r\n\r\npayload",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\npayload",
        "HTTP/1.0 200 OK\r\n\r\npayl",
    ]);
}

#[test]
fn await_head_end_marked_in_another_way_is_refused() {
    assert_refused(&[
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkd\r\n\r\n7\r\npayload\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n7\r\npayload\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n\
         7\r\npayload\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2, 7\r\n\r\npayload",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 7\r\n\r\npayload",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\npayload",
    ]);
}

#[test]
fn await_head_body_ruled_out_is_refused() {
    assert_refused(&[
        "HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\npayload",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npayload\r\n0\r\n\r\n",
    ]);
    let empty = read_text(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(empty.as_deref(), Ok(""));
}

#[test]
fn await_head_status_not_final_is_refused() {
    assert_refused(&[
        "HTTP/1.1 101 Switching\r\nUpgrade: other\r\n\r\npayload",
        "HTTP/1.1 101 Switching\r\nContent-Length: 7\r\n\r\npayload",
        "HTTP/1.1 600 Other\r\nContent-Length: 7\r\n\r\npayload",
        "HTTP/1.1 000 Other\r\nContent-Length: 7\r\n\r\npayload",
    ]);
}

#[test]
fn await_head_coded_content_is_refused() {
    assert_refused(&[
        "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 7\r\n\r\npayload",
    ]);
    let plain = "HTTP/1.1 200 OK\r\nContent-Encoding: identity\r\nContent-Length: 7\r\n\r\npayload";
    assert_eq!(read_text(plain.as_bytes()).as_deref(), Ok("payload"));
}

#[test]
fn await_head_line_that_is_no_field_is_refused() {
    for line in [
        "no field",
        "a b: c",
        "a\x01b: c",
        "a\u{7f}b: c",
        ": c",
        "a : c",
        " a: c",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 7\r\n\r\npayload");
        assert_refused(&[&answer]);
    }
}

#[test]
fn await_head_part_of_an_answer_is_refused() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\npayload";
    for length in 0..whole.len() {
        assert_refused(&[&whole[..length]]);
    }
}

#[test]
fn await_head_corrupted_byte_gives_the_body_or_an_error() {
    let chunked = "7\r\npayload\r\n0\r\n\r\n";
    let mut unsound = Vec::new();
    for (framing, body) in [
        ("Content-Length: 7\r\n", "payload"),
        ("Transfer-Encoding: chunked\r\n", chunked),
    ] {
        let sound = format!("HTTP/1.1 200 OK\r\n{framing}Server: s\r\n\r\n");
        for head in corrupt(sound.as_bytes()) {
            let text = read_text(&[&head, body.as_bytes()].concat());
            if text.as_ref().is_ok_and(|text| text != "payload") {
                unsound.push((String::from_utf8_lossy(&head).into_owned(), text));
            }
        }
    }
    assert!(unsound.is_empty(), "{unsound:#?}");
}
