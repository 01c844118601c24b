use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::*;
use crate::name::Name;

fn holder(number: u32) -> Holder {
    let [_, high, middle, low] = number.to_be_bytes();
    Holder {
        address: SocketAddr::from(([10, high, middle, low], 7_600)),
        run: 0,
    }
}

fn holders(agents: u32, entries: u32) -> Holders {
    let mut holders = Holders::new();
    holders.set_agents((0..agents).map(holder));
    holders.set_entries((0..entries).map(|i| holder(1_000_000 + i)));
    holders
}

#[test]
fn keepers_are_among_the_asked_at_another_entry() {
    let at_begin = holders(12, 5);
    // Meanwhile an agent has gone and two have come; an entry has ended.
    let mut later = Holders::new();
    later.set_agents((1..14).map(holder));
    later.set_entries((1..5).map(|i| holder(1_000_000 + i)));
    for stream in (0..200).map(StreamId) {
        let agents = later.asked_agents(Some(stream));
        let entries = later.asked_entries(Some(stream));
        let asked: BTreeSet<SocketAddr> = agents.into_iter().chain(entries).collect();
        let keepers = at_begin.keepers(stream, true);
        let reached = keepers.iter().filter(|k| asked.contains(&k.address));
        assert!(reached.count() >= 2, "{stream:?}");
    }
}

#[test]
fn few_agents_keep_the_record_of_a_service_with_one_version() {
    let with_agents = holders(12, 5);
    let spare = with_agents.keepers(StreamId(7), false);
    assert_eq!(spare.len(), SPARE_COPIES);
    let mixed = with_agents.keepers(StreamId(7), true);
    assert_eq!(mixed.len(), AGENT_COPIES + ENTRY_COPIES);
    assert!(spare.iter().all(|h| mixed.contains(h)));
}

#[test]
fn entries_keep_the_records_where_there_are_no_agents() {
    let entries_only = holders(0, 9);
    assert!(entries_only.keepers(StreamId(7), false).is_empty());
    let mixed = entries_only.keepers(StreamId(7), true);
    assert_eq!(mixed.len(), LONE_ENTRY_COPIES);
    let asked = entries_only.asked_entries(Some(StreamId(7)));
    assert_eq!(asked.len(), ASKED_LONE_ENTRIES);
}

#[test]
fn change_of_a_process_at_an_address_is_a_change() {
    let mut holders = Holders::new();
    assert!(holders.set_agents([holder(1), holder(2)]));
    assert!(!holders.set_agents([holder(2), holder(1), holder(1)]));
    let restarted = Holder {
        run: 1,
        ..holder(2)
    };
    assert!(holders.set_agents([holder(1), restarted]));
}

#[test]
fn records_are_spread_over_all_agents() {
    let holders = holders(20, 0);
    let mut counts: BTreeMap<Holder, u32> = BTreeMap::new();
    for stream in (0..2_000).map(|i| StreamId::new(&Name::new("a"), &i.to_string())) {
        for keeper in holders.keepers(stream, false) {
            *counts.entry(keeper).or_default() += 1;
        }
    }
    // 200 on average.
    assert_eq!(counts.len(), 20);
    assert!(
        counts.values().all(|c| (120..300).contains(c)),
        "{counts:?}"
    );
}
