//! almondramp: a request scheduler for upstreams of different kinds.
//!
//! The modules, in the order in which a request passes through them:
//!
//! 1. [`programs`], [`cli`] and [`config`] start a daemon. [`daemon`] runs the
//!    services of its [`kernel`] until a signal stops it, and [`event_loop`] logs when
//!    it ran nothing for long.
//! 2. [`entry`] receives the request through [`http_server`] and reads it
//!    according to its [`dialect`]; the built-in dialect is [`openai`].
//!    [`held_requests`] limits the number of requests at the entry, [`quota`]
//!    enforces the quota of the organisation, and [`claims`] reserves the
//!    idempotency key.
//! 3. [`routing`] orders the upstreams of the [`directory`] that the entry uses: its [`subset`]
//!    and, where few of that can run the request, [`spare_links`]. [`dispatch`] decides
//!    which schedulers are offered a [`ticket`] and which grant is accepted.
//!    [`admission`] refuses requests without offering them where the recent waits
//!    or lasting overload show that they would wait in vain.
//! 4. A [`scheduler`] keeps waiting tickets in its [`queue`] and decides which are
//!    granted. It uses the measured [`pace`] of the upstream, the [`tier_load`]
//!    and the [`prefix`] chunks expected to be in the engine's cache. The
//!    scheduler runs in the [`agent`] of the upstream, which the entry reaches
//!    over [`wire`] after a [`handshake`] with the [`site_key`], or in the entry
//!    itself, as a local scheduler.
//! 5. The entry sends the [`upstream_request`] to the upstream through an
//!    [`exchange`] and forwards the answer, if it is the upstream's own by its
//!    [`answer_verdict`]. [`events`] finds the position at which
//!    an interrupted stream resumes at another upstream, [`completeness`]
//!    whether an answer was broken off, and [`silence`] whether nothing comes any
//!    more. An [`upstream_notice`] is what an upstream says of itself: [`departures`] holds
//!    the upstreams that leave, [`hold_offs`] those that want no requests for a time, and
//!    [`rate_limits`] the limits that they name. [`retry_budget`]
//!    limits retries, and [`outlier`] excludes upstreams that fail their requests.
//! 6. The entry reads the [`usage`] from the answer, reports it to the scheduler
//!    and counts the [`outcome`] in [`metrics`] and [`burn`].
//!
//! Modules outside this path: entries know each other by their [`peer_table`]
//! and inform each other by [`gossip`], by which they agree on the share of a new
//! version in a [`rollout`], and by which [`zone_balance`] learns the load of other zones.
//! [`stream_origins`] knows which software version began a stream, and [`stream_holders`]
//! which processes keep that; they exchange signed messages ([`datagram`]). [`stream_archive`]
//! keeps it in the store for the end of all processes, and [`version_view`] tells whether an
//! entry that has started knows all versions.
//! [`settings`] are merged and checked, stored as
//! [`stored_settings`] in the [`object_store`], changed by [`apply`], loaded by
//! [`settings_service`] and active as [`active_settings`]; long work on them is done in
//! [`pieces`]. On a platform, [`discovery`] fetches settings and upstreams, and
//! [`registrations`] tracks which upstreams are present. [`membership`] derives the leaving hosts and the
//! watchers of the platform from the [`host_list`]. A [`lease`] protects orders to
//! engines with a fencing number. [`operator`] is the operators' program, with
//! [`burn_report`], [`config_review`] and [`explain`].

pub mod active_settings;
pub mod admission;
pub mod agent;
pub mod agent_client;
pub mod answer_buffer;
pub mod answer_verdict;
pub mod apply;
pub mod burn;
pub mod burn_report;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod completeness;
pub mod config;
pub mod config_review;
pub mod crash_suspects;
pub mod daemon;
pub mod datagram;
pub mod departures;
pub mod dialect;
pub mod directory;
pub mod discovery;
pub mod dispatch;
pub mod early_ends;
pub mod entry;
pub mod event_loop;
pub mod events;
pub mod exchange;
pub mod exit_codes;
pub mod explain;
pub mod gossip;
pub mod handshake;
pub mod headers;
pub mod health;
pub mod held_requests;
pub mod hold_offs;
pub mod host_list;
pub mod http_client;
pub mod http_server;
pub mod ids;
pub mod kernel;
pub mod lease;
pub mod log;
pub mod membership;
pub mod memory_budget;
pub mod metrics;
pub mod name;
pub mod object_store;
pub mod openai;
pub mod operator;
pub mod outcome;
pub mod outlier;
pub mod pace;
pub mod pacer;
pub mod peer_table;
pub mod pieces;
pub mod prefix;
pub mod programs;
pub mod progress;
pub mod prompt;
pub mod prompt_parts;
pub mod queue;
pub mod quota;
pub mod rate_limits;
pub mod registrations;
pub mod reply_timeout;
pub mod retry_budget;
pub mod rollout;
pub mod routing;
pub mod scheduler;
pub mod settings;
pub mod settings_service;
pub mod silence;
pub mod site_key;
pub mod spare_links;
pub mod stored_settings;
pub mod stream_archive;
pub mod stream_holders;
pub mod stream_origins;
mod strict_connector;
pub mod subset;
pub mod ticket;
pub mod tier_load;
pub mod units;
pub mod upstream_load;
pub mod upstream_notice;
pub mod upstream_request;
pub mod usage;
pub mod version_view;
pub mod wire;
pub mod zone_balance;

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[rustfmt::skip]
#[path = "wire/almondramp_capnp.rs"]
pub mod almondramp_capnp;
