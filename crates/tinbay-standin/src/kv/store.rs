//! Key-value pairs, revisions, leases and watches of the key-value stand-in.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use tinbay_wire::etcd::{
    Bytes, Compare, EventKind, Int64, KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, TxnRequest, TxnResponse, WatchCreate, WatchEvent, WatchResponse,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Number of changes kept for watches that start at an earlier revision.
const MAX_HISTORY: usize = 50_000;

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

struct Watcher {
    create: WatchCreate,
    sender: UnboundedSender<WatchResponse>,
}

/// The in-memory state of the stand-in.
#[derive(Default)]
pub struct KvStore {
    revision: i64,
    pairs: BTreeMap<Bytes, KeyValue>,
    changes: VecDeque<WatchEvent>,
    compacted_revision: i64,
    leases: HashMap<i64, Lease>,
    last_lease: i64,
    watchers: Vec<Watcher>,
}

impl KvStore {
    /// Returns the pairs of a range.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let limit = match request.limit.0 {
            0 => usize::MAX,
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let mut found = self
            .pairs
            .range(request.key.clone()..)
            .take_while(|(key, _)| in_range(key, &request.key, &request.range_end))
            .map(|(_, pair)| pair.clone());
        let kvs: Vec<KeyValue> = found.by_ref().take(limit).collect();
        RangeResponse {
            header: self.header(),
            kvs,
            more: found.next().is_some(),
        }
    }

    /// Runs a transaction. All its writes get the same revision.
    pub fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        if succeeded && !request.success.is_empty() {
            self.revision += 1;
            let events = request
                .success
                .iter()
                .filter_map(|op| self.apply(op))
                .collect();
            self.publish(events);
        }
        TxnResponse {
            header: self.header(),
            succeeded,
        }
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, ttl_s: i64) -> i64 {
        self.last_lease += 1;
        let ttl = Duration::from_secs(ttl_s.max(1).unsigned_abs());
        let expires_at = Instant::now() + ttl;
        self.leases
            .insert(self.last_lease, Lease { ttl, expires_at });
        self.last_lease
    }

    /// Renews a lease and returns its TTL in seconds, 0 if it has expired.
    pub fn renew_lease(&mut self, id: i64) -> i64 {
        self.expire_leases();
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = Instant::now() + lease.ttl;
        lease.ttl.as_secs().cast_signed()
    }

    /// Ends a lease and deletes the pairs attached to it.
    pub fn revoke_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached: Vec<Bytes> = self
            .pairs
            .values()
            .filter(|pair| pair.lease.0 == id)
            .map(|pair| pair.key.clone())
            .collect();
        if attached.is_empty() {
            return;
        }
        self.revision += 1;
        let events = attached.iter().filter_map(|key| self.delete(key)).collect();
        self.publish(events);
    }

    /// Ends all expired leases.
    pub fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Opens a watch, which receives the kept changes since its start revision, then each new one.
    pub fn watch(&mut self, create: &WatchCreate) -> UnboundedReceiver<WatchResponse> {
        let (sender, receiver) = unbounded_channel();
        let start = create.start_revision.0;
        if start > 0 && start <= self.compacted_revision {
            let _ = sender.send(WatchResponse {
                header: self.header(),
                canceled: true,
                compact_revision: Int64(self.compacted_revision),
                events: Vec::new(),
            });
            return receiver;
        }
        let past: Vec<WatchEvent> = self
            .changes
            .iter()
            .filter(|event| start > 0 && event.kv.mod_revision.0 >= start)
            .filter(|event| in_range(&event.kv.key, &create.key, &create.range_end))
            .cloned()
            .collect();
        let _ = sender.send(self.response(past));
        self.watchers.push(Watcher {
            create: create.clone(),
            sender,
        });
        receiver
    }

    /// Ends all watches.
    pub fn close_watches(&mut self) {
        self.watchers.clear();
    }

    fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: Int64(self.revision),
        }
    }

    fn response(&self, events: Vec<WatchEvent>) -> WatchResponse {
        WatchResponse {
            header: self.header(),
            events,
            ..WatchResponse::default()
        }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let current = self
            .pairs
            .get(&compare.key)
            .map_or(0, |pair| pair.mod_revision.0);
        current == compare.mod_revision.0
    }

    fn apply(&mut self, op: &RequestOp) -> Option<WatchEvent> {
        match op {
            RequestOp::Put(put) => Some(self.put(put)),
            RequestOp::Delete(delete) => self.delete(&delete.key),
        }
    }

    fn put(&mut self, put: &PutRequest) -> WatchEvent {
        let known = self.pairs.get(&put.key);
        let create_revision = known.map_or(self.revision, |pair| pair.create_revision.0);
        let kv = KeyValue {
            key: put.key.clone(),
            create_revision: Int64(create_revision),
            mod_revision: Int64(self.revision),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.pairs.insert(put.key.clone(), kv.clone());
        WatchEvent {
            kind: EventKind::Put,
            kv,
        }
    }

    fn delete(&mut self, key: &Bytes) -> Option<WatchEvent> {
        self.pairs.remove(key)?;
        Some(WatchEvent {
            kind: EventKind::Delete,
            kv: KeyValue {
                key: key.clone(),
                mod_revision: Int64(self.revision),
                ..KeyValue::default()
            },
        })
    }

    fn publish(&mut self, events: Vec<WatchEvent>) {
        let header = self.header();
        self.watchers.retain(|watcher| {
            let create = &watcher.create;
            let matching: Vec<WatchEvent> = events
                .iter()
                .filter(|event| in_range(&event.kv.key, &create.key, &create.range_end))
                .cloned()
                .collect();
            if matching.is_empty() {
                return !watcher.sender.is_closed();
            }
            let response = WatchResponse {
                header,
                events: matching,
                ..WatchResponse::default()
            };
            watcher.sender.send(response).is_ok()
        });
        self.changes.extend(events);
        while self.changes.len() > MAX_HISTORY {
            if let Some(oldest) = self.changes.pop_front() {
                self.compacted_revision = oldest.kv.mod_revision.0;
            }
        }
    }
}

/// As in etcd, an empty `end` selects the single key `first`, and an `end` of one zero byte all
/// keys from `first` on.
fn in_range(key: &Bytes, first: &Bytes, end: &Bytes) -> bool {
    if end.0.is_empty() {
        return key == first;
    }
    key >= first && (end.0 == [0] || key < end)
}
