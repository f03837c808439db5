//! Scarce room of a server, shared among client accounts.
//!
//! While a server has places, requests go to it as they come. Once its places are taken, the box that holds
//! the server lets requests in one by one: each client account gets its part of what the server reads and
//! makes, whatever others ask for, and what an account leaves goes to the others at once. Within an account
//! the urgent go first, and what can't begin in time is refused at once with a time to come back.
//!
//! Like the rest of the core this does no I/O and reads no clock.

pub mod accounts;
pub mod order;
pub mod places;
pub mod returns;
pub mod room;
pub mod scarcity;
pub mod weights;
