//! Names and formats on the wire and in the store that depend on the platform.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use tinbay_core::serving::configuration::Configuration;
use tinbay_core::serving::prompt::Prompt;
use tinbay_core::serving::servers::{Report, ServerRecord};
use tinbay_core::units::Millis;

use crate::http::target::{InvalidTarget, RequestTarget};

/// A value that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{what} could not be read: {reason}")]
pub struct DecodeError {
    /// Kind of value that was decoded.
    pub what: &'static str,
    /// Reason, with the field name where it is known.
    pub reason: String,
}

/// Names of the HTTP headers that the gateway reads, sets or removes.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of the request, set by the caller for each attempt.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds that the caller waits.
    pub deadline_ms: HeaderName,
    /// Incarnation of the server that the request is meant for; any other must decline it.
    pub expect_server: HeaderName,
    /// Incarnation of the responding server; servers may omit it.
    pub server_id: HeaderName,
    /// Set on a response by a server that did not execute the request.
    pub not_run: HeaderName,
    /// Signature of the server, by which callers check a successful response.
    pub signature: HeaderName,
    /// Requested model and adapter.
    pub model: HeaderName,
    /// Version of the adapter that the server must have loaded.
    pub expect_version: HeaderName,
    /// Priority of the request at the server.
    pub priority: HeaderName,
    /// Key of a client account. It is a secret and never forwarded to servers.
    pub key: HeaderName,
    /// Name of the client account, set for servers; removed from callers' requests.
    pub account: HeaderName,
    /// Copy of a run that a server resumes from, with the server that made it.
    pub copy_source: HeaderName,
    /// Number of the last event received, after which a stream resumes.
    pub last_event_id: HeaderName,
    /// Id of the caller's attempt that brought the first event of a stream that is resumed.
    pub resumes: HeaderName,
    /// Headers that only boxes may set; removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// Keys and key prefixes in the store.
#[derive(Debug, Clone)]
pub struct KeyNames {
    /// Prefix of all entries that operators write.
    pub operator: String,
    /// Key of the configuration.
    pub configuration: String,
    /// Prefix of the adapter versions named by operators.
    pub versions: String,
    /// Prefix of the zones whose servers operators want to get no more requests, by name.
    pub evacuations: String,
    /// Prefix of the entries that servers write about themselves.
    pub servers: String,
}

/// An adapter version named by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedVersion {
    /// The adapter as `model/name`.
    pub adapter: String,
    /// Version number of the adapter.
    pub version: u64,
}

/// Action that the box holding a server's claim orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load an adapter or replace its loaded version.
    Load {
        /// Version to load; the newest one if absent.
        version: Option<u64>,
    },
    /// Unload an adapter.
    Unload,
}

/// An order to a server to load or unload an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to unload.
    pub action: OrderAction,
    /// Name of the adapter, as `model/name`.
    pub adapter: String,
    /// Number of orders that the server must have accepted before.
    pub expected_count: Option<u64>,
    /// Box that sends the order and holds the claim on the server.
    pub holder: String,
    /// Fencing token of the holder's claim.
    pub token: u64,
}

/// Reply of a server that was asked to hand a run over to another server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HandoverReply {
    /// Handle of the run's copy; absent if the run was not stopped.
    pub handle: Option<String>,
}

/// A caller's query for the addresses of boxes to use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Availability zone of the caller; empty if not stated.
    pub zone: String,
}

/// Names and encodings of one platform. Implementations only translate: they make no decisions, do
/// not block and keep no state.
pub trait Dialect {
    /// HTTP header names of the platform.
    fn headers(&self) -> &HeaderNames;

    /// Store keys and prefixes of the platform.
    fn keys(&self) -> &KeyNames;

    /// Path of the readiness check of a box.
    fn ready_path(&self) -> &str;

    /// Path at which a box answers directory queries.
    fn directory_path(&self) -> &str;

    /// Target at which a server reports its contents and state.
    fn report_target(&self) -> RequestTarget;

    /// Target at which a server accepts orders.
    fn order_target(&self) -> RequestTarget;

    /// Decodes the description of the prompt from a request's headers.
    fn decode_prompt(&self, headers: &HeaderMap) -> Prompt;

    /// Replaces the keys of client accounts in a configuration by digests. Applied to data from the
    /// store before any other step, so that no key is kept or passed on.
    ///
    /// # Errors
    /// When the configuration cannot be decoded; the error names the field but not its value.
    fn digest_keys(&self, value: &[u8]) -> Result<Vec<u8>, DecodeError>;

    /// Decodes a configuration whose keys were replaced by digests.
    ///
    /// # Errors
    /// When the value cannot be decoded.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Decodes an adapter version named by operators.
    ///
    /// # Errors
    /// When the value cannot be decoded.
    fn decode_version(&self, value: &[u8]) -> Result<NamedVersion, DecodeError>;

    /// Decodes a server's entry in the store.
    ///
    /// # Errors
    /// When the value cannot be decoded.
    fn decode_server(&self, id: &str, value: &[u8]) -> Result<ServerRecord, DecodeError>;

    /// Decodes a server's report.
    ///
    /// # Errors
    /// When the value cannot be decoded.
    fn decode_report(&self, value: &[u8]) -> Result<Report, DecodeError>;

    /// Decodes from response headers whether the server is leaving service.
    ///
    /// # Errors
    /// When the header cannot be decoded.
    fn decode_leaving(&self, headers: &HeaderMap) -> Result<bool, DecodeError>;

    /// Decodes the back-off from response status and headers: how long the server asks this box to
    /// send it no requests; `None` if it does not ask.
    ///
    /// # Errors
    /// When the header cannot be decoded.
    fn decode_back_off(
        &self,
        status: u16,
        headers: &HeaderMap,
    ) -> Result<Option<Millis>, DecodeError>;

    /// Decodes from response headers how many requests per second the server accepts from all boxes
    /// together; `None` if it states no limit.
    ///
    /// # Errors
    /// When the header cannot be decoded.
    fn decode_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, DecodeError>;

    /// Decodes from response headers how many rejections per second the server survives; `None` if
    /// it is not brittle.
    ///
    /// # Errors
    /// When the header cannot be decoded.
    fn decode_brittleness(&self, headers: &HeaderMap) -> Result<Option<f64>, DecodeError>;

    /// Encodes the body of an order to a server.
    fn encode_order(&self, order: &Order) -> Bytes;

    /// Target of the call that hands a run over: the server stops it and copies it to another
    /// server.
    fn handover_target(&self) -> RequestTarget;

    /// Encodes the body of the call that hands the run of a request over to `target`.
    fn encode_handover(&self, request_id: &str, target: SocketAddr) -> Bytes;

    /// Decodes the response to the call that hands a run over.
    ///
    /// # Errors
    /// When the value cannot be decoded.
    fn decode_handover(&self, value: &[u8]) -> Result<HandoverReply, DecodeError>;

    /// Target at the server that made a copy; frees the copy if no server resumes from it.
    ///
    /// # Errors
    /// When the handle is too long for a target.
    fn copy_target(&self, handle: &str) -> Result<RequestTarget, InvalidTarget>;

    /// Value of the header that names the copy a server resumes from.
    fn encode_copy_source(&self, source: SocketAddr, handle: &str) -> String;

    /// Decodes the query string of a directory query.
    fn decode_directory_query(&self, query: &str) -> DirectoryQuery;

    /// Encodes a directory response: the addresses of boxes and how long they are valid.
    fn encode_directory(&self, addresses: &[SocketAddr], valid_ms: Millis) -> Bytes;
}
