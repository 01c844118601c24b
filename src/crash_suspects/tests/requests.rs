//! Requests that crash upstreams as a whole, and reports.

use super::*;

fn request(digest: u64) -> SuspectId {
    SuspectId::Request(RequestDigest(digest))
}

// Issue 34, BUDGET: one request, which has no parts, crashed upstream after upstream.
#[test]
fn third_crash_convicts_a_request_even_at_one_moment() {
    let mut table = CrashSuspects::new();
    for i in 0..2 {
        crash(&mut table, i, i, &[request(1)]);
        assert!(!refuses(&table, 10, request(1)));
    }
    crash(&mut table, 2, 2, &[request(1)]);
    assert!(refuses(&table, 10, request(1)));
}

// Issue 34, BUDGET: the parts of its prompt are those of sound requests.
#[test]
fn request_is_convicted_beside_parts_that_succeed() {
    let mut table = CrashSuspects::new();
    for i in 0..3 {
        crash(&mut table, 1_000 * i, i, &[FIRST, OTHER, request(1)]);
        table.record_success(at(1_000 * i + 500), &[FIRST, OTHER, request(100 + i)]);
    }
    assert_eq!(Vec::from_iter(table.convicted()), [&request(1)]);
}

#[test]
fn requests_that_crashes_take_along_are_not_convicted() {
    let mut table = CrashSuspects::new();
    for i in 0..6 {
        crash(&mut table, 200 * i, i, &[request(1)]);
        if i < 4 {
            crash(&mut table, 200 * i, i, &[request(2)]);
        }
        crash(&mut table, 200 * i, i, &[request(10 + i)]);
    }
    assert_eq!(Vec::from_iter(table.convicted()), [&request(1)]);
}

#[test]
fn repeated_request_that_succeeds_is_not_convicted() {
    let mut table = CrashSuspects::new();
    for i in 0..10 {
        table.record_success(at(1_000 * i), &[request(2)]);
        crash(&mut table, 1_000 * i + 500, i, &[request(2)]);
    }
    assert!(!refuses(&table, 10_000, request(2)));
}

#[test]
fn requests_that_come_once_do_not_displace_the_successes_of_parts() {
    let mut table = CrashSuspects::new();
    table.record_success(at(0), &[FIRST]);
    for i in 0..10_000 {
        table.record_success(at(1), &[request(i)]);
    }
    for i in 0..5 {
        crash(&mut table, 1_000 * i, i, &[FIRST]);
    }
    assert!(!refuses(&table, 6_000, FIRST));
}

// Issue 34, BUDGET: all entries that had seen the crashes were killed.
#[test]
fn stored_report_convicts_again_and_keeps_the_time_of_the_next_probe() {
    let mut table = CrashSuspects::new();
    for i in 0..3 {
        crash(&mut table, 200 * i, i, &[request(1), FIRST]);
        crash(&mut table, 200 * i, i, &[request(10 + i)]);
    }
    table.record_success(at(500), &[FIRST]);
    let stored = table.convicted_report(at(1_000));
    assert_eq!(stored.len(), 1);
    let mut restored = CrashSuspects::new();
    restored.merge(at(0), &stored.older_by(Duration::from_secs(10)));
    assert!(refuses(&restored, 0, request(1)));
    let probe = |millis| restored.verdict(at(millis), &[request(1)], |_| true);
    // Ten seconds and those since the last crash have passed.
    assert!(matches!(probe(19_300), Verdict::Refused(..)));
    assert_eq!(probe(19_400), Verdict::Probe(request(1)));
}

#[test]
fn reports_with_other_ages_have_the_same_crashes() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    let (early, late) = (
        table.convicted_report(at(1_000)),
        table.convicted_report(at(2_000)),
    );
    assert_ne!(early, late);
    assert!(early.has_same_crashes(&late));
    crash(&mut table, 3_000, 9, &[POISON]);
    assert!(!early.has_same_crashes(&table.convicted_report(at(3_000))));
}

#[test]
fn reports_of_versions_without_requests_are_read() {
    let text = r#"{"rows":[{"part":1,"crashes":[[7,100],[8,200],[9,400]],"succeeded":null}]}"#;
    let report: SuspectReport = serde_json::from_str(text).expect("a report");
    let mut table = CrashSuspects::new();
    table.merge(at(1_000), &report);
    assert!(refuses(&table, 1_000, POISON));
}
