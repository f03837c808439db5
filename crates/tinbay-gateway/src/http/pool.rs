//! Kept connections to one server, each with a handle of its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tinbay_core::serving::idle_reuse::LEAST_MS;
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;
use tokio::task::AbortHandle;

use super::body::RequestBody;
use super::connect::connect;
use super::reuse::{Reuse, ReuseLedger};
use crate::clock::Clock;

/// Longest time until a connection stands; a server is at most a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest rest of a connection where the server names none.
const DEFAULT_REST_MS: Millis = 4_000;

/// Part of the rest that the server allows for which a connection is kept: it names whole seconds,
/// and a request must not cross its close.
const KEPT_PART: f64 = 0.75;

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
    server: ServerKey,
    address: SocketAddr,
    /// What the connections of the service are trusted with.
    ledger: Rc<ReuseLedger>,
    /// When a connection was last found silent.
    silent_ms: Rc<Cell<Millis>>,
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
    /// Those that rested no longer than is trusted: the request may run only once.
    RunsOnce,
}

/// A connection in use; dropped, it is closed at once.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<RequestBody>,
    /// Whether it carried a request before.
    pub is_reused: bool,
    /// To be told how it takes the next request, if it rested before.
    pub reuse: Option<Reuse>,
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
    /// A pool for a server at `address`, with the clock of the process and what the service's
    /// connections are trusted with.
    pub fn new(
        server: ServerKey,
        address: SocketAddr,
        clock: Clock,
        ledger: Rc<ReuseLedger>,
    ) -> Self {
        Self {
            server,
            address,
            ledger,
            silent_ms: Rc::default(),
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
        if self.has_rested() {
            // Has a close that has reached the machine be seen before the connection is used.
            tokio::task::yield_now().await;
        }
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

    /// Whether the connection used last has rested for more than moments.
    fn has_rested(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let idle = self.idle.borrow();
        idle.last()
            .is_some_and(|last| last.since_ms + LEAST_MS < now_ms)
    }

    fn is_trusted(&self, idle: &Idle) -> bool {
        let is_short = idle.since_ms + self.ledger.trusted_ms() >= self.clock.now_ms();
        is_short && idle.since_ms >= self.silent_ms.get()
    }

    /// The connection that has rested shortest, as it is the one that servers forget last.
    fn take_idle(&self, trust: Trust) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        while let Some(last) = idle.last() {
            if trust == Trust::RunsOnce && !self.is_trusted(last) {
                return None;
            }
            let kept = idle.pop()?;
            let rested_ms = now_ms.saturating_sub(kept.since_ms);
            if kept.until_ms <= now_ms {
                continue;
            }
            if kept.connection.sender.is_ready() {
                return Some(self.reused(kept.connection, rested_ms, trust));
            }
            self.ledger.note_found_closed(self.server, rested_ms);
        }
        None
    }

    fn reused(&self, connection: Connection, rested_ms: Millis, trust: Trust) -> Connection {
        let runs_once = trust == Trust::RunsOnce;
        let reuse = Reuse::begin(
            &self.ledger,
            self.server,
            rested_ms,
            runs_once,
            &self.silent_ms,
        );
        let mut connection = connection;
        connection.reuse = Some(reuse);
        connection
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
        self.ledger.count_opened();
        Ok(Connection {
            sender,
            is_reused: false,
            reuse: None,
            driver,
            open: Rc::clone(&self.open),
        })
    }

    /// Keeps a connection whose answer came whole, for part of the rest the server allows.
    pub fn give_back(self: &Rc<Self>, mut connection: Connection, rest: Option<Duration>) {
        let pool = Rc::clone(self);
        let since_ms = self.clock.now_ms();
        let rest_ms = rest.map_or(DEFAULT_REST_MS, |rest| rest.as_millis() as Millis);
        let until_ms = since_ms + (rest_ms as f64 * KEPT_PART) as Millis;
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
