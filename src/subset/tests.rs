use std::net::SocketAddr;

use super::*;
use crate::settings::Fencing;
use crate::settings::UpstreamKind;

fn upstreams(count: usize, models: usize) -> BTreeMap<Name, Upstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let upstream = |i: usize| Upstream {
        kind: UpstreamKind::Model,
        zone: Name::new(&format!("zone-{}", i % 4)),
        address,
        agent: Some(address),
        instance: None,
        leaving: false,
        event_tokens: 1,
        serves: vec![Name::new(&format!("model-{}", i % models))],
        loads: Vec::new(),
        slots: 1,
        cache_tokens: 0,
        fencing: Fencing::Ignored,
    };
    (0..count)
        .map(|i| (Name::new(&format!("engine-{i}")), upstream(i)))
        .collect()
}

fn chosen(entry: usize, upstreams: &BTreeMap<Name, Upstream>, links: usize) -> BTreeSet<Name> {
    let zone = Name::new(&format!("zone-{}", entry % 4));
    choose(
        &Name::new(&format!("entry-{entry}")),
        &zone,
        upstreams,
        links,
    )
}

#[test]
fn a_small_site_is_a_full_mesh() {
    let upstreams = upstreams(12, 1);
    assert_eq!(chosen(1, &upstreams, 16).len(), 12);
}

#[test]
fn a_large_fleet_gives_each_entry_a_few_agents_of_every_model() {
    let upstreams = upstreams(600, 5);
    let mut entries: BTreeMap<Name, usize> = BTreeMap::new();
    for entry in 0..100 {
        let chosen = chosen(entry, &upstreams, 8);
        assert_eq!(chosen.len(), 5 * 8);
        chosen
            .into_iter()
            .for_each(|name| *entries.entry(name).or_default() += 1);
    }
    // The mean is 6.7 entries an agent; hardly any agent is left out.
    assert!(entries.len() > 590, "{}", entries.len());
    assert!(entries.values().all(|count| *count < 25));
}

#[test]
fn the_end_of_one_agent_moves_one_connection_at_most() {
    let mut upstreams = upstreams(600, 5);
    let before = chosen(7, &upstreams, 8);
    let gone = before.first().cloned().expect("an agent is chosen");
    upstreams.remove(&gone);
    let after = chosen(7, &upstreams, 8);
    assert_eq!(before.intersection(&after).count(), before.len() - 1);
}
