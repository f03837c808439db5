//! Metrics of the answers that a box forwards from servers to callers.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};
use tinbay_core::serving::lateness::Lateness;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use crate::error::GatewayError;
use crate::shown_labels::ShownLabels;

/// Histogram buckets in seconds for the time to the first chunk, for objectives of 150 ms to 1 s.
const FIRST_CHUNK_BUCKETS_SECONDS: [f64; 10] =
    [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.0, 2.0, 5.0];

/// Histogram buckets in seconds for pauses, for objectives of 100 ms to 500 ms.
const PAUSE_BUCKETS_SECONDS: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0];

/// Maximum number of services that get a label value of their own.
const MAX_SERVICE_LABELS: usize = 64;

/// Label value for all other services.
const OTHER_SERVICES: &str = "(others)";

/// Measured values of one complete answer.
#[derive(Debug, Clone, Copy)]
pub struct MeasuredAnswer<'a> {
    /// Kind of the request's route.
    pub kind: &'a str,
    /// Service that answered.
    pub service: &'a str,
    /// Client account of the request, if it has one.
    pub account: Option<&'a str>,
    /// Time to the first chunk; absent for an answer without a body.
    pub first_piece_ms: Option<Millis>,
    /// Longest pause between two chunks; absent for fewer than two.
    pub longest_pause_ms: Option<Millis>,
    /// Time during which the caller's side did not poll for data; absent for an answer without a
    /// body.
    pub untaken_ms: Option<Millis>,
    /// Which objective the answer missed, if any.
    pub lateness: Lateness,
}

/// Histograms and counters of complete answers.
#[derive(Debug)]
pub struct AnswerMetrics {
    first_piece_seconds: HistogramVec,
    longest_pause_seconds: HistogramVec,
    untaken_seconds: HistogramVec,
    answers: IntCounterVec,
    account_answers: IntCounterVec,
    services: ShownLabels,
}

impl AnswerMetrics {
    /// Creates the metrics and registers them with `registry`.
    ///
    /// # Errors
    /// When a metric of the same name is registered already.
    pub fn new(registry: &Registry) -> Result<Self, GatewayError> {
        let histogram = |name: &str, help: &str, bounds: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            let histogram = HistogramVec::new(options, &["kind", "service"])?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, GatewayError>(histogram)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, GatewayError>(counter)
        };
        Ok(Self {
            first_piece_seconds: histogram(
                "tinbay_first_piece_seconds",
                "Time to the first piece of a whole answer",
                &FIRST_CHUNK_BUCKETS_SECONDS,
            )?,
            longest_pause_seconds: histogram(
                "tinbay_longest_pause_seconds",
                "Longest pause of a whole stream",
                &PAUSE_BUCKETS_SECONDS,
            )?,
            untaken_seconds: histogram(
                "tinbay_untaken_seconds",
                "Time of a whole answer in which the caller's side asked for nothing",
                &PAUSE_BUCKETS_SECONDS,
            )?,
            answers: counter(
                "tinbay_answers_total",
                "Whole answers, by whether they were late",
                &["kind", "service", "lateness"],
            )?,
            account_answers: counter(
                "tinbay_account_answers_total",
                "Whole answers of client accounts, by whether they were late",
                &["account", "lateness"],
            )?,
            services: ShownLabels::new(MAX_SERVICE_LABELS, OTHER_SERVICES),
        })
    }

    /// Records a complete answer; `account_label` is the label of its client account.
    pub fn count(&self, answer: &MeasuredAnswer<'_>, account_label: Option<&str>) {
        let service = self.services.label(answer.service);
        let labels = [answer.kind, service];
        let observe = |times: &HistogramVec, time_ms: Option<Millis>| {
            if let Some(time_ms) = time_ms {
                times.with_label_values(&labels).observe(seconds(time_ms));
            }
        };
        observe(&self.first_piece_seconds, answer.first_piece_ms);
        observe(&self.longest_pause_seconds, answer.longest_pause_ms);
        observe(&self.untaken_seconds, answer.untaken_ms);
        let lateness = answer.lateness.name();
        self.answers
            .with_label_values(&[answer.kind, service, lateness])
            .inc();
        if let Some(account_label) = account_label {
            self.account_answers
                .with_label_values(&[account_label, lateness])
                .inc();
        }
    }
}

fn seconds(time_ms: Millis) -> f64 {
    time_ms as f64 / MS_PER_SECOND as f64
}
