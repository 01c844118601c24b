//! The cases.

use crate::CaseError;
use crate::Verdict;
use crate::record::Record;

mod early_answer;
mod failed_after_run;
mod odd_entries;
mod prefix_without_slash;
mod public_tenant;
mod rejected_configuration;
mod resumed_after_restart;
mod resumed_after_rolling_restart;
mod resumed_unannounced;
mod slow_reader_at_stop;
mod spoilt_answer;

/// Plays the case with this name.
pub async fn play(name: &str, record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    match name {
        "early-answer" => early_answer::play(record, has_trouble).await,
        "failed-after-run" => failed_after_run::play(record, has_trouble).await,
        "odd-entries" => odd_entries::play(record, has_trouble).await,
        "prefix-without-slash" => prefix_without_slash::play(record, has_trouble).await,
        "public-tenant" => public_tenant::play(record, has_trouble).await,
        "rejected-configuration" => rejected_configuration::play(record, has_trouble).await,
        "resumed-after-restart" => resumed_after_restart::play(record, has_trouble).await,
        "resumed-after-rolling-restart" => {
            resumed_after_rolling_restart::play(record, has_trouble).await
        }
        "resumed-unannounced" => resumed_unannounced::play(record, has_trouble).await,
        "slow-reader-at-stop" => slow_reader_at_stop::play(record, has_trouble).await,
        "spoilt-answer" => spoilt_answer::play(record, has_trouble).await,
        _ => Err(format!("no case {name}").into()),
    }
}
