//! Starts an HTTP server on its own threads.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::JoinHandle;

use ntex::http::HttpServiceConfig;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig};

/// Time within which a request's headers must arrive.
const HEADER_TIMEOUT: Seconds = Seconds(10);

/// Time for which an idle connection is kept open; longer than in callers' connection pools, so
/// that the callers close it first.
const KEEP_ALIVE: Seconds = Seconds(75);

/// A server that runs until it is stopped or dropped.
pub struct ServerHandle {
    address: SocketAddr,
    server: Server,
    thread: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server, closes its connections and waits for its threads.
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
        // The future is dropped, as calling `stop` already sends the command and the thread is
        // joined below.
        drop(self.server.stop(false));
        let _ = thread.join();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a server. `configure` sets up its routes and state and is called once per worker thread.
///
/// # Errors
/// Returns an error if the listener's address can't be read or the server can't start.
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
            .set_client_timeout(HEADER_TIMEOUT);
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
