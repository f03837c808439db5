//! Limits over all boxes: of client accounts, as operators configure them, and of servers, as these name
//! them in their answers. A limit binds the sum over boxes, however these know each other.
//!
//! One box, the home of a limit, deals its units to all others; a box that finds no home lives on a share
//! of its own. Other sums over boxes stay apart, as nothing is to be dealt there: second sends follow each
//! box's own first sends, loads of base models whole quotas that change with the holders of servers, and
//! calls to the store are limited by the few boxes that read it for the others.
//!
//! Like the rest of the core this does no I/O and reads no clock.

pub mod bucket;
pub mod denied;
pub mod home;
pub mod share;
pub mod terms;
pub mod turns;
