//! Hand-over of running streams: one engine reads a prompt, another one makes the rest of the answer.
//!
//! An engine reads prompts in pieces, between the tokens of the requests that run there. Where such
//! pieces are long against the pause that callers bear, streams at engines that read much are late by
//! a pause, however early they began. Then some engines of a service read for the others, and a run
//! moves to another engine after its first event.
//!
//! Like the rest of the core this does no I/O and reads no clock.

pub mod course;
pub mod events;
pub mod need;
pub mod reading_room;
pub mod roles;
