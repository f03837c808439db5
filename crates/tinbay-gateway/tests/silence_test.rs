//! Tests of the socket options that end silent connections.

use std::time::Duration;

use socket2::SockRef;
use tinbay_gateway::http::silence::end_when_silent;
use tokio::net::{TcpListener, TcpStream};

/// Time within which a box must have recovered from connections that fell silent.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Guards against silent connections that outlive the time to recover by a second: the user
/// timeout, not the number of probes, decides when the kernel gives up.
#[tokio::test]
async fn end_when_silent_gives_up_within_the_time_to_recover() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    end_when_silent(&stream, Duration::from_secs(1));
    let socket = SockRef::from(&stream);
    let timeout = socket.tcp_user_timeout().expect("the option is readable");
    assert!(timeout.is_some_and(|timeout| timeout < CONTACT_TIME));
    let idle = socket.tcp_keepalive_time().expect("the option is readable");
    let interval = socket
        .tcp_keepalive_interval()
        .expect("the option is readable");
    assert!(idle + interval < CONTACT_TIME, "a probe is sent in time");
}
