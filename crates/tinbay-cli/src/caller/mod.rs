//! A caller as the callers' page describes it: it locates, keeps the answer for its life,
//! connects by itself, falls back to the other addresses, and resumes a broken answer.

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

use outcome::AnswerPiece;

/// How long locate may take at one address.
const LOCATE_WITHIN: Duration = Duration::from_secs(1);

/// Longest wait for the head of an answer.
const HEAD_WITHIN: Duration = Duration::from_secs(60);

/// Longest wait for the next piece of an answer; a box that was frozen is given up then.
const PIECE_WITHIN: Duration = Duration::from_secs(5);

/// Times a caller asks for one request, falls back and resumes included.
const MAX_ASKS: u32 = 6;

/// Time between asks after a box could not be reached.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// One completion a caller wants.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// What it sends.
    pub request: CompletionRequest,
    /// Whether it gets a key of its own, to ask again and to resume by.
    pub keyed: bool,
    /// How long it follows answers that say "not run, come back".
    pub patience: Duration,
}

/// Where requests go.
#[derive(Debug, Clone)]
struct Located {
    answer: LocateAnswer,
    until: Instant,
}

/// One caller.
pub struct Caller {
    entries: Vec<String>,
    /// Connects here whatever locate says.
    pinned: Option<String>,
    located: RefCell<HashMap<String, Located>>,
}

impl Caller {
    /// A caller that knows some boxes to ask.
    pub fn new(entries: Vec<String>) -> Self {
        Self {
            entries,
            pinned: None,
            located: RefCell::default(),
        }
    }

    /// A caller that connects to one box only, owner or not.
    pub fn pinned(entries: Vec<String>, address: String) -> Self {
        Self {
            pinned: Some(address),
            ..Self::new(entries)
        }
    }

