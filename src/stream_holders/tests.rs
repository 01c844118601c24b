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
    assert_eq!(entries_only.keepers(StreamId(7), false).len(), SPARE_COPIES);
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

fn entry(number: u32) -> Holder {
    holder(1_000_000 + number)
}

/// Returns what one of so many entries knows.
fn with_own(own: u32, entries: u32) -> Holders {
    let mut holders = holders(0, 0);
    holders.set_agents((0..12).map(holder));
    holders.set_own(entry(own));
    holders.set_entries((0..entries).filter(|n| *n != own).map(entry));
    holders
}

// Issue 75, LOST: what all processes know is gone when all end.
#[test]
fn archivist_gets_the_records_of_services_with_several_versions_only() {
    for own in 0..5 {
        let holders = with_own(own, 5);
        let stream = StreamId(7);
        let archivist = holders.archivist(stream).expect("an archivist");
        assert!(holders.keepers(stream, true).contains(&archivist));
        assert_eq!(holders.keepers(stream, false).len(), SPARE_COPIES);
        assert_eq!(holders.is_archivist(stream), archivist == entry(own));
        let asked = holders.asked_entries(Some(stream));
        assert_eq!(asked.contains(&archivist.address), archivist != entry(own));
    }
}

#[test]
fn entries_agree_on_the_archivist_of_each_stream() {
    let views: Vec<Holders> = (0..130).map(|own| with_own(own, 130)).collect();
    assert_eq!(views[0].shards(), 4);
    for stream in (0..8).map(StreamId) {
        let archivist = views[0].archivist(stream);
        assert!(views.iter().all(|v| v.archivist(stream) == archivist));
        let own = views.iter().filter(|v| v.is_archivist(stream));
        assert_eq!(own.count(), 1);
    }
    let owned: usize = views.iter().map(|v| v.own_shards().len()).sum();
    assert_eq!(owned, 4);
}

#[test]
fn entry_that_others_cannot_reach_archives_nothing() {
    let holders = holders(12, 5);
    assert_eq!(holders.archivist(StreamId(7)), None);
    assert!(holders.own_shards().is_empty());
}

// An entry that has just started knows no other yet, and can't tell which shards it has at a
// large site.
#[test]
fn lone_entry_archives_the_only_shard() {
    let mut holders = Holders::new();
    holders.set_own(entry(0));
    assert_eq!(holders.own_shards(), BTreeSet::from([0]));
    holders.raise_shards(4);
    assert!(holders.own_shards().is_empty());
}

// Records are where they were written.
#[test]
fn shards_are_kept_when_the_site_shrinks_or_all_entries_are_restarted() {
    let mut holders = with_own(0, 130);
    holders.set_entries((1..40).map(entry));
    assert_eq!(holders.shards(), 4);
    let mut restarted = with_own(0, 40);
    assert_eq!(restarted.shards(), 1);
    restarted.raise_shards(4);
    assert_eq!(restarted.shards(), 4);
    // What another writer has stored.
    for wrong in [0, 3, MAX_SHARDS * 2, u32::MAX] {
        restarted.raise_shards(wrong);
        assert_eq!(restarted.shards(), 4);
    }
}
