//! What the stand-in of an engine counts as served.

use std::net::TcpListener;
use std::time::Duration;

use tinbay_core::ids::ModelRef;
use tinbay_http::client::{CallError, pooled_client, post_json};
use tinbay_standin::engine::{EngineSettings, start};
use tinbay_wire::engine::{AdapterOrder, EngineRequest, EngineState};

const WITHIN: Duration = Duration::from_secs(10);

async fn order(address: &str, path: &str) -> Result<EngineState, CallError> {
    let order = AdapterOrder {
        lora_name: ModelRef::new("adapter-0", "v1"),
        lora_path: String::new(),
    };
    post_json(&format!("http://{address}{path}"), &order, WITHIN).await
}

/// Starts a run; reads its answer to the end if asked to.
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
    let response = request.send_json(&call).await.expect("a head");
    assert!(response.status().is_success());
    if reads {
        response.body().await.expect("a whole answer");
    }
}

// A run that another one of the same name had replaced was counted as served for good.
#[ntex::test]
async fn begin_second_run_of_a_name_ends_the_first() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let settings = EngineSettings {
        checks_orders: false,
        load_ms: 0,
        ..EngineSettings::default()
    };
    let _server = start(listener, settings).expect("it starts");
    order(&address, "/v1/load_lora_adapter")
        .await
        .expect("loaded");
    complete(&address, 100_000, false).await;
    complete(&address, 1, true).await;
    let unloaded = order(&address, "/v1/unload_lora_adapter").await;
    assert!(unloaded.is_ok(), "nothing serves any more: {unloaded:?}");
}
