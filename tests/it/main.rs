//! Tests over the built programs, run as separate processes on loopback.

mod end_to_end;
mod failures;
mod refusals;
mod support;
