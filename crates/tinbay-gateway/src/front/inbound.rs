//! A caller's request with its route and the state of its processing.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use hyper::header::{HOST, HeaderMap, HeaderName};
use hyper::http::request::Parts;
use tinbay_core::accounts::account::Account;
use tinbay_core::accounts::key::KeyDigest;
use tinbay_core::accounts::key_check::PresentedKey;
use tinbay_core::crashes::digest::{LongBodyHasher, RequestDigest};
use tinbay_core::crashes::parts::MAX_TRACKED_PARTS;
use tinbay_core::memory::ledger::{AccountHash, ConnectionNumber, Holder};
use tinbay_core::resumption::history::HISTORY_MS;
use tinbay_core::serving::configuration::{Route, RouteKind};
use tinbay_core::serving::contents::{AdapterKey, adapter_key};
use tinbay_core::serving::prompt::{PartId, Prompt};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::units::Millis;

use super::refusal::Refusal;
use crate::http::pump::AnsweredRequest;
use crate::limits::AdmittedBy;
use crate::members::box_fingerprint;
use crate::node::{InForce, Node};
use crate::resumption::stream_start::StreamStart;
use crate::sharing::outcome::AdmissionOutcomes;

/// Deadline of a request that specifies none.
const DEFAULT_DEADLINE_MS: Millis = 30_000;

/// How a request was last sent to a server, and the version information this was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastSend {
    /// Time from the request's arrival to the send.
    pub after_ms: Millis,
    /// Adapter version that the server must hold; any if absent.
    pub expected_version: Option<u64>,
    /// Deadline given to the server.
    pub time_up_ms: Millis,
    /// Current version according to the operators, as known to this box.
    pub named_version: Option<u64>,
    /// How long this box had known that version; absent if it was set before the box started.
    pub named_age_ms: Option<Millis>,
}

/// The client account of a request, and how old the data was that it was determined from.
#[derive(Debug, Clone)]
pub struct CheckedAccount {
    /// The account; absent if the request needs none or was refused.
    pub account: Option<Rc<Account>>,
    /// Time since this box's list of accounts was last certain to be current.
    pub proof_age_ms: Millis,
}

/// Units that a request consumed of its client account's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmittedUnits {
    /// Requests or tokens, by the unit of the limit.
    pub units: f64,
    /// What admitted the request.
    pub by: AdmittedBy,
}

/// Progress or outcome of the handover of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handover {
    /// The source was asked to stop the run and copy it.
    Requested,
    /// The run stays on the source.
    Stayed,
    /// The source did not answer, and may have stopped the run.
    Unanswered,
    /// Another server continues the run.
    Moved,
    /// The source resumed the run, as the target did not.
    TakenBack,
    /// No server is known to continue the run.
    Lost,
}

impl Handover {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Handover::Requested => "begun",
            Handover::Stayed => "stayed",
            Handover::Unanswered => "unanswered",
            Handover::Moved => "moved",
            Handover::TakenBack => "taken_back",
            Handover::Lost => "lost",
        }
    }
}

