//! Prints the way of one request through logs.

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

/// Lines that can't be read are named, up to so many.
const NAMED_LINES: usize = 5;

/// Reads the logs in `files`, or on standard input where there are none.
pub fn explain(id: &str, files: &[PathBuf], format: ReportFormat) -> Result<ExitCode, Report> {
    let mut trace = RequestTrace::new(id);
    let mut unread = 0;
    if files.is_empty() {
        let source = "standard input";
        unread += read(&mut trace, source, std::io::stdin().lock())?;
    }
    for file in files {
        let opened =
            File::open(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
        unread += read(&mut trace, &name(file), BufReader::new(opened))?;
    }
    if unread > NAMED_LINES {
        eprintln!("{unread} lines could not be read");
    }
    let trace = trace.with_cause();
    match format {
        ReportFormat::Table => print(&trace.table())?,
        ReportFormat::Json => print(&format!("{}\n", serde_json::to_string(&trace)?))?,
    };
    Ok(match (trace.steps.is_empty(), unread) {
        (true, _) => ExitCode::Failure,
        (false, 0) => ExitCode::Success,
        _ => ExitCode::Partial,
    })
}

/// Reads one log and gives the number of lines that could not be read.
fn read<R>(trace: &mut RequestTrace, source: &str, log: R) -> Result<usize, Report>
where
    R: BufRead,
{
    let mut unread = 0;
    for (number, line) in (1..).zip(log.split(b'\n')) {
        let line = line.wrap_err_with(|| format!("cannot read {source}"))?;
        let line = String::from_utf8_lossy(&line);
        if let Err(e) = trace.read(&line) {
            unread += 1;
            if unread <= NAMED_LINES {
                eprintln!("{source}:{number}: {e}");
            }
        }
    }
    Ok(unread)
}

fn name(file: &Path) -> String {
    file.display().to_string()
}
