use proptest::collection::vec;
use proptest::prelude::*;

use super::*;

mod early_probes;
mod many_entries;
mod requests;

/// The part that crashes upstreams, and parts of sound requests.
const POISON: SuspectId = SuspectId::Part(PartId(1));
const FIRST: SuspectId = SuspectId::Part(PartId(2));
const OTHER: SuspectId = SuspectId::Part(PartId(3));

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(1000) + Duration::from_millis(millis))
}

fn crash(table: &mut CrashSuspects, millis: u64, id: u64, parts: &[SuspectId]) -> Vec<Change> {
    table.record_crash(at(millis), CrashId(id), parts)
}

fn refuses(table: &CrashSuspects, millis: u64, part: SuspectId) -> bool {
    let verdict = table.verdict(at(millis), &[part], |_| false);
    matches!(verdict, Verdict::Refused(..))
}

fn convict(table: &mut CrashSuspects) {
    for i in 0..3 {
        crash(table, i * 200, i, &[POISON]);
    }
}

// Issue 31, BUDGET: nothing connected the crashes, and each request with the part was sent.
#[test]
fn third_crash_convicts_the_part_and_not_the_parts_it_shares_with_sound_requests() {
    let mut table = CrashSuspects::new();
    table.record_success(at(0), &[FIRST, OTHER]);
    for i in 0..2 {
        crash(&mut table, 1000 + i * 200, i, &[FIRST, POISON, OTHER]);
        assert!(!refuses(&table, 1500, POISON));
    }
    let changes = crash(&mut table, 1400, 2, &[FIRST, POISON, OTHER]);
    assert_eq!(changes, [Change::Convicted(POISON)]);
    assert!(refuses(&table, 1500, POISON));
    assert!(!refuses(&table, 1500, FIRST));
    assert!(!refuses(&table, 1500, OTHER));
}

#[test]
fn rack_that_fails_at_once_convicts_no_part_of_three_requests() {
    let mut table = CrashSuspects::new();
    for i in 0..3 {
        crash(&mut table, i, i, &[OTHER]);
    }
    assert!(!refuses(&table, 10, OTHER));
}

#[test]
fn five_crashes_at_one_moment_convict() {
    let mut table = CrashSuspects::new();
    for i in 0..5 {
        crash(&mut table, i, i, &[POISON]);
    }
    assert!(refuses(&table, 10, POISON));
}

#[test]
fn crash_that_several_requests_report_counts_once() {
    let mut table = CrashSuspects::new();
    for i in 0..9 {
        crash(&mut table, i * 200, 7, &[OTHER]);
    }
    assert!(!refuses(&table, 2000, OTHER));
}

#[test]
fn new_part_whose_requests_were_taken_along_is_not_convicted() {
    let mut table = CrashSuspects::new();
    // The part itself is reported by other entries.
    for i in 0..4 {
        crash(&mut table, i * 200, i, &[OTHER]);
    }
    assert!(refuses(&table, 1000, OTHER));
    let mut changes = Vec::new();
    for i in 0..6 {
        changes.extend(crash(&mut table, i * 200, i, &[POISON]));
    }
    assert!(changes.contains(&Change::Cleared(OTHER)));
    assert!(refuses(&table, 2000, POISON));
    assert!(!refuses(&table, 2000, OTHER));
}

#[test]
fn part_is_convicted_by_the_crashes_that_another_does_not_explain() {
    let mut table = CrashSuspects::new();
    for i in 0..6 {
        crash(&mut table, i * 200, i, &[POISON]);
        crash(&mut table, i * 200 + 100, 100 + i, &[OTHER]);
    }
    assert!(refuses(&table, 2000, POISON));
    assert!(refuses(&table, 2000, OTHER));
}

#[test]
fn success_clears_a_part() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    assert!(refuses(&table, 900, POISON));
    let changes = table.record_success(at(1000), &[POISON]);
    assert_eq!(changes, [Change::Cleared(POISON)]);
    assert!(!refuses(&table, 1100, POISON));
}

#[test]
fn part_that_succeeded_long_ago_is_convicted() {
    let mut table = CrashSuspects::new();
    table.record_success(at(0), &[POISON]);
    for i in 0..3 {
        crash(&mut table, 200_000 + i * 200, i, &[POISON]);
    }
    assert!(refuses(&table, 201_000, POISON));
}