    /// Asks for addresses; answers are kept for their life unless a key is needed.
    ///
    /// # Errors
    /// The last address's error when none answers.
    pub async fn locate(
        &self,
        model: Option<&ModelRef>,
        fresh: bool,
    ) -> Result<LocateAnswer, CallError> {
        let name = model.map(ToString::to_string).unwrap_or_default();
        let kept = self.located.borrow().get(&name).cloned();
        if let Some(kept) = kept
            && !fresh
            && Instant::now() < kept.until
        {
            return Ok(kept.answer);
        }
        let mut last = CallError::NotConnected;
        for entry in &self.entries {
            let url = match model {
                Some(model) => format!("http://{entry}/v1/locate?model={model}"),
                None => format!("http://{entry}/v1/locate"),
            };
            match get_json::<LocateAnswer>(&url, LOCATE_WITHIN).await {
                Ok(answer) => {
                    let until = Instant::now() + Duration::from_millis(answer.valid_ms);
                    let located = Located {
                        answer: answer.clone(),
                        until,
                    };
                    self.located.borrow_mut().insert(name, located);
                    return Ok(answer);
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Asks for a model's addresses; where locate refuses the model, for any, so that the
    /// request itself gets the typed refusal.
    async fn locate_for(&self, model: &ModelRef, fresh: bool) -> Result<LocateAnswer, CallError> {
        let mut located = match self.locate(Some(model), fresh).await {
            Err(CallError::Status(_)) => self.locate(None, fresh).await?,
            located => located?,
        };
        if let Some(pinned) = &self.pinned {
            located.addresses = vec![pinned.clone()];
        }
        Ok(located)
    }

    /// Sends a request and follows it to its end.
    pub async fn complete(&self, wanted: &Wanted) -> Outcome {
        let began = Instant::now();
        let mut outcome = Outcome::new(&wanted.request);
        let mut key = None;
        let mut avoid: Option<String> = None;
        while outcome.asks < MAX_ASKS {
            outcome.asks += 1;
            let fresh = (wanted.keyed && key.is_none()) || avoid.is_some();
            let located = self.locate_for(&wanted.request.model, fresh).await;
            let Ok(located) = located else {
                tokio::time::sleep(ASK_AGAIN).await;
                continue;
            };
            if wanted.keyed && key.is_none() {
                key = Some(located.key.clone());
            }
            let Some(address) = choose(&located.addresses, avoid.as_deref()) else {
                continue;
            };
            let asked = ask(&address, wanted, key.as_deref(), &mut outcome, began).await;
            match asked {
                Asked::Ended => break,
                Asked::ComeBack(wait) if began.elapsed() + wait < wanted.patience => {
                    outcome.asks -= 1;
                    outcome.come_backs += 1;
                    tokio::time::sleep(wait).await;
                }
                Asked::ComeBack(_) => break,
                Asked::StartOver => {
                    key = None;
                    outcome.start_over();
                }
                Asked::Broken => {
                    outcome.maybe_ran = true;
                    avoid = Some(address);
                    if key.is_none() {
                        break;
                    }
                }
                Asked::NotSent => {
                    avoid = Some(address);
                    tokio::time::sleep(ASK_AGAIN).await;
                }
            }
        }
        outcome.total_ms = elapsed_ms(began);
        outcome
    }

    /// Calls a plain service once, with a key; asks again with the same key when the
    /// outcome is not known.
    pub async fn call_service(&self, service: &str, body: &str, asks: u32) -> ServiceOutcome {
        let mut outcome = ServiceOutcome::default();
        let Ok(located) = self.locate(None, true).await else {
            return outcome;
        };
        outcome.key = located.key.clone();
        let mut addresses = located.addresses.iter().cycle();
        while outcome.asks < asks {
            let Some(address) = addresses.next() else {
                break;
            };
            outcome.asks += 1;
            let url = format!("http://{address}/v1/services/{service}/call");
            let call = fresh_client()
                .await
                .post(url.as_str())
                .set_header(headers::KEY, located.key.as_str())
                .send_body(body.to_owned());
            let response = match await_head(call, HEAD_WITHIN).await {
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

/// How a call of a plain service ended.
#[derive(Debug, Clone, Default)]
pub struct ServiceOutcome {
    /// The key of the call.
    pub key: String,
    /// Times it was asked for.
    pub asks: u32,
    /// Whether an answer came.
    pub answered: bool,
    /// Whether an ask ended in a way that leaves open whether it ran.
    pub maybe_ran: bool,
    /// The last failure.
    pub failure: Option<ErrorBody>,
}

/// How one ask ended.
enum Asked {
    /// With a whole answer or a final failure.
    Ended,
    /// The rest of a broken answer is gone; the caller asks for the whole one anew.
    StartOver,
    /// It did not run; the caller may come back after this time.
    ComeBack(Duration),
    /// The box went away in the middle.
    Broken,
    /// The box could not be reached.
    NotSent,
}

fn choose(addresses: &[String], avoid: Option<&str>) -> Option<String> {
    let other = addresses
        .iter()
        .find(|address| Some(address.as_str()) != avoid);
    other.or(addresses.first()).cloned()
}

async fn ask(
    address: &str,
    wanted: &Wanted,
    key: Option<&str>,
    outcome: &mut Outcome,
    began: Instant,
) -> Asked {
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
    let response = match await_head(request.send_json(&wanted.request), HEAD_WITHIN).await {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => return Asked::NotSent,
        Err(_) => return Asked::Broken,
    };
    outcome.status = response.status().as_u16();
    if !response.status().is_success() {
        return read_failure(&response, outcome).await;
    }
    outcome.read_head(&response);
    outcome.failure = None;
    read_pieces(&response, outcome, began).await
}

async fn read_failure(response: &ClientResponse, outcome: &mut Outcome) -> Asked {
    let Ok(body) = read_any::<ErrorBody>(response).await else {
        return Asked::Broken;
    };
    let retry_after_ms = body.error.retry_after_ms;
    outcome.maybe_ran |= !body.error.not_run;
    if body.error.code == ErrorCode::CannotResume {
        return Asked::StartOver;
    }
    let not_run = body.error.not_run;
    outcome.failure = Some(body.error);
    match retry_after_ms {
        Some(retry_after_ms) if not_run => {
            Asked::ComeBack(Duration::from_millis(retry_after_ms.max(1)))
        }
        _ => Asked::Ended,
    }
}

async fn read_pieces(response: &ClientResponse, outcome: &mut Outcome, began: Instant) -> Asked {
    let mut reader = LineReader::new(response.take_payload());
    loop {
        let event = match tokio::time::timeout(PIECE_WITHIN, reader.next_event()).await {
            Ok(Ok(Some(event))) => event,
            _ => return Asked::Broken,
        };
        if event == DONE_EVENT.as_bytes() {
            return Asked::Ended;
        }
        if let Ok(piece) = serde_json::from_slice::<AnswerPiece>(&event) {
            outcome.take(&piece, elapsed_ms(began));
        } else if let Ok(body) = serde_json::from_slice::<ErrorBody>(&event) {
            let cannot_resume = body.error.code == ErrorCode::CannotResume;
            outcome.failure = Some(body.error);
            return if cannot_resume {
                Asked::StartOver
            } else {
                Asked::Ended
            };
        }
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}
