//! Fleet-wide rate limits: of client accounts, as operators configure them, and of servers, as
//! announced in their answers. A limit applies to the sum over all boxes, also when some of these
//! can't reach each other.
//!
//! One box, the home of a limit, grants units to all others. A box that can't reach the home uses
//! its own share of the limit. Three other fleet-wide budgets do not use this module, as they need
//! no distribution of units: hedged requests are bounded relative to each box's own requests, loads
//! of base models by a quota of the box that holds the server, and store calls by the small number
//! of boxes that read the store for the others.
//!
//! No I/O, and no clock: callers pass the time in.

pub mod bucket;
pub mod denied;
pub mod home;
pub mod retry_times;
pub mod share;
pub mod terms;
