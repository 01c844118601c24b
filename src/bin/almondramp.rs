//! The operators' program `almondramp`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    almondramp::programs::operator(&args).into()
}
