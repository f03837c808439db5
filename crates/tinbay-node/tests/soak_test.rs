//! Many boxes as real processes, with faults from outside, and the promises checked by what
//! callers and servers saw; it spells the platform's names and so stands in its folder.

#[path = "../../../platform/soak/mod.rs"]
mod soak;
