//! Starts a box, runs it until SIGTERM, and stops it gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::units::Millis;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::crashes::{entries, parts};
use crate::directory;
use crate::error::GatewayError;
use crate::events::{self, part};
use crate::front::listener::{self, Origin};
use crate::housekeeping;
use crate::http::pump;
use crate::links;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::orders::{claiming, membership};
use crate::peers::{exchange, gossip, inbox};
use crate::port::dialect::{DecodeError, Dialect};
use crate::port::store::Store;
use crate::resumption::{recording, stored};
use crate::settings::Settings;
use crate::slots;
use crate::watch::boxes::BoxFollower;
use crate::watch::configuration::ConfigurationFollower;
use crate::watch::newcomer;
use crate::watch::returns;
use crate::watch::servers::ServerFollower;
use crate::watch::{WatchPace, follow};

/// Maximum number of connections that wait to be accepted, per listener.
const LISTEN_BACKLOG: u32 = 512;

/// Watch timing for operators' changes, which must reach all boxes within two seconds. A call that
/// the store drops when it stops answering is noticed only at the end of `wait_ms`; only then do
/// the boxes that ask this one switch to another.
const CONFIGURATION_PACE: WatchPace = WatchPace {
    wait_ms: 600,
    gap_ms: 20,
    allows_stale_start: false,
    has_own_read_limiter: true,
};

/// Watch timing for servers: they rewrite their entries often, so the gap lets one call return
/// several changes.
const SERVER_PACE: WatchPace = WatchPace {
    wait_ms: 600,
    gap_ms: 600,
    allows_stale_start: true,
    has_own_read_limiter: false,
};

/// Watch timing for the entries of boxes.
const BOX_PACE: WatchPace = WatchPace {
    wait_ms: 1_000,
    gap_ms: 100,
    allows_stale_start: true,
    has_own_read_limiter: false,
};

/// How long before the time limit of a planned stop a box stops waiting for open connections; time to
/// log and exit.
const STOP_MARGIN_MS: Millis = 200;

/// How long requests are still accepted in a planned stop: callers cache directory answers for some
/// seconds, and the last requests that they send must still finish.
const ACCEPT_WHILE_STOPPING_MS: Millis = 2_800;

/// How often the settings file is checked for changes made without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How often a stopping box checks whether all connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interface to the platform that the box runs on.
pub trait Environment {
    /// Path of the settings file.
    fn settings_path(&self) -> PathBuf;

    /// Decodes the text of the settings file.
    ///
    /// # Errors
    /// When the text is not valid.
    fn decode_settings(&self, text: &str) -> Result<Settings, DecodeError>;

    /// Names and formats of the platform.
    fn dialect(&self) -> Box<dyn Dialect>;

    /// Client for the key-value store at an address.
    fn store(&self, address: SocketAddr) -> Box<dyn Store>;
}

#[derive(Serialize)]
struct StartEvent<'a> {
    box_id: &'a str,
    zone: &'a str,
    front: String,
    version: &'static str,
}

#[derive(Serialize)]
struct StopEvent {
    connections: usize,
    after_ms: Millis,
}

/// Reads and validates the settings.
///
/// # Errors
/// When the file can't be read or is not valid.
pub fn read_settings(environment: &dyn Environment) -> Result<Settings, GatewayError> {
    let text =
        std::fs::read_to_string(environment.settings_path()).map_err(GatewayError::SettingsFile)?;
    Ok(environment.decode_settings(&text)?)
}

/// Runs a box until SIGTERM.
///
/// # Errors
/// When it can't start.
pub fn run(environment: &dyn Environment) -> Result<(), GatewayError> {
    let settings = read_settings(environment)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(GatewayError::Start)?;
    let local = LocalSet::new();
    local.block_on(&runtime, run_node(environment, settings))
}

async fn run_node(environment: &dyn Environment, settings: Settings) -> Result<(), GatewayError> {
    let node = Rc::new(Node::new(
        settings.clone(),
        environment.dialect(),
        environment.store(settings.store),
        Metrics::new()?,
    ));
    let mut stop = signal(SignalKind::terminate()).map_err(GatewayError::Start)?;
    let reload = signal(SignalKind::hangup()).map_err(GatewayError::Start)?;
    start_listeners(&node, &settings)?;
    start_followers(&node);
    start_exchange(&node, settings.peer).await?;
    tokio::task::spawn_local(membership::run(Rc::clone(&node)));
    tokio::task::spawn_local(claiming::run(Rc::clone(&node)));
    tokio::task::spawn_local(entries::run(Rc::clone(&node)));
    tokio::task::spawn_local(parts::run(Rc::clone(&node)));
    tokio::task::spawn_local(returns::run(Rc::clone(&node)));
    tokio::task::spawn_local(links::run(Rc::clone(&node)));
    tokio::task::spawn_local(slots::run(Rc::clone(&node)));
    tokio::task::spawn_local(recording::run(Rc::clone(&node)));
    tokio::task::spawn_local(stored::run(Rc::clone(&node)));
    tokio::task::spawn_local(housekeeping::run(Rc::clone(&node)));
    tokio::task::spawn_local(pump::run(Rc::clone(&node.answers)));
    log_start(&settings);
    tokio::select! {
        _ = stop.recv() => {}
        () = handle_reloads(&node, environment, reload) => {}
    }
    stop_node(&node).await;
    Ok(())
}

