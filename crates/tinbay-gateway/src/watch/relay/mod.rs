//! Relays: boxes that read the store and pass its content on to the boxes that ask them.

pub mod answer;
pub mod ask;
pub mod message;
pub mod selection;

pub use answer::answer;
pub use ask::{
    RelayBox, RelayError, log_failure, request_changes, request_kept_items, request_listing,
};
pub use selection::{Relays, relays};

/// HTTP path of relay requests.
pub const PATH: &str = "/relay";
