//! The calls to servers that hand over one run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use log::Level;
use serde::Serialize;
use tinbay_core::handover::transitions::{HandoverAnswer, ResumeServer};
use tinbay_core::units::Millis;
use tokio::sync::oneshot;

use super::target::{self, RunVersions, Target};
use crate::events::{self, part};
use crate::front::adapters;
use crate::front::attempt::{AttemptResult, AttemptTerms, UnknownCause, attempt};
use crate::front::choice::HolderRequests;
use crate::front::deliver::{check_after_cut, max_connections};
use crate::front::headers::{Resumption, ServerHeaders};
use crate::front::inbound::{Handover, InboundRequest, LastSend};
use crate::handover::drive::{HandoverActions, LocalFuture, Outcome, Resumed};
use crate::http::body::RequestBody;
use crate::http::call::{CallError, Reply};
use crate::http::field::InvalidField;
use crate::http::framing::BodyFormat;
use crate::http::pool::ReusableIdle;
use crate::http::pooled::call_pooled;
use crate::http::relay::ContinuedAnswer;
use crate::http::target::InvalidTarget;
use crate::limits::permits;
use crate::node::Node;
use crate::servers::calls::request_to;
use crate::servers::{RunningRequest, Server};
use crate::slots::asking::SlotParams;

/// Longest search for a server that can continue a run.
const MAX_SEARCH_MS: Millis = 1_500;

/// Longest interval between two choices of that server.
const MAX_CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// Time-out of the call that copies a run; most copies take some tens of milliseconds.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time-out until a server resumes the stream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for a slot of a brittle server before a run is resumed there; its memory is held
/// only for a while.
const RESUME_SLOT_WAIT_MS: Millis = 500;

/// Time-out of the call that frees a copy.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the call that frees a copy can't be sent.
#[derive(Debug, thiserror::Error)]
enum FreeError {
    #[error(transparent)]
    InvalidTarget(#[from] InvalidTarget),
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
}

#[derive(Serialize)]
struct NotFreedEvent<'a> {
    server: &'a str,
    error: String,
}

/// Hands over one run by calls to its servers.
pub struct NodeHandover {
    node: Rc<Node>,
    inbound: Rc<InboundRequest>,
    running: Rc<RefCell<RunningRequest>>,
    body: RequestBody,
    source: Rc<Server>,
    target: RefCell<Option<Rc<Server>>>,
    /// Versions on the source.
    versions: RunVersions,
    /// When the source was asked to stop and copy the run.
    requested_ms: Cell<Millis>,
}

impl NodeHandover {
    /// Creates the handover actions for the run of a request.
    pub fn new(
        node: &Rc<Node>,
        inbound: &Rc<InboundRequest>,
        running: &Rc<RefCell<RunningRequest>>,
        body: RequestBody,
    ) -> Self {
        let source = running.borrow().server();
        let versions = RunVersions::of(node, inbound, &source);
        Self {
            node: Rc::clone(node),
            inbound: Rc::clone(inbound),
            running: Rc::clone(running),
            body,
            source,
            target: RefCell::default(),
            versions,
            requested_ms: Cell::default(),
        }
    }

    async fn search(&self) -> bool {
        let end_ms = self.node.now_ms() + MAX_SEARCH_MS;
        let mut holder_requests = HolderRequests::default();
        while self.node.now_ms() < end_ms {
            match target::choose(&self.node, &self.inbound, &holder_requests, &self.versions) {
                Target::Ready { server, .. }
                    if adapters::needs_status(&self.node, &server, &holder_requests) =>
                {
                    adapters::refresh_status(&self.node, &server, &mut holder_requests).await;
                }
                Target::Ready { server, .. } => {
                    *self.target.borrow_mut() = Some(server);
                    return true;
                }
                Target::AfterLoad(server) => {
                    adapters::wait_for_load(
                        &self.node,
                        &self.inbound,
                        &server,
                        MAX_CHOICE_INTERVAL,
                        &mut holder_requests,
                    )
                    .await;
                }
                Target::Nowhere => tokio::time::sleep(MAX_CHOICE_INTERVAL).await,
            }
        }
        false
    }

