//! almondramp: a request scheduler for unlike upstreams.
//!
//! A request meets the modules in this order:
//!
//! 1. [`programs`], [`cli`] and [`config`] start a daemon; [`daemon`] runs the
//!    services of its [`kernel`] until it is told to stop.
//! 2. [`entry`] takes the request in over [`http_server`] and reads it by its
//!    [`dialect`], the product's own being [`openai`]. [`held_requests`]
//!    says whether there is room, [`quota`] whether its organisation may,
//!    [`claims`] whether its idempotency key is free.
//! 3. [`routing`] orders the upstreams of the [`directory`]; [`dispatch`]
//!    decides which scheduler gets a [`ticket`] and which grant is accepted.
//!    [`wait_cache`] spares asking where the answer is known.
//! 4. A [`scheduler`] decides who waits in the [`queue`] and who is granted room,
//!    by the measured [`pace`], by the [`tier_load`] and by the [`prefix`] chunks
//!    that the engine is believed to hold. It is the [`agent`]'s, reached
//!    by [`wire`] after a [`handshake`] with the [`site_key`], or the entry's own.
//! 5. The entry sends the request to the upstream by an [`exchange`] and passes
//!    the answer on; [`events`] tell where a stream goes on elsewhere.
//!    [`retry_budget`] and [`outlier`] say whether and where.
//! 6. The entry reads the answer's [`usage`], tells the scheduler, and counts the
//!    [`outcome`] in [`metrics`] and [`burn`].
//!
//! Beside that way: [`settings`] are merged and checked, kept as
//! [`stored_settings`] in the [`object_store`], changed by [`apply`], brought
//! in by [`settings_service`] and in force as [`active_settings`]. On a
//! platform [`discovery`] brings in settings and upstreams, of which
//! [`registrations`] says who is there. [`membership`] reads the [`host_list`];
//! a [`lease`] covers orders to engines. [`operator`] is the operators' program,
//! with the [`burn_report`].

pub mod active_settings;
pub mod agent;
pub mod agent_client;
pub mod apply;
pub mod burn;
pub mod burn_report;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod dialect;
pub mod directory;
pub mod discovery;
pub mod dispatch;
pub mod entry;
pub mod events;
pub mod exchange;
pub mod exit_codes;
pub mod explain;
pub mod handshake;
pub mod headers;
pub mod health;
pub mod held_requests;
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
pub mod programs;
pub mod progress;
pub mod prompt;
pub mod queue;
pub mod quota;
pub mod registrations;
pub mod retry_budget;
pub mod routing;
pub mod scheduler;
pub mod settings;
pub mod settings_service;
pub mod site_key;
pub mod stored_settings;
mod strict_connector;
pub mod subset;
pub mod throttle;
pub mod ticket;
pub mod tier_load;
pub mod units;
pub mod upstream_request;
pub mod usage;
pub mod wait_cache;
pub mod wire;

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[rustfmt::skip]
#[path = "wire/almondramp_capnp.rs"]
pub mod almondramp_capnp;
