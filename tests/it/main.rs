//! Tests over the built programs, run as separate processes on loopback.

mod cuts;
mod end_to_end;
mod failures;
mod keys;
mod operators;
mod platform;
mod refusals;
mod support;
