//! A client that follows the protocol for callers: it locates a box, caches the locate response for
//! its validity, connects directly, falls back to the other addresses, and resumes an interrupted
//! response.

mod outcome;

pub use outcome::Outcome;

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use ntex::client::ClientResponse;
use tinbay_core::ids::ModelRef;
use tinbay_http::client::{CallError, await_head, fresh_client, get_json, pooled_client, read_any};
use tinbay_http::stream::LineReader;
use tinbay_wire::completion::{CompletionRequest, DONE_EVENT};
use tinbay_wire::error_body::{ErrorBody, ErrorCode};
use tinbay_wire::headers;
use tinbay_wire::locate::LocateAnswer;

use outcome::ResponseChunk;

/// Timeout of a locate request to one address.
const LOCATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the status and headers of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for the next chunk of a response. It ends a stream from a frozen box, which keeps its
/// connections open.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of attempts for one request, including fallbacks and resumptions; retries that a
/// refusal invites are not counted.
const MAX_ATTEMPTS: u32 = 6;

/// Delay before the next attempt if a box could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// One completion request and how the caller sends it.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// The request body.
    pub request: CompletionRequest,
    /// Whether it is sent with a request key, which allows repeating and resuming it.
    pub keyed: bool,
    /// Time for which refusals that report "not run" with a retry time are retried.
    pub retry_window: Duration,
}

/// A cached locate response.
#[derive(Debug, Clone)]
struct CachedLocation {
    answer: LocateAnswer,
    valid_until: Instant,
}

/// A client that sends requests to boxes.
pub struct Caller {
    box_addresses: Vec<String>,
    /// Address to connect to instead of the located ones.
    pinned: Option<String>,
    locate_cache: RefCell<HashMap<String, CachedLocation>>,
}

impl Caller {
    /// Creates a caller that sends locate requests to the given boxes.
    pub fn new(box_addresses: Vec<String>) -> Self {
        Self {
            box_addresses,
            pinned: None,
            locate_cache: RefCell::default(),
        }
    }

    /// Creates a caller that connects to one box only, even if it does not own the engine.
    pub fn pinned(box_addresses: Vec<String>, address: String) -> Self {
        Self {
            pinned: Some(address),
            ..Self::new(box_addresses)
        }
    }