    async fn request_copy(&self) -> HandoverAnswer {
        let Some(target) = self.target.borrow().clone() else {
            return HandoverAnswer::NotStopped;
        };
        let dialect = &self.node.dialect;
        let body = dialect.encode_handover(&self.inbound.id, target.record().address);
        let request = request_to(
            &self.node,
            &self.source,
            Method::POST,
            &dialect.handover_target(),
            body,
        );
        let Ok(request) = request else {
            return HandoverAnswer::NotStopped;
        };
        self.requested_ms.set(self.node.now_ms());
        self.inbound.handover.set(Some(Handover::Requested));
        let max_connections = max_connections(&self.node, &self.inbound);
        let pool = Rc::clone(&self.source.pool);
        let node = Rc::clone(&self.node);
        let copies = self.source_copies();
        let (sender, receiver) = oneshot::channel();
        // The caller may disconnect before the reply arrives, so the call runs in a task of its
        // own. `CopiedRun` frees the copy if the reply is not taken.
        tokio::task::spawn_local(async move {
            let reply = call_pooled(&pool, max_connections, request, COPY_TIMEOUT).await;
            let copied = CopiedRun {
                answer: Some(parse_copy_reply(&node, reply)),
                copies,
            };
            let _ = sender.send(copied);
        });
        match receiver.await {
            Ok(mut copied) => copied.take(),
            Err(_) => HandoverAnswer::Unknown,
        }
    }

    fn source_copies(&self) -> SourceCopies {
        SourceCopies {
            node: Rc::clone(&self.node),
            inbound: Rc::clone(&self.inbound),
            source: Rc::clone(&self.source),
        }
    }

    async fn resume_at(
        &self,
        at: ResumeServer,
        handle: &str,
        last_id: u64,
    ) -> Resumed<ContinuedAnswer> {
        let server = match at {
            ResumeServer::Source => Some(Rc::clone(&self.source)),
            ResumeServer::Target => self.target.borrow().clone(),
        };
        let (Some(server), Some(body)) = (server, self.body.repeat()) else {
            return Resumed::Declined;
        };
        let slot_params = SlotParams {
            rank: self.inbound.rank(),
            max_wait_ms: RESUME_SLOT_WAIT_MS,
        };
        let Ok(permit) = permits::acquire(&self.node, &server, slot_params).await else {
            return Resumed::Declined;
        };
        // A server that has restarted in another version has no copy of the run.
        if server.record().software_version != self.versions.software {
            return Resumed::Declined;
        }
        let source = self.source.record().address;
        let copy_source = self.node.dialect.encode_copy_source(source, handle);
        let record = server.record();
        let now_ms = self.node.now_ms();
        let left_ms = self.inbound.time_up_ms.saturating_sub(now_ms);
        let terms = AttemptTerms {
            server: &server,
            max_connections: max_connections(&self.node, &self.inbound),
            reusable: ReusableIdle::WithinLimit,
            headers: ServerHeaders {
                deadline_ms: left_ms,
                server_id: &record.id,
                priority: self.inbound.rank(),
                version: Some(self.versions.adapter).filter(|version| *version > 0),
                account: self.inbound.client_account().map(|account| &*account.name),
                resumption: Some(Resumption {
                    copy_source: &copy_source,
                    last_event_id: last_id,
                }),
            },
            permit,
            prefill_tokens: 0,
            head_timeout: RESUME_TIMEOUT.min(Duration::from_millis(left_ms)),
            silent_after: RESUME_TIMEOUT,
        };
        match attempt(&self.node, &self.inbound, body, terms).await {
            AttemptResult::Answering(answer) if answer.head.status == StatusCode::OK => {
                *self.running.borrow_mut() = answer.running;
                self.record_deadline(self.inbound.time_up_ms);
                let format = BodyFormat {
                    is_event_stream: true,
                    ..answer.head.format
                };
                Resumed::Answering(ContinuedAnswer {
                    incoming: answer.incoming,
                    format,
                    connection: answer.connection,
                    pool: Rc::clone(&server.pool),
                    idle_limit: answer.head.idle_limit,
                    may_reuse: answer.head.may_reuse,
                })
            }
            AttemptResult::Unknown { cause } => {
                if cause == UnknownCause::Closed {
                    check_after_cut(&self.node, &self.inbound, &server);
                }
                Resumed::Unknown
            }
            AttemptResult::Answering(_) => Resumed::Unknown,
            AttemptResult::Declined { .. }
            | AttemptResult::Displaced
            | AttemptResult::Withdrawn { .. }
            | AttemptResult::NotSent { .. } => Resumed::Declined,
        }
    }

    /// Records the deadline that the server that continues the run was given.
    fn record_deadline(&self, time_up_ms: Millis) {
        let sent = self.inbound.last_send.get();
        let sent = sent.map(|sent| LastSend { time_up_ms, ..sent });
        self.inbound.last_send.set(sent);
    }

