use super::*;
use crate::settings::Document;
use crate::settings::File;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn settings() -> Settings {
    let text = "[tiers.only]\norder = 0\ndeadline = \"1s\"\n[services.pool]\nkind = \"model\"\nslots = 4\n";
    let file = File {
        name: Name::new("10.toml"),
        text: text.to_owned(),
    };
    Settings::new(&Document::new(vec![file])).expect("the settings are valid")
}

/// Returns an address that depends on the first two bytes of the name, so that
/// names with the same beginning share an address.
fn address(name: &str) -> SocketAddr {
    let port = name.bytes().take(2).map(u16::from).sum();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn discovered(name: &str, service: &str) -> DiscoveredUpstream {
    DiscoveredUpstream {
        name: Name::new(name),
        service: Name::new(service),
        zone: Name::new("a"),
        address: address(name),
        agent: None,
        instance: Some(Name::new(name)),
        started: None,
        version: None,
        cold_left: None,
        slots: None,
        leaving: false,
    }
}

fn update(registrations: &mut Registrations, now: u64, names: &[&str]) {
    let all = names.iter().map(|n| discovered(n, "pool")).collect();
    registrations.update(at(now), all);
}

fn names(registrations: &Registrations) -> Vec<String> {
    let upstreams = registrations.upstreams(&settings());
    upstreams.keys().map(ToString::to_string).collect()
}

#[test]
fn an_upstream_removed_without_an_outage_is_dropped_immediately() {
    let mut registrations = Registrations::new();
    update(&mut registrations, 0, &["one", "two"]);
    update(&mut registrations, 10, &["two"]);
    assert_eq!(names(&registrations), ["two"]);
}

#[test]
fn registrations_that_expired_during_an_outage_are_kept_for_the_reregistration_time() {
    let mut registrations = Registrations::new();
    update(&mut registrations, 0, &["one", "two"]);
    registrations.mark_unreachable();
    update(&mut registrations, 5_000, &[]);
    assert_eq!(names(&registrations), ["one", "two"]);
    update(&mut registrations, 6_000, &["two"]);
    assert_eq!(names(&registrations), ["one", "two"]);
    let end = REREGISTRATION_TIME + Duration::from_secs(5);
    assert_eq!(registrations.next_tick(), Some(Timestamp::new(end)));
    assert!(registrations.tick(Timestamp::new(end)));
    assert_eq!(names(&registrations), ["two"]);
}

// Issue 25, DRAIN: upstreams that had left were used for 2.5 s after any failed call.
#[test]
fn an_upstream_missing_after_a_short_outage_has_left() {
    let mut registrations = Registrations::new().with_shortest_lapse(Duration::from_secs(2));
    update(&mut registrations, 0, &["one", "two"]);
    registrations.confirm(at(4_000));
    registrations.mark_unreachable();
    update(&mut registrations, 5_999, &["two"]);
    assert_eq!(names(&registrations), ["two"]);
    registrations.mark_unreachable();
    update(&mut registrations, 7_999, &[]);
    assert_eq!(names(&registrations), ["two"]);
}

// Issue 25, DRAIN: each further failure kept the missing upstreams for 2.5 s more.
#[test]
fn short_outages_do_not_extend_the_reregistration_time() {
    let mut registrations = Registrations::new().with_shortest_lapse(Duration::from_secs(2));
    update(&mut registrations, 0, &["one"]);
    registrations.mark_unreachable();
    update(&mut registrations, 4_000, &[]);
    let end = Duration::from_secs(4) + REREGISTRATION_TIME;
    registrations.mark_unreachable();
    let before_end = Timestamp::new(end - Duration::from_millis(600));
    registrations.update(before_end, Vec::new());
    assert_eq!(registrations.next_tick(), Some(Timestamp::new(end)));
    registrations.mark_unreachable();
    registrations.update(Timestamp::new(end), Vec::new());
    assert!(names(&registrations).is_empty());
}

#[test]
fn missing_upstreams_are_kept_while_a_second_outage_lasts() {
    let mut registrations = Registrations::new().with_shortest_lapse(Duration::from_secs(2));
    update(&mut registrations, 0, &["one"]);
    registrations.mark_unreachable();
    update(&mut registrations, 4_000, &[]);
    registrations.mark_unreachable();
    assert_eq!(registrations.next_tick(), None);
    assert!(!registrations.tick(at(20_000)));
    assert_eq!(names(&registrations), ["one"]);
    update(&mut registrations, 20_000, &[]);
    let end = REREGISTRATION_TIME + Duration::from_secs(20);
    assert!(registrations.tick(Timestamp::new(end)));
    assert!(names(&registrations).is_empty());
}

#[test]
fn an_upstream_listed_as_leaving_after_an_outage_is_leaving() {
    let mut registrations = Registrations::new();
    update(&mut registrations, 0, &["one"]);
    registrations.mark_unreachable();
    let leaving = DiscoveredUpstream {
        leaving: true,
        ..discovered("one", "pool")
    };
    registrations.update(at(10), vec![leaving]);
    let upstreams = registrations.upstreams(&settings());
    assert!(upstreams.values().all(|u| u.leaving));
}

#[test]
fn an_upstream_of_an_unknown_service_is_not_used() {
    let mut registrations = Registrations::new();
    registrations.update(
        at(0),
        vec![discovered("one", "other"), discovered("two", "pool")],
    );
    assert_eq!(names(&registrations), ["two"]);
}

#[test]
fn of_two_upstreams_at_one_address_only_the_latest_is_returned() {
    let started_at = |name, started| DiscoveredUpstream {
        started,
        ..discovered(name, "pool")
    };
    for (old, new) in [(Some(1), Some(2)), (None, Some(2))] {
        let mut registrations = Registrations::new();
        registrations.update(
            at(0),
            vec![started_at("one-a", old), started_at("one-b", new)],
        );
        assert_eq!(names(&registrations), ["one-b"]);
        registrations.update(
            at(0),
            vec![started_at("one-a", new), started_at("one-b", old)],
        );
        assert_eq!(names(&registrations), ["one-a"]);
    }
}

// Review 10, LOST: an entry of a service that is not named took the place of an upstream.
#[test]
fn registration_of_an_unknown_service_takes_no_address() {
    let foreign = DiscoveredUpstream {
        started: Some(2),
        ..discovered("one-b", "other")
    };
    let upstream = DiscoveredUpstream {
        started: Some(1),
        ..discovered("one-a", "pool")
    };
    let mut registrations = Registrations::new();
    registrations.update(at(0), vec![foreign, upstream]);
    assert_eq!(names(&registrations), ["one-a"]);
}

fn run(name: &str, leaving: bool) -> DiscoveredUpstream {
    DiscoveredUpstream {
        started: Some(7),
        leaving,
        ..discovered(name, "pool")
    }
}

fn accepting(registrations: &Registrations) -> Vec<String> {
    let upstreams = registrations.upstreams(&settings());
    let accepting = upstreams.iter().filter(|(_, u)| !u.leaving);
    accepting.map(|(name, _)| name.to_string()).collect()
}

#[test]
fn registrations_that_an_older_copy_lacks_are_kept_until_they_are_written_again() {
    let mut registrations = Registrations::new();
    registrations.update(at(0), vec![run("one", false), run("two", false)]);
    registrations.mark_restored();
    registrations.update(at(100), vec![run("one", false)]);
    assert_eq!(accepting(&registrations), ["one", "two"]);
    registrations.update(at(1_000), vec![run("one", false), run("two", false)]);
    registrations.tick(at(5_000));
    assert_eq!(accepting(&registrations), ["one", "two"]);
}

#[test]
fn a_leaving_upstream_keeps_leaving_in_an_older_copy() {
    let mut registrations = Registrations::new();
    registrations.update(at(0), vec![run("one", true)]);
    registrations.mark_restored();
    registrations.update(at(100), vec![run("one", false)]);
    assert!(accepting(&registrations).is_empty());
    let restarted = DiscoveredUpstream {
        started: Some(8),
        ..run("one", false)
    };
    registrations.update(at(200), vec![restarted]);
    assert_eq!(accepting(&registrations), ["one"]);
}

#[test]
fn a_removed_upstream_in_an_older_copy_gets_work_only_once_it_registers_again() {
    let mut registrations = Registrations::new();
    registrations.update(at(0), vec![run("one", false), run("two", false)]);
    registrations.update(at(100), vec![run("two", false)]);
    registrations.mark_restored();
    let copy = || vec![run("one", false), run("two", false)];
    registrations.update(at(200), copy());
    registrations.update(at(300), copy());
    assert_eq!(accepting(&registrations), ["two"]);
    let registered = DiscoveredUpstream {
        slots: Some(3),
        ..run("one", false)
    };
    registrations.update(at(400), vec![registered, run("two", false)]);
    assert_eq!(accepting(&registrations), ["one", "two"]);
}

// Review 15, LOST: upstreams that were cut off from the platform, and whose registrations an
// older copy has as they still are, were never used again.
#[test]
fn a_removed_upstream_that_an_older_copy_lists_gets_work_if_it_is_not_removed_again() {
    let lapse = Some(Duration::from_secs(4));
    let start = || {
        let mut registrations = Registrations::new().with_longest_lapse(lapse);
        registrations.update(at(0), vec![run("one", false), run("two", false)]);
        registrations.update(at(100), vec![run("two", false)]);
        registrations.mark_restored();
        registrations.update(at(200), vec![run("one", false), run("two", false)]);
        assert_eq!(accepting(&registrations), ["two"]);
        registrations
    };
    let mut alive = start();
    assert_eq!(alive.next_tick(), Some(at(2_400)));
    alive.tick(at(2_400));
    alive.confirm(at(4_000));
    assert_eq!(alive.next_tick(), Some(at(4_200)));
    assert!(!alive.tick(at(4_199)));
    assert_eq!(accepting(&alive), ["two"]);
    assert!(alive.tick(at(4_200)));
    assert_eq!(accepting(&alive), ["one", "two"]);
    assert_eq!(alive.next_tick(), None);
    // One that has left is removed again before.
    let mut left = start();
    left.update(at(3_800), vec![run("two", false)]);
    left.tick(at(5_000));
    assert_eq!(accepting(&left), ["two"]);
}

// Without the platform nothing is removed, so that a registration tells nothing.
#[test]
fn a_removed_upstream_in_an_older_copy_gets_no_work_after_an_outage_alone() {
    let lapse = Some(Duration::from_secs(4));
    let mut registrations = Registrations::new().with_longest_lapse(lapse);
    registrations.update(at(0), vec![run("one", false), run("two", false)]);
    registrations.update(at(100), vec![run("two", false)]);
    registrations.mark_restored();
    registrations.update(at(200), vec![run("one", false), run("two", false)]);
    registrations.mark_unreachable();
    assert!(!registrations.tick(at(4_200)));
    registrations.confirm(at(6_000));
    registrations.tick(at(9_999));
    assert_eq!(accepting(&registrations), ["two"]);
    assert!(registrations.tick(at(10_000)));
    assert_eq!(accepting(&registrations), ["one", "two"]);
}

#[test]
fn a_removed_upstream_that_registers_again_without_a_restore_gets_work() {
    let mut registrations = Registrations::new();
    registrations.update(at(0), vec![run("one", false)]);
    registrations.update(at(100), Vec::new());
    registrations.update(at(200), vec![run("one", false)]);
    assert_eq!(accepting(&registrations), ["one"]);
}
