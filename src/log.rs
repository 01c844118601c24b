//! Structured logs on standard error.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::o;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A logger for the process named `name` in `format`.
pub fn new_logger(format: LogFormat, name: &str) -> Logger {
    let values = o!("process" => name.to_owned());
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(drain, values)
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(io::stderr())).fuse();
            Logger::root(drain, values)
        }
    }
}
