//! Key-value service client for etcd's v3 JSON (gRPC gateway) API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tinbay_core::units::Revision;
use tinbay_http::client::{CallError, await_head, pooled_client, post_json};
use tinbay_http::stream::LineReader;
use tinbay_wire::etcd::{
    Bytes, Compare, DeleteRangeRequest, EventKind, Int64, KeyValue, LeaseGrantRequest,
    LeaseRequest, LeaseResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, StreamItem,
    TxnRequest, TxnResponse, WatchCreate, WatchEvent, WatchRequest, WatchResponse, prefix_end,
};

use super::{
    Guard, KvService, LeaseId, Listing, Pair, PlatformError, TxnEnd, Watch, WatchedChange, Write,
};
use crate::metrics::Metrics;

/// Timeout of a call; a healthy service answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Key-value pairs per page of a listing, which keeps a response well below the service's limit
/// of one megabyte.
const PAGE_SIZE: i64 = 1_000;

/// Kind of a call; a label value of the `kv_calls` metric.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    Read,
    Write,
    Watch,
}

impl CallKind {
    fn as_str(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Watch => "watch",
        }
    }

    /// Maps a failed call to an error that says whether a write may have taken effect.
    fn error(self, error: CallError) -> PlatformError {
        match (self, error) {
            (_, CallError::NotUnderstood) => PlatformError::NotUnderstood,
            (CallKind::Write, error) if !error.is_not_sent() => PlatformError::ReplyLost,
            _ => PlatformError::Unreachable,
        }
    }
}

/// Client of the etcd service at one address.
pub struct EtcdJson {
    base: String,
    metrics: Arc<Metrics>,
}

impl EtcdJson {
    /// Creates a client of the service at an address.
    pub fn new(address: SocketAddr, metrics: Arc<Metrics>) -> Self {
        Self {
            base: format!("http://{address}"),
            metrics,
        }
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &B,
    ) -> Result<T, PlatformError> {
        let url = format!("{}{path}", self.base);
        let answer = post_json(&url, body, CALL_TIMEOUT).await;
        self.count(kind, answer.is_ok());
        answer.map_err(|error| kind.error(error))
    }

    fn count(&self, kind: CallKind, answered: bool) {
        let outcome = if answered { "answered" } else { "failed" };
        let labels = [kind.as_str(), outcome];
        self.metrics.kv_calls.with_label_values(&labels).inc();
    }

    async fn range(&self, request: &RangeRequest) -> Result<RangeResponse, PlatformError> {
        self.call(CallKind::Read, "/v3/kv/range", request).await
    }

    async fn list_pages(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let mut request = RangeRequest {
            key: Bytes::text(prefix),
            range_end: prefix_end(prefix),
            limit: Int64(PAGE_SIZE),
            ..RangeRequest::default()
        };
        let mut pairs = Vec::new();
        loop {
            let page = self.range(&request).await?;
            // Later pages are read at the first page's revision, so the listing is a consistent
            // snapshot.
            if request.revision.0 == 0 {
                request.revision = page.header.revision;
            }
            // The next page begins after the last key as it is stored, which need not be text.
            let last_key = page.kvs.last().map(|kv| kv.key.clone());
            pairs.extend(page.kvs.into_iter().map(to_pair));
            if !page.more {
                let revision = request.revision.0;
                return Ok(Listing { pairs, revision });
            }
            request.key = last_key.ok_or(PlatformError::NotUnderstood)?;
            request.key.0.push(0);
        }
    }

    async fn start_watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<Box<dyn Watch>, PlatformError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: Bytes::text(prefix),
                range_end: prefix_end(prefix),
                start_revision: Int64(from),
                progress_notify: true,
            },
        };
        let url = format!("{}/v3/watch", self.base);
        let call = pooled_client().await.post(url.as_str()).send_json(&request);
        let response = await_head(call, CALL_TIMEOUT).await;
        self.count(CallKind::Watch, response.is_ok());
        let response = response.map_err(|error| CallKind::Watch.error(error))?;
        if !response.status().is_success() {
            return Err(PlatformError::Unreachable);
        }
        Ok(Box::new(EtcdWatch {
            lines: LineReader::new(response.take_payload()),
        }))
    }
}

fn to_pair(kv: KeyValue) -> Pair {
    Pair {
        key: kv.key.to_text(),
        value: kv.value.0,
        revision: kv.mod_revision.0,
    }
}

fn to_op(write: &Write) -> RequestOp {
    match write {
        Write::Put { key, value, lease } => RequestOp::Put(PutRequest {
            key: Bytes::text(key),
            value: Bytes(value.clone()),
            lease: Int64(lease.map_or(0, |lease| lease.0)),
        }),
        Write::Delete { key } => RequestOp::Delete(DeleteRangeRequest {
            key: Bytes::text(key),
        }),
    }
}

fn to_change(event: WatchEvent) -> WatchedChange {
    WatchedChange {
        key: event.kv.key.to_text(),
        revision: event.kv.mod_revision.0,
        value: (event.kind == EventKind::Put).then_some(event.kv.value.0),
    }
}

struct EtcdWatch {
    lines: LineReader,
}

impl Watch for EtcdWatch {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Vec<WatchedChange>, PlatformError>> {
        async move {
            let line = self.lines.next().await.ok().flatten();
            let line = line.ok_or(PlatformError::Unreachable)?;
            let item: StreamItem<WatchResponse> =
                serde_json::from_slice(&line).map_err(|_| PlatformError::NotUnderstood)?;
            if item.result.canceled {
                return Err(PlatformError::Unreachable);
            }
            Ok(item.result.events.into_iter().map(to_change).collect())
        }
        .boxed_local()
    }
}

impl KvService for EtcdJson {
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Pair>, PlatformError>> {
        async move {
            let request = RangeRequest {
                key: Bytes::text(key),
                ..RangeRequest::default()
            };
            let answer = self.range(&request).await?;
            Ok(answer.kvs.into_iter().next().map(to_pair))
        }
        .boxed_local()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, PlatformError>> {
        self.list_pages(prefix).boxed_local()
    }

    fn txn<'a>(
        &'a self,
        guards: &'a [Guard],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<TxnEnd, PlatformError>> {
        async move {
            let request = TxnRequest {
                compare: guards
                    .iter()
                    .map(|guard| Compare::mod_revision(&guard.key, guard.revision))
                    .collect(),
                success: writes.iter().map(to_op).collect(),
            };
            let answer: TxnResponse = self.call(CallKind::Write, "/v3/kv/txn", &request).await?;
            Ok(match answer.succeeded {
                true => TxnEnd::Done(answer.header.revision.0),
                false => TxnEnd::GuardFailed,
            })
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> LocalBoxFuture<'a, Result<Box<dyn Watch>, PlatformError>> {
        self.start_watch(prefix, from).boxed_local()
    }

    fn grant_lease(&self, ttl_s: i64) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>> {
        async move {
            let request = LeaseGrantRequest {
                ttl_s: Int64(ttl_s),
            };
            let answer: LeaseResponse = self
                .call(CallKind::Write, "/v3/lease/grant", &request)
                .await?;
            Ok(LeaseId(answer.id.0))
        }
        .boxed_local()
    }

    fn keep_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<bool, PlatformError>> {
        async move {
            let request = LeaseRequest { id: Int64(lease.0) };
            let answer: StreamItem<LeaseResponse> = self
                .call(CallKind::Write, "/v3/lease/keepalive", &request)
                .await?;
            Ok(answer.result.ttl_s.0 > 0)
        }
        .boxed_local()
    }
}
