//! The real program before stand-ins of the platform; the cases spell the platform's names
//! and so stand in its folder.

#[path = "../../../platform/cases/mod.rs"]
mod cases;
