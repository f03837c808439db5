//! Prometheus metrics of a box, served under `/metrics`.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets in seconds, with a bound at the promised 0.8 s to the first token.
const SECONDS_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 30.0,
];

/// The metrics of one box.
pub struct Metrics {
    registry: Registry,
    /// Requests by class and outcome.
    pub requests: IntCounterVec,
    /// Time a request waited for its adapter to be loaded, by class.
    pub stall_seconds: HistogramVec,
    /// Time a request waited before it started, by class.
    pub queue_seconds: HistogramVec,
    /// Time to the first token, by class.
    pub first_token_seconds: HistogramVec,
    /// Retries, by class.
    pub retries: IntCounterVec,
    /// Orders to engines, by kind and outcome.
    pub orders: IntCounterVec,
    /// Calls to the key-value service, by kind and outcome.
    pub kv_calls: IntCounterVec,
    /// Run-time failures of policy programs, by policy.
    pub policy_failures: IntCounterVec,
    /// Requests accepted from callers and from other boxes.
    pub work: IntCounter,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Configuration revision in force at this box.
    pub config_revision: IntGauge,
    /// Bytes of control messages sent and received.
    pub control_bytes: IntGauge,
    /// Number of boxes known, this one included.
    pub boxes: IntGauge,
    /// Number of engines that this box owns.
    pub engines_owned: IntGauge,
}

impl Metrics {
    /// Registers all metrics, each at zero.
    ///
    /// # Errors
    /// Returns an error if two metrics share a name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self {
            requests: counter(
                &registry,
                "tinbay_requests_total",
                "Requests by outcome",
                &["class", "outcome"],
            )?,
            stall_seconds: histogram(
                &registry,
                "tinbay_load_stall_seconds",
                "Wait for the adapter to be loaded",
            )?,
            queue_seconds: histogram(
                &registry,
                "tinbay_queue_seconds",
                "Wait before a request starts",
            )?,
            first_token_seconds: histogram(
                &registry,
                "tinbay_first_token_seconds",
                "Time to the first token",
            )?,
            retries: counter(
                &registry,
                "tinbay_retries_total",
                "Further attempts",
                &["class"],
            )?,
            orders: counter(
                &registry,
                "tinbay_orders_total",
                "Orders to engines",
                &["kind", "outcome"],
            )?,
            kv_calls: counter(
                &registry,
                "tinbay_kv_calls_total",
                "Calls on the key-value service",
                &["kind", "outcome"],
            )?,
            policy_failures: counter(
                &registry,
                "tinbay_policy_failures_total",
                "Policies that failed when run",
                &["policy"],
            )?,
            work: unlabelled_counter(
                &registry,
                "tinbay_work_total",
                "Requests taken from callers and other boxes",
            )?,
            in_progress: gauge(
                &registry,
                "tinbay_requests_in_progress",
                "Requests in progress",
            )?,
            config_revision: gauge(
                &registry,
                "tinbay_config_revision",
                "Configuration revision in force",
            )?,
            control_bytes: gauge(
                &registry,
                "tinbay_control_bytes",
                "Bytes of control messages sent and received",
            )?,
            boxes: gauge(&registry, "tinbay_boxes_known", "Boxes known")?,
            engines_owned: gauge(&registry, "tinbay_engines_owned", "Engines owned")?,
            registry,
        })
    }

    /// Renders the metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn unlabelled_counter(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let histogram = HistogramVec::new(options, &["class"])?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
