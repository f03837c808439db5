//! Prometheus metrics of a box.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::answer_metrics::{AnswerMetrics, MeasuredAnswer};
use crate::error::GatewayError;
use crate::http::head::HeadError;
use crate::shown_labels::ShownLabels;

/// Histogram bucket bounds in seconds, around latency objectives of 150 ms to 1 s.
const BUCKETS_SECONDS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.0, 2.0, 5.0];

/// Maximum number of client accounts that get a label value of their own.
const MAX_ACCOUNT_LABELS: usize = 64;

/// Label value for all other client accounts.
const OTHER_ACCOUNTS: &str = "(others)";

/// The metrics of one box.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Time to the response head, by kind.
    pub head_seconds: HistogramVec,
    /// Time until a request was sent, by kind: the wait for its adapter.
    pub stall_seconds: HistogramVec,
    /// First attempts of requests that this box itself sent to a server.
    pub first_sends: IntCounter,
    /// Attempts after a request's first one, by outcome.
    pub second_sends: IntCounterVec,
    /// Requests sent to a second server as the first was late, by outcome.
    pub hedged_sends: IntCounterVec,
    /// Connections to servers: new ones, and outcomes of pooled ones.
    pub server_connections: IntCounterVec,
    /// Calls to the store, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Calls to boxes that relay the store to this one, by call and outcome.
    pub relay_calls: IntCounterVec,
    /// Orders to servers, by action and outcome.
    pub orders: IntCounterVec,
    /// Restores of the store from a backup.
    pub store_restores: IntCounter,
    /// Entries and messages that this box could not decode, by kind.
    pub unreadable: IntCounterVec,
    /// Refused heads of answers to callers' requests, by reason.
    invalid_heads: IntCounterVec,
    /// Notices about their own state that servers put into answers, by notice.
    pub server_notices: IntCounterVec,
    /// Requests to servers that announce limits, by the decision of the limit.
    server_limits: IntCounterVec,
    /// Requests to brittle servers, by whether they got a slot.
    pub brittle_sends: IntCounterVec,
    /// Rejections by brittle servers for lack of room, by what was rejected.
    pub brittle_rejections: IntCounterVec,
    /// Attempts to hand a run over to another server, by outcome.
    pub handovers: IntCounterVec,
    /// Checks of servers that aborted answers, by outcome.
    pub server_checks: IntCounterVec,
    /// Offers of requests to other boxes, by outcome.
    pub forwarded: IntCounterVec,
    /// Steps of the judgement of prompt parts that may crash servers.
    pub part_judgements: IntCounterVec,
    /// Checks whether this box's links reach servers, by outcome.
    pub link_checks: IntCounterVec,
    /// Requests that resume streams, by how the version that began the stream was found.
    pub resumes: IntCounterVec,
    /// Messages between boxes, by outcome.
    pub frames: IntCounterVec,
    /// Bytes of messages between boxes, by outcome.
    pub frame_bytes: IntCounterVec,
    /// Bytes sent to other boxes, by kind of message part.
    pub part_bytes: IntCounterVec,
    /// Requests of client accounts, by the decision of the account's limits.
    account_limits: IntCounterVec,
    accounts: ShownLabels,
    answers: AnswerMetrics,
    /// Requests of client accounts that asked for scarce capacity, by outcome.
    admission: IntCounterVec,
    /// Ends of answers that were relayed, by how they were to be marked and how they ended.
    pub answer_ends: IntCounterVec,
    /// Bytes held for requests and answers.
    pub held_bytes: IntGauge,
    /// Answers cut off because the caller read too slowly, by cause.
    pub slow_caller_cuts: IntCounterVec,
    /// Requests refused for lack of memory, by the limit that was reached.
    pub memory_refusals: IntCounterVec,
    /// Gauges of this box's state: versions, counts and flags, by name.
    pub state_gauges: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// When two metrics share a name, which is a bug in this file.
    pub fn new() -> Result<Self, GatewayError> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, GatewayError>(counter)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
            let histogram = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, GatewayError>(histogram)
        };
        let store_restores = IntCounter::new(
            "tinbay_store_returns_total",
            "Returns of the store from a backup",
        )?;
        registry.register(Box::new(store_restores.clone()))?;
        let first_sends = IntCounter::new("tinbay_first_sends_total", "First sends")?;
        registry.register(Box::new(first_sends.clone()))?;
        let held_bytes = IntGauge::new("tinbay_held_bytes", "Bytes held for requests and answers")?;
        registry.register(Box::new(held_bytes.clone()))?;
        let state_gauges = IntGaugeVec::new(
            Opts::new("tinbay_belief", "What the box believes"),
            &["what"],
        )?;
        registry.register(Box::new(state_gauges.clone()))?;
        Ok(Self {
            requests: counter("tinbay_requests_total", "Requests", &["kind", "outcome"])?,
            head_seconds: histogram("tinbay_head_seconds", "Time to the head", &["kind"])?,
            stall_seconds: histogram("tinbay_stall_seconds", "Time until sent", &["kind"])?,
            first_sends,
            second_sends: counter("tinbay_second_sends_total", "Second sends", &["outcome"])?,
            hedged_sends: counter(
                "tinbay_hedged_sends_total",
                "Requests sent to a second server as the first was late",
                &["outcome"],
            )?,
            server_connections: counter(
                "tinbay_server_connections_total",
                "Connections to servers",
                &["outcome"],
            )?,
            store_calls: counter(
                "tinbay_store_calls_total",
                "Calls to the store",
                &["call", "outcome"],
            )?,
            relay_calls: counter(
                "tinbay_relay_calls_total",
                "Questions to boxes that read the store",
                &["call", "outcome"],
            )?,
            orders: counter(
                "tinbay_orders_total",
                "Orders to servers",
                &["action", "outcome"],
            )?,
            invalid_heads: counter(
                "tinbay_invalid_heads_total",
                "Refused heads of answers to requests",
                &["reason"],
            )?,
            unreadable: counter(
                "tinbay_unreadable_total",
                "What others wrote and this box can't read",
                &["what"],
            )?,
            server_notices: counter(
                "tinbay_server_notices_total",
                "What servers said of themselves in their answers",
                &["notice"],
            )?,
            server_limits: counter(
                "tinbay_server_limit_total",
                "Requests to servers that name limits",
                &["outcome"],
            )?,
            brittle_sends: counter(
                "tinbay_brittle_sends_total",
                "Requests to brittle servers, by whether they got a slot",
                &["outcome"],
            )?,
            brittle_rejections: counter(
                "tinbay_brittle_rejections_total",
                "Rejections by brittle servers for lack of room, by what was rejected",
                &["what"],
            )?,
            handovers: counter(
                "tinbay_handovers_total",
                "Runs that were to be handed over to another server",
                &["outcome"],
            )?,
            server_checks: counter(
                "tinbay_server_checks_total",
                "Checks of servers that broke off answers",
                &["outcome"],
            )?,
            part_judgements: counter(
                "tinbay_part_judgements_total",
                "Prompt parts suspected to crash servers, objected to, refused and lifted",
                &["step"],
            )?,
            forwarded: counter(
                "tinbay_forwarded_total",
                "Requests offered to other boxes, as no server could be reached",
                &["outcome"],
            )?,
            link_checks: counter(
                "tinbay_link_checks_total",
                "Checks whether servers can be reached from this box",
                &["outcome"],
            )?,
            resumes: counter(
                "tinbay_resumes_total",
                "Requests that resume streams, by how the version that began them was found",
                &["outcome"],
            )?,
            frames: counter(
                "tinbay_frames_total",
                "Messages between boxes",
                &["outcome"],
            )?,
            frame_bytes: counter(
                "tinbay_frame_bytes_total",
                "Bytes of messages between boxes",
                &["outcome"],
            )?,
            part_bytes: counter(
                "tinbay_part_bytes_total",
                "Bytes of what is sent to other boxes",
                &["kind"],
            )?,
            account_limits: counter(
                "tinbay_account_limit_total",
                "Requests of client accounts, by what their limits decided",
                &["account", "outcome"],
            )?,
            accounts: ShownLabels::new(MAX_ACCOUNT_LABELS, OTHER_ACCOUNTS),
            answers: AnswerMetrics::new(&registry)?,
            admission: counter(
                "tinbay_room_total",
                "Requests of client accounts that asked for scarce room, by what became of them",
                &["account", "outcome"],
            )?,
            answer_ends: counter(
                "tinbay_answer_ends_total",
                "Ends of relayed answers, by framing and by how they ended",
                &["framing", "end"],
            )?,
            held_bytes,
            slow_caller_cuts: counter(
                "tinbay_slow_caller_cuts_total",
                "Answers cut as their callers did not keep up",
                &["cause"],
            )?,
            memory_refusals: counter(
                "tinbay_memory_refusals_total",
                "Requests turned away for memory",
                &["short"],
            )?,
            state_gauges,
            store_restores,
            registry,
        })
    }

    /// Counts a refused head of an answer to a caller's request.
    pub fn count_invalid_head(&self, error: HeadError) {
        let reason = error.name();
        self.invalid_heads.with_label_values(&[reason]).inc();
    }

    /// Counts a decision of a server's limit.
    pub fn count_server_limit(&self, outcome: &str) {
        self.server_limits.with_label_values(&[outcome]).inc();
    }

    /// Counts a decision of a client account's limit; accounts above a maximum share one label.
    pub fn count_limit(&self, account: &str, outcome: &str) {
        let labels = [self.accounts.label(account), outcome];
        self.account_limits.with_label_values(&labels).inc();
    }

    /// Counts the outcome of a request that asked for scarce capacity.
    pub fn count_admission(&self, account: &str, outcome: &str) {
        let labels = [self.accounts.label(account), outcome];
        self.admission.with_label_values(&labels).inc();
    }

    /// Counts a complete answer; accounts above a maximum share one label.
    pub fn count_answer(&self, answer: MeasuredAnswer<'_>) {
        let account_label = answer.account.map(|account| self.accounts.label(account));
        self.answers.count(&answer, account_label);
    }

    /// Counts one part of a message that is sent to another box.
    pub fn count_part(&self, kind: &str, bytes: usize) {
        let sum = self.part_bytes.with_label_values(&[kind]);
        sum.inc_by(bytes as u64);
    }

    /// Counts a message between boxes.
    pub fn count_frame(&self, outcome: &str, bytes: usize) {
        self.frames.with_label_values(&[outcome]).inc();
        let sum = self.frame_bytes.with_label_values(&[outcome]);
        sum.inc_by(bytes as u64);
    }

    /// All metrics in the Prometheus text format; empty if they can't be encoded.
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .is_err()
        {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}
