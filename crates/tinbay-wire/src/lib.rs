//! Messages between callers, boxes, engines, operators and the platform.
//!
//! This crate has only the message types; the programs that send them choose the transport.

pub mod admin;
pub mod box_list;
pub mod completion;
pub mod control;
pub mod engine;
pub mod error_body;
pub mod etcd;
pub mod forward;
pub mod headers;
pub mod locate;
