//! `tinbay demo`: runs a complete system in one process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use log::LevelFilter;
use serde::Serialize;
use tinbay_core::ids::{BoxId, ModelRef, ZoneId};
use tinbay_core::view::BoxState;
use tinbay_http::client::post_json;
use tinbay_http::server::ServerHandle;
use tinbay_node::logging::LogFormat;
use tinbay_node::node::{self, NodeHandle};
use tinbay_node::options::Options as NodeOptions;
use tinbay_standin::{Kind, StandinSettings};
use tinbay_wire::box_list::ListedBox;
use tinbay_wire::completion::CompletionRequest;

use super::{apply_objects, block_on};
use crate::api::Api;
use crate::caller::{Caller, CompletionCall, Outcome, ServiceOutcome};
use crate::config_file::ConfigFile;
use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::{Table, print_json};

/// Sample configuration; addresses are filled in once the stand-ins listen.
const SAMPLE: &str = include_str!("../../samples/demo.toml");

/// Zones of the boxes and engines.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Longest wait until the boxes are ready, and until the configuration is in force on them.
const READY_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two checks whether the boxes are ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which callers retry requests that were not run.
const RETRY_WINDOW: Duration = Duration::from_secs(3);

/// Class and model of each request of the demo.
const REQUESTS: [(&str, &str); 8] = [
    ("counter", "fund-1@v1"),
    ("counter", "fund-1@v1"),
    ("counter", "fund-2@v1"),
    ("desk", "bid-hydro@v1"),
    ("desk", "bid-wind@v2"),
    ("batch", "fund-3@v1"),
    ("batch", "fund-4@v1"),
    ("batch", "bid-hydro@v1"),
];

/// Running stand-ins and boxes; dropping them stops them.
struct Demo {
    _standins: Vec<ServerHandle>,
    nodes: Vec<NodeHandle>,
    addresses: Vec<String>,
}

/// Results of the demo's requests.
#[derive(Debug, Serialize)]
struct DemoReport {
    requests: Vec<Outcome>,
    right: usize,
    service_call_answered: bool,
}

/// Runs the demo.
///
/// # Errors
/// Returns [`CliError::WrongAnswers`] if a request got a wrong answer or none, and other errors if
/// the demo cannot be started or configured.
pub fn run(common: &CommonOptions, stay: bool) -> Result<(), CliError> {
    let started = Instant::now();
    let (demo, config) = start()?;
    let api = Api::new(&CommonOptions {
        box_addresses: demo.addresses.clone(),
        token: None,
        json: false,
    });
    await_ready(&demo)?;
    let objects = config.objects();
    let addresses = demo.addresses.clone();
    let (outcomes, call) = block_on(move || async move {
        let applied = apply_objects(&api, "demo", "demo", objects).await?;
        let within_ms = READY_TIMEOUT.as_millis() as u64;
        api.wait_in_force(applied.revision, within_ms).await?;
        Ok(send_requests(addresses).await)
    })?;
    let right = outcomes.iter().filter(|outcome| outcome.is_right()).count();
    let wrong = outcomes.len() - right + usize::from(!call.answered);
    let report = DemoReport {
        requests: outcomes,
        right,
        service_call_answered: call.answered,
    };
    if common.json {
        print_json(&report)?;
    } else {
        print_report(&report, started.elapsed());
    }
    if stay {
        print_examples(&demo);
        wait_for_interrupt();
    }
    demo.stop();
    match wrong {
        0 => Ok(()),
        wrong => Err(CliError::WrongAnswers(wrong)),
    }
}

fn start() -> Result<(Demo, ConfigFile), CliError> {
    let mut config = ConfigFile::parse("demo.toml", SAMPLE)?;
    let mut standins = Vec::new();
    let mut start_standin = |kind, settings: &StandinSettings| -> Result<SocketAddr, CliError> {
        let handle = tinbay_standin::start(kind, bind_any_port()?, settings)?;
        let address = handle.address();
        standins.push(handle);
        Ok(address)
    };
    let default_settings = StandinSettings::default();
    let kv = start_standin(Kind::Kv, &default_settings)?;
    let box_list = start_standin(Kind::Boxes, &default_settings)?;
    let weights = start_standin(Kind::Weights, &default_settings)?;
    let mut engine_settings = StandinSettings::default();
    engine_settings.engine.weight_store = Some(weights.to_string());
    for engine in &mut config.engine {
        engine.address = start_standin(Kind::Engine, &engine_settings)?.to_string();
    }
    for service in &mut config.service {
        service.addresses = vec![start_standin(Kind::Service, &default_settings)?.to_string()];
    }
    let mut nodes = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("box-{}", index + 1);
        nodes.push(node::start(node_options(&id, zone, kv, box_list))?);
    }
    let listed: Vec<ListedBox> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| to_listed_box(index, node))
        .collect();
    block_on(move || async move {
        for entry in listed {
            let url = format!("http://{box_list}/control/set");
            let _: ListedBox = post_json(&url, &entry, READY_TIMEOUT).await?;
        }
        Ok(())
    })?;
    let addresses = nodes
        .iter()
        .map(|node| node.address().to_string())
        .collect();
    let demo = Demo {
        _standins: standins,
        nodes,
        addresses,
    };
    Ok((demo, config))
}

