//! Starts and stops a box.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use ntex::web::{self, ServiceConfig};
use tinbay_core::view::{BoxRecord, BoxState};
use tinbay_http::server::{ServerHandle, start_server};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};

use crate::admin;
use crate::control::{ControlClient, ControlServer, run_client};
use crate::controllers::{ControlHandler, start_controllers};
use crate::entry;
use crate::error::NodeError;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::owners::{OrderJob, run_orders};
use crate::platform::{EtcdJson, HttpBoxList};
use crate::state::{Node, Parts};
use crate::util::clock::wall_ms;
use crate::util::sync::read;

/// Interval at which a leaving box checks whether its last request has ended.
const LEAVING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Extra wait after callers' locate answers have expired, for requests already in transit.
const IN_TRANSIT_MARGIN: Duration = Duration::from_millis(500);

/// Handle of a running box.
pub struct NodeHandle {
    node: Arc<Node>,
    server: ServerHandle,
    control_address: SocketAddr,
    stop: Arc<Notify>,
    control_thread: Option<JoinHandle<()>>,
}

/// What the control thread reports after it has tried to bind its socket.
type StartResult = Result<(Arc<Node>, SocketAddr), NodeError>;

/// Starts a box.
///
/// # Errors
/// Returns a [`NodeError`] if an address cannot be listened on or a thread cannot start.
pub fn start(options: Options) -> Result<NodeHandle, NodeError> {
    let listener = TcpListener::bind(options.listen).map_err(|source| NodeError::Listen {
        address: options.listen.to_string(),
        source,
    })?;
    let address = listener.local_addr().map_err(NodeError::Server)?;
    let workers = options.workers;
    let stop = Arc::new(Notify::new());
    let (ready, started) = std_mpsc::channel::<StartResult>();
    let thread_stop = Arc::clone(&stop);
    let control_thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control_thread(options, address, &thread_stop, &ready))
        .map_err(NodeError::Server)?;
    let (node, control_address) = started
        .recv()
        .map_err(|_| NodeError::Control("the thread ended during start-up".to_owned()))??;
    let app_node = Arc::clone(&node);
    let server = start_server("tinbay", listener, workers, move |app| {
        configure(app, &app_node);
    })
    .map_err(NodeError::Server)?;
    log::info!(target: part::NODE, "box {} listens on {address}", node.id());
    Ok(NodeHandle {
        node,
        server,
        control_address,
        stop,
        control_thread: Some(control_thread),
    })
}

fn configure(app: &mut ServiceConfig, node: &Arc<Node>) {
    app.state(Arc::clone(node));
    entry::configure(app);
    admin::configure(app);
    app.route("/{any}*", web::to(entry::not_found));
}

/// Binds the control socket and runs everything but the HTTP server.
fn run_control_thread(
    options: Options,
    address: SocketAddr,
    stop: &Arc<Notify>,
    ready: &std_mpsc::Sender<StartResult>,
) {
    let stop = Arc::clone(stop);
    let ready = ready.clone();
    let system = ntex::rt::System::new("control", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let control = match ControlServer::bind(options.control_listen).await {
            Ok(control) => control,
            Err(error) => {
                let _ = ready.send(Err(NodeError::Control(error.to_string())));
                return;
            }
        };
        let control_address = control.address();
        match build(options, address, control_address) {
            Ok((node, jobs, client_task)) => {
                ntex::rt::spawn(run_client(client_task));
                let traffic = node.control.traffic().clone();
                ntex::rt::spawn(control.run(ControlHandler::new(&node), traffic));
                ntex::rt::spawn(run_orders(Arc::clone(&node), jobs));
                start_controllers(&node);
                let _ = ready.send(Ok((node, control_address)));
                stop.notified().await;
            }
            Err(error) => {
                let _ = ready.send(Err(error));
            }
        }
    });
}

type Built = (
    Arc<Node>,
    mpsc::UnboundedReceiver<OrderJob>,
    crate::control::ControlClientTask,
);

fn build(
    options: Options,
    address: SocketAddr,
    control_address: SocketAddr,
) -> Result<Built, NodeError> {
    let metrics = Metrics::new().map_err(|error| NodeError::Control(error.to_string()))?;
    let metrics = Arc::new(metrics);
    let (control, client_task) = ControlClient::new();
    let (jobs, jobs_receiver) = mpsc::unbounded_channel();
    let me = BoxRecord {
        id: options.box_id.clone(),
        zone: options.zone.clone(),
        region: options.region.clone(),
        address: options.advertise.unwrap_or(address).to_string(),
        control_address: options
            .control_advertise
            .unwrap_or(control_address)
            .to_string(),
        incarnation: wall_ms(),
        state: BoxState::Starting,
    };
    let node = Node::new(Parts {
        me,
        kv: Box::new(EtcdJson::new(options.kv, Arc::clone(&metrics))),
        box_list: Box::new(HttpBoxList::new(options.box_list)),
        metrics,
        control,
        jobs,
        options,
    });
    Ok((node, jobs_receiver, client_task))
}

impl NodeHandle {
    /// HTTP address, for callers and other boxes.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address for control messages of other boxes.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Number of boxes that this box knows, itself included.
    pub fn boxes_known(&self) -> usize {
        read(&self.node.members).view().boxes().count()
    }

    /// Whether this box accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Runs until SIGTERM or SIGINT arrives, then stops as [`NodeHandle::stop`] does.
    pub fn run_until_signal(self) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        if let Ok(runtime) = runtime {
            runtime.block_on(wait_for_signal());
        }
        self.stop();
    }

    /// Stops the box gracefully: declares it leaving, waits for requests in progress up to the
    /// `stop-within-ms` setting, then ends the threads.
    pub fn stop(mut self) {
        if !self.node.is_leaving() {
            self.node.leave();
        }
        self.await_requests();
        log::info!(target: part::NODE, "stopped");
        self.stop.notify_one();
        self.server.stop();
        if let Some(thread) = self.control_thread.take() {
            let _ = thread.join();
        }
    }

    /// Waits until callers' locate answers with this box's address have expired and no request is
    /// in progress, or until `stop-within-ms` has passed.
    fn await_requests(&self) {
        let options = &self.node.options;
        let began_ms = self.node.clock.now_ms();
        let located = Duration::from_millis(options.locate_valid_ms);
        std::thread::sleep(located + IN_TRANSIT_MARGIN);
        loop {
            let running = self.node.metrics.in_progress.get();
            let leaving_ms = self.node.clock.now_ms().saturating_sub(began_ms);
            if running == 0 {
                return;
            }
            if leaving_ms >= options.stop_within_ms {
                log::warn!(target: part::NODE, "{running} requests cut off after {leaving_ms} ms");
                return;
            }
            std::thread::sleep(LEAVING_POLL_INTERVAL);
        }
    }
}

async fn wait_for_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