fn start_listeners(node: &Rc<Node>, settings: &Settings) -> Result<(), GatewayError> {
    let front = bind(settings.front)?;
    tokio::task::spawn_local(listener::listen(Rc::clone(node), front, Origin::Caller));
    let forwarded = bind(settings.peer)?;
    let listening = listener::listen(Rc::clone(node), forwarded, Origin::Box);
    tokio::task::spawn_local(listening);
    for address in [settings.ready, settings.directory, settings.metrics] {
        let http_listener = bind(address)?;
        tokio::task::spawn_local(directory::serve(Rc::clone(node), http_listener));
    }
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().map_err(|source| GatewayError::Listen { address, source })
}

fn start_followers(node: &Rc<Node>) {
    let configuration = Rc::new(ConfigurationFollower::new(Rc::clone(node)));
    let servers = Rc::new(ServerFollower::new(Rc::clone(node)));
    let boxes = Rc::new(BoxFollower::new(Rc::clone(node)));
    tokio::task::spawn_local(newcomer::request_missing_items(
        Rc::clone(node),
        Rc::clone(&configuration),
    ));
    tokio::task::spawn_local(follow(Rc::clone(node), configuration, CONFIGURATION_PACE));
    tokio::task::spawn_local(follow(Rc::clone(node), servers, SERVER_PACE));
    tokio::task::spawn_local(follow(Rc::clone(node), boxes, BOX_PACE));
}

async fn start_exchange(node: &Rc<Node>, address: SocketAddr) -> Result<(), GatewayError> {
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| GatewayError::Listen { address, source })?;
    let socket = Rc::new(socket);
    tokio::task::spawn_local(inbox::receive(Rc::clone(node), Rc::clone(&socket)));
    tokio::task::spawn_local(exchange::send(Rc::clone(node), socket));
    Ok(())
}

fn log_start(settings: &Settings) {
    let event = StartEvent {
        box_id: &settings.box_id,
        zone: &settings.zone,
        front: settings.front.to_string(),
        version: env!("CARGO_PKG_VERSION"),
    };
    events::emit(part::NODE, Level::Info, "start", &event);
}

/// Reads the settings again on SIGHUP, and when the file has changed without one.
async fn handle_reloads(node: &Node, environment: &dyn Environment, mut reload: Signal) {
    let mut last = std::fs::read_to_string(environment.settings_path()).unwrap_or_default();
    loop {
        let is_signalled = tokio::select! {
            _ = reload.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let text = std::fs::read_to_string(environment.settings_path()).unwrap_or_default();
        if text != last || is_signalled {
            reload_settings(node, environment, &text);
            last = text;
        }
    }
}

#[derive(Serialize)]
struct ReloadEvent {
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    needs_restart: bool,
}

/// Applies changed bounds; other changes need a restart. Invalid settings are ignored.
fn reload_settings(node: &Node, environment: &dyn Environment, text: &str) {
    let mut event = ReloadEvent {
        error: None,
        needs_restart: false,
    };
    match environment.decode_settings(text) {
        Ok(new) => {
            let mut settings = node.settings.borrow_mut();
            settings.bounds = new.bounds.clone();
            event.needs_restart = *settings != new;
        }
        Err(error) => event.error = Some(error.to_string()),
    }
    let level = if event.error.is_some() {
        Level::Error
    } else {
        Level::Info
    };
    events::emit(part::NODE, level, "reload", &event);
}

/// Announces that the box is leaving, lets requests finish, and closes the connections.
async fn stop_node(node: &Node) {
    let began_ms = node.now_ms();
    node.is_leaving.set(true);
    node.entry_due.notify_one();
    gossip::post_leaving(node);
    recording::send_all_again(node);
    log_stop(node, "stop_begun", began_ms);
    let stop_within_ms = node.settings.borrow().bounds.stop_within_ms;
    let end_ms = began_ms + stop_within_ms.saturating_sub(STOP_MARGIN_MS);
    let closing = close_connections(node, began_ms, end_ms);
    tokio::join!(membership::release_claims(node, end_ms), closing);
    log_stop(node, "stopped", began_ms);
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
}

/// Accepts connections for a while, as callers may not know yet that the box is leaving, then lets
/// requests finish.
async fn close_connections(node: &Node, began_ms: Millis, end_ms: Millis) {
    sleep_until(node, (began_ms + ACCEPT_WHILE_STOPPING_MS).min(end_ms)).await;
    node.closing.set();
    while node.now_ms() < end_ms && node.connections.get() > 0 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn sleep_until(node: &Node, time_ms: Millis) {
    tokio::time::sleep_until(node.clock.instant(time_ms).into()).await;
}

fn log_stop(node: &Node, event: &'static str, began_ms: Millis) {
    let stop = StopEvent {
        connections: node.connections.get(),
        after_ms: node.now_ms() - began_ms,
    };
    events::emit(part::NODE, Level::Info, event, &stop);
}
