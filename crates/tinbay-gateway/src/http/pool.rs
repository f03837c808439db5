//! Pool of HTTP connections to one server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tinbay_core::links::Link;
use tinbay_core::serving::idle_reuse::MIN_IDLE_LIMIT_MS;
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;
use tokio::task::AbortHandle;

use super::body::RequestBody;
use super::connect::{ProbeOutcome, connect};
use super::field::InvalidField;
use super::reuse::{Reuse, ReuseLedger};
use super::sender::Sender;
use crate::clock::Clock;

/// Time limit for establishing a connection; a server is at most a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time limit of a connection whose server states none.
const DEFAULT_IDLE_LIMIT_MS: Millis = 4_000;

/// Fraction of the idle time limit for which a connection is kept. Servers state the limit in
/// whole seconds, and a request must not be sent while the server is closing the connection.
const KEPT_FRACTION: f64 = 0.75;

/// Time limit for a connection to become ready for another request.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the pool returned no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// This box's connection limit for the server is reached, with all connections in use.
    #[error("this box's connections to the server are at their limit and all in use")]
    AllInUse,
    /// A new connection was refused, failed or timed out.
    #[error("could not connect to the server: refused, failed or timed out")]
    Refused,
    /// A connection may lead to an incarnation of the server other than the one that its entry
    /// describes.
    #[error("could not find out which incarnation of the server a connection leads to")]
    UnknownIncarnation,
    /// The request was not written.
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
}

impl ConnectError {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectError::AllInUse => "all_in_use",
            ConnectError::Refused => "no_connection",
            ConnectError::UnknownIncarnation => "unknown_incarnation",
            ConnectError::InvalidField(_) => "invalid_field",
        }
    }
}

/// Open connections to one server, with those that are idle ready for reuse.
#[derive(Debug)]
pub struct Pool {
    server: ServerKey,
    address: SocketAddr,
    /// Idle reuse limit and reuse outcomes of the whole service.
    ledger: Rc<ReuseLedger>,
    /// When a reused connection last gave no response; those idle since before are not reused for
    /// requests that must not run twice.
    last_silent_ms: Rc<Cell<Millis>>,
    /// Includes the time for which the machine is suspended, as connections are idle then, too.
    clock: Clock,
    idle: RefCell<Vec<Idle>>,
    open: Rc<Cell<usize>>,
    link: Cell<Link>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since_ms: Millis,
    until_ms: Millis,
}

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusableIdle {
    /// Any, as the request may be retried if there is no response.
    Any,
    /// Only those within the service's idle reuse limit, as the request must not run twice.
    WithinLimit,
}

