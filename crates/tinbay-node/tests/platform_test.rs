//! Tests of the real program against stand-ins of the platform. They are kept in the platform's
//! directory because they use its names.

#[path = "../../../platform/cases/mod.rs"]
mod cases;
