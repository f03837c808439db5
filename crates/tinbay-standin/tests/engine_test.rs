//! Which requests the engine stand-in counts as being served.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use tinbay_core::ids::ModelRef;
use tinbay_http::client::{CallError, get_json, pooled_client, post_json};
use tinbay_standin::engine::{EngineSettings, start};
use tinbay_wire::engine::{AdapterOrder, EngineRequest, EngineState};

const WITHIN: Duration = Duration::from_secs(10);

const LOAD: &str = "/v1/load_lora_adapter";
const UNLOAD: &str = "/v1/unload_lora_adapter";

fn order_on(adapter: &str) -> AdapterOrder {
    AdapterOrder {
        lora_name: ModelRef::new(adapter, "v1"),
        lora_path: String::new(),
    }
}

async fn order(address: &str, path: &str, adapter: &str) -> Result<EngineState, CallError> {
    let url = format!("http://{address}{path}");
    post_json(&url, &order_on(adapter), WITHIN).await
}

/// Starts a run and, if `reads` is set, reads its answer to the end.
async fn complete(address: &str, max_tokens: u32, reads: bool) {
    let call = EngineRequest {
        request: "request-1".to_owned(),
        attempt: 1,
        model: ModelRef::new("adapter-0", "v1"),
        prompt: "prompt".to_owned(),
        max_tokens,
        priority: 0,
        resume_from: None,
    };
    let url = format!("http://{address}/v1/completions");
    let request = pooled_client().await.post(url.as_str());
    let response = request.send_json(&call).await.expect("response head");
    assert!(response.status().is_success());
    if reads {
        response.body().await.expect("complete response body");
    }
}

// Guards against a run that was replaced by another of the same request still counting as served:
// its model could never be unloaded.
#[ntex::test]
async fn begin_second_run_of_a_name_ends_the_first() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address").to_string();
    let settings = EngineSettings {
        checks_orders: false,
        load_ms: 0,
        ..EngineSettings::default()
    };
    let _server = start(listener, settings).expect("stand-in starts");
    order(&address, LOAD, "adapter-0").await.expect("loaded");
    complete(&address, 100_000, false).await;
    complete(&address, 1, true).await;
    let unloaded = order(&address, UNLOAD, "adapter-0").await;
    assert!(unloaded.is_ok(), "no request is being served: {unloaded:?}");
}

// Guards against a load whose sender disconnects and that never ends: its slot could not be used again.
#[ntex::test]
async fn load_ends_though_its_sender_disconnects() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address").to_string();
    let settings = EngineSettings {
        checks_orders: false,
        load_ms: 1_000,
        ..EngineSettings::default()
    };
    let _server = start(listener, settings).expect("stand-in starts");
    let load_url = format!("http://{address}{LOAD}");
    let state_url = format!("http://{address}/v1/state");
    let end = Instant::now() + WITHIN;
    let mut loaded = Vec::new();
    while loaded.is_empty() {
        assert!(Instant::now() < end, "the load does not end");
        let timeout = Duration::from_millis(100);
        let cut_off = post_json(&load_url, &order_on("adapter-0"), timeout).await;
        let state: EngineState = match cut_off {
            Err(_) => get_json(&state_url, WITHIN).await.expect("state"),
            Ok(state) => state,
        };
        loaded = state.loaded;
    }
    assert_eq!(loaded, [order_on("adapter-0").lora_name]);
}
