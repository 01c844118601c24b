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

/// Names that begin alike share an address.
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
        slots: None,
        leaving: false,
    }
}

fn listed(registrations: &mut Registrations, now: u64, names: &[&str]) {
    let all = names.iter().map(|n| discovered(n, "pool")).collect();
    registrations.update(at(now), all);
}

fn names(registrations: &Registrations) -> Vec<String> {
    let upstreams = registrations.upstreams(&settings());
    upstreams.keys().map(ToString::to_string).collect()
}

#[test]
fn one_that_is_removed_in_calm_is_gone_at_once() {
    let mut registrations = Registrations::new();
    listed(&mut registrations, 0, &["one", "two"]);
    listed(&mut registrations, 10, &["two"]);
    assert_eq!(names(&registrations), ["two"]);
}

#[test]
fn registrations_that_lapsed_while_the_platform_was_away_stay_for_a_while() {
    let mut registrations = Registrations::new();
    listed(&mut registrations, 0, &["one", "two"]);
    registrations.mark_unreachable();
    listed(&mut registrations, 5_000, &[]);
    assert_eq!(names(&registrations), ["one", "two"]);
    listed(&mut registrations, 6_000, &["two"]);
    assert_eq!(names(&registrations), ["one", "two"]);
    let end = REREGISTRATION_TIME + Duration::from_secs(5);
    assert_eq!(registrations.next_tick(), Some(Timestamp::new(end)));
    assert!(registrations.tick(Timestamp::new(end)));
    assert_eq!(names(&registrations), ["two"]);
}

#[test]
fn one_that_says_after_an_outage_that_it_leaves_is_believed() {
    let mut registrations = Registrations::new();
    listed(&mut registrations, 0, &["one"]);
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
fn of_two_at_one_address_the_one_that_started_last_is_there() {
    let at_start = |name, started| DiscoveredUpstream {
        started,
        ..discovered(name, "pool")
    };
    for (old, new) in [(Some(1), Some(2)), (None, Some(2))] {
        let mut registrations = Registrations::new();
        registrations.update(at(0), vec![at_start("one-a", old), at_start("one-b", new)]);
        assert_eq!(names(&registrations), ["one-b"]);
        registrations.update(at(0), vec![at_start("one-a", new), at_start("one-b", old)]);
        assert_eq!(names(&registrations), ["one-a"]);
    }
}