/// A caller's request with its route and the state of its processing.
#[derive(Debug)]
pub struct InboundRequest {
    /// Id that the caller gave to this attempt of its request.
    pub id: String,
    /// Method, path, query and headers as received, without the API key.
    pub parts: Parts,
    /// Digest by which identical requests are recognized; set once the whole body has been read.
    pub digest: Rc<OnceCell<RequestDigest>>,
    /// Digest of the start of a long body, which different requests may share; set once it is read.
    pub start_digest: OnceCell<RequestDigest>,
    /// Digest of the API key.
    pub key: PresentedKey,
    /// The client account; set once the key is checked.
    pub account: OnceCell<CheckedAccount>,
    /// Units consumed of the account's limit; absent if no limit applies.
    pub admitted: Cell<Option<AdmittedUnits>>,
    /// Times of the answer's chunks; empty until the answer has ended.
    pub stream_timing: Cell<StreamTiming>,
    /// Whether another box forwarded it, after checking its key and limits.
    pub is_forwarded: bool,
    /// State of the run's handover; absent if none was started.
    pub handover: Cell<Option<Handover>>,
    /// Number of servers passed over because they were at their rate limit.
    pub at_limits: Cell<u32>,
    /// Results of asking holders for admission to overloaded servers.
    pub admission: AdmissionOutcomes,
    /// Identifies the caller's connection in the memory accounting.
    pub connection: ConnectionNumber,
    /// The route that matches host and path.
    pub route: Rc<Route>,
    /// The service drawn from those of the route.
    pub service: String,
    /// The configuration that contains the route.
    pub in_force: Rc<InForce>,
    /// The requested adapter as `model/name`, or a base model alone.
    pub model: Option<String>,
    /// Key of the requested adapter or model.
    pub model_key: Option<AdapterKey>,
    /// Size and prefixes of the prompt, as declared in the headers.
    pub prompt: Prompt,
    /// Parts of the prompt that other requests may share and that are judged when servers crash.
    pub shared_parts: Vec<PartId>,
    /// When the request arrived.
    pub arrived_ms: Millis,
    /// How the request was last sent; absent if it was never sent.
    pub last_send: Cell<Option<LastSend>>,
    /// The earlier of the caller's deadline and the route's time-out.
    pub time_up_ms: Millis,
    /// The caller's deadline.
    pub caller_time_up_ms: Millis,
    /// Whether it begins a stream that may be resumed, or resumes one.
    pub stream_start: StreamStart,
    /// Software version that began the stream; set before a server is chosen for a request that
    /// resumes one.
    pub origin: Cell<Option<Fingerprint>>,
    /// When the caller is expected to give up if no chunk of the answer has arrived.
    pub first_chunk_by_ms: Millis,
}

impl InboundRequest {
    /// Parses a request's head and finds its route. `draw`, a random number from 0 to 1, selects
    /// the service by the weights of the route, unless the stream may be resumed: all attempts at it
    /// select the same service.
    ///
    /// # Errors
    /// When there is no configuration, route or request id.
    pub fn read(
        node: &Node,
        mut parts: Parts,
        arrived_ms: Millis,
        draw: f64,
        connection: ConnectionNumber,
    ) -> Result<Self, Refusal> {
        let names = node.dialect.headers();
        let key = take_key(&mut parts.headers, &names.key);
        let in_force = node.in_force().ok_or(Refusal::NoConfiguration)?;
        let host = text(&parts.headers, &HOST)
            .or_else(|| parts.uri.host())
            .unwrap_or_default();
        let route = in_force
            .routes
            .find(host, parts.uri.path())
            .ok_or(Refusal::NoRoute)?;
        if route.targets.is_empty() {
            return Err(Refusal::NoRoute);
        }
        let id = text(&parts.headers, &names.request_id)
            .ok_or(Refusal::NoRequestId)?
            .to_string();
        let stream_start = StreamStart::read(&route, &parts.headers, names, &id);
        let service = route
            .choose_service(stream_start.draw().unwrap_or(draw))
            .ok_or(Refusal::NoRoute)?
            .to_string();
        let deadline_ms = text(&parts.headers, &names.deadline_ms)
            .and_then(|value| value.trim().parse::<f64>().ok())
            .map_or(DEFAULT_DEADLINE_MS, |value| value as Millis);
        let model = text(&parts.headers, &names.model).map(str::to_string);
        let time_up_ms = arrived_ms + deadline_ms.min(route.timeout_ms);
        let prompt = node.dialect.decode_prompt(&parts.headers);
        let first_chunk_by_ms = match route.first_piece_timeout_ms() {
            Some(patience_ms) => time_up_ms.min(arrived_ms + patience_ms),
            None => time_up_ms,
        };
        Ok(Self {
            id,
            route,
            service,
            in_force,
            digest: Rc::default(),
            start_digest: OnceCell::new(),
            key,
            account: OnceCell::new(),
            admitted: Cell::default(),
            stream_timing: Cell::default(),
            is_forwarded: false,
            handover: Cell::default(),
            at_limits: Cell::default(),
            admission: AdmissionOutcomes::default(),
            connection,
            model_key: model.as_deref().map(adapter_key),
            model,
            shared_parts: tracked_parts(&prompt),
            prompt,
            arrived_ms,
            last_send: Cell::default(),
            time_up_ms,
            caller_time_up_ms: arrived_ms + deadline_ms,
            stream_start,
            origin: Cell::default(),
            first_chunk_by_ms,
            parts,
        })
    }

