//! Small stand-ins of the outside systems, for tests, measurements and the
//! demo. Each serves its published protocol on a thread of its own and can be
//! told to fail.

mod engine;
mod load;
mod platform;
mod ports;
mod process;
mod relay;
mod server;
mod service;
mod site;

pub use engine::Engine;
pub use engine::EngineConfig;
pub use engine::EngineLedger;
pub use engine::EngineOrder;
pub use engine::SeenPrefixes;
pub use load::LoadClass;
pub use load::LoadRecord;
pub use load::LoadWork;
pub use load::TierSummary;
pub use load::run_load;
pub use load::summarise;
pub use platform::Platform;
pub use platform::PlatformFaults;
pub use ports::Ports;
pub use process::Launcher;
pub use process::Process;
pub use process::run_daemon_if_asked;
pub use relay::Relay;
pub use service::Service;
pub use service::ServiceLedger;
pub use site::Site;
pub use site::SiteSpec;
pub use site::key_digest;
pub use site::metrics;
pub use site::wait_until_ready;
