//! Handover of running streams: one engine prefills a prompt, another one decodes the answer.
//!
//! An engine prefills prompts in chunks, interleaved with the decoding of its running requests.
//! Where such chunks take long compared with the pause that callers tolerate, streams at engines
//! with much prefill work pause for too long, however early they began. Then some engines of a
//! service prefill for the others, and a run is handed over to another engine after its first
//! event.
//!
//! Like the rest of the core this does no I/O and reads no clock.

pub mod events;
pub mod need;
pub mod prefill_limit;
pub mod roles;
pub mod transitions;
