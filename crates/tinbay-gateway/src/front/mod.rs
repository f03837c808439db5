//! Takes callers' requests and brings them their answers.

pub mod adapters;
pub mod attempt;
pub mod choice;
pub mod deliver;
pub mod filters;
pub mod headers;
pub mod listener;
pub mod question;
pub mod refusal;
pub mod request_log;
pub mod slow_callers;
