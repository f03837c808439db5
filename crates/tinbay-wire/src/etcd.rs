//! The part of the etcd v3 JSON interface that tinbay uses.
//!
//! Source: the published gRPC-gateway mapping of `etcdserverpb.KV`, `Lease` and `Watch`.
//! Keys and values are base64; 64-bit integers are strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit integer that is encoded as a string, as in protobuf's JSON mapping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// Bytes that are encoded as base64.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// Returns the UTF-8 bytes of a text.
    pub fn text(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    /// Returns the text, with replacement characters for invalid UTF-8.
    pub fn to_text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// Returns the exclusive end of the range of all keys with a prefix.
pub fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Bytes(end);
        }
    }
    Bytes(vec![0])
}

/// Header of every response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store at the time of the response.
    pub revision: Int64,
}

/// A stored pair.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// Revision that created it.
    pub create_revision: Int64,
    /// Revision of its last write.
    pub mod_revision: Int64,
    /// The value.
    pub value: Bytes,
    /// The lease that it is attached to; 0 for none.
    pub lease: Int64,
}

/// `POST /v3/kv/range`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Bytes,
    /// First key beyond the range; empty for a single key.
    pub range_end: Bytes,
    /// Maximum number of pairs; 0 for all.
    pub limit: Int64,
    /// Revision to read at; 0 for the current one.
    pub revision: Int64,
}

/// Response to a range request.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: ResponseHeader,
    /// The pairs, ordered by key.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left out further pairs.
    pub more: bool,
}

/// A write inside a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease to attach it to; 0 for none.
    pub lease: Int64,
}

/// A deletion inside a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The key.
    pub key: Bytes,
}

/// One operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOp {
    /// A write.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// A deletion.
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRangeRequest),
}

/// A condition on a key's last revision; a revision of 0 means that it does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Always `EQUAL` here.
    pub result: String,
    /// Always `MOD` here.
    pub target: String,
    /// The key.
    pub key: Bytes,
    /// Its revision.
    pub mod_revision: Int64,
}

impl Compare {
    /// Creates the condition that the last write to a key was at this revision.
    pub fn mod_revision(key: &str, revision: i64) -> Self {
        Self {
            result: "EQUAL".to_owned(),
            target: "MOD".to_owned(),
            key: Bytes::text(key),
            mod_revision: Int64(revision),
        }
    }
}

/// `POST /v3/kv/txn`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to run if they hold.
    pub success: Vec<RequestOp>,
}

/// Response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// `POST /v3/lease/grant`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// `POST /v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Response to a grant or, inside [`StreamItem`], to a keepalive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Remaining time to live in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// `POST /v3/watch`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Bytes,
    /// First key beyond the range.
    pub range_end: Bytes,
    /// First revision to report.
    pub start_revision: Int64,
    /// Whether to send empty responses periodically, so that the watcher knows the current
    /// revision.
    pub progress_notify: bool,
}

/// One line of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamItem<T> {
    /// The response.
    pub result: T,
}

/// Response of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// The oldest revision still available, set if the start revision was older.
    pub compact_revision: Int64,
    /// The changes.
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The pair; for a deletion only key and revision.
    pub kv: KeyValue,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// A write; servers omit it from the JSON.
    #[default]
    Put,
    /// A deletion.
    Delete,
}
