//! Admission control of a server at capacity, with fair sharing among client accounts.
//!
//! While a server has free slots, boxes send it requests without admission. Once all slots are
//! taken, the box that holds the server admits requests one by one. Each client account gets
//! its weighted share of the tokens that the server processes, whatever the load of the others;
//! what an account leaves unused goes to the others at once. Within an account, requests of
//! better rank go first. A request that can't start in time is rejected at once, with a retry
//! time.
//!
//! No I/O, and no clock: callers pass the time in.

pub mod accounts;
pub mod admission;
pub mod order;
pub mod places;
pub mod returns;
pub mod scarcity;
pub mod weights;