/// A connection taken from the pool; it is closed at once when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time on the connection.
    pub sender: Sender<RequestBody>,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Records the outcome of the next request; present if the connection was idle in the pool.
    pub reuse: Option<Reuse>,
    /// When it had been established.
    pub opened_ms: Millis,
    /// Whether the server has shown on it that it is the incarnation which its entry describes.
    pub is_described: bool,
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
    /// Creates an empty pool for a server at `address`; `ledger` is shared by all pools of the
    /// service.
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
            last_silent_ms: Rc::default(),
            clock,
            idle: RefCell::default(),
            open: Rc::default(),
            link: Cell::default(),
        }
    }

    /// State of this box's link to the server.
    pub fn link(&self) -> Link {
        self.link.get()
    }

    /// Records that bytes arrived from the server.
    pub fn record_heard(&self) {
        let mut link = self.link.get();
        link.record_heard(self.clock.now_ms());
        self.link.set(link);
    }

    /// Records that a check reached the server; returns whether the link was down.
    pub fn record_link_reached(&self) -> bool {
        let mut link = self.link.get();
        let was_down = link.record_reached(self.clock.now_ms());
        self.link.set(link);
        was_down
    }

    /// Records that the link is down because the server has failed, if it is down.
    pub fn record_server_failed(&self) {
        let mut link = self.link.get();
        link.record_server_failed();
        self.link.set(link);
    }

    /// Records that the server accepted no connection; returns whether the link was up.
    pub fn record_link_failed(&self) -> bool {
        let mut link = self.link.get();
        let was_up = link.record_failed(self.clock.now_ms());
        self.link.set(link);
        was_up
    }

    /// Returns an idle connection that `reusable` permits, or opens one while fewer than
    /// `max_connections` are open. At the limit, closes the connection that has been idle longest,
    /// if there is one.
    ///
    /// # Errors
    /// When the limit is reached or the server accepts no connection.
    pub async fn get(
        &self,
        max_connections: usize,
        reusable: ReusableIdle,
    ) -> Result<Connection, ConnectError> {
        if self.may_all_be_stale() {
            // Lets the drivers process a close that has already arrived before a connection is
            // used.
            tokio::task::yield_now().await;
        }
        if let Some(connection) = self.take_idle(reusable) {
            return Ok(connection);
        }
        if self.open.get() >= max_connections {
            self.close_oldest();
        }
        if self.open.get() >= max_connections {
            return Err(ConnectError::AllInUse);
        }
        self.connect().await
    }

    /// Whether even the most recently used connection has been idle for more than
    /// `MIN_IDLE_LIMIT_MS`, so that its server may have closed it.
    fn may_all_be_stale(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let idle = self.idle.borrow();
        idle.last()
            .is_some_and(|last| last.since_ms + MIN_IDLE_LIMIT_MS < now_ms)
    }

    /// Whether a connection may carry a request that must not run twice.
    fn is_within_limit(&self, idle: &Idle) -> bool {
        let is_short = idle.since_ms + self.ledger.limit_ms() >= self.clock.now_ms();
        is_short && idle.since_ms >= self.last_silent_ms.get()
    }

    /// Takes the connection with the shortest idle time, as servers close that one last.
    pub fn take_idle(&self, reusable: ReusableIdle) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        while let Some(last) = idle.last() {
            if reusable == ReusableIdle::WithinLimit && !self.is_within_limit(last) {
                return None;
            }
            let kept = idle.pop()?;
            let rested_ms = now_ms.saturating_sub(kept.since_ms);
            if kept.until_ms <= now_ms {
                continue;
            }
            if kept.connection.sender.is_ready() {
                return Some(self.reused(kept.connection, rested_ms, reusable));
            }
            self.ledger.record_found_closed(self.server, rested_ms);
        }
        None
    }

    fn reused(
        &self,
        connection: Connection,
        rested_ms: Millis,
        reusable: ReusableIdle,
    ) -> Connection {
        let runs_once = reusable == ReusableIdle::WithinLimit;
        let reuse = Reuse::begin(
            &self.ledger,
            self.server,
            rested_ms,
            runs_once,
            &self.last_silent_ms,
        );
        let mut connection = connection;
        connection.reuse = Some(reuse);
        connection
    }

    /// Closes the connection that has been idle longest, so that a new one may be opened.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Opens a connection within `timeout` and keeps it for the next request; returns whether the
    /// server accepted it.
    pub async fn open_idle(&self, timeout: Duration) -> ProbeOutcome {
        let mut connection = match self.connect_within(timeout).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        // The server may close it before the first request, as it may close others that are idle.
        connection.is_reused = true;
        let since_ms = self.clock.now_ms();
        self.idle.borrow_mut().push(Idle {
            connection,
            since_ms,
            until_ms: since_ms + MIN_IDLE_LIMIT_MS,
        });
        ProbeOutcome::Takes
    }

    async fn connect(&self) -> Result<Connection, ConnectError> {
        let connected = self.connect_within(CONNECT_TIMEOUT).await;
        connected.map_err(|_| ConnectError::Refused)
    }

    async fn connect_within(&self, timeout: Duration) -> Result<Connection, ProbeOutcome> {
        let (sender, driver) = connect(self.address, timeout).await?;
        self.open.set(self.open.get() + 1);
        self.ledger.count_opened();
        Ok(Connection {
            sender,
            is_reused: false,
            reuse: None,
            opened_ms: self.clock.now_ms(),
            is_described: false,
            driver,
            open: Rc::clone(&self.open),
        })
    }

    /// Returns a connection to the pool after a complete response; `idle_limit` is the
    /// server's, if it stated one.
    pub fn give_back(self: &Rc<Self>, mut connection: Connection, idle_limit: Option<Duration>) {
        let pool = Rc::clone(self);
        let since_ms = self.clock.now_ms();
        let limit_ms =
            idle_limit.map_or(DEFAULT_IDLE_LIMIT_MS, |limit| limit.as_millis() as Millis);
        let until_ms = since_ms + (limit_ms as f64 * KEPT_FRACTION) as Millis;
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

    /// Drops idle connections that have expired or that the server has closed.
    pub fn tidy(&self) {
        let now_ms = self.clock.now_ms();
        let keeps = |idle: &Idle| idle.until_ms > now_ms && !idle.connection.sender.is_closed();
        self.idle.borrow_mut().retain(keeps);
    }

    /// Whether any connection is open, idle or in use.
    pub fn has_open(&self) -> bool {
        self.open.get() > 0
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
