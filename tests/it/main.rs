//! Integration tests that run the built programs as processes on loopback.

mod checker;
mod cuts;
mod early_answers;
mod end_to_end;
mod endless;
mod endless_agents;
mod failures;
mod fleet;
mod histories;
mod keys;
mod limits;
mod operators;
mod platform;
mod refusals;
mod spare_links;
mod support;
mod truncation;
mod versions;
mod zones;
