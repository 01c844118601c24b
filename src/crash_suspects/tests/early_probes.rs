//! Probes that tell suspects apart which explain the same crashes.

use super::*;

/// Lets requests with the first part and the poison crash upstreams before any request with
/// the first part has succeeded.
fn convict_jointly(table: &mut CrashSuspects) {
    for i in 0..6 {
        crash(table, i, i, &[FIRST, POISON]);
    }
    assert!(refuses(table, 10, POISON));
    assert!(refuses(table, 10, FIRST));
}

fn is_probe(table: &CrashSuspects, millis: u64, parts: &[SuspectId]) -> bool {
    let verdict = table.verdict(at(millis), parts, |_| true);
    matches!(verdict, Verdict::Probe(_))
}

// Review 9, LOST: the first part of all prompts was refused with the one that crashes, until a
// probe 30 s later.
#[test]
fn request_that_tells_suspects_apart_is_probed_early() {
    let mut table = CrashSuspects::new();
    convict_jointly(&mut table);
    assert!(!is_probe(&table, 1_900, &[FIRST, OTHER]));
    assert!(is_probe(&table, 2_100, &[FIRST, OTHER]));
    // One with both tells nothing, and other entries don't probe.
    assert!(!is_probe(&table, 2_100, &[FIRST, POISON, OTHER]));
    let verdict = table.verdict(at(2_100), &[FIRST, OTHER], |_| false);
    assert_eq!(verdict, Verdict::Refused(FIRST, MIN_EARLY_PROBE_WAIT));
    table.record_probe(at(2_100), &[FIRST, OTHER]);
    assert!(!is_probe(&table, 2_200, &[FIRST, OTHER]));
    let changes = table.record_success(at(3_000), &[FIRST, OTHER]);
    assert_eq!(changes, [Change::Cleared(FIRST)]);
    assert!(!refuses(&table, 3_100, FIRST));
    assert!(refuses(&table, 3_100, POISON));
}

// An early probe that crashes an upstream is the only one.
#[test]
fn suspects_are_told_apart_by_a_crash_too() {
    let mut table = CrashSuspects::new();
    convict_jointly(&mut table);
    assert!(is_probe(&table, 2_100, &[POISON, OTHER]));
    table.record_probe(at(2_100), &[POISON, OTHER]);
    let changes = crash(&mut table, 2_300, 10, &[POISON, OTHER]);
    assert!(changes.contains(&Change::Cleared(FIRST)));
    assert!(!refuses(&table, 2_400, FIRST));
    for seconds in 3..32 {
        assert!(!is_probe(&table, seconds * 1_000, &[POISON, OTHER]));
    }
    assert!(is_probe(&table, 32_400, &[POISON, OTHER]));
}

// A probe can end without a result, as with its caller.
#[test]
fn early_probe_without_a_result_is_followed_by_another() {
    let mut table = CrashSuspects::new();
    convict_jointly(&mut table);
    table.record_probe(at(2_100), &[FIRST, OTHER]);
    assert!(!is_probe(&table, 4_000, &[FIRST, OTHER]));
    assert!(is_probe(&table, 4_100, &[FIRST, OTHER]));
}
