use super::*;

fn entry(name: &str, total: u64, bad: u64) -> EntryBurn {
    let windows = Window::ALL.map(|w| (w, RequestCount { total, bad }));
    EntryBurn {
        entry: Name::new(name),
        objectives: BTreeMap::from([(Name::new("urgent"), 0.9)]),
        rows: vec![BurnRow {
            key: BurnKey {
                tier: Name::new("urgent"),
                organisation: Name::new("small"),
            },
            windows: windows.into_iter().collect(),
            outcomes: BTreeMap::from([(Outcome::late, bad), (Outcome::good, total - bad)]),
        }],
        upstreams: BTreeMap::from([(
            Name::new("engine-a"),
            BTreeMap::from([(Outcome::late, bad), (Outcome::good, total - bad)]),
        )]),
    }
}

#[test]
fn the_table_sums_entries_and_lists_unreachable_ones() {
    let entries = [entry("entry-1", 100, 5), entry("entry-2", 100, 0)];
    let report = BurnReport::new(&entries, vec!["http://127.0.0.1:9".to_owned()]);
    insta::assert_snapshot!(report.table());
}

#[test]
fn an_unreachable_entry_is_not_counted_as_good() {
    let report = BurnReport::new(&[], vec!["http://127.0.0.1:9".to_owned()]);
    assert!(report.rows.is_empty());
    assert_eq!(report.unreachable.len(), 1);
}