fn bind_any_port() -> Result<TcpListener, CliError> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?)
}

fn node_options(id: &str, zone: &str, kv: SocketAddr, box_list: SocketAddr) -> NodeOptions {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    NodeOptions {
        box_id: BoxId::new(id),
        zone: ZoneId::new(zone),
        region: "main".to_owned(),
        listen: any_port,
        control_listen: any_port,
        advertise: None,
        control_advertise: None,
        kv,
        box_list,
        admin_token: None,
        workers: 1,
        locate_valid_ms: 500,
        stop_within_ms: 5_000,
        max_body_bytes: 1_048_576,
        log_level: LevelFilter::Off,
        log_format: LogFormat::Text,
        dead_after_ms: 3_000,
    }
}

fn to_listed_box(index: usize, node: &NodeHandle) -> ListedBox {
    ListedBox {
        id: BoxId::new(format!("box-{}", index + 1)),
        zone: ZoneId::new(ZONES[index]),
        region: "main".to_owned(),
        address: node.address().to_string(),
        control_address: node.control_address().to_string(),
        state: BoxState::Live,
    }
}

/// Waits until every box has discovered all others. The boxes have no configuration yet, which the
/// first change does not need.
fn await_ready(demo: &Demo) -> Result<(), CliError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let boxes = demo.nodes.len();
    while Instant::now() < deadline {
        if demo.nodes.iter().all(|node| node.boxes_known() == boxes) {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(CliError::Start(std::io::Error::other(
        "the boxes did not discover each other",
    )))
}

async fn send_requests(addresses: Vec<String>) -> (Vec<Outcome>, ServiceOutcome) {
    let caller = Caller::new(addresses);
    let mut outcomes = Vec::new();
    for (index, (class, model)) in REQUESTS.iter().enumerate() {
        let Ok(model) = model.parse::<ModelRef>() else {
            continue;
        };
        let wanted = CompletionCall {
            request: CompletionRequest {
                model,
                prompt: format!("explain statement {index}"),
                max_tokens: 12,
                stream: true,
                class: Some((*class).to_owned()),
            },
            keyed: true,
            retry_window: RETRY_WINDOW,
        };
        outcomes.push(caller.complete(&wanted).await);
    }
    let call = caller
        .call_service("member-records", "{\"member\":7}", 1)
        .await;
    (outcomes, call)
}

fn print_report(report: &DemoReport, elapsed: Duration) {
    let mut table = Table::new(&[
        "CLASS",
        "ADAPTER@VERSION",
        "BOX",
        "ENGINE",
        "STALL_MS",
        "FIRST_MS",
        "TOTAL_MS",
        "ANSWER",
    ]);
    for outcome in &report.requests {
        let answer = match (outcome.is_right(), &outcome.failure) {
            (true, _) => "right".to_owned(),
            (false, Some(failure)) => failure.message.clone(),
            (false, None) => "WRONG".to_owned(),
        };
        table.add(vec![
            outcome.class.clone(),
            outcome.model.to_string(),
            outcome.box_id.clone(),
            outcome.engine.clone(),
            outcome.stall_ms.to_string(),
            format!("{:.0}", outcome.first_token_ms),
            format!("{:.0}", outcome.total_ms),
            answer,
        ]);
    }
    print!("{table}");
    let call = if report.service_call_answered {
        "answered"
    } else {
        "NOT answered"
    };
    println!("\nplain service call (not repeatable): {call}");
    println!(
        "{} of {} answers right, 3 boxes, 3 engines, {:.1} s in all",
        report.right,
        report.requests.len(),
        elapsed.as_secs_f64()
    );
}

fn print_examples(demo: &Demo) {
    let Some(entry) = demo.addresses.first() else {
        return;
    };
    println!("\nThe boxes stay up until you press Ctrl-C. To try:");
    println!("  curl 'http://{entry}/v1/locate?model=fund-1@v1'");
    println!(
        "  curl -N http://{entry}/v1/completions -d \
         '{{\"model\":\"fund-1@v1\",\"prompt\":\"hello\",\"stream\":true,\"class\":\"counter\"}}'"
    );
    println!("  tinbay --server {entry} status");
    println!(
        "  tinbay --server {entry} load --rate 50 --seconds 5 --class counter=1 --class batch=3"
    );
}

fn wait_for_interrupt() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    if let Ok(runtime) = runtime {
        let _ = runtime.block_on(tokio::signal::ctrl_c());
    }
}

impl Demo {
    /// Stops all boxes concurrently, as each waits for its requests in progress to finish.
    fn stop(self) {
        let threads: Vec<_> = self
            .nodes
            .into_iter()
            .map(|node| std::thread::spawn(move || node.stop()))
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
    }
}
