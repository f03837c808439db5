//! HTTP calls over pooled connections that may have become unresponsive.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tinbay_gateway::http::call::{Call, CallError, HttpClient};
use tinbay_gateway::http::target::RequestTarget;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Number of connections, counted from the first, that answer one request and no further one.
const SILENT_CONNECTIONS: usize = 3;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn call() -> Call {
    Call {
        method: Method::GET,
        target: RequestTarget::from_static("/"),
        body: Bytes::new(),
        header: None,
        timeout_ms: 300,
        max_answer_bytes: 1_024,
    }
}

async fn serve(listener: TcpListener) {
    let mut opened = 0;
    while let Ok((stream, _)) = listener.accept().await {
        opened += 1;
        let max_answers = if opened <= SILENT_CONNECTIONS {
            1
        } else {
            usize::MAX
        };
        tokio::task::spawn_local(answer(stream, max_answers));
    }
}

async fn answer(mut stream: TcpStream, max_answers: usize) {
    let mut buffer = [0; 1_024];
    let mut answers = 0;
    while matches!(stream.read(&mut buffer).await, Ok(length) if length > 0) {
        if answers < max_answers {
            // Delays the answer, so that concurrent calls use separate connections.
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.write_all(ANSWER).await.expect("the caller reads");
            answers += 1;
        }
    }
}

#[test]
fn call_after_unresponsive_connection_reuses_no_idle_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let caller = HttpClient::new(listener.local_addr().expect("its address"));
        tokio::task::spawn_local(serve(listener));
        let call = call();
        let first = tokio::join!(caller.call(&call), caller.call(&call), caller.call(&call));
        assert!(first.0.is_ok() && first.1.is_ok() && first.2.is_ok());
        assert_eq!(caller.call(&call).await, Err(CallError::NoAnswer));
        assert!(caller.call(&call).await.is_ok());
    });
}
