//! A proxy in front of a server whose link can be cut for a moment. What was sent into the cut on an open
//! connection arrives as TCP brings it: with the first retransmission after the cut, which come 0.2, 0.6
//! and 1.4 s after the bytes were first sent. Connections opened during the cut carry nothing.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Times of retransmissions after the first send (`RTO` of 200 ms, doubled each time).
const RETRANSMISSIONS_MS: [u64; 4] = [200, 600, 1_400, 3_000];

#[derive(Default)]
struct State {
    cut: Option<(Instant, Instant)>,
    /// Bytes towards the server that a cut holds up, with the time at which they were sent.
    held: Vec<(Instant, Vec<u8>)>,
}

/// The link of one server.
#[derive(Clone)]
pub struct CutLink {
    /// Address of the proxy.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl CutLink {
    /// Starts the proxy.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cut: no free port");
        let link = Self {
            address: listener.local_addr().expect("cut: no address"),
            state: Arc::default(),
        };
        let serving = link.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let _ = caller.set_nodelay(true);
                if serving.is_cut() {
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs(1));
                        let _ = caller.shutdown(Shutdown::Both);
                    });
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = server.set_nodelay(true);
                let (Ok(caller_2), Ok(server_2)) = (caller.try_clone(), server.try_clone()) else {
                    continue;
                };
                let (there, back) = (serving.clone(), serving.clone());
                thread::spawn(move || there.carry(caller, server, true));
                thread::spawn(move || back.carry(server_2, caller_2, false));
            }
        });
        link
    }

    /// Cuts the link from now on for a time; returns when it is whole again.
    pub fn cut(&self, time: Duration) -> Instant {
        let mut state = self.state.lock().expect("cut: lock");
        let now = Instant::now();
        state.cut = Some((now, now + time));
        state.held.clear();
        now + time
    }

    /// What callers have sent into the cut, as text.
    pub fn held(&self) -> Vec<String> {
        let state = self.state.lock().expect("cut: lock");
        let held = state.held.iter();
        held.map(|(_, bytes)| String::from_utf8_lossy(bytes).into_owned())
            .collect()
    }

    fn is_cut(&self) -> bool {
        let state = self.state.lock().expect("cut: lock");
        let now = Instant::now();
        state
            .cut
            .is_some_and(|(from, until)| now >= from && now < until)
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream, is_to_server: bool) {
        let mut bytes = vec![0; 16_384];
        let mut free_at = Instant::now();
        while let Ok(count) = from.read(&mut bytes) {
            if count == 0 {
                break;
            }
            let sent = Instant::now();
            let arrives = self
                .arrival(sent, &bytes[..count], is_to_server)
                .max(free_at);
            free_at = arrives;
            thread::sleep(arrives.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn arrival(&self, sent: Instant, bytes: &[u8], is_to_server: bool) -> Instant {
        let mut state = self.state.lock().expect("cut: lock");
        let Some((from, until)) = state.cut else {
            return sent;
        };
        if sent < from || sent >= until {
            return sent;
        }
        if is_to_server {
            state.held.push((sent, bytes.to_vec()));
        }
        let mut times = RETRANSMISSIONS_MS
            .iter()
            .map(|ms| sent + Duration::from_millis(*ms));
        times.find(|at| *at >= until).unwrap_or(until)
    }
}
