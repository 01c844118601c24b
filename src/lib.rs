//! almondramp: a request scheduler for unlike upstreams.
//!
//! A request meets the modules in this order:
//!
//! 1. [`programs`], [`cli`] and [`config`] start a daemon; [`daemon`] runs the
//!    services of its [`kernel`] until it is told to stop.
//! 2. [`entry`] takes the request in over [`http_server`]. [`holding`] says
//!    whether there is room, [`claims`] whether its idempotency key is free.
//! 3. [`routing`] orders the upstreams among those of the [`subset`] that the
//!    entry is connected to; [`dispatch`] decides which agent gets a
//!    [`ticket`] and which grant is accepted.
//! 4. [`wire`] carries messages to the [`agent`] and back, after a
//!    [`handshake`] with the [`site_key`].
//! 5. At the agent [`desk`] decides who waits in the [`queue`] and who is
//!    granted room, by the measured [`pace`] and the [`prefix`] chunks that
//!    the engine is believed to hold.
//! 6. The agent calls the upstream by [`http_client`], reads its [`usage`] and
//!    streams the answer back; the entry counts the [`outcome`] in [`metrics`]
//!    and [`burn`].
//!
//! Beside that way: [`settings`] are merged and checked, kept as
//! [`stored_settings`] in the [`object_store`], changed by [`apply`], brought
//! in by [`settings_service`] and in force as [`current`]. [`membership`]
//! reads the [`host_list`]; a [`lease`] covers orders to engines. [`operator`]
//! is the operators' program, with the [`burn_report`].

pub mod agent;
pub mod agent_client;
pub mod apply;
pub mod burn;
pub mod burn_report;
pub mod call;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod current;
pub mod daemon;
pub mod desk;
pub mod dialect;
pub mod directory;
pub mod discovery;
pub mod dispatch;
pub mod entry;
pub mod events;
pub mod exchange;
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
pub mod openai;
pub mod operator;
pub mod outcome;
pub mod outlier;
pub mod pace;
pub mod prefix;
pub mod presence;
pub mod pressure;
pub mod programs;
pub mod prompt;
pub mod queue;
pub mod quota;
pub mod retry_budget;
pub mod routing;
pub mod settings;
pub mod settings_service;
pub mod site_key;
pub mod stored_settings;
mod strict_connector;
pub mod subset;
pub mod taken;
pub mod ticket;
pub mod units;
pub mod usage;
pub mod wire;

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[rustfmt::skip]
#[path = "wire/almondramp_capnp.rs"]
pub mod almondramp_capnp;
