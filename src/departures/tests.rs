use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

fn run(name: &str, started: u64) -> UpstreamRun {
    UpstreamRun {
        upstream: Name::new(name),
        started: Some(started),
    }
}

// Issue 38: an upstream can start again under the name that it had.
#[test]
fn departure_holds_for_one_run() {
    let mut departures = Departures::new();
    assert!(departures.record(at(1), &run("a", 5)));
    assert!(!departures.record(at(2), &run("a", 5)));
    assert!(departures.contains(&run("a", 5)));
    assert!(!departures.contains(&run("a", 6)));
}

#[test]
fn reports_reach_an_entry_that_starts() {
    let mut departures = Departures::new();
    for name in ["a", "b", "c"] {
        departures.record(at(10), &run(name, 1));
    }
    let first = departures.reports_after(at(20), None, 2);
    let last = first.last().map(|r| r.run.clone());
    let second = departures.reports_after(at(20), last.as_ref(), 2);
    let mut started = Departures::new();
    let news = first.iter().chain(&second);
    let news = news.filter(|r| started.merge(at(3), r)).count();
    assert_eq!(news, 3);
    assert!(started.contains(&run("c", 1)));
}

#[test]
fn departures_are_forgotten_everywhere() {
    let mut departures = Departures::new();
    departures.record(at(0), &run("a", 1));
    let old = departures
        .report(at(3_600), &run("a", 1))
        .expect("a report");
    departures.expire(at(3_600));
    assert!(!departures.contains(&run("a", 1)));
    assert!(!departures.merge(at(3_601), &old));
}
