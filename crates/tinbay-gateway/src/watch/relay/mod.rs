//! Boxes that read the store pass on what they see to those that ask.

pub mod answer;
pub mod ask;
pub mod draw;
pub mod message;

pub use answer::answer;
pub use ask::{RelayBox, RelayError, ask_kept, ask_list, ask_watch, log_failure};
pub use draw::{Relays, relays};

/// Path where a box passes on what it sees of the store.
pub const PATH: &str = "/relay";
