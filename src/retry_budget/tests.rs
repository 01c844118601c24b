use super::*;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 10,
    window: Duration::from_secs(10),
    entries: 5,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

/// Each of five entries receives a share of the requests, and every request asks
/// for a retry. In every window, the retries of all entries together stay within
/// the budget.
#[test]
fn all_entries_together_stay_within_the_budget() {
    let service = Name::new("portal");
    let mut entries: Vec<RetryBudget> = (0..5).map(|_| RetryBudget::new()).collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for i in 0..4_000u64 {
        let now = at(i * 10);
        let entry = &mut entries[usize::try_from(i * i % 5).unwrap_or(0)];
        entry.record_request(now, &service, BOUNDS);
        requests.push(now);
        if entry.try_retry(now, &service, BOUNDS) {
            retries.push(now);
        }
    }
    let within = |timestamps: &[Timestamp], end: Timestamp| {
        let count = timestamps.iter().filter(|t| **t <= end);
        count.filter(|t| end.since(**t) < BOUNDS.window).count()
    };
    for end in &requests {
        let allowed = within(&requests, *end) as f64 * 0.2 + 10.0;
        assert!(within(&retries, *end) as f64 <= allowed);
    }
    assert!(retries.len() > 300, "{} retries", retries.len());
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new();
    let (one, other) = (Name::new("one"), Name::new("other"));
    (0..100).for_each(|_| budget.record_request(at(0), &one, BOUNDS));
    assert!(budget.try_retry(at(0), &one, BOUNDS));
    let allowed = (0..9).filter(|_| budget.try_retry(at(0), &other, BOUNDS));
    assert_eq!(allowed.count(), 1);
}

// Issue 56, on a path related to ORDER after a restart: what a process had retried was
// forgotten with it, and the one in its place used the slack again (BUDGET).
#[test]
fn all_entries_together_stay_within_the_budget_over_a_restart_of_all() {
    let service = Name::new("portal");
    let bounds = RetryBounds {
        slack: 58,
        ..BOUNDS
    };
    for kill in [1_000, 5_000, 9_000] {
        // They have been running for long before.
        let mut entries: Vec<RetryBudget> = (0..5).map(|_| RetryBudget::new()).collect();
        let (mut requests, mut retries) = (0, 0);
        for i in 0..200_u64 {
            let now = at(i * 50);
            if now == at(kill) {
                let start = |_| RetryBudget::new().with_start(now);
                entries = (0..5).map(start).collect();
            }
            let entry = &mut entries[usize::try_from(i % 5).unwrap_or(0)];
            entry.record_request(now, &service, bounds);
            requests += 1;
            retries += u32::from(entry.try_retry(now, &service, bounds));
        }
        let allowed = f64::from(requests) * bounds.ratio + f64::from(bounds.slack);
        let within = f64::from(retries) <= allowed;
        assert!(within, "{retries} retries, killed at {kill} ms");
    }
}

#[test]
fn entry_has_its_whole_share_a_window_after_its_start() {
    let service = Name::new("portal");
    let bounds = RetryBounds {
        slack: 100,
        ..BOUNDS
    };
    let retries = |now| {
        let mut budget = RetryBudget::new().with_start(at(1_000));
        (0..100)
            .filter(|_| budget.try_retry(now, &service, bounds))
            .count()
    };
    assert_eq!((retries(at(1_000)), retries(at(10_900))), (5, 5));
    assert_eq!(retries(at(11_100)), 15);
}

// Questions whether answers are complete must leave retries for requests that have failed.
#[test]
fn confirmations_use_a_part_of_the_budget() {
    let service = Name::new("portal");
    let mut budget = RetryBudget::new();
    for _ in 0..100 {
        budget.record_request(at(0), &service, BOUNDS);
    }
    let mut confirmations = 0;
    while budget.may_confirm(at(0), &service, BOUNDS) {
        assert!(budget.try_retry(at(0), &service, BOUNDS));
        confirmations += 1;
    }
    let mut retries = 0;
    while budget.try_retry(at(0), &service, BOUNDS) {
        retries += 1;
    }
    assert!(
        confirmations > 0 && retries >= confirmations,
        "{confirmations} and {retries}"
    );
}
