//! Entries that share the replicas of a plain service.

mod fleet;
mod scenario;

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::mpsc;

use self::fleet::Fleet;
use self::scenario::Scenario;
use self::scenario::Totals;
use super::LocalSchedulers;
use crate::clock::Timestamp;
use crate::dispatch::Event;
use crate::entry::load_metrics::LoadMetrics;
use crate::entry::reported_loads::ReportedLoads;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerConfig;
use crate::settings::Settings;
use crate::ticket::OfferResult;
use crate::ticket::Rank;
use crate::ticket::Ticket;
use crate::ticket::Work;

/// The seeds over which a comparison is summed.
const SEEDS: Range<u64> = 1..5;

/// Returns the sums over all seeds without and with the choice by reported load.
fn compare(scenario: Scenario) -> (Totals, Totals) {
    let run = |is_load_reported| {
        let scenario = Scenario {
            is_load_reported,
            ..scenario
        };
        SEEDS.fold(Totals::default(), |sum, seed| {
            sum.plus(&Fleet::new(scenario, seed).run())
        })
    };
    let (before, after) = (run(false), run(true));
    println!("{scenario:?}\nbefore {before:?}\nafter {after:?}");
    (before, after)
}

// Guards against entries that choose the same replica, where requests wait behind others
// while another replica has free slots.
#[test]
fn fewer_requests_are_late_where_replicas_let_them_wait() {
    for rate in [100.0, 180.0] {
        let (before, after) = compare(Scenario {
            rate,
            max_waiting: 302,
            ..Scenario::default()
        });
        assert!(after.late * 2 < before.late, "rate {rate}");
        assert!(
            after.queued_with_room * 2 < before.queued_with_room,
            "rate {rate}"
        );
    }
}

// Guards against requests that are sent to a replica that rejects them while another one
// would take them.
#[test]
fn fewer_requests_are_rejected_by_replicas() {
    for rate in [100.0, 180.0] {
        let (before, after) = compare(Scenario {
            rate,
            ..Scenario::default()
        });
        assert!(after.late < before.late, "rate {rate}");
        assert!(after.rejected < before.rejected, "rate {rate}");
        assert_eq!(after.refused_with_room, 0, "rate {rate}");
    }
}

// Guards against a choice that needs the fourth number of the report.
#[test]
fn reports_without_slowness_help_too() {
    let (before, after) = compare(Scenario {
        max_waiting: 302,
        rate: 140.0,
        reports_slowness: false,
        ..Scenario::default()
    });
    assert!(after.late * 2 < before.late);
}

fn ticket(sequence: u64) -> Ticket {
    let end = Timestamp::new(Duration::from_secs(10));
    Ticket {
        request: RequestId {
            incarnation: Incarnation(1),
            sequence,
        },
        organisation: Name::new("organisation"),
        rank: Rank::default(),
        deadline: end,
        objective: end,
        wait_deadline: end,
        work: Work::default(),
        prefix: Vec::new(),
        idempotent: false,
        interval: None,
        run_start: None,
    }
}

// Guards against other quotes for upstreams that report nothing, which are to be served as
// by the scheduler alone.
#[test]
fn quotes_without_reports_are_those_of_the_scheduler() {
    let at = |millis| Timestamp::new(Duration::from_millis(millis));
    let upstream = Name::new("replica-0");
    let config = SchedulerConfig::new(&Settings::default(), None, 6);
    let mut alone = Scheduler::new(config.clone());
    let log = Logger::root(Discard, o!());
    let loads = ReportedLoads::new(LoadMetrics::default(), 0, log);
    let schedulers = LocalSchedulers::new(Rc::new(loads));
    let (tx, mut rx) = mpsc::unbounded_channel();
    for sequence in 0..5 {
        let (sent_at, ended_at) = (at(100 * sequence), at(100 * sequence + 30 + sequence));
        let ticket = ticket(sequence);
        let (expected, _) = alone.offer(sent_at, ticket.clone());
        schedulers.offer(sent_at, &upstream, config.clone(), ticket.clone(), &tx);
        let Ok(Event::OfferReplied(_, offered)) = rx.try_recv() else {
            panic!("no reply");
        };
        assert_eq!(offered, expected);
        let OfferResult::Granted(grant) = expected else {
            panic!("not granted");
        };
        let request = ticket.request;
        alone.mark_sent(sent_at, request, grant.id);
        alone.finish(ended_at, request, Some(Work::default()));
        schedulers.mark_sent(sent_at, &upstream, request, grant.id);
        schedulers.finish(ended_at, &upstream, request, Some(Work::default()));
    }
}
