//! A proxy in front of a server that carries no more than the link of one machine does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes a second on a link of 1,000 Mbit/s (`linkMbps`), less headers of packets.
const BYTES_PER_S: f64 = 120_000_000.0;

/// Starts the proxy and returns its address; all connections share the link.
pub fn start(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("link: no free port");
    let address = listener.local_addr().expect("link: no address");
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let _ = (caller.set_nodelay(true), server.set_nodelay(true));
            let (Ok(caller_2), Ok(server_2)) = (caller.try_clone(), server.try_clone()) else {
                continue;
            };
            let free_at = Arc::clone(&free_at);
            thread::spawn(move || carry(server_2, caller_2, Some(&free_at)));
            thread::spawn(move || carry(caller, server, None));
        }
    });
    address
}

fn carry(mut from: TcpStream, mut to: TcpStream, free_at: Option<&Mutex<Instant>>) {
    let mut bytes = vec![0; 16_384];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            break;
        }
        if let Some(free_at) = free_at {
            wait_for_link(free_at, count);
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Takes the link for some bytes once it is free; a millisecond's worth may go at once.
fn wait_for_link(free_at: &Mutex<Instant>, count: usize) {
    let time = Duration::from_secs_f64(count as f64 / BYTES_PER_S);
    let until = {
        let mut free_at = free_at.lock().expect("link: lock");
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    };
    let ahead = until.saturating_duration_since(Instant::now());
    if ahead > Duration::from_millis(1) {
        thread::sleep(ahead);
    }
}