    /// Whether its stream may last longer than this box remembers the versions that it has seen.
    pub fn outlasts_version_history(&self) -> bool {
        self.caller_time_up_ms > self.arrived_ms + HISTORY_MS
    }

    /// Id of the attempt that brought the first event of the stream that the caller resumes.
    pub fn resumed_id(&self, node: &Node) -> Option<&str> {
        text(&self.parts.headers, &node.dialect.headers().resumes)
    }

    /// The adapter's current version according to the operators.
    pub fn named_version(&self, node: &Node) -> Option<u64> {
        node.named_version(self.model.as_deref()?)
    }

    /// The client account; `None` if there is none or the key is not checked yet.
    pub fn client_account(&self) -> Option<&Rc<Account>> {
        self.account.get()?.account.as_ref()
    }

    /// The account and connection that its memory is accounted to.
    pub fn holder(&self) -> Holder {
        let account = self.client_account();
        Holder {
            account: account.map(|account| box_fingerprint(&account.name)),
            connection: self.connection,
        }
    }

    /// Sets the digest of the request from its whole body.
    pub fn set_digest(&self, body: &[u8]) {
        let _ = self
            .digest
            .set(RequestDigest::of(self.account_name(), self.path(), body));
    }

    /// Sets the digest of the start of a long body; the hasher returned has seen it.
    pub fn set_start_digest(&self, start: &[u8]) -> LongBodyHasher {
        let mut hasher = LongBodyHasher::new(self.account_name(), self.path());
        hasher.update(start);
        let _ = self.start_digest.set(hasher.digest_of_start());
        hasher
    }

    /// The digests that are known: of the whole request, and of the start of a long body.
    pub fn digests(&self) -> impl Iterator<Item = RequestDigest> {
        let digests = [self.digest.get(), self.start_digest.get()];
        digests.into_iter().flatten().copied()
    }

    fn account_name(&self) -> Option<&str> {
        self.client_account().map(|account| &*account.name)
    }

    /// The path with its query.
    fn path(&self) -> &str {
        let path = self.parts.uri.path_and_query();
        path.map_or("", |path| path.as_str())
    }

    /// Time since the first piece of its answer arrived, once the answer has ended; none if no piece
    /// did.
    pub fn written_for_ms(&self, now_ms: Millis) -> Option<Millis> {
        let first_ms = self.stream_timing.get().first_ms()?;
        Some(now_ms.saturating_sub(first_ms))
    }

    /// Rank in the server's queue, 0 first.
    pub fn rank(&self) -> u8 {
        let account = self.client_account().map(|account| account.priority);
        self.in_force.ranks.rank(account, self.route.priority)
    }

    /// Counts a server that was passed over because it was at its rate limit.
    pub fn count_server_at_limit(&self) {
        self.at_limits.set(self.at_limits.get() + 1);
    }

    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.route.resumable,
        }
    }

    /// The kind of the route, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match (self.route.kind, self.route.resumable) {
            (RouteKind::Safe, _) => "safe",
            (RouteKind::Unsafe, _) => "unsafe",
            (RouteKind::Streaming, false) => "streaming",
            (RouteKind::Streaming, true) => "resumable",
        }
    }
}

impl AnsweredRequest for InboundRequest {
    fn id(&self) -> &str {
        &self.id
    }

    fn account(&self) -> Option<AccountHash> {
        self.holder().account
    }
}

/// The first shared parts of a prompt, each one once.
fn tracked_parts(prompt: &Prompt) -> Vec<PartId> {
    let mut tracked = Vec::new();
    for part in prompt.shared_parts() {
        if tracked.len() < MAX_TRACKED_PARTS && !tracked.contains(&part.id) {
            tracked.push(part.id);
        }
    }
    tracked
}

/// Removes the API key from the headers, so that it is neither kept nor forwarded, and returns its
/// digest. A key that is given twice counts as none.
fn take_key(headers: &mut HeaderMap, name: &HeaderName) -> PresentedKey {
    let key_count = headers.get_all(name).iter().count();
    let Some(key) = headers.remove(name) else {
        return PresentedKey::None;
    };
    match KeyDigest::of(key.as_bytes()) {
        Some(digest) if key_count == 1 => PresentedKey::Digest(digest),
        _ => PresentedKey::None,
    }
}

/// The value of a header, if it is valid text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