#[test]
fn suspect_of_two_crashes_is_not_sent_again() {
    let mut table = CrashSuspects::new();
    crash(&mut table, 0, 0, &[POISON]);
    assert!(!table.may_crash_next(at(1), &[POISON]));
    crash(&mut table, 2, 1, &[POISON]);
    assert!(table.may_crash_next(at(3), &[POISON]));
    table.record_success(at(4), &[POISON]);
    assert!(!table.may_crash_next(at(5), &[POISON]));
}

#[test]
fn probes_come_from_one_entry_at_growing_intervals() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    let probe = |table: &CrashSuspects, millis| table.verdict(at(millis), &[POISON], |_| true);
    assert!(matches!(probe(&table, 30_000), Verdict::Refused(..)));
    assert!(refuses(&table, 30_500, POISON));
    assert_eq!(probe(&table, 30_500), Verdict::Probe(POISON));
    table.record_probe(at(30_500), &[POISON]);
    assert!(matches!(probe(&table, 31_000), Verdict::Refused(..)));
    crash(&mut table, 31_000, 9, &[POISON]);
    assert!(matches!(probe(&table, 150_000), Verdict::Refused(..)));
    assert_eq!(probe(&table, 151_000), Verdict::Probe(POISON));
}

// Issue 34, BUDGET: requests that crash upstreams may reach three more in a day.
#[test]
fn day_has_at_most_three_probes() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    let mut probes = 0;
    for second in 1..86_400 {
        let millis = second * 1_000;
        if let Verdict::Probe(_) = table.verdict(at(millis), &[POISON], |_| true) {
            table.record_probe(at(millis), &[POISON]);
            crash(&mut table, millis + 50, second + 10, &[POISON]);
            probes += 1;
        }
        table.expire(at(millis));
    }
    assert_eq!(probes, 3);
}

// Requests that were running when the cause was found crash upstreams shortly after it.
#[test]
fn crashes_beyond_those_that_are_kept_delay_no_probe() {
    let mut table = CrashSuspects::new();
    for i in 0..60 {
        crash(&mut table, i * 60, i, &[POISON]);
    }
    let probe = |table: &CrashSuspects, millis| table.verdict(at(millis), &[POISON], |_| true);
    assert!(matches!(probe(&table, 33_000), Verdict::Refused(..)));
    assert_eq!(probe(&table, 34_000), Verdict::Probe(POISON));
}

#[test]
fn probe_without_a_result_is_followed_by_another() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    table.record_probe(at(40_000), &[POISON]);
    let probe = |millis| table.verdict(at(millis), &[POISON], |_| true);
    assert!(matches!(probe(69_000), Verdict::Refused(..)));
    assert_eq!(probe(70_000), Verdict::Probe(POISON));
}

// A sound part that is convicted with the cause was never cleared while requests with both
// came more often: they took its probes.
#[test]
fn request_with_one_convicted_part_is_probed_before_one_with_several() {
    let mut table = CrashSuspects::new();
    for i in 0..3 {
        crash(&mut table, i * 200, i, &[POISON, OTHER]);
    }
    let probe = |table: &CrashSuspects, millis, parts: &[SuspectId]| {
        matches!(
            table.verdict(at(millis), parts, |_| true),
            Verdict::Probe(_)
        )
    };
    assert!(!probe(&table, 31_000, &[POISON, OTHER]));
    assert!(probe(&table, 31_000, &[OTHER]));
    assert!(probe(&table, 31_000, &[OTHER, OTHER]));
    table.record_probe(at(31_000), &[OTHER]);
    table.record_success(at(32_000), &[OTHER]);
    assert!(refuses(&table, 33_000, POISON));
    assert!(!refuses(&table, 33_000, OTHER));
}

// Parts that always come together were never probed.
#[test]
fn parts_that_always_come_together_are_probed_by_one_entry() {
    let mut table = CrashSuspects::new();
    for i in 0..3 {
        crash(&mut table, i * 200, i, &[POISON, OTHER]);
    }
    let verdict = table.verdict(at(121_000), &[OTHER, POISON], |part| part == POISON);
    assert_eq!(verdict, Verdict::Probe(POISON));
}

