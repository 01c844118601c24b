//! The `almondramp-entry` daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    almondramp::programs::entry(&args).into()
}
