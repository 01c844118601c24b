//! Tests of the table of entries.

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

fn table(own: u16, others: &[u16]) -> PeerTable {
    let mut table = PeerTable::new(address(own));
    for other in others {
        assert!(table.add(at(0), address(*other)));
    }
    table
}

#[test]
fn an_entry_does_not_add_itself_or_another_twice() {
    let mut table = table(1, &[2]);
    assert!(!table.add(at(0), address(1)));
    assert!(!table.add(at(0), address(2)));
    assert_eq!(table.entries(), 2);
}

#[test]
fn all_entries_agree_on_the_holder_of_a_key() {
    let tables = [table(1, &[2, 3]), table(2, &[1, 3]), table(3, &[1, 2])];
    for key in 0..50_u8 {
        let holders = tables
            .iter()
            .map(|t| t.holder(at(0), &[key], false).unwrap_or(t.own));
        let holders: Vec<SocketAddr> = holders.collect();
        assert!(holders.iter().all(|h| *h == holders[0]), "{holders:?}");
    }
}

#[test]
fn silent_entry_holds_nothing_and_counts_as_running_for_long() {
    let mut table = table(1, &[2, 3]);
    table.record_report(at(10), address(2), Incarnation(2));
    assert_eq!(table.reachable(at(10)), [address(2)]);
    let holds = (0..50_u8).any(|key| table.holder(at(10), &[key], false) == Some(address(3)));
    assert!(!holds);
    assert!((table.reachable_fraction(at(10)) - 2.0 / 3.0).abs() < 1e-9);
    table.record_report(at(400), address(2), Incarnation(2));
    assert!((table.reachable_fraction(at(400)) - 1.0).abs() < 1e-9);
}

#[test]
fn entry_that_announces_its_stop_holds_nothing_until_another_process_takes_its_place() {
    let mut table = table(1, &[2]);
    table.record_leaving(address(2), Incarnation(7));
    table.record_report(at(5), address(2), Incarnation(7));
    let held =
        |table: &PeerTable| (0..50_u8).any(|key| table.holder(at(5), &[key], false).is_some());
    assert!(!held(&table));
    assert!((table.reachable_fraction(at(20)) - 1.0).abs() < 1e-9);
    table.record_report(at(5), address(2), Incarnation(8));
    assert!(held(&table));
}

#[test]
fn entry_that_is_stopping_leaves_its_keys_to_others() {
    let table = table(1, &[2]);
    assert!((0..50_u8).all(|key| table.holder(at(0), &[key], true) == Some(address(2))));
}

// Issue 56, LOST: nobody noticed that a process at the same address had lost its memory.
#[test]
fn first_report_of_each_process_is_told_from_the_others() {
    let mut table = table(1, &[2]);
    assert!(table.record_report(at(1), address(2), Incarnation(7)));
    assert!(!table.record_report(at(2), address(2), Incarnation(7)));
    assert!(table.record_report(at(3), address(2), Incarnation(8)));
    let runs = table.reachable_runs(at(3));
    assert_eq!(runs, [(address(2), Some(Incarnation(8)))]);
    assert!(!table.record_report(at(3), address(3), Incarnation(9)));
}
