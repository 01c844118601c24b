//! Checks histories of concurrent runs against the promises.

use std::collections::HashMap;
use std::fmt;

use almondramp_standins::LoadRecord;

/// What a history shows to be broken.
#[derive(Debug, Eq, PartialEq)]
pub enum Violation {
    /// The work ran more than once.
    RanTwice(String),
    /// A caller was told that its work was not run, but it was.
    FalseNotRun(String),
    /// A caller got a whole answer to work that never ran.
    AnswerFromNowhere(String),
    /// An answer was ended as whole but is not the request's own.
    WrongAnswer(String),
    /// A caller got no answer although its entry did not fail.
    Lost(String),
    /// A caller was left waiting for a minute.
    Hung(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Checks what callers were told against what the upstreams ran. Callers of
/// entries that were killed may have got no answer.
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
        let whole = record.status == 200 && record.whole;
        match record {
            r if whole && !r.valid => violations.push(Violation::WrongAnswer(id)),
            r if r.valid && !ran => violations.push(Violation::AnswerFromNowhere(id)),
            r if r.run == "not-run" && ran => violations.push(Violation::FalseNotRun(id)),
            r if r.code == "hung" => violations.push(Violation::Hung(id)),
            r if r.status == 0 && !entries_killed => violations.push(Violation::Lost(id)),
            _ => {}
        }
    }
    violations
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn record(status: u16, run: &str, whole: bool, valid: bool) -> LoadRecord {
        LoadRecord {
            class: "save",
            tier: "urgent",
            organisation: "small",
            id: "x".to_owned(),
            sent: Duration::ZERO,
            took: Duration::ZERO,
            status,
            code: String::new(),
            run: run.to_owned(),
            whole,
            valid,
            good: valid,
        }
    }

    #[test]
    fn every_broken_history_is_found() {
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
                Violation::AnswerFromNowhere(id()),
            ),
            (
                record(200, "", true, false),
                ran(1),
                Violation::WrongAnswer(id()),
            ),
            (record(0, "", false, false), ran(1), Violation::Lost(id())),
        ];
        for (record, runs, violation) in cases {
            assert_eq!(check(&[record], &runs, false), [violation]);
        }
    }

    #[test]
    fn a_hung_caller_is_found_also_where_entries_failed() {
        let mut hung = record(0, "", false, false);
        hung.code = "hung".to_owned();
        let violations = check(&[hung], &HashMap::new(), true);
        assert_eq!(violations, [Violation::Hung("x".to_owned())]);
    }

    #[test]
    fn allowed_histories_pass() {
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
