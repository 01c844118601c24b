use proptest::prelude::*;

use super::*;

const FIRST: Option<Timeline> = Some(Timeline(1));
const SECOND: Option<Timeline> = Some(Timeline(2));

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn start(now: u64, recorded: Option<Timeline>, current: Option<Timeline>) -> VersionView {
    let mut view = VersionView::with_record();
    view.restore(at(now), recorded, current);
    view
}

#[test]
fn record_of_the_same_timeline_is_complete() {
    assert_eq!(start(0, FIRST, FIRST).missing_for(at(0)), None);
}

// Review 13, ORDER: after a kill of all entries, the only version in an older copy of the store
// was taken for all there are.
#[test]
fn record_of_an_earlier_timeline_is_incomplete_until_upstreams_are_back() {
    for recorded in [FIRST, None] {
        let view = start(100, recorded, SECOND);
        assert_eq!(view.missing_for(at(100)), Some(REREGISTRATION_TIME));
        assert!(view.missing_for(at(2_299)).is_some());
        assert_eq!(view.missing_for(at(2_300)), None);
    }
}

#[test]
fn view_is_incomplete_before_the_record_is_read() {
    let view = VersionView::with_record();
    assert!(view.missing_for(at(60_000)).is_some());
    assert_eq!(view.complete_in(at(60_000), SECOND), None);
}

#[test]
fn nothing_is_missing_before_the_first_record() {
    let mut view = VersionView::with_record();
    view.begin();
    assert_eq!(view.missing_for(at(0)), None);
    assert_eq!(view.complete_in(at(0), FIRST), FIRST);
}

#[test]
fn store_without_timelines_is_not_restored() {
    assert_eq!(start(0, None, None).missing_for(at(0)), None);
}

// Otherwise an entry that is killed again within this time would take the record for complete.
#[test]
fn incomplete_view_is_not_recorded_as_complete() {
    let view = start(0, FIRST, SECOND);
    assert_eq!(view.complete_in(at(2_199), SECOND), FIRST);
    assert_eq!(view.complete_in(at(2_200), SECOND), SECOND);
}

#[test]
fn entry_that_lives_through_a_restore_keeps_its_complete_view() {
    let mut view = start(0, FIRST, FIRST);
    view.store_restored(at(1_000));
    assert_eq!(view.missing_for(at(1_000)), None);
    assert_eq!(view.complete_in(at(1_000), SECOND), SECOND);
}

#[test]
fn restore_does_not_stand_for_the_record() {
    let mut view = VersionView::with_record();
    view.store_restored(at(0));
    assert!(view.missing_for(at(60_000)).is_some());
}

#[test]
fn second_restore_prolongs_an_incomplete_view() {
    let mut view = start(0, FIRST, SECOND);
    view.store_restored(at(2_000));
    assert!(view.missing_for(at(4_199)).is_some());
    assert_eq!(view.missing_for(at(4_200)), None);
}

proptest! {
    /// The only entry is killed and the store is restored in any order. The view is complete
    /// only if the entry has lived through the last restore with all it knew, has seen what
    /// registered in time after it, or has read a record of an entry that had.
    #[test]
    fn view_is_complete_when_all_versions_are_known_and_not_much_later(
        steps in prop::collection::vec((0_u64..3_000, any::<bool>(), any::<bool>()), 1..40),
    ) {
        let settled = u64::try_from(REREGISTRATION_TIME.as_millis()).expect("a short time");
        let (mut now, mut timeline, mut restored_at, mut started_at) = (0, 1, 0, 0);
        let mut view = start(0, FIRST, FIRST);
        let mut knows_all = true;
        // What the store keeps: the timeline that the record names, and whether it is true.
        let mut record = (FIRST, true);
        for (wait, is_restored, is_killed) in steps {
            now += wait;
            knows_all |= now >= restored_at + settled;
            record = match view.complete_in(at(now), Some(Timeline(timeline))) {
                named if named == Some(Timeline(timeline)) => (named, knows_all),
                named => (named, record.1),
            };
            if is_restored {
                timeline += 1;
                restored_at = now;
                view.store_restored(at(now));
            }
            if is_killed {
                view = start(now, record.0, Some(Timeline(timeline)));
                started_at = now;
                knows_all = record == (Some(Timeline(timeline)), true);
            }
            let is_complete = view.missing_for(at(now)).is_none();
            prop_assert!(knows_all || !is_complete);
            prop_assert!(is_complete || now < started_at.max(restored_at) + settled);
        }
    }
}
