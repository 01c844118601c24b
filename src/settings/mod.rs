//! Settings of operators: a folder of TOML files, merged in the order of their
//! names and validated as a whole.

mod build;
mod check;
mod delta;
mod error;
mod file_sections;
mod merge;
mod model;
mod routes;
mod show;
#[cfg(test)]
mod tests;

pub use build::BuiltSettings;
pub use build::SettingsBuild;
pub use delta::Delta;
pub use error::Problem;
pub use error::Reason;
pub use error::SettingsError;
pub use merge::Document;
pub use merge::File;
pub use merge::FolderContents;
pub use merge::MergedFiles;
pub(crate) use merge::join;
pub use model::Fencing;
pub use model::HEAD_LIMITS;
pub use model::Limits;
pub use model::MAX_BODY_BYTES;
pub use model::Organisation;
pub use model::Policy;
pub use model::QuotaRate;
pub use model::QuotaUnit;
pub use model::Route;
pub use model::RouteKind;
pub use model::Service;
pub use model::Settings;
pub use model::Tier;
pub use model::Upstream;
pub use model::UpstreamKind;
pub use model::ZoneBalancing;
pub use routes::Routes;
pub use show::Change;
pub use show::diff;
pub use show::show;
