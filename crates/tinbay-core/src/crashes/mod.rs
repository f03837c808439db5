//! Requests under which servers crash: told apart, counted over servers, and refused in the end.

pub mod digest;
