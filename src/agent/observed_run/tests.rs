use super::ObservedRun;
use crate::agent::load::LoadReport;
use crate::agent::load::ReadError;

fn report(started: Option<u64>) -> Result<LoadReport, ReadError> {
    Ok(LoadReport {
        started,
        ..LoadReport::default()
    })
}

// Issue 59, ORDER: a run was taken for the registered one before, or the one that was gone.
#[test]
fn other_run_than_the_registered_one_does_not_serve() {
    let observed = ObservedRun::from_report(&report(Some(2)));
    assert!(!observed.may_serve(Some(1)));
    assert!(!ObservedRun::from_report(&Err(ReadError::Refused)).may_serve(Some(1)));
}

// LOST: a sound upstream was refused whose run is not known, to the entry or to the agent.
#[test]
fn registered_or_unknown_run_serves() {
    assert!(ObservedRun::from_report(&report(Some(2))).may_serve(Some(2)));
    assert!(ObservedRun::from_report(&report(None)).may_serve(Some(2)));
    assert!(ObservedRun::from_report(&Err(ReadError::Unreadable)).may_serve(Some(2)));
    assert!(ObservedRun::default().may_serve(Some(2)));
    for read in [report(Some(2)), Err(ReadError::Refused)] {
        assert!(ObservedRun::from_report(&read).may_serve(None));
    }
}
