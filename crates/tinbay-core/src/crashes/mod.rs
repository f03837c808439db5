//! Requests under which servers crash: told apart, counted over servers, and refused in the end.
//!
//! A server that crashes cuts all requests that it runs, and each of them may be the cause. Each box
//! tells the crashes that it saw to the few boxes that judge a request, drawn by its digest. A
//! request under which several servers crashed, none of them restarted or mistaken for another,
//! is held in quarantine, and all boxes are told. A box that has seen the same request end well does
//! not hold it for a cause.

pub mod digest;
pub mod ledger;
pub mod proven;
pub mod quarantine;
