//! Connections that let other tasks run between two large reads.

use std::io::Write;
use std::net::TcpListener;
use std::thread;

use futures_util::FutureExt;
use tinbay_gateway::http::fair_stream::FairStream;
use tinbay_gateway::http::head_lines::HeadLines;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Bytes that the peer sends, far more than are read at once.
const SENT_BYTES: usize = 1_048_576;

/// Guards against a peer that always has more to send and keeps other tasks from running.
#[tokio::test]
async fn read_after_a_large_one_yields_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.write_all(&vec![b'x'; SENT_BYTES]);
    });
    let stream = TcpStream::connect(address).await.expect("a connection");
    let mut stream = FairStream::new(stream, HeadLines::default());
    let mut buffer = vec![0; 8_192];
    while stream.read(&mut buffer).await.expect("bytes") < buffer.len() {}
    assert!(stream.read(&mut buffer).now_or_never().is_none());
    assert!(stream.read(&mut buffer).await.expect("bytes") > 0);
    drop(stream);
    peer.join().expect("the peer ends");
}
