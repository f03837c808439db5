//! A caller's request with all that decides its way.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use hyper::header::{HOST, HeaderMap, HeaderName};
use hyper::http::request::Parts;
use tinbay_core::accounts::account::Account;
use tinbay_core::accounts::key::KeyDigest;
use tinbay_core::accounts::key_check::ShownKey;
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::memory::ledger::{AccountPrint, ConnectionNumber, Holder};
use tinbay_core::serving::configuration::{Route, RouteKind};
use tinbay_core::serving::contents::{AdapterKey, adapter_key};
use tinbay_core::serving::prompt::Prompt;
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::units::Millis;

use super::refusal::Refusal;
use crate::http::pump::Asker;
use crate::limits::AdmittedBy;
use crate::members::box_fingerprint;
use crate::node::{InForce, Node};
use crate::sharing::outcome::RoomOutcomes;

/// Time a caller is taken to wait where it names none.
const DEFAULT_DEADLINE_MS: Millis = 30_000;

/// How a request was sent to a server, and what that was decided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastSend {
    /// Time from the request's arrival.
    pub after_ms: Millis,
    /// Version of the adapter the server must have; any one does where none is given.
    pub expected_version: Option<u64>,
    /// When the request's time is up at the server.
    pub time_up_ms: Millis,
    /// Version the operators had named last, as this box knew it.
    pub named_version: Option<u64>,
    /// How long this box had known that version; none where it was there when the box came.
    pub named_age_ms: Option<Millis>,
}

/// The client account of a request, and what that was decided by.
#[derive(Debug, Clone)]
pub struct ShownAccount {
    /// The account; none where the request needs none.
    pub account: Option<Rc<Account>>,
    /// How long ago the accounts were certainly all there are.
    pub proof_age_ms: Millis,
}

/// What a request counted against the limit of its client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmittedUnits {
    /// Requests or tokens.
    pub units: f64,
    /// What let it in.
    pub by: AdmittedBy,
}

/// How the run of a request was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handover {
    /// The server that reads it is asked to stop it.
    Begun,
    /// It stayed where it was.
    Stayed,
    /// Another server goes on with it.
    Moved,
    /// The server that began it went on, as the other one did not.
    TakenBack,
    /// Nobody went on with it.
    Lost,
}

impl Handover {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            Handover::Begun => "begun",
            Handover::Stayed => "stayed",
            Handover::Moved => "moved",
            Handover::TakenBack => "taken_back",
            Handover::Lost => "lost",
        }
    }
}

/// A caller's request with all that decides its way.
#[derive(Debug)]
pub struct Question {
    /// Id of the caller's try.
    pub id: String,
    /// Method, path, query and headers as they came, but for the key.
    pub parts: Parts,
    /// What it has in common with others that are the same, once its body is read.
    pub digest: OnceCell<RequestDigest>,
    /// The key it shows, as a digest.
    pub key: ShownKey,
    /// Its client account, once that is decided.
    pub account: OnceCell<ShownAccount>,
    /// What it counted against its account's limit; nothing where that does not bind.
    pub admitted: Cell<Option<AdmittedUnits>>,
    /// When the pieces of its answer came; nothing before its end.
    pub sight: Cell<StreamTiming>,
    /// How its run was handed over to another server; nothing where that was not begun.
    pub handover: Cell<Option<Handover>>,
    /// Servers that were passed over as their limits had no room.
    pub at_limits: Cell<u32>,
    /// What it was told of room at servers.
    pub room: RoomOutcomes,
    /// The caller's connection.
    pub connection: ConnectionNumber,
    /// The route.
    pub route: Rc<Route>,
    /// The service chosen among the route's.
    pub service: String,
    /// The configuration that gave the route.
    pub in_force: Rc<InForce>,
    /// The adapter asked for as `model/name`, or the model alone.
    pub model: Option<String>,
    /// The key of what it asks for.
    pub model_key: Option<AdapterKey>,
    /// What it has an engine read.
    pub prompt: Prompt,
    /// When the request came.
    pub arrived_ms: Millis,
    /// How it was last sent; none was sent where it is not set.
    pub last_send: Cell<Option<LastSend>>,
    /// When its time is up: the caller's deadline or the route's time-out.
    pub time_up_ms: Millis,
    /// When its caller leaves if nothing has come.
    pub first_piece_by_ms: Millis,
}

