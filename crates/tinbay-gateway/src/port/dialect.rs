//! Spellings that differ from one surrounding to another.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use tinbay_core::serving::configuration::Configuration;
use tinbay_core::serving::prompt::Prompt;
use tinbay_core::serving::servers::{Report, ServerRecord};
use tinbay_core::units::Millis;

/// Bytes that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{what} could not be read: {reason}")]
pub struct DecodeError {
    /// What was read.
    pub what: &'static str,
    /// What was wrong, with the field where it is known.
    pub reason: String,
}

/// Names of the headers that matter on the direct path.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a caller's try.
    pub request_id: HeaderName,
    /// Time the caller still waits.
    pub deadline_ms: HeaderName,
    /// Incarnation a server must have to take a request.
    pub expect_server: HeaderName,
    /// Incarnation that answers, where it says so.
    pub server_id: HeaderName,
    /// Set by a server that did not run the request.
    pub not_run: HeaderName,
    /// Model and adapter a request asks for.
    pub model: HeaderName,
    /// Version of the adapter a server must have.
    pub expect_version: HeaderName,
    /// Rank at the server.
    pub priority: HeaderName,
    /// Key of a client account, a secret: no server is shown it.
    pub key: HeaderName,
    /// Name of the client account, for servers; whatever a caller sends is taken off.
    pub account: HeaderName,
    /// Copy of a run from which a server goes on, with the server that made it.
    pub copy_source: HeaderName,
    /// Number of the last event after which a stream goes on.
    pub last_event_id: HeaderName,
    /// Headers that only boxes may set; taken off callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// Prefixes and keys in the store.
#[derive(Debug, Clone)]
pub struct KeyNames {
    /// Prefix of what operators write.
    pub operator: String,
    /// Key of the configuration.
    pub configuration: String,
    /// Prefix of the named versions of adapters.
    pub versions: String,
    /// Prefix of the servers' own entries.
    pub servers: String,
}

/// A version of an adapter that the operators named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedVersion {
    /// The adapter as `model/name`.
    pub adapter: String,
    /// The version.
    pub version: u64,
}

/// What a holder orders a server to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Bring in an adapter, or replace its version.
    Load {
        /// The version; the newest where none is given.
        version: Option<u64>,
    },
    /// Take an adapter out.
    Unload,
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub action: OrderAction,
    /// With which adapter, as `model/name`.
    pub adapter: String,
    /// Orders the server must have taken before.
    pub expected_count: Option<u64>,
    /// Who orders.
    pub holder: String,
    /// Token of the holder's claim.
    pub token: u64,
}

/// What a server says when it was asked to stop a run and copy it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MoveReply {
    /// Names the copy; none where the run was not stopped.
    pub handle: Option<String>,
}

/// A caller's question which boxes to use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryQuestion {
    /// Availability zone of the caller.
    pub zone: String,
}

/// Spellings of the surrounding: nothing in here decides, waits or keeps anything.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Names of keys.
    fn keys(&self) -> &KeyNames;

    /// Path of the question whether the box is ready.
    fn ready_path(&self) -> &str;

    /// Path of the directory.
    fn directory_path(&self) -> &str;

    /// Path of a server's report.
    fn report_path(&self) -> &str;

    /// Path of orders to a server.
    fn order_path(&self) -> &str;

    /// Reads what a request has an engine read.
    fn decode_prompt(&self, headers: &HeaderMap) -> Prompt;

    /// Puts digests in place of the keys of client accounts in a configuration. It is done to
    /// what comes from the store before anything else, so that no key is kept or passed on.
    ///
    /// # Errors
    /// When it can't be read; the error names the field and shows nothing of its value.
    fn conceal_keys(&self, value: &[u8]) -> Result<Vec<u8>, DecodeError>;

    /// Reads a configuration whose keys were replaced by digests.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Reads a named version.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_version(&self, value: &[u8]) -> Result<NamedVersion, DecodeError>;

    /// Reads a server's entry.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_server(&self, id: &str, value: &[u8]) -> Result<ServerRecord, DecodeError>;

    /// Reads a server's report.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_report(&self, value: &[u8]) -> Result<Report, DecodeError>;

    /// Reads from the head of a server's answer whether it leaves.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_leaving(&self, headers: &HeaderMap) -> Result<bool, DecodeError>;

    /// Reads from the head of an answer for how long its server wants nothing from the box that
    /// asked; none where it does not say.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_rest(&self, status: u16, headers: &HeaderMap) -> Result<Option<Millis>, DecodeError>;

    /// Reads from the head of an answer how many requests a second its server takes from all boxes
    /// together; none where it names no limit.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, DecodeError>;

    /// Writes an order.
    fn encode_order(&self, order: &Order) -> Bytes;

    /// Path of the call that has a server stop a run and copy it to another one.
    fn move_path(&self) -> &str;

    /// Writes that call, for the run of a request.
    fn encode_move(&self, request_id: &str, target: SocketAddr) -> Bytes;

    /// Reads the answer to it.
    ///
    /// # Errors
    /// When it can't be read.
    fn decode_move(&self, value: &[u8]) -> Result<MoveReply, DecodeError>;

    /// Path that frees a copy nobody goes on with, where it was made.
    fn copy_path(&self, handle: &str) -> String;

    /// Value of the header that names the copy from which a server goes on.
    fn encode_copy_source(&self, source: SocketAddr, handle: &str) -> String;

    /// Reads the query of a directory question.
    fn decode_question(&self, query: &str) -> DirectoryQuestion;

    /// Writes an answer of the directory.
    fn encode_directory(&self, addresses: &[SocketAddr], valid_ms: Millis) -> Bytes;
}
