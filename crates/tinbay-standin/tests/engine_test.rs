//! Which requests the engine stand-in counts as being served.

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
    order(&address, "/v1/load_lora_adapter")
        .await
        .expect("loaded");
    complete(&address, 100_000, false).await;
    complete(&address, 1, true).await;
    let unloaded = order(&address, "/v1/unload_lora_adapter").await;
    assert!(unloaded.is_ok(), "no request is being served: {unloaded:?}");
}
