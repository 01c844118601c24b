//! What operators do from the command line.

use std::io::Write;
use std::path::Path;

use eyre::Report;

use crate::cli::OperatorAction;
use crate::exit_codes::ExitCode;
use crate::settings::Document;
use crate::settings::Merged;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::settings::diff;
use crate::settings::show;

/// Does what the command line asks for.
pub fn run(action: OperatorAction) -> Result<ExitCode, Report> {
    match action {
        OperatorAction::Check(folder) => check(&folder),
        OperatorAction::Show(folder) => print(&show(&merge(&folder)?)),
        OperatorAction::Diff(before, after) => {
            let changes = diff(&merge(&before)?, &merge(&after)?);
            let lines: Vec<String> = changes.iter().map(|c| format!("{c}\n")).collect();
            print(&lines.concat())
        }
        OperatorAction::Completions(_) => Ok(ExitCode::Success),
    }
}

fn check(folder: &Path) -> Result<ExitCode, Report> {
    let settings = Settings::new(&Document::read(folder)?)?;
    print(&format!(
        "{} tiers, {} organisations, {} upstreams, {} routes\n",
        settings.tiers.len(),
        settings.organisations.len(),
        settings.upstreams.len(),
        settings.routes.len(),
    ))
}

/// Merges a folder; its values need not be valid, but its files must be.
fn merge(folder: &Path) -> Result<Merged, SettingsError> {
    let merged = Merged::new(&Document::read(folder)?);
    match merged.problems.is_empty() {
        true => Ok(merged),
        false => Err(SettingsError::Invalid(merged.problems)),
    }
}

fn print(text: &str) -> Result<ExitCode, Report> {
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(ExitCode::Success)
}
