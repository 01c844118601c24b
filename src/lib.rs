//! almondramp: a request scheduler for unlike upstreams.

pub mod agent;
pub mod agent_client;
pub mod apply;
pub mod burn;
pub mod burn_report;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod current;
pub mod daemon;
pub mod desk;
pub mod dispatch;
pub mod entry;
pub mod exit_codes;
pub mod handshake;
pub mod headers;
pub mod health;
pub mod holding;
pub mod host_list;
pub mod http_client;
pub mod http_server;
pub mod ids;
pub mod kernel;
pub mod lease;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod name;
pub mod object_store;
pub mod operator;
pub mod outcome;
pub mod pace;
pub mod prefix;
pub mod programs;
pub mod queue;
pub mod routing;
pub mod settings;
pub mod settings_service;
pub mod site_key;
pub mod stored_settings;
mod strict_connector;
pub mod subset;
pub mod ticket;
pub mod units;
pub mod usage;
pub mod wire;

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[rustfmt::skip]
#[path = "wire/almondramp_capnp.rs"]
pub mod almondramp_capnp;
