//! Starts an HTTP server on threads of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::JoinHandle;

use ntex::http::HttpServiceConfig;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig};

/// A request's headers must have arrived by then.
const HEADERS_WITHIN: Seconds = Seconds(10);

/// An idle connection is kept this long; callers' pools keep theirs for less.
const KEEP_ALIVE: Seconds = Seconds(75);

/// A server that runs until it is stopped or dropped.
pub struct ServerHandle {
    address: SocketAddr,
    server: Server,
    thread: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it and waits for its threads; connections are closed.
    pub fn stop(mut self) {
        self.end();
    }

    /// Waits until the server has been stopped from elsewhere.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    fn end(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        // Only sending the order matters; the thread's end is awaited below.
        drop(self.server.stop(false));
        let _ = thread.join();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a server whose routes and state `configure` sets up, once a worker thread.
///
/// # Errors
/// When the listener's address cannot be read, or the server cannot start.
pub fn start_server<C>(
    name: &str,
    listener: TcpListener,
    workers: usize,
    configure: C,
) -> io::Result<ServerHandle>
where
    C: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let address = listener.local_addr()?;
    let (ready, started) = mpsc::channel();
    let system_name = name.to_owned();
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run_server(&system_name, listener, workers, configure, ready))?;
    let server = started
        .recv()
        .map_err(|_| io::Error::other("server thread ended"))??;
    Ok(ServerHandle {
        address,
        server,
        thread: Some(thread),
    })
}

fn run_server<C>(
    name: &str,
    listener: TcpListener,
    workers: usize,
    configure: C,
    ready: mpsc::Sender<io::Result<Server>>,
) where
    C: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let system = ntex::rt::System::new(name, ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let factory = move || {
            let configure = configure.clone();
            async move { App::new().configure(configure) }
        };
        let http = HttpServiceConfig::new()
            .set_keepalive(KEEP_ALIVE)
            .set_client_timeout(HEADERS_WITHIN);
        let bound = HttpServer::new(factory)
            .workers(workers)
            .disable_signals()
            .shutdown_timeout(Seconds(1))
            .config(ntex::SharedCfg::new("http").add(http))
            .listen(listener);
        match bound {
            Ok(http_server) => {
                let server = http_server.run();
                let _ = ready.send(Ok(server.clone()));
                let _ = server.await;
            }
            Err(error) => {
                let _ = ready.send(Err(error));
            }
        }
    });
}