#[test]
fn part_is_forgotten_an_hour_after_its_last_crash_and_much_later_if_it_is_convicted() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    crash(&mut table, 400, 1, &[OTHER]);
    table.expire(at(3_601_000));
    assert_eq!(table.len(), 1);
    let day = 24 * 3_600_000;
    assert_eq!(table.expire(at(day)), []);
    assert_eq!(table.expire(at(day + 7_201_000)), [Change::Cleared(POISON)]);
    assert!(table.is_empty());
}

#[test]
fn entry_that_starts_learns_the_convicted_parts() {
    let mut table = CrashSuspects::new();
    convict(&mut table);
    let mut new = CrashSuspects::new();
    let (changes, knows_more) = new.merge(at(9000), &table.report(at(9000)));
    assert_eq!(
        (changes, knows_more),
        (vec![Change::Convicted(POISON)], false)
    );
}

#[test]
fn entry_answers_a_report_that_lacks_its_success() {
    let mut table = CrashSuspects::new();
    for i in 0..3 {
        crash(&mut table, i * 200, i, &[FIRST]);
    }
    let mut other = CrashSuspects::new();
    other.record_success(at(0), &[FIRST]);
    let (changes, knows_more) = other.merge(at(1000), &table.report(at(1000)));
    assert_eq!((changes, knows_more), (vec![], true));
    let (changes, knows_more) = table.merge(at(1000), &other.report(at(1000)));
    assert_eq!((changes, knows_more), (vec![Change::Cleared(FIRST)], false));
    // The answer ends there.
    assert!(!other.merge(at(1000), &table.report(at(1000))).1);
}

#[test]
fn success_that_is_passed_on_does_not_grow_younger() {
    let (mut a, mut b) = (CrashSuspects::new(), CrashSuspects::new());
    a.record_success(at(0), &[FIRST]);
    crash(&mut a, 10, 1, &[FIRST]);
    for i in 0..1000 {
        let sent = i * 1000;
        b.merge(at(sent + 900), &a.report(at(sent)));
        a.merge(at(sent + 1900), &b.report(at(sent + 1000)));
    }
    let report = b.report(at(1_002_000));
    assert!(report.rows[0].succeeded >= Some(Duration::from_secs(1002)));
}

/// Something that happens at one of several entries.
#[derive(Clone, Debug)]
enum Step {
    Crash(usize, u64, Vec<SuspectId>),
    Success(usize, Vec<SuspectId>),
    Report(usize, usize),
    Pause(u64),
}

const ENTRIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let parts = || {
        vec(
            (0..12_u64).prop_map(|part| SuspectId::Part(PartId(part))),
            0..4,
        )
    };
    prop_oneof![
        (0..ENTRIES, 0..40_u64, parts()).prop_map(|(e, c, p)| Step::Crash(e, c, p)),
        (0..ENTRIES, parts()).prop_map(|(e, p)| Step::Success(e, p)),
        (0..ENTRIES, 0..ENTRIES).prop_map(|(a, b)| Step::Report(a, b)),
        (0..40_000_u64).prop_map(Step::Pause),
    ]
}

fn play(tables: &mut [CrashSuspects], steps: &[Step]) -> (u64, Vec<(u64, usize, SuspectId)>) {
    let (mut now, mut successes) = (0, Vec::new());
    for step in steps {
        match step {
            Step::Crash(entry, id, parts) => {
                tables[*entry].record_crash(at(now), CrashId(*id), parts);
            }
            Step::Success(entry, parts) => {
                tables[*entry].record_success(at(now), parts);
                successes.extend(parts.iter().map(|part| (now, *entry, *part)));
            }
            Step::Report(from, to) => {
                let report = tables[*from].report(at(now));
                tables[*to].merge(at(now), &report);
            }
            Step::Pause(millis) => now += millis,
        }
    }
    (now, successes)
}

/// Returns the number of crashes in `steps` at which a suspect was present after the last
/// success of it at any entry.
fn crashes_since_success(steps: &[Step], id: SuspectId) -> usize {
    let is_success = |step: &Step| matches!(step, Step::Success(_, ids) if ids.contains(&id));
    let last = steps.iter().rposition(is_success).unwrap_or_default();
    let crashes = steps[last..].iter().filter_map(|step| match step {
        Step::Crash(_, crash, ids) if ids.contains(&id) => Some(*crash),
        _ => None,
    });
    crashes.collect::<BTreeSet<u64>>().len()
}

