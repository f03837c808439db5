//! Handover of a run, the generation of one answer, from the server that prefilled its prompt to
//! another that decodes, within one stream to the caller.
//!
//! The engines of a service are split into prefill engines, which prefill prompts for the others,
//! and decode engines. All boxes derive the same split from the list of servers. Each box decides
//! by its own streams whether a split is needed, and hands over the runs of its own requests. Boxes
//! share no state and send no messages for it: the requests of a box that fails end with it, and
//! servers free the copies of runs that are not resumed.

pub mod drive;
pub mod event_gate;
pub mod split;