    /// Records the outcome on the request, in the metrics and in the log.
    pub fn record_outcome(&self, outcome: &Outcome<ContinuedAnswer>) {
        let handover = match outcome {
            Outcome::Stayed => Handover::Stayed,
            Outcome::Unanswered => Handover::Unanswered,
            Outcome::Continued { at, .. } => match at {
                ResumeServer::Target => Handover::Moved,
                ResumeServer::Source => Handover::TakenBack,
            },
            Outcome::Lost => Handover::Lost,
        };
        self.inbound.handover.set(Some(handover));
        let outcome = handover.name();
        let handovers = &self.node.metrics.handovers;
        handovers.with_label_values(&[outcome]).inc();
        let target = self.target.borrow();
        let target = target.as_ref().map(|server| server.record());
        let now_ms = self.node.now_ms();
        let event = HandoverEvent {
            request: &self.inbound.id,
            source: &self.source.record().id,
            software_version: self.versions.software.as_str(),
            target: target.as_ref().map(|record| record.id.as_str()),
            outcome,
            took_ms: target.as_ref().map(|_| now_ms - self.requested_ms.get()),
            age_ms: now_ms - self.inbound.arrived_ms,
        };
        let level = match handover {
            Handover::Moved => Level::Debug,
            _ => Level::Info,
        };
        events::emit(part::FRONT, level, "handover", &event);
    }
}

#[derive(Serialize)]
struct HandoverEvent<'a> {
    request: &'a str,
    source: &'a str,
    software_version: &'a str,
    target: Option<&'a str>,
    outcome: &'static str,
    took_ms: Option<Millis>,
    age_ms: Millis,
}

impl HandoverActions for NodeHandover {
    type Answer = ContinuedAnswer;

    fn find_target(&self) -> LocalFuture<'_, bool> {
        Box::pin(self.search())
    }

    fn request_handover(&self) -> LocalFuture<'_, HandoverAnswer> {
        Box::pin(self.request_copy())
    }

    fn resume<'a>(
        &'a self,
        at: ResumeServer,
        handle: &'a str,
        last_id: u64,
    ) -> LocalFuture<'a, Resumed<ContinuedAnswer>> {
        Box::pin(self.resume_at(at, handle, last_id))
    }

    fn free(&self, handle: &str) {
        self.source_copies().free(handle);
    }
}

/// Frees copies on the server that made them.
struct SourceCopies {
    node: Rc<Node>,
    inbound: Rc<InboundRequest>,
    source: Rc<Server>,
}

impl SourceCopies {
    fn free(&self, handle: &str) {
        let request = match self.free_request(handle) {
            Ok(request) => request,
            Err(error) => return log_not_freed(&self.source, &error),
        };
        let pool = Rc::clone(&self.source.pool);
        let max_connections = max_connections(&self.node, &self.inbound);
        // If this call fails, the server frees the copy by itself after a while.
        tokio::task::spawn_local(async move {
            let _ = call_pooled(&pool, max_connections, request, FREE_TIMEOUT).await;
        });
    }

    fn free_request(&self, handle: &str) -> Result<Request<RequestBody>, FreeError> {
        let target = self.node.dialect.copy_target(handle)?;
        let (node, source) = (&self.node, &self.source);
        let request = request_to(node, source, Method::DELETE, &target, Bytes::new())?;
        Ok(request)
    }
}

fn log_not_freed(source: &Server, error: &FreeError) {
    let event = NotFreedEvent {
        server: &source.record().id,
        error: error.to_string(),
    };
    events::emit(part::FRONT, Level::Warn, "copy_not_freed", &event);
}

/// The source's answer to the request to stop and copy a run. If it is dropped before it is taken,
/// the copy is freed.
struct CopiedRun {
    answer: Option<HandoverAnswer>,
    copies: SourceCopies,
}

impl CopiedRun {
    fn take(&mut self) -> HandoverAnswer {
        self.answer.take().unwrap_or(HandoverAnswer::Unknown)
    }
}

impl Drop for CopiedRun {
    fn drop(&mut self) {
        let handle = self.answer.as_ref().and_then(HandoverAnswer::handle);
        if let Some(handle) = handle {
            self.copies.free(handle);
        }
    }
}

/// Interprets the source's reply to the request to stop and copy a run.
fn parse_copy_reply(node: &Node, reply: Result<Reply, CallError>) -> HandoverAnswer {
    let reply = match reply {
        Ok(reply) => reply,
        Err(CallError::NotConnected | CallError::InvalidField(_)) => {
            return HandoverAnswer::NotStopped;
        }
        Err(
            CallError::NoAnswer
            | CallError::InvalidHead(_)
            | CallError::TooLong { .. }
            | CallError::NoFinalResponse,
        ) => return HandoverAnswer::Unknown,
    };
    let decoded = node.dialect.decode_handover(&reply.body);
    let handle = decoded.ok().and_then(|reply| reply.handle);
    match (StatusCode::from_u16(reply.status), handle) {
        (Ok(StatusCode::OK), Some(handle)) => HandoverAnswer::Copied { handle },
        (Ok(StatusCode::SERVICE_UNAVAILABLE), Some(handle)) => HandoverAnswer::Kept { handle },
        (Ok(StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST), _) => HandoverAnswer::NotStopped,
        // Another status, or a reply that is cut short, does not tell whether the run has stopped.
        _ => HandoverAnswer::Unknown,
    }
}