impl Question {
    /// Reads a request's head and finds its route.
    ///
    /// # Errors
    /// What the caller is told where there is no way.
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
        let service = route
            .choose_service(draw)
            .ok_or(Refusal::NoRoute)?
            .to_string();
        let id = text(&parts.headers, &names.request_id)
            .ok_or(Refusal::NoRequestId)?
            .to_string();
        let deadline_ms = text(&parts.headers, &names.deadline_ms)
            .and_then(|value| value.trim().parse::<f64>().ok())
            .map_or(DEFAULT_DEADLINE_MS, |value| value as Millis);
        let model = text(&parts.headers, &names.model).map(str::to_string);
        let time_up_ms = arrived_ms + deadline_ms.min(route.timeout_ms);
        let first_piece_by_ms = match route.stream_patience_ms() {
            Some(patience_ms) => time_up_ms.min(arrived_ms + patience_ms),
            None => time_up_ms,
        };
        Ok(Self {
            id,
            route,
            service,
            in_force,
            digest: OnceCell::new(),
            key,
            account: OnceCell::new(),
            admitted: Cell::default(),
            sight: Cell::default(),
            handover: Cell::default(),
            at_limits: Cell::default(),
            room: RoomOutcomes::default(),
            connection,
            model_key: model.as_deref().map(adapter_key),
            model,
            prompt: node.dialect.decode_prompt(&parts.headers),
            arrived_ms,
            last_send: Cell::default(),
            time_up_ms,
            first_piece_by_ms,
            parts,
        })
    }

    /// The version of its adapter that the operators named last.
    pub fn named_version(&self, node: &Node) -> Option<u64> {
        node.named_version(self.model.as_deref()?)
    }

    /// Its client account, if it has one.
    pub fn client_account(&self) -> Option<&Rc<Account>> {
        self.account.get()?.account.as_ref()
    }

    /// For whom its bytes are held.
    pub fn holder(&self) -> Holder {
        let account = self.client_account();
        Holder {
            account: account.map(|account| box_fingerprint(&account.name)),
            connection: self.connection,
        }
    }

    /// Notes its body, or the first part of a long one: with it, requests that are the same one
    /// can be told.
    pub fn note_body(&self, body: &[u8]) {
        let account = self.client_account().map(|account| &*account.name);
        let path = self.parts.uri.path_and_query();
        let path = path.map_or("", |path| path.as_str());
        let digest = RequestDigest::of(account, path, body);
        let _ = self.digest.set(digest);
    }

    /// Its rank at its server, 0 first.
    pub fn rank(&self) -> u8 {
        let account = self.client_account().map(|account| account.priority);
        self.in_force.ranks.rank(account, self.route.priority)
    }

    /// Notes that a server was passed over as its limit had no room.
    pub fn note_at_limit(&self) {
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

    /// The kind of its route, for logs and measures.
    pub fn kind(&self) -> &'static str {
        match (self.route.kind, self.route.resumable) {
            (RouteKind::Safe, _) => "safe",
            (RouteKind::Unsafe, _) => "unsafe",
            (RouteKind::Streaming, false) => "streaming",
            (RouteKind::Streaming, true) => "resumable",
        }
    }
}

impl Asker for Question {
    fn id(&self) -> &str {
        &self.id
    }

    fn account(&self) -> Option<AccountPrint> {
        self.holder().account
    }
}

/// Takes the key off a request, so that it is not kept; given twice it is none.
fn take_key(headers: &mut HeaderMap, name: &HeaderName) -> ShownKey {
    let given = headers.get_all(name).iter().count();
    let Some(key) = headers.remove(name) else {
        return ShownKey::None;
    };
    match KeyDigest::of(key.as_bytes()) {
        Some(digest) if given == 1 => ShownKey::Digest(digest),
        _ => ShownKey::None,
    }
}

/// A header's text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
