//! The cases.

use crate::CaseError;
use crate::Verdict;
use crate::record::Record;

mod early_answer;
mod resumed_after_restart;
mod resumed_after_rolling_restart;
mod slow_reader_at_stop;

/// Plays the case with this name.
pub async fn play(name: &str, record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    match name {
        "early-answer" => early_answer::play(record, has_trouble).await,
        "resumed-after-restart" => resumed_after_restart::play(record, has_trouble).await,
        "resumed-after-rolling-restart" => {
            resumed_after_rolling_restart::play(record, has_trouble).await
        }
        "slow-reader-at-stop" => slow_reader_at_stop::play(record, has_trouble).await,
        _ => Err(format!("no case {name}").into()),
    }
}
