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
        .filter(|name| Membership::new(name, &zone, hosts, |_| true).watches)
        .collect()
}

#[test]
fn an_entry_that_is_not_listed_watches() {
    let zone = Name::new("a");
    let membership = Membership::new(&Name::new("new"), &zone, &entries(9), |_| true);
    assert!(membership.watches);
}

#[test]
fn leaving_hosts_are_named_and_do_not_watch() {
    let mut hosts = entries(2);
    hosts.push(host("old", "a", HostState::Leaving));
    let zone = Name::new("a");
    let membership = Membership::new(&Name::new("entry-0"), &zone, &hosts, |_| true);
    assert_eq!(membership.leaving, BTreeSet::from([Name::new("old")]));
    assert!(membership.watches);
}

proptest! {
    /// However many entries there are, two watch; and the end of an entry
    /// that did not watch changes nothing.
    #[test]
    fn a_fixed_number_watches(count in 1usize..16, gone in 0usize..60) {
        let mut hosts = entries(count);
        let before = watchers(&hosts);
        prop_assert_eq!(before.len(), count.min(WATCHERS_PER_ZONE));
        let gone = hosts.remove(gone % count);
        let kept: Vec<Name> = before.into_iter().filter(|w| *w != gone.name).collect();
        let after = watchers(&hosts);
        prop_assert!(kept.iter().all(|w| after.contains(w)));
    }
}
