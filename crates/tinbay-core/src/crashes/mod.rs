//! Detection and quarantine of requests that crash servers.
//!
//! When a server crashes, each of its running requests may be the cause. Every box reports the
//! crashes that it saw to a few boxes, chosen by the digest of the request, which count them. A
//! request that was running in several crashes is quarantined, and all boxes are notified. Planned
//! restarts and servers mistaken for another one do not count. A box that has seen the same request
//! succeed does not suspect it.
//!
//! The cause may also be what many different requests share; [`parts`] looks for it among the parts
//! of prompts.

pub mod digest;
pub mod ledger;
pub mod parts;
pub mod proven;
pub mod quarantine;