    /// Locates the boxes for a model, or any boxes if no model is given. Uses a cached response
    /// while it is valid, unless `skip_cache` is set: every new response holds a new key.
    ///
    /// # Errors
    /// Returns the error of the last address if no address answers.
    pub async fn locate(
        &self,
        model: Option<&ModelRef>,
        skip_cache: bool,
    ) -> Result<LocateAnswer, CallError> {
        let name = model.map(ToString::to_string).unwrap_or_default();
        let cached = self.locate_cache.borrow().get(&name).cloned();
        if let Some(cached) = cached
            && !skip_cache
            && Instant::now() < cached.valid_until
        {
            return Ok(cached.answer);
        }
        let mut last_error = CallError::NotConnected;
        for entry in &self.box_addresses {
            let url = match model {
                Some(model) => format!("http://{entry}/v1/locate?model={model}"),
                None => format!("http://{entry}/v1/locate"),
            };
            match get_json::<LocateAnswer>(&url, LOCATE_TIMEOUT).await {
                Ok(answer) => {
                    let valid_until = Instant::now() + Duration::from_millis(answer.valid_ms);
                    let cached = CachedLocation {
                        answer: answer.clone(),
                        valid_until,
                    };
                    self.locate_cache.borrow_mut().insert(name, cached);
                    return Ok(answer);
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Locates the boxes for a model. If locate rejects the model, uses any boxes, so that the
    /// request itself receives the typed error.
    async fn locate_model(
        &self,
        model: &ModelRef,
        skip_cache: bool,
    ) -> Result<LocateAnswer, CallError> {
        let mut located = match self.locate(Some(model), skip_cache).await {
            Err(CallError::Status(_)) => self.locate(None, skip_cache).await?,
            located => located?,
        };
        if let Some(pinned) = &self.pinned {
            located.addresses = vec![pinned.clone()];
        }
        Ok(located)
    }

    /// Sends a request and retries or resumes it until it has a final outcome.
    pub async fn complete(&self, call: &CompletionCall) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome::new(&call.request);
        let mut key = None;
        let mut avoid: Option<String> = None;
        while outcome.asks < MAX_ATTEMPTS {
            outcome.asks += 1;
            let skip_cache = (call.keyed && key.is_none()) || avoid.is_some();
            let located = self.locate_model(&call.request.model, skip_cache).await;
            let Ok(located) = located else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            if call.keyed && key.is_none() {
                key = Some(located.key.clone());
            }
            let Some(address) = choose_address(&located.addresses, avoid.as_deref()) else {
                continue;
            };
            let ended = send_attempt(&address, call, key.as_deref(), &mut outcome, started).await;
            match ended {
                AttemptEnd::Final => break,
                AttemptEnd::RetryAfter(wait) if started.elapsed() + wait < call.retry_window => {
                    outcome.asks -= 1;
                    outcome.come_backs += 1;
                    tokio::time::sleep(wait).await;
                }
                AttemptEnd::RetryAfter(_) => break,
                AttemptEnd::StartOver => {
                    key = None;
                    outcome.discard_received();
                }
                AttemptEnd::Interrupted => {
                    outcome.maybe_ran = true;
                    avoid = Some(address);
                    if key.is_none() {
                        break;
                    }
                }
                AttemptEnd::NotSent => {
                    avoid = Some(address);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        outcome.total_ms = elapsed_ms(started);
        outcome
    }

    /// Calls a plain service with a key and repeats a failed call with the same key at the next
    /// address, up to `max_attempts` attempts.
    pub async fn call_service(
        &self,
        service: &str,
        body: &str,
        max_attempts: u32,
    ) -> ServiceOutcome {
        let mut outcome = ServiceOutcome::default();
        let Ok(located) = self.locate(None, true).await else {
            return outcome;
        };
        outcome.key = located.key.clone();
        let mut addresses = located.addresses.iter().cycle();
        while outcome.attempts < max_attempts {
            let Some(address) = addresses.next() else {
                break;
            };
            outcome.attempts += 1;
            let url = format!("http://{address}/v1/services/{service}/call");
            let call = fresh_client()
                .await
                .post(url.as_str())
                .set_header(headers::KEY, located.key.as_str())
                .send_body(body.to_owned());
            let response = match await_head(call, HEAD_TIMEOUT).await {
                Ok(response) => response,
                Err(error) => {
                    outcome.maybe_ran |= !error.is_not_sent();
                    continue;
                }
            };
            if response.status().is_success() {
                outcome.answered = true;
                return outcome;
            }
            match read_any::<ErrorBody>(&response).await {
                Ok(failure) => {
                    outcome.maybe_ran |= !failure.error.not_run;
                    outcome.failure = Some(failure);
                }
                Err(_) => outcome.maybe_ran = true,
            }
        }
        outcome
    }
}

/// Outcome of a call of a plain service.
#[derive(Debug, Clone, Default)]
pub struct ServiceOutcome {
    /// The key of the call.
    pub key: String,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether a successful response was received.
    pub answered: bool,
    /// Whether the call may have run in an attempt that failed.
    pub maybe_ran: bool,
    /// The last error response.
    pub failure: Option<ErrorBody>,
}

/// How one attempt ended.
enum AttemptEnd {
    /// With a complete response or a final error.
    Final,
    /// The rest of an interrupted response is no longer available, so the caller requests the whole
    /// response again.
    StartOver,
    /// The request did not run and may be retried after this time.
    RetryAfter(Duration),
    /// The connection was lost or timed out after the request may have been sent.
    Interrupted,
    /// The box could not be reached.
    NotSent,
}

/// Returns the first address other than `avoid`, or the first one if there is no other.
fn choose_address(addresses: &[String], avoid: Option<&str>) -> Option<String> {
    let other = addresses
        .iter()
        .find(|address| Some(address.as_str()) != avoid);
    other.or(addresses.first()).cloned()
}

async fn send_attempt(
    address: &str,
    call: &CompletionCall,
    key: Option<&str>,
    outcome: &mut Outcome,
    started: Instant,
) -> AttemptEnd {
    let url = format!("http://{address}/v1/completions");
    let mut request = pooled_client().await.post(url.as_str());
    if let Some(key) = key {
        request = request.set_header(headers::KEY, key);
        outcome.key = key.to_owned();
    }
    if outcome.next_position > 0 {
        request = request.set_header(headers::RESUME_FROM, outcome.next_position.to_string());
        outcome.resumes += 1;
    }
    let response = match await_head(request.send_json(&call.request), HEAD_TIMEOUT).await {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => return AttemptEnd::NotSent,
        Err(_) => return AttemptEnd::Interrupted,
    };
    outcome.status = response.status().as_u16();
    if !response.status().is_success() {
        return read_error(&response, outcome).await;
    }
    outcome.read_headers(&response);
    outcome.failure = None;
    read_chunks(&response, outcome, started).await
}

async fn read_error(response: &ClientResponse, outcome: &mut Outcome) -> AttemptEnd {
    let Ok(body) = read_any::<ErrorBody>(response).await else {
        return AttemptEnd::Interrupted;
    };
    let retry_after_ms = body.error.retry_after_ms;
    outcome.maybe_ran |= !body.error.not_run;
    if body.error.code == ErrorCode::CannotResume {
        return AttemptEnd::StartOver;
    }
    let not_run = body.error.not_run;
    outcome.failure = Some(body.error);
    match retry_after_ms {
        Some(retry_after_ms) if not_run => {
            AttemptEnd::RetryAfter(Duration::from_millis(retry_after_ms.max(1)))
        }
        _ => AttemptEnd::Final,
    }
}

async fn read_chunks(
    response: &ClientResponse,
    outcome: &mut Outcome,
    started: Instant,
) -> AttemptEnd {
    let mut reader = LineReader::new(response.take_payload());
    loop {
        let event = match tokio::time::timeout(CHUNK_TIMEOUT, reader.next_event()).await {
            Ok(Ok(Some(event))) => event,
            _ => return AttemptEnd::Interrupted,
        };
        if event == DONE_EVENT.as_bytes() {
            return AttemptEnd::Final;
        }
        if let Ok(chunk) = serde_json::from_slice::<ResponseChunk>(&event) {
            outcome.add_chunk(&chunk, elapsed_ms(started));
        } else if let Ok(body) = serde_json::from_slice::<ErrorBody>(&event) {
            let cannot_resume = body.error.code == ErrorCode::CannotResume;
            outcome.failure = Some(body.error);
            return if cannot_resume {
                AttemptEnd::StartOver
            } else {
                AttemptEnd::Final
            };
        }
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}
