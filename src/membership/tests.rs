use proptest::prelude::*;

use super::*;

fn host(name: &str, zone: &str, state: HostState) -> Host {
    Host {
        name: Name::new(name),
        zone: Name::new(zone),
        state,
    }
}

fn entries(count: usize) -> Vec<Host> {
    (0..count)
        .map(|i| host(&format!("entry-{i}"), "a", HostState::Live))
        .collect()
}

fn watchers(hosts: &[Host]) -> Vec<Name> {
    let zone = Name::new("a");
    let names = hosts.iter().map(|h| h.name.clone());
    names
        .filter(|name| Membership::new(name, &zone, hosts, |_| true).is_watcher)
        .collect()
}

#[test]
fn an_entry_that_is_not_on_the_list_is_a_watcher() {
    let zone = Name::new("a");
    let membership = Membership::new(&Name::new("new"), &zone, &entries(9), |_| true);
    assert!(membership.is_watcher);
}

#[test]
fn leaving_hosts_are_reported_and_are_not_watchers() {
    let mut hosts = entries(2);
    hosts.push(host("old", "a", HostState::Leaving));
    let zone = Name::new("a");
    let membership = Membership::new(&Name::new("entry-0"), &zone, &hosts, |_| true);
    assert_eq!(membership.leaving, BTreeSet::from([Name::new("old")]));
    assert!(membership.is_watcher);
}

proptest! {
    /// The number of watchers does not depend on the number of entries, and
    /// the remaining watchers stay watchers when any entry is removed.
    #[test]
    fn the_number_of_watchers_is_fixed_and_removals_keep_the_others(count in 1usize..16, removed in 0usize..60) {
        let mut hosts = entries(count);
        let before = watchers(&hosts);
        prop_assert_eq!(before.len(), count.min(WATCHERS_PER_ZONE));
        let removed = hosts.remove(removed % count);
        let remaining: Vec<Name> = before.into_iter().filter(|w| *w != removed.name).collect();
        let after = watchers(&hosts);
        prop_assert!(remaining.iter().all(|w| after.contains(w)));
    }
}
