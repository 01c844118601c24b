//! What an entry that starts learns of past versions.

use super::*;

fn past(number: u64, gone_millis: Option<u64>) -> PastVersion {
    PastVersion {
        version: version(number),
        gone_millis,
    }
}

fn history(versions: Vec<PastVersion>) -> VersionHistory {
    VersionHistory {
        services: BTreeMap::from([(pool(), versions)]),
    }
}

// Issue 56, ORDER: entries that had all started after a release took the only listed version
// for that of every stream.
#[test]
fn entry_that_has_just_started_knows_past_versions_from_the_history() {
    let mut before = StreamOrigins::new();
    before.observe(at(0), &upstreams(&[1]));
    before.observe(at(5), &upstreams(&[1, 2]));
    before.observe(at(6), &upstreams(&[2]));
    let stored = before.history(at(7));
    assert_eq!(stored, history(vec![past(1, Some(1_000)), past(2, None)]));
    let mut started = StreamOrigins::new();
    started.observe(at(1), &upstreams(&[2]));
    started.restore(at(1), &stored, Duration::from_secs(2));
    assert_eq!(find(&started, 2, 7), unknown(&[1, 2]));
    assert_eq!(find(&started, 1 + TIMEOUT, 7), unknown(&[2]));
}

#[test]
fn version_of_the_history_counts_as_listed_until_this_entry_has_seen_that_it_is_not() {
    let mut started = StreamOrigins::new();
    started.restore(at(100), &history(vec![past(1, None)]), Duration::ZERO);
    assert_eq!(find(&started, 100, 7), unknown(&[1]));
    started.observe(at(101), &upstreams(&[2]));
    assert_eq!(find(&started, 114, 7), unknown(&[1, 2]));
    assert_eq!(find(&started, 115, 7), unknown(&[2]));
}

#[test]
fn old_versions_of_the_history_are_left_out_beyond_the_error_of_clocks() {
    let hour = Duration::from_secs(3_600);
    let mut started = StreamOrigins::new();
    started.observe(at(3_600), &upstreams(&[3]));
    let stored = history(vec![past(1, Some(1_000)), past(2, None)]);
    started.restore(at(3_600), &stored, hour);
    assert_eq!(find(&started, 3_600, 7), unknown(&[2, 3]));
    // A clock that is 20 s fast doesn't make a version old.
    let mut fast = StreamOrigins::new();
    fast.observe(at(3_600), &upstreams(&[2]));
    fast.restore(at(3_600), &stored, Duration::from_secs(22));
    assert_eq!(find(&fast, 3_601, 7), unknown(&[1, 2]));
}

#[test]
fn histories_are_compared_without_ages() {
    let listed = history(vec![past(1, None)]);
    let gone = history(vec![past(1, Some(5))]);
    assert!(gone.has_same_versions(&history(vec![past(1, Some(9_000))])));
    assert!(!gone.has_same_versions(&listed));
    assert!(!listed.has_same_versions(&VersionHistory::default()));
}
