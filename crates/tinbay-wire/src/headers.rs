//! Names of the HTTP headers that tinbay reads and sets.

/// The request key that a caller received from `GET /v1/locate`.
pub const KEY: &str = "x-tinbay-key";
/// The priority class of a request, equivalent to `class` in the body.
pub const CLASS: &str = "x-tinbay-class";
/// The first position of the response that a resuming caller still needs.
pub const RESUME_FROM: &str = "x-tinbay-resume-from";
/// Fence of an order to an engine, `epoch.rank.incarnation`.
pub const FENCE: &str = "x-tinbay-fence";
/// Id of a request in the logs of every box that handles it.
pub const REQUEST_ID: &str = "x-request-id";
/// The box that ran the request, in responses.
pub const BOX: &str = "x-tinbay-box";
/// The engine that ran the request, in responses.
pub const ENGINE: &str = "x-tinbay-engine";
/// Time that the request waited for its adapter to be loaded, in responses.
pub const STALL_MS: &str = "x-tinbay-stall-ms";
/// Total time that the request waited before it started, in responses.
pub const QUEUE_MS: &str = "x-tinbay-queue-ms";
/// Wait that the owner expects for the next request of that rank, in responses between boxes.
pub const EXPECTED_WAIT_MS: &str = "x-tinbay-expected-wait-ms";
/// How an attempt ended, in responses of plain services' stand-ins and between boxes.
pub const NOT_RUN: &str = "x-tinbay-not-run";
