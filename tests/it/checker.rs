//! Checks results of concurrent requests against the guarantees to callers.

use std::collections::HashMap;
use std::fmt;

use almondramp_standins::LoadRecord;

/// A broken guarantee and the id of the request.
#[derive(Debug, Eq, PartialEq)]
pub enum Violation {
    /// The request ran more than once.
    RanTwice(String),
    /// The answer says `not-run` but the request ran.
    FalseNotRun(String),
    /// A valid answer was returned for a request that never ran.
    AnswerWithoutRun(String),
    /// An answer ended without an error but is not the expected one.
    WrongAnswer(String),
    /// No answer was returned although no entry was stopped.
    NoAnswer(String),
    /// No answer arrived within a minute after the last request was sent.
    Hung(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Compares the answers to callers with the run counts of the upstreams. With
/// `entries_killed`, missing answers are allowed.
pub fn check(
    records: &[LoadRecord],
    runs: &HashMap<String, u32>,
    entries_killed: bool,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, count) in runs {
        if *count > 1 {
            violations.push(Violation::RanTwice(id.clone()));
        }
    }
    for record in records {
        let id = record.id.clone();
        let ran = runs.contains_key(&id);
        let complete = record.status == 200 && record.complete;
        match record {
            r if complete && !r.valid => violations.push(Violation::WrongAnswer(id)),
            r if r.valid && !ran => violations.push(Violation::AnswerWithoutRun(id)),
            r if r.run == "not-run" && ran => violations.push(Violation::FalseNotRun(id)),
            r if r.code == "hung" => violations.push(Violation::Hung(id)),
            r if r.status == 0 && !entries_killed => violations.push(Violation::NoAnswer(id)),
            _ => {}
        }
    }
    violations
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn record(status: u16, run: &str, complete: bool, valid: bool) -> LoadRecord {
        LoadRecord {
            class: "save",
            tier: "urgent",
            organisation: "small",
            id: "x".to_owned(),
            sent: Duration::ZERO,
            duration: Duration::ZERO,
            status,
            code: String::new(),
            run: run.to_owned(),
            complete,
            valid,
            good: valid,
        }
    }

    #[test]
    fn every_violation_is_detected() {
        let ran = |count| HashMap::from([("x".to_owned(), count)]);
        let id = || "x".to_owned();
        let cases = [
            (
                record(200, "", true, true),
                ran(2),
                Violation::RanTwice(id()),
            ),
            (
                record(503, "not-run", true, false),
                ran(1),
                Violation::FalseNotRun(id()),
            ),
            (
                record(200, "", true, true),
                HashMap::new(),
                Violation::AnswerWithoutRun(id()),
            ),
            (
                record(200, "", true, false),
                ran(1),
                Violation::WrongAnswer(id()),
            ),
            (
                record(0, "", false, false),
                ran(1),
                Violation::NoAnswer(id()),
            ),
        ];
        for (record, runs, violation) in cases {
            assert_eq!(check(&[record], &runs, false), [violation]);
        }
    }

    #[test]
    fn a_hung_request_is_a_violation_even_if_entries_were_killed() {
        let mut hung = record(0, "", false, false);
        hung.code = "hung".to_owned();
        let violations = check(&[hung], &HashMap::new(), true);
        assert_eq!(violations, [Violation::Hung("x".to_owned())]);
    }

    #[test]
    fn allowed_outcomes_give_no_violations() {
        let ran = HashMap::from([("x".to_owned(), 1)]);
        let allowed = [
            record(200, "", true, true),
            record(502, "unknown", true, false),
            record(200, "", false, false),
        ];
        assert!(check(&allowed, &ran, false).is_empty());
        let refused = [record(503, "not-run", true, false)];
        assert!(check(&refused, &HashMap::new(), false).is_empty());
    }
}
