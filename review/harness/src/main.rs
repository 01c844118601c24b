//! Plays one case of the review: starts the built programs as separate processes, with
//! stand-ins for the platform's store, replicas and requesters, and checks one rule.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod record;
mod relay;
mod replica;
mod requester;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Why a case could not run.
pub type CaseError = Box<dyn std::error::Error>;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = record::Record::new(PathBuf::from(record));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let limit = std::time::Duration::from_secs(110);
    let played = local.block_on(&runtime, async {
        tokio::time::timeout(limit, cases::play(case, &record, has_trouble)).await
    });
    let code = match played {
        Ok(Ok(Verdict::Held)) => {
            record.line("the rule held");
            0
        }
        Ok(Ok(Verdict::Broken)) => {
            record.line("the rule was broken");
            1
        }
        Ok(Err(e)) => {
            record.line(&format!("the case could not run: {e}"));
            2
        }
        Err(_) => {
            record.line("the case could not run: it took too long");
            2
        }
    };
    ExitCode::from(code)
}
