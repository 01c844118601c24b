//! Quotas of entries that hear of each other again after a time of silence.

use super::*;

/// Returns the quota of an entry that has heard of one other entry at `heard`.
fn with_peer(heard: u64) -> Quota {
    let mut quota = Quota::new(at(0));
    quota.set_entries(2);
    hear(&mut quota, heard, 0.0);
    quota
}

/// Merges a report at `now` of an entry that started a little later.
fn hear(quota: &mut Quota, now: u64, spent: f64) {
    let totals = SpendTotals {
        organisation: organisation(),
        spent,
        window_sum: spent,
    };
    let report = QuotaReport {
        from: Incarnation(1),
        age: Duration::from_millis(now - 10),
        totals: vec![totals],
    };
    quota.merge_report(at(now), BOUNDS.window, &report);
}

/// Returns the units that an entry counts as spent in the last window.
fn window_sum(quota: &mut Quota, now: u64) -> f64 {
    let report = quota.report(at(now), BOUNDS.window, Incarnation(0));
    report.totals.iter().map(|spend| spend.window_sum).sum()
}

/// Guards against an entry that stalls in a burst of an organisation: the others took the
/// burst for spread over the whole window, and admitted too much before it had left.
#[test]
fn a_burst_at_a_stalled_entry_does_not_leave_the_window_early() {
    let mut quota = with_peer(10_000);
    assert_eq!(spend(&mut quota, 10_000, 1.0), Ok(()));
    hear(&mut quota, 11_500, 6_000.0);
    let counted = window_sum(&mut quota, 17_900);
    assert!(counted >= 6_000.0, "{counted}");
}

/// Guards against an organisation that is refused after a long partition between entries,
/// because all that was spent in it counted as spent in the last window.
#[test]
fn spending_that_has_left_the_window_is_not_counted_after_a_partition() {
    let mut quota = with_peer(10_000);
    assert_eq!(spend(&mut quota, 10_000, 1.0), Ok(()));
    hear(&mut quota, 50_000, QUOTA);
    let counted = window_sum(&mut quota, 50_000);
    assert!(counted <= QUOTA / 2.0, "{counted}");
}
