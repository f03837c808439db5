//! The error of a failed call tells whether the peer may have received the request.

use std::io::Read;
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

use tinbay_http::client::{CallError, get_json};

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
