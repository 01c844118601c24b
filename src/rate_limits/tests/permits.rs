//! Tests of the permits of one upstream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;
use crate::ids::Incarnation;
use crate::rate_limits::Pacing;
use crate::rate_limits::PermitAnswer;
use crate::rate_limits::PermitId;
use crate::rate_limits::PermitIssuer;
use crate::rate_limits::PermitRequest;

const INTERVAL: Duration = Duration::from_millis(200);

fn id(entry: u64, number: u64) -> PermitId {
    PermitId {
        entry: Incarnation(entry),
        number,
    }
}

fn request(id: PermitId, rank: u8, max_wait: u64) -> PermitRequest {
    PermitRequest {
        id,
        rank,
        max_wait: Duration::from_millis(max_wait),
    }
}

/// Returns the time until a permit that is denied now.
fn denied(issuer: &mut PermitIssuer, now: Timestamp, request: PermitRequest) -> Duration {
    match issuer.request(now, request) {
        PermitAnswer::Denied(wait) => wait,
        other => panic!("not denied: {other:?}"),
    }
}

#[test]
fn a_limit_of_zero_leaves_a_request_in_ten_seconds() {
    assert_eq!(Pacing::interval(0.0), Duration::from_secs(10));
    assert_eq!(Pacing::interval(0.01), Duration::from_secs(10));
    assert_eq!(Pacing::interval(4.0), Duration::from_millis(250));
}

#[test]
fn first_permit_is_issued_after_an_interval() {
    let mut issuer = PermitIssuer::new(at(0), INTERVAL);
    let wait = denied(&mut issuer, at(0), request(id(1, 1), 0, 100));
    assert_eq!(wait, INTERVAL);
    let answer = issuer.request(at(200), request(id(1, 2), 0, 0));
    assert_eq!(answer, PermitAnswer::Granted);
}

#[test]
fn a_repeated_request_gets_no_second_permit() {
    let mut issuer = PermitIssuer::new(at(0), INTERVAL);
    let first = request(id(1, 1), 0, 500);
    assert_eq!(issuer.request(at(0), first), PermitAnswer::Queued);
    assert_eq!(issuer.request(at(60), first), PermitAnswer::Queued);
    assert_eq!(issuer.issue(at(200)), [id(1, 1)]);
    assert_eq!(issuer.request(at(260), first), PermitAnswer::Granted);
    assert_eq!(issuer.next_due(), None);
    let wait = denied(&mut issuer, at(260), request(id(1, 2), 0, 0));
    assert_eq!(wait, Duration::from_millis(140));
}

#[test]
fn higher_rank_gets_its_permit_first() {
    let mut issuer = PermitIssuer::new(at(0), INTERVAL);
    issuer.request(at(0), request(id(1, 1), 8, 1000));
    issuer.request(at(10), request(id(2, 1), 0, 1000));
    assert_eq!(issuer.issue(at(200)), [id(2, 1)]);
    assert_eq!(issuer.issue(at(400)), [id(1, 1)]);
}

// A request that is due must not go past a waiting one of its rank.
#[test]
fn new_request_waits_behind_those_of_its_rank() {
    let mut issuer = PermitIssuer::new(at(0), INTERVAL);
    issuer.request(at(0), request(id(1, 1), 0, 1000));
    let answer = issuer.request(at(210), request(id(2, 1), 0, 1000));
    assert_eq!(answer, PermitAnswer::Queued);
    assert_eq!(issuer.issue(at(210)), [id(1, 1)]);
}

#[test]
fn request_that_has_waited_its_longest_gets_none() {
    let mut issuer = PermitIssuer::new(at(0), INTERVAL);
    issuer.request(at(0), request(id(1, 1), 0, 200));
    issuer.request(at(10), request(id(2, 1), 8, 1000));
    assert_eq!(issuer.issue(at(201)), [id(2, 1)]);
}

#[test]
fn entries_that_wait_or_were_denied_lately_are_counted() {
    let mut issuer = PermitIssuer::new(at(0), INTERVAL);
    issuer.request(at(0), request(id(1, 1), 0, 1000));
    issuer.request(at(0), request(id(2, 1), 0, 1000));
    denied(&mut issuer, at(0), request(id(3, 1), 0, 100));
    assert_eq!(issuer.other_entries(Incarnation(1)), 2);
    assert_eq!(issuer.other_entries(Incarnation(9)), 3);
    issuer.issue(at(2_000));
    assert_eq!(issuer.other_entries(Incarnation(9)), 0);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request { entry: u64, rank: u8, max_wait: u64 },
    Repeat(usize),
    SetInterval(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_u64, 0..3_u8, 0..800_u64).prop_map(|(entry, rank, max_wait)| Step::Request {
            entry,
            rank,
            max_wait,
        }),
        1 => any::<usize>().prop_map(Step::Repeat),
        1 => (20..1_000_u64).prop_map(Step::SetInterval),
    ]
}

proptest! {
    // Whatever is asked, permits keep to the shortest interval with a short burst, and
    // none is issued twice.
    #[test]
    fn permits_keep_to_the_rate(steps in prop::collection::vec((0..200_u64, step()), 1..200)) {
        let mut interval = 200;
        let mut shortest = interval;
        let mut issuer = PermitIssuer::new(at(0), Duration::from_millis(interval));
        let mut now = 0;
        let mut requests = Vec::new();
        let mut granted: BTreeMap<PermitId, u64> = BTreeMap::new();
        for (pause, step) in steps {
            now += pause;
            for id in issuer.issue(at(now)) {
                prop_assert!(granted.insert(id, now).is_none(), "{id:?} was granted twice");
            }
            let request = match step {
                Step::Request { entry, rank, max_wait } => {
                    let request = request(id(entry, requests.len() as u64), rank, max_wait);
                    requests.push((now, request));
                    request
                }
                Step::Repeat(which) => {
                    // An entry repeats a request for a short time.
                    let recent = |(sent, _): &&(u64, PermitRequest)| now - sent < 1_000;
                    let recent: Vec<_> = requests.iter().filter(recent).collect();
                    match recent.is_empty() {
                        true => continue,
                        false => recent[which % recent.len()].1,
                    }
                }
                Step::SetInterval(millis) => {
                    interval = millis;
                    shortest = shortest.min(interval);
                    issuer.set_interval(Duration::from_millis(interval));
                    continue;
                }
            };
            if issuer.request(at(now), request) == PermitAnswer::Granted {
                granted.entry(request.id).or_insert(now);
            }
        }
        let times: Vec<u64> = granted.values().copied().collect();
        let distinct: BTreeSet<u64> = times.iter().copied().collect();
        for begin in &distinct {
            let in_window = times.iter().filter(|t| **t >= *begin && **t < begin + 4_000);
            let allowed = (4_000 + 250) / shortest + 2;
            prop_assert!(in_window.count() as u64 <= allowed);
        }
    }
}
