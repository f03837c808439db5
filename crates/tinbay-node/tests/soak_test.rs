//! Soak test: runs several box processes, injects faults and checks the guarantees by what callers
//! and servers recorded. Its code is in the platform's folder, as it uses the platform's names.

#[path = "../../../platform/soak/mod.rs"]
mod soak;
