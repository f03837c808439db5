//! Bounds on the memory that a box uses for requests and answers.
//!
//! Slow callers and slow servers leave data buffered in the box. [`ledger`] bounds the total,
//! [`reader`] aborts the answer of a single caller that reads too slowly, [`cuts`] selects answers
//! to abort when many callers are slow, and [`waiting`] bounds the requests sent to a server that
//! does not read them.

pub mod cuts;
pub mod ledger;
pub mod reader;
pub mod terms;
pub mod waiting;
