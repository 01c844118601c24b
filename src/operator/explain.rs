//! The `explain` command: prints the steps of one request found in logs.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use eyre::Report;
use eyre::WrapErr;

use super::print;
use crate::cli::ReportFormat;
use crate::exit_codes::ExitCode;
use crate::explain::RequestTrace;

/// The maximum number of unreadable lines that are reported one by one.
const MAX_REPORTED_LINES: usize = 5;

/// Prints the steps of request `id` in the logs `files`, or in standard input if
/// `files` is empty. The exit code is `Failure` if no step was found, and
/// `Partial` if some lines could not be read.
pub fn explain(id: &str, files: &[PathBuf], format: ReportFormat) -> Result<ExitCode, Report> {
    let mut trace = RequestTrace::new(id);
    let mut unreadable = 0;
    if files.is_empty() {
        let source = "standard input";
        unreadable += read_log(&mut trace, source, std::io::stdin().lock())?;
    }
    for file in files {
        let opened =
            File::open(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
        unreadable += read_log(&mut trace, &name(file), BufReader::new(opened))?;
    }
    if unreadable > MAX_REPORTED_LINES {
        eprintln!("{unreadable} lines could not be read");
    }
    let trace = trace.with_cause();
    match format {
        ReportFormat::Table => print(&trace.table())?,
        ReportFormat::Json => print(&format!("{}\n", serde_json::to_string(&trace)?))?,
    };
    Ok(match (trace.steps.is_empty(), unreadable) {
        (true, _) => ExitCode::Failure,
        (false, 0) => ExitCode::Success,
        _ => ExitCode::Partial,
    })
}

/// Reads one log into `trace` and returns the number of unreadable lines.
fn read_log<R>(trace: &mut RequestTrace, source: &str, log: R) -> Result<usize, Report>
where
    R: BufRead,
{
    let mut unreadable = 0;
    for (number, line) in (1..).zip(log.split(b'\n')) {
        let line = line.wrap_err_with(|| format!("cannot read {source}"))?;
        let line = String::from_utf8_lossy(&line);
        if let Err(e) = trace.read(&line) {
            unreadable += 1;
            if unreadable <= MAX_REPORTED_LINES {
                eprintln!("{source}:{number}: {e}");
            }
        }
    }
    Ok(unreadable)
}

fn name(file: &Path) -> String {
    file.display().to_string()
}
