//! What a box measures of the answers it passes on.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};
use tinbay_core::serving::lateness::Lateness;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use crate::error::GatewayError;
use crate::shown_labels::ShownLabels;

/// Bounds in seconds of first pieces, around objectives of 150 ms to a second.
const FIRST_PIECE_BOUNDS: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.0, 2.0, 5.0];

/// Bounds in seconds of pauses, around objectives of 100 ms to half a second.
const PAUSE_BOUNDS: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0];

/// Services that are shown one by one.
const MOST_SERVICES_SHOWN: usize = 64;

/// Label of all other services.
const OTHER_SERVICES: &str = "(others)";

/// What is measured of one answer that came whole.
#[derive(Debug, Clone, Copy)]
pub struct MeasuredAnswer<'a> {
    /// Kind of its route.
    pub kind: &'a str,
    /// Service that gave it.
    pub service: &'a str,
    /// Its client account, if it has one.
    pub account: Option<&'a str>,
    /// Time to its first piece, if it has one.
    pub first_piece_ms: Option<Millis>,
    /// Longest pause between its pieces, if it is a stream of several.
    pub longest_pause_ms: Option<Millis>,
    /// Time in which the caller's side asked for nothing, if it has a first piece.
    pub untaken_ms: Option<Millis>,
    /// Whether it was late.
    pub lateness: Lateness,
}

/// The measures of answers.
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
    /// New measures, all zero, shown by `registry`.
    ///
    /// # Errors
    /// When a measure's name is taken.
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
                &FIRST_PIECE_BOUNDS,
            )?,
            longest_pause_seconds: histogram(
                "tinbay_longest_pause_seconds",
                "Longest pause of a whole stream",
                &PAUSE_BOUNDS,
            )?,
            untaken_seconds: histogram(
                "tinbay_untaken_seconds",
                "Time of a whole answer in which the caller's side asked for nothing",
                &PAUSE_BOUNDS,
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
            services: ShownLabels::new(MOST_SERVICES_SHOWN, OTHER_SERVICES),
        })
    }

    /// Counts an answer that came whole; `account_label` stands for its client account.
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
