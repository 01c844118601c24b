//! Tests over the built programs, run as separate processes on loopback.

mod checker;
mod cuts;
mod end_to_end;
mod failures;
mod fleet;
mod histories;
mod keys;
mod operators;
mod platform;
mod refusals;
mod support;
