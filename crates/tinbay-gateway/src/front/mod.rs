//! Accepts callers' requests, sends them to backend servers and relays the answers.

pub mod adapters;
pub mod admission;
mod answer_head;
pub mod answer_timing;
pub mod attempt;
pub mod choice;
mod close_judge;
pub mod deliver;
pub mod filters;
pub mod forward;
pub mod handover;
pub mod headers;
pub mod hedge;
pub mod inbound;
pub mod listener;
mod prefill_choice;
pub mod refusal;
pub mod request_log;
pub mod retry_budget;
pub mod slow_callers;
