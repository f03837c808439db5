//! Names of the HTTP headers tinbay reads and sets.

/// The request key a caller got from locate.
pub const KEY: &str = "x-tinbay-key";
/// The priority class of a request; `class` in the body does the same.
pub const CLASS: &str = "x-tinbay-class";
/// The first position of the answer a resuming caller still needs.
pub const RESUME_FROM: &str = "x-tinbay-resume-from";
/// Fence of an order to an engine, `epoch.rank.incarnation`.
pub const FENCE: &str = "x-tinbay-fence";
/// Identifies a request through the logs of every box it passes.
pub const REQUEST_ID: &str = "x-request-id";
/// The box that ran the request, in answers.
pub const BOX: &str = "x-tinbay-box";
/// The engine that ran the request, in answers.
pub const ENGINE: &str = "x-tinbay-engine";
/// Time the request waited for its adapter to be loaded, in answers.
pub const STALL_MS: &str = "x-tinbay-stall-ms";
/// Time the request waited in all before it started, in answers.
pub const QUEUE_MS: &str = "x-tinbay-queue-ms";
/// Wait the owner expects for the next request of that rank, in answers between boxes.
pub const EXPECTED_WAIT_MS: &str = "x-tinbay-expected-wait-ms";
/// How an attempt ended, in answers of plain services' stand-ins and between boxes.
pub const NOT_RUN: &str = "x-tinbay-not-run";
