//! What a box on the direct path measures.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::answer_metrics::{AnswerMetrics, MeasuredAnswer};
use crate::error::GatewayError;
use crate::shown_labels::ShownLabels;

/// Bounds in seconds, around objectives of 150 ms to a second.
const SECONDS_BOUNDS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.0, 2.0, 5.0];

/// Client accounts that are shown one by one.
const MOST_ACCOUNTS_SHOWN: usize = 64;

/// Label of all other client accounts.
const OTHER_ACCOUNTS: &str = "(others)";

/// The measures of one box.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Time to the head of the answer, by kind.
    pub head_seconds: HistogramVec,
    /// Time until a request was sent, by kind: the wait for its adapter.
    pub stall_seconds: HistogramVec,
    /// Sends beyond a request's first, by outcome.
    pub second_sends: IntCounterVec,
    /// Requests sent to a second server as the first was late, by outcome.
    pub hedged_sends: IntCounterVec,
    /// Connections to servers: opened, and what became of kept ones.
    pub server_connections: IntCounterVec,
    /// Calls to the store, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Questions to boxes that read the store for this one, by call and outcome.
    pub relay_calls: IntCounterVec,
    /// Orders to servers, by action and outcome.
    pub orders: IntCounterVec,
    /// Returns of the store from a backup.
    pub store_returns: IntCounter,
    /// What others wrote and this box can't read, by what it is.
    pub unreadable: IntCounterVec,
    /// What servers said of themselves in their answers, by what it is.
    pub server_notices: IntCounterVec,
    /// Requests to servers that name limits, by what let them in, or refused.
    server_limits: IntCounterVec,
    /// Runs that were to be handed over to another server, by outcome.
    pub handovers: IntCounterVec,
    /// Checks of servers that broke off answers, by outcome.
    pub server_checks: IntCounterVec,
    /// Messages between boxes, by outcome.
    pub frames: IntCounterVec,
    /// Bytes of messages between boxes, by outcome.
    pub frame_bytes: IntCounterVec,
    /// Bytes of what is sent to other boxes, by kind of part.
    pub part_bytes: IntCounterVec,
    /// Requests of client accounts by what their limits decided.
    account_limits: IntCounterVec,
    accounts: ShownLabels,
    answers: AnswerMetrics,
    /// Requests of client accounts that asked for scarce room, by what became of them.
    room: IntCounterVec,
    /// Bytes held for requests and answers.
    pub held_bytes: IntGauge,
    /// Answers that were cut as their callers did not keep up, by cause.
    pub slow_cuts: IntCounterVec,
    /// Requests turned away for memory, by what there was too little room in.
    pub memory_refusals: IntCounterVec,
    /// What is believed: versions, counts and ages by name.
    pub beliefs: IntGaugeVec,
}

impl Metrics {
    /// New measures, all zero.
    ///
    /// # Errors
    /// When two measures share a name; a mistake in this file.
    pub fn new() -> Result<Self, GatewayError> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, GatewayError>(counter)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(SECONDS_BOUNDS.to_vec());
            let histogram = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, GatewayError>(histogram)
        };
        let store_returns = IntCounter::new(
            "tinbay_store_returns_total",
            "Returns of the store from a backup",
        )?;
        registry.register(Box::new(store_returns.clone()))?;
        let held_bytes = IntGauge::new("tinbay_held_bytes", "Bytes held for requests and answers")?;
        registry.register(Box::new(held_bytes.clone()))?;
        let beliefs = IntGaugeVec::new(
            Opts::new("tinbay_belief", "What the box believes"),
            &["what"],
        )?;
        registry.register(Box::new(beliefs.clone()))?;
        Ok(Self {
            requests: counter("tinbay_requests_total", "Requests", &["kind", "outcome"])?,
            head_seconds: histogram("tinbay_head_seconds", "Time to the head", &["kind"])?,
            stall_seconds: histogram("tinbay_stall_seconds", "Time until sent", &["kind"])?,
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
            accounts: ShownLabels::new(MOST_ACCOUNTS_SHOWN, OTHER_ACCOUNTS),
            answers: AnswerMetrics::new(&registry)?,
            room: counter(
                "tinbay_room_total",
                "Requests of client accounts that asked for scarce room, by what became of them",
                &["account", "outcome"],
            )?,
            held_bytes,
            slow_cuts: counter(
                "tinbay_slow_caller_cuts_total",
                "Answers cut as their callers did not keep up",
                &["cause"],
            )?,
            memory_refusals: counter(
                "tinbay_memory_refusals_total",
                "Requests turned away for memory",
                &["short"],
            )?,
            beliefs,
            store_returns,
            registry,
        })
    }

    /// Counts what the limit of a server decided.
    pub fn count_server_limit(&self, outcome: &str) {
        self.server_limits.with_label_values(&[outcome]).inc();
    }

    /// Counts what the limit of a client account decided; accounts beyond some are shown together.
    pub fn count_limit(&self, account: &str, outcome: &str) {
        let labels = [self.accounts.label(account), outcome];
        self.account_limits.with_label_values(&labels).inc();
    }

    /// Counts what became of a request that asked for scarce room.
    pub fn count_room(&self, account: &str, outcome: &str) {
        let labels = [self.accounts.label(account), outcome];
        self.room.with_label_values(&labels).inc();
    }

    /// Counts an answer that came whole; accounts beyond some are shown together.
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

    /// All measures as text.
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
