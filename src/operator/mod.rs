//! The commands of the operators' program `almondramp`.

mod agents;
mod explain;
mod review;
mod store;

use std::io::Write;
use std::path::Path;
use std::time::Duration;

use awc::Client;
use eyre::Report;

use crate::burn_report::BurnReport;
use crate::burn_report::EntryBurn;
use crate::cli::OperatorAction;
use crate::cli::ReportFormat;
use crate::exit_codes::ExitCode;
use crate::http_client::new_client;
use crate::settings::Document;
use crate::settings::MergedFiles;
use crate::settings::SettingsError;
use crate::settings::show;

/// The maximum time for an entry to answer.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum size of an entry's burn answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Runs the command given on the command line.
pub fn run(action: OperatorAction) -> Result<ExitCode, Report> {
    match action {
        OperatorAction::Check {
            folder,
            store,
            format,
        } => review::check(&folder, store.as_deref(), format),
        OperatorAction::Show(folder) => print(&show(&read_merged(&folder)?)),
        OperatorAction::Diff {
            before,
            after,
            format,
        } => review::diff(&before, &after, format),
        OperatorAction::Apply { folder, store } => store::apply_folder(&folder, &store),
        OperatorAction::Fetch { folder, store } => store::fetch_folder(&folder, &store),
        OperatorAction::Status {
            folder,
            site_key,
            format,
        } => agents::status(&folder, &site_key, format),
        OperatorAction::Drain {
            folder,
            site_key,
            upstream,
        } => agents::drain(&folder, &site_key, &upstream),
        OperatorAction::ReportBurn { entries, format } => {
            let report = actix_rt::System::new().block_on(burn_report(&entries));
            print_burn(&report, format)
        }
        OperatorAction::Explain { id, files, format } => explain::explain(&id, &files, format),
        OperatorAction::Completions(_) => Ok(ExitCode::Success),
    }
}

/// Fetches the counts of `entries`, given by the base URLs of their admin
/// servers, and sums them. Entries that do not answer are listed as unreachable.
pub async fn burn_report(entries: &[String]) -> BurnReport {
    let client = new_client();
    let requests = entries.iter().map(|entry| fetch_burn(&client, entry));
    let answers = futures::future::join_all(requests).await;
    let mut reached = Vec::new();
    let mut unreachable = Vec::new();
    for (entry, answer) in entries.iter().zip(answers) {
        match answer {
            Some(burn) => reached.push(burn),
            None => unreachable.push(entry.clone()),
        }
    }
    BurnReport::new(&reached, unreachable)
}

async fn fetch_burn(client: &Client, entry: &str) -> Option<EntryBurn> {
    let url = format!("{}/burn", entry.trim_end_matches('/'));
    let request = async {
        let mut res = client.get(url).send().await.ok()?;
        let body = res.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    let answer = actix_rt::time::timeout(ENTRY_TIMEOUT, request);
    answer.await.ok().flatten()
}

fn print_burn(report: &BurnReport, format: ReportFormat) -> Result<ExitCode, Report> {
    match format {
        ReportFormat::Table => print(&report.table())?,
        ReportFormat::Json => print(&format!("{}\n", serde_json::to_string(report)?))?,
    };
    Ok(match report.unreachable.is_empty() {
        true => ExitCode::Success,
        false => ExitCode::Partial,
    })
}

/// Merges the files of a folder without checking the values. Fails if a file is
/// not valid.
fn read_merged(folder: &Path) -> Result<MergedFiles, SettingsError> {
    let merged = MergedFiles::new(&Document::read(folder)?);
    match merged.problems.is_empty() {
        true => Ok(merged),
        false => Err(SettingsError::Invalid(merged.problems)),
    }
}

fn print(text: &str) -> Result<ExitCode, Report> {
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(ExitCode::Success)
}
