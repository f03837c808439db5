//! Kept connections to one server, each with a handle of its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tinbay_core::units::Millis;
use tokio::task::AbortHandle;

use super::body::RequestBody;
use super::connect::connect;
use crate::clock::Clock;

/// Longest time until a connection stands; a server is at most a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest rest of a connection where the server names none.
const DEFAULT_REST_MS: Millis = 4_000;

/// Rest after which a kept connection is no longer trusted with a request that may run only
/// once: it may have gone silent, or the server may have forgotten it, and nobody could tell
/// whether the request has run.
const TRUSTED_REST_MS: Millis = 500;

/// Longest time a used connection takes to become ready again.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// All that this box may open are in use.
    #[error("all connections to the server are in use")]
    AllInUse,
    /// The server did not take a connection.
    #[error("the server took no connection")]
    Refused,
}

/// Kept connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    /// A connection rests on while the machine is suspended.
    clock: Clock,
    idle: RefCell<Vec<Idle>>,
    open: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since_ms: Millis,
    until_ms: Millis,
}

/// Which kept connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// Any: the request may be sent again where there is no answer.
    Any,
    /// Those that were used just now: the request may run only once.
    JustUsed,
}

/// A connection in use; dropped, it is closed at once.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<RequestBody>,
    /// Whether it carried a request before.
    pub is_reused: bool,
    driver: AbortHandle,
    open: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.set(self.open.get() - 1);
    }
}

impl Pool {
    /// A pool for a server at `address`, with the clock of the process.
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        Self {
            address,
            clock,
            idle: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// A kept connection that is trusted, or a new one while fewer than `most_open` are open.
    ///
    /// # Errors
    /// When none may be opened or the server takes none.
    pub async fn get(&self, most_open: usize, trust: Trust) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(trust) {
            return Ok(connection);
        }
        if self.open.get() >= most_open {
            self.close_oldest();
        }
        if self.open.get() >= most_open {
            return Err(ConnectError::AllInUse);
        }
        self.connect().await
    }

    fn take_idle(&self, trust: Trust) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        while let Some(last) = idle.last() {
            if trust == Trust::JustUsed && last.since_ms + TRUSTED_REST_MS < now_ms {
                return None;
            }
            let kept = idle.pop()?;
            if kept.until_ms > now_ms && kept.connection.sender.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Closes the connection that has rested longest, to make way for a new one.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    async fn connect(&self) -> Result<Connection, ConnectError> {
        let connected = connect(self.address, CONNECT_TIMEOUT).await;
        let (sender, driver) = connected.ok_or(ConnectError::Refused)?;
        self.open.set(self.open.get() + 1);
        Ok(Connection {
            sender,
            is_reused: false,
            driver,
            open: Rc::clone(&self.open),
        })
    }

    /// Keeps a connection whose answer came whole, for part of the rest the server allows.
    pub fn give_back(self: &Rc<Self>, mut connection: Connection, rest: Option<Duration>) {
        let pool = Rc::clone(self);
        let since_ms = self.clock.now_ms();
        let rest_ms = rest.map_or(DEFAULT_REST_MS, |rest| rest.as_millis() as Millis);
        let until_ms = since_ms + rest_ms / 2;
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.is_reused = true;
                let kept = Idle {
                    connection,
                    since_ms,
                    until_ms,
                };
                pool.idle.borrow_mut().push(kept);
            }
        });
    }

    /// Closes connections that have rested too long or that the server has closed.
    pub fn tidy(&self) {
        let now_ms = self.clock.now_ms();
        let keeps = |idle: &Idle| idle.until_ms > now_ms && !idle.connection.sender.is_closed();
        self.idle.borrow_mut().retain(keeps);
    }

    /// Whether a resting connection still stands.
    pub fn has_live_rest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| !kept.connection.sender.is_closed());
        !idle.is_empty()
    }

    /// Closes all resting connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
