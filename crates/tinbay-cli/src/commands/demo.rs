//! `tinbay demo`: the whole path in one process.

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

/// The sample configuration, without the addresses that are known only at run time.
const SAMPLE: &str = include_str!("../../samples/demo.toml");

/// Zones of the boxes and engines.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// How long the boxes may take to be ready and to have the configuration in force.
const READY_WITHIN: Duration = Duration::from_secs(8);

/// Time between looks.
const POLL: Duration = Duration::from_millis(50);

/// How long callers follow answers that say "not run, come back".
const PATIENCE: Duration = Duration::from_secs(3);

/// Requests of the demo: class and model.
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

/// Everything the demo runs; dropping it stops it.
struct Demo {
    _standins: Vec<ServerHandle>,
    nodes: Vec<NodeHandle>,
    entries: Vec<String>,
}

/// What the demo shows.
#[derive(Debug, Serialize)]
struct DemoReport {
    requests: Vec<Outcome>,
    right: usize,
    service_call_answered: bool,
}

/// Runs the demo.
///
/// # Errors
/// [`CliError::WrongAnswers`] when a request got a wrong answer or none.
pub fn run(common: &CommonOptions, stay: bool) -> Result<(), CliError> {
    let began = Instant::now();
    let (demo, config) = start()?;
    let api = Api::new(&CommonOptions {
        servers: demo.entries.clone(),
        token: None,
        json: false,
    });
    await_ready(&demo)?;
    let objects = config.objects();
    let entries = demo.entries.clone();
    let (outcomes, call) = block_on(move || async move {
        let applied = apply_objects(&api, "demo", "demo", objects).await?;
        let within_ms = READY_WITHIN.as_millis() as u64;
        api.wait_in_force(applied.revision, within_ms).await?;
        Ok(send_requests(entries).await)
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
        print_report(&report, began.elapsed());
    }
    if stay {
        print_invitation(&demo);
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
    let mut begin = |kind, settings: &StandinSettings| -> Result<SocketAddr, CliError> {
        let handle = tinbay_standin::start(kind, any_port()?, settings)?;
        let address = handle.address();
        standins.push(handle);
        Ok(address)
    };
    let plain = StandinSettings::default();
    let kv = begin(Kind::Kv, &plain)?;
    let box_list = begin(Kind::Boxes, &plain)?;
    let weights = begin(Kind::Weights, &plain)?;
    let mut settings = StandinSettings::default();
    settings.engine.weight_store = Some(weights.to_string());
    for engine in &mut config.engine {
        engine.address = begin(Kind::Engine, &settings)?.to_string();
    }
    for service in &mut config.service {
        service.addresses = vec![begin(Kind::Service, &plain)?.to_string()];
    }
    let mut nodes = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("box-{}", index + 1);
        nodes.push(node::start(node_options(&id, zone, kv, box_list))?);
    }
    let listed: Vec<ListedBox> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| to_listed(index, node))
        .collect();
    block_on(move || async move {
        for entry in listed {
            let url = format!("http://{box_list}/control/set");
            let _: ListedBox = post_json(&url, &entry, READY_WITHIN).await?;
        }
        Ok(())
    })?;
    let entries = nodes
        .iter()
        .map(|node| node.address().to_string())
        .collect();
    let demo = Demo {
        _standins: standins,
        nodes,
        entries,
    };
    Ok((demo, config))
}

fn any_port() -> Result<TcpListener, CliError> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?)
}

fn node_options(id: &str, zone: &str, kv: SocketAddr, box_list: SocketAddr) -> NodeOptions {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    NodeOptions {
        box_id: BoxId::new(id),
        zone: ZoneId::new(zone),
        region: "main".to_owned(),
        listen: any,
        control_listen: any,
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

fn to_listed(index: usize, node: &NodeHandle) -> ListedBox {
    ListedBox {
        id: BoxId::new(format!("box-{}", index + 1)),
        zone: ZoneId::new(ZONES[index]),
        region: "main".to_owned(),
        address: node.address().to_string(),
        control_address: node.control_address().to_string(),
        state: BoxState::Live,
    }
}

/// Waits until every box has met the others; the first change needs no configuration yet.
fn await_ready(demo: &Demo) -> Result<(), CliError> {
    let until = Instant::now() + READY_WITHIN;
    let boxes = demo.nodes.len();
    while Instant::now() < until {
        if demo.nodes.iter().all(|node| node.boxes_known() == boxes) {
            return Ok(());
        }
        std::thread::sleep(POLL);
    }
    Err(CliError::Start(std::io::Error::other(
        "the boxes did not find each other",
    )))
}

async fn send_requests(entries: Vec<String>) -> (Vec<Outcome>, ServiceOutcome) {
    let caller = Caller::new(entries);
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
            retry_window: PATIENCE,
        };
        outcomes.push(caller.complete(&wanted).await);
    }
    let call = caller
        .call_service("member-records", "{\"member\":7}", 1)
        .await;
    (outcomes, call)
}

fn print_report(report: &DemoReport, took: Duration) {
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
        took.as_secs_f64()
    );
}

fn print_invitation(demo: &Demo) {
    let Some(entry) = demo.entries.first() else {
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
    /// Stops the boxes together, since each waits for its callers first.
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
