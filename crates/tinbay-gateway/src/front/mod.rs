//! Takes callers' requests and brings them their answers.

pub mod adapters;
pub mod answer_sight;
mod apart;
pub mod attempt;
pub mod choice;
pub mod deliver;
pub mod filters;
pub mod headers;
pub mod hedge;
pub mod listener;
pub mod moving;
pub mod question;
pub mod refusal;
pub mod request_log;
pub mod room;
pub mod slow_callers;
