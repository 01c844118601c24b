use proptest::prelude::*;

use super::*;
use crate::name::Name;

fn document(files: &[(&str, &str)]) -> Document {
    let files = files.iter().map(|(name, text)| File {
        name: Name::new(name),
        text: (*text).to_owned(),
    });
    Document::new(files.collect())
}

fn problems(files: &[(&str, &str)]) -> String {
    match Settings::new(&document(files)) {
        Err(SettingsError::Invalid(problems)) => {
            let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
            lines.join("\n")
        }
        other => panic!("accepted: {other:?}"),
    }
}

const BASE: &str = "[tiers.urgent]\norder = 0\ndeadline = \"2s\"\n\
    [organisations.small]\ntier = \"urgent\"\nkeys = []\n";

#[test]
fn a_value_in_a_later_file_replaces_an_earlier_one() {
    let files = [
        ("20-b.toml", "tiers.urgent.deadline = \"1s\""),
        ("10-a.toml", BASE),
    ];
    let settings = Settings::new(&document(&files)).expect("the settings are valid");
    let deadline = settings.tiers["urgent"].deadline;
    assert_eq!(deadline, std::time::Duration::from_secs(1));
}

#[test]
fn show_names_the_file_of_each_value() {
    let files = [
        ("20-b.toml", "tiers.urgent.deadline = \"1s\""),
        ("10-a.toml", BASE),
    ];
    insta::assert_snapshot!(show(&MergedFiles::new(&document(&files))), @r#"
    organisations.small.keys = []  # 10-a.toml
    organisations.small.tier = "urgent"  # 10-a.toml
    tiers.urgent.deadline = "1s"  # 20-b.toml
    tiers.urgent.order = 0  # 10-a.toml
    "#);
}

#[test]
fn diff_shows_added_changed_and_removed_values() {
    let before = MergedFiles::new(&document(&[(
        "a.toml",
        "[limits]\nbody = \"1MiB\"\nprobes = 2",
    )]));
    let after = MergedFiles::new(&document(&[(
        "a.toml",
        "[limits]\nbody = \"2MiB\"\nrun = \"1m\"",
    )]));
    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(Change::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    ~ limits.body = "1MiB" -> "2MiB"
    - limits.probes = 2
    + limits.run = "1m"
    "#);
}

#[test]
fn one_run_reports_every_bad_value_with_its_file() {
    let bad = "[limits]\nbody = 3\nprobes = \"x\"\ncolour = 1\n[colours]\n\
        [organisations.large]\nkeys = [\"md5:1\"]\ntier = \"urgent\"\n";
    insta::assert_snapshot!(problems(&[("10-a.toml", BASE), ("20-b.toml", bad)]));
}

#[test]
fn dangling_names_duplicates_and_contradictions_are_errors() {
    let digest = format!("sha256:{}", "ab".repeat(32));
    let bad = format!(
        "[tiers.low]\norder = 0\ndeadline = \"1s\"\n\
         [organisations.One]\ntier = \"nowhere\"\nkeys = [\"{digest}\"]\n\
         [organisations.one]\ntier = \"low\"\nkeys = [\"{digest}\"]\n\
         [routes.p]\nkind = \"service\"\npath = \"/p\"\nservice = \"ghost\"\n"
    );
    insta::assert_snapshot!(problems(&[("10-a.toml", BASE), ("20-b.toml", &bad)]));
}

#[test]
fn a_file_that_is_not_toml_is_named_with_its_line() {
    insta::assert_snapshot!(problems(&[("10-a.toml", BASE), ("20-b.toml", "x = 1\n[")]));
}

#[test]
fn a_table_twice_in_one_file_is_an_error() {
    let twice = format!("{BASE}[organisations.small]\ntier = \"urgent\"\nkeys = []\n");
    insta::assert_snapshot!(problems(&[("10-a.toml", &twice)]));
}

#[test]
fn the_examples_are_valid() {
    let examples = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for (name, upstreams) in [("zobnik", 15), ("lada", 14)] {
        let document = Document::read(&examples.join(name)).expect("the folder can be read");
        let settings = Settings::new(&document).expect("the settings are valid");
        assert_eq!(settings.upstreams.len(), upstreams);
        assert_eq!(settings.organisations.len(), 5);
    }
}

proptest! {
    #[test]
    fn a_delta_turns_the_earlier_document_into_the_later(
        before in prop::collection::btree_map(0u8..6, 0u8..3, 0..6),
        after in prop::collection::btree_map(0u8..6, 0u8..3, 0..6),
    ) {
        let document_of = |files: &std::collections::BTreeMap<u8, u8>| {
            let files = files.iter().map(|(name, text)| File {
                name: Name::new(&name.to_string()),
                text: text.to_string(),
            });
            Document::new(files.collect())
        };
        let (before, after) = (document_of(&before), document_of(&after));
        let delta = Delta::new(&before, &after);
        prop_assert_eq!(delta.apply(&before), after);
    }

    #[test]
    fn random_files_never_cause_a_panic(
        text in "(\\[?[a-z]{0,6}[.=\\]\"'{} \n0-9]{0,8}){0,12}",
        section in prop::sample::select(vec!["tiers", "organisations", "upstreams", "routes", "limits"]),
        value in prop::sample::select(vec!["1", "\"x\"", "[]", "{}", "{ x = {} }", "-1", "1e400"]),
    ) {
        let wrong_type = format!("{section} = {value}");
        let _ = Settings::new(&document(&[("a.toml", &text), ("b.toml", &wrong_type)]));
    }
}
