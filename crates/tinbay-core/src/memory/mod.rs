//! What a box may hold for requests and answers, and who gives way when that is much.
//!
//! Callers who read slowly and servers that read slowly leave bytes with the box. Each part here
//! answers one load: [`ledger`] a sum that grows towards the box's memory, [`reader`] one caller
//! who reads nothing or hardly anything, [`cuts`] many of them at once, [`waiting`] a server that
//! takes requests and reads none of them.

pub mod cuts;
pub mod ledger;
pub mod reader;
pub mod terms;
pub mod waiting;
