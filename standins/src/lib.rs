//! Small stand-ins for external systems, used by tests, measurements and the
//! demo. Each serves its published protocol on its own thread and can inject
//! faults.

mod endless_upstream;
mod engine;
mod impatient_upstream;
mod listener;
mod load;
mod paced_upstream;
mod platform;
mod ports;
mod process;
mod raw_upstream;
mod relay;
mod server;
mod service;
mod site;
mod slow_upstream;

pub use endless_upstream::EndlessUpstream;
pub use engine::Engine;
pub use engine::EngineConfig;
pub use engine::EngineOrder;
pub use engine::EngineStats;
pub use engine::SeenPrefixes;
pub use impatient_upstream::ImpatientUpstream;
pub use listener::close_listener;
pub use load::LoadClass;
pub use load::LoadRecord;
pub use load::LoadSummary;
pub use load::LoadWork;
pub use load::run_load;
pub use load::summarise;
pub use paced_upstream::PacedUpstream;
pub use platform::Platform;
pub use platform::PlatformFaults;
pub use ports::Ports;
pub use process::Launcher;
pub use process::Process;
pub use process::run_daemon_if_requested;
pub use raw_upstream::ConnectionEnd;
pub use raw_upstream::header;
pub use raw_upstream::read_request;
pub use raw_upstream::start_raw_upstream;
pub use relay::Relay;
pub use service::Service;
pub use service::ServiceStats;
pub use site::Site;
pub use site::SiteSpec;
pub use site::key_digest;
pub use site::metrics;
pub use site::wait_until_ready;
pub use slow_upstream::SlowUpstream;
