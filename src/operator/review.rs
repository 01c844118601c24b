//! The commands `check` and `diff`, which review settings before they are sent.

use std::path::Path;

use eyre::Report;

use crate::cli::DiffBase;
use crate::cli::ReportFormat;
use crate::config_review::Comparison;
use crate::config_review::Finding;
use crate::config_review::Severity;
use crate::config_review::compare;
use crate::config_review::review;
use crate::exit_codes::ExitCode;
use crate::operator::print;
use crate::operator::store::Pending;
use crate::operator::store::merge_with_store;
use crate::settings::Document;
use crate::settings::FolderContents;

/// Reviews the settings in `folder`, merged with those in the store if one is given.
pub fn check(folder: &Path, store: Option<&str>, format: ReportFormat) -> Result<ExitCode, Report> {
    let contents = FolderContents::read(folder)?;
    let document = match store {
        // Files that can't be read would count as removed in a merge.
        Some(store) if contents.problems.is_empty() => {
            merge_with_store(folder, &contents.document, store)?.merged
        }
        _ => contents.document,
    };
    let review = review(&document, contents.problems);
    match format {
        ReportFormat::Table => {
            print_findings(&review.findings);
            if let Some(counts) = &review.counts {
                print(&format!("{counts}\n"))?;
            }
        }
        ReportFormat::Json => {
            print(&format!("{}\n", serde_json::to_string(&review)?))?;
        }
    }
    Ok(match review.severity() {
        None => ExitCode::Success,
        Some(Severity::Warning) => ExitCode::Warnings,
        Some(Severity::Error) => ExitCode::Invalid,
    })
}

/// Shows what the settings in the folder `after` change.
pub fn diff(before: &DiffBase, after: &Path, format: ReportFormat) -> Result<ExitCode, Report> {
    let after_contents = FolderContents::read(after)?;
    let mut problems = after_contents.problems;
    let (before, after) = match before {
        DiffBase::Folder(folder) => {
            let contents = FolderContents::read(folder)?;
            problems.splice(0..0, contents.problems);
            (contents.document, after_contents.document)
        }
        DiffBase::Store(_) if !problems.is_empty() => {
            // Files that can't be read would count as removed in a merge.
            (Document::default(), Document::default())
        }
        DiffBase::Store(store) => {
            let Pending { in_force, merged } =
                merge_with_store(after, &after_contents.document, store)?;
            (in_force, merged)
        }
    };
    let comparison = compare(&before, &after, problems);
    match format {
        ReportFormat::Table => print_comparison(&comparison)?,
        ReportFormat::Json => print(&format!("{}\n", serde_json::to_string(&comparison)?))?,
    };
    Ok(match comparison.findings.is_empty() {
        true => ExitCode::Success,
        false => ExitCode::Invalid,
    })
}

fn print_comparison(comparison: &Comparison) -> Result<ExitCode, Report> {
    print_findings(&comparison.findings);
    let effects = comparison.effects.iter().flatten();
    let effects = effects.map(|effect| format!("{effect}\n"));
    let changes = comparison.changes.iter().map(|c| format!("{c}\n"));
    let lines: Vec<String> = effects.chain(changes).collect();
    print(&lines.concat())
}

fn print_findings(findings: &[Finding]) {
    for finding in findings {
        let severity = match finding.severity() {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        eprintln!("[almondramp {severity}]: {finding}");
    }
}