proptest! {
    #[test]
    fn no_part_that_has_succeeded_lately_is_refused_before_five_crashes(
        steps in vec(step(), 0..120),
    ) {
        let mut tables: [CrashSuspects; ENTRIES] = Default::default();
        let (now, successes) = play(&mut tables, &steps);
        for (time, entry, part) in successes {
            if now - time < 120_000 && crashes_since_success(&steps, part) < 5 {
                prop_assert!(!refuses(&tables[entry], now, part));
            }
        }
    }

    #[test]
    fn order_and_repetition_of_reports_do_not_matter(
        steps in vec(step(), 0..80),
        order in Just((0..ENTRIES).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut tables: [CrashSuspects; ENTRIES] = Default::default();
        let (now, _) = play(&mut tables, &steps);
        let reports: Vec<SuspectReport> = tables.iter().map(|t| t.report(at(now))).collect();
        let (mut one, mut other) = (CrashSuspects::new(), CrashSuspects::new());
        for report in &reports {
            one.merge(at(now), report);
        }
        for index in order.iter().chain(&order) {
            other.merge(at(now), &reports[*index]);
        }
        prop_assert_eq!(one.report(at(now)), other.report(at(now)));
        prop_assert_eq!(one.convicted(), other.convicted());
    }

    #[test]
    fn part_without_success_is_convicted_wherever_its_crashes_are_seen(
        entries in vec(0..ENTRIES, 5),
        order in Just((0..5_u64).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut tables: [CrashSuspects; ENTRIES] = Default::default();
        for (entry, id) in entries.iter().zip(&order) {
            tables[*entry].record_success(at(0), &[FIRST]);
            tables[*entry].record_crash(at(id * 10 + 1), CrashId(*id), &[FIRST, POISON]);
        }
        let reports: Vec<SuspectReport> = tables.iter().map(|t| t.report(at(500))).collect();
        for table in &mut tables {
            for report in &reports {
                table.merge(at(500), report);
            }
            prop_assert!(refuses(table, 600, POISON));
            prop_assert!(!refuses(table, 600, FIRST));
        }
    }

    #[test]
    fn table_is_bounded(parts in vec(any::<u64>(), 0..400), times in vec(0..5_u64, 0..400)) {
        let mut table = CrashSuspects::new();
        convict(&mut table);
        for (i, (part, millis)) in parts.iter().zip(&times).enumerate() {
            crash(&mut table, 1000 + millis, 1000 + i as u64, &[SuspectId::Part(PartId(*part))]);
        }
        prop_assert!(table.len() <= MAX_SUSPECTS);
        // A flood of other crashes doesn't push the convicted part out.
        prop_assert!(refuses(&table, 2000, POISON));
    }
}

// Issue 31, BUDGET: a part that had just succeeded began to crash upstreams, as with new
// weights or a new software version. The parts beside it go on succeeding.
#[test]
fn part_that_turns_bad_is_convicted_while_its_companions_succeed() {
    let mut table = CrashSuspects::new();
    table.record_success(at(0), &[POISON, FIRST]);
    for crash in 1..=5 {
        let now = 1000 * crash;
        table.record_crash(at(now), CrashId(crash), &[POISON, FIRST]);
        table.record_success(at(now + 500), &[FIRST]);
    }
    assert!(table.convicted().contains(&POISON));
    assert!(!table.convicted().contains(&FIRST));
}

// A wave of crashes takes sound parts along before any of their requests can succeed.
#[test]
fn wave_of_crashes_does_not_convict_a_part_that_has_just_succeeded() {
    let mut table = CrashSuspects::new();
    table.record_success(at(0), &[OTHER, FIRST]);
    for i in 0..16 {
        crash(&mut table, 1_000 + 200 * i, i, &[OTHER, FIRST]);
    }
    table.record_success(at(5_000), &[FIRST]);
    assert!(table.convicted().is_empty());
}

// In an outage of all upstreams nothing succeeds.
#[test]
fn outage_does_not_convict_parts_that_have_just_succeeded() {
    let mut table = CrashSuspects::new();
    table.record_success(at(0), &[OTHER, FIRST]);
    for i in 0..16 {
        crash(&mut table, 1_000 + 2_000 * i, i, &[OTHER, FIRST]);
    }
    assert!(table.convicted().is_empty());
}
