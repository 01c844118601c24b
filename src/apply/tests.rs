use std::cell::RefCell;
use std::rc::Rc;

use proptest::prelude::*;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

use super::*;
use crate::object_store::MemoryObjectStore;
use crate::object_store::tests::FaultRates;
use crate::object_store::tests::FaultyStore;

const SEEDS: std::ops::Range<u64> = 0..40;
const OPERATORS: usize = 4;
const EDITS: usize = 3;

fn file(name: &str, text: &str) -> File {
    File {
        name: Name::new(name),
        text: text.to_owned(),
    }
}

fn document(files: &[(&str, &str)]) -> Document {
    Document::new(files.iter().map(|(n, t)| file(n, t)).collect())
}

fn tiers(edit: usize) -> String {
    format!(
        "tiers.urgent.order = 0\ntiers.urgent.deadline = \"{}s\"",
        edit + 1
    )
}

#[test]
fn changes_to_different_files_merge_and_changes_to_one_file_conflict() {
    let base_files = document(&[("a", "1"), ("b", "1")]);
    let base = MergeBase::new(&base_files);
    let local = document(&[("a", "2"), ("b", "1")]);
    let stored = document(&[("a", "1"), ("b", "2"), ("c", "1")]);
    let merged = merge(&base, &local, &stored);
    assert_eq!(merged, Ok(document(&[("a", "2"), ("b", "2"), ("c", "1")])));
    let same_file = document(&[("a", "3"), ("b", "1")]);
    assert_eq!(merge(&base, &local, &same_file), Err(vec![Name::new("a")]));
}

#[test]
fn a_removed_file_stays_removed_unless_another_operator_changed_it() {
    let base = MergeBase::new(&document(&[("a", "1"), ("b", "1")]));
    let local = document(&[("b", "1")]);
    assert_eq!(
        merge(&base, &local, &document(&[("a", "1"), ("b", "1")])),
        Ok(local.clone())
    );
    let changed = document(&[("a", "2"), ("b", "1")]);
    assert_eq!(merge(&base, &local, &changed), Err(vec![Name::new("a")]));
}

proptest! {
    /// Checks for every file of a merge that a change on one side only is kept
    /// and an equal change on both sides is kept, and that any other pair of
    /// changes is a conflict.
    #[test]
    fn no_edit_is_lost(files in prop::collection::vec((0u8..4, 0u8..4, 0u8..4), 1..6)) {
        let pick = |side: fn(&(u8, u8, u8)) -> u8| {
            let named = files.iter().enumerate().filter(|(_, f)| side(f) > 0);
            let made = named.map(|(i, f)| file(&format!("f{i}"), &side(f).to_string()));
            Document::new(made.collect())
        };
        let (base, local, stored) = (pick(|f| f.0), pick(|f| f.1), pick(|f| f.2));
        let merged = merge(&MergeBase::new(&base), &local, &stored);
        let conflict = files.iter().any(|(b, l, s)| l != b && s != b && l != s);
        prop_assert_eq!(merged.is_err(), conflict);
        if let Ok(merged) = merged {
            for (i, (b, l, s)) in files.iter().enumerate() {
                let wanted = if l == b { s } else { l };
                let name = format!("f{i}");
                let text = merged.files.iter().find(|f| &*f.name == name.as_str());
                let text = text.map_or("0".to_owned(), |f| f.text.clone());
                prop_assert_eq!(text, wanted.to_string());
            }
        }
    }
}

/// Result of one `apply`, as its operator observed it.
#[derive(Clone, Debug)]
enum Observed {
    Applied(u64),
    NotApplied,
    OutcomeUnknown,
}

struct RevisionSpec;

/// Keeps the lowest and the highest revision that the store may have.
impl Specification for RevisionSpec {
    type State = (u64, u64);
    type Operation = Observed;

    fn init() -> (u64, u64) {
        (0, 0)
    }

    fn apply(operation: &Observed, (low, high): &(u64, u64)) -> (bool, (u64, u64)) {
        match operation {
            Observed::Applied(r) => ((low + 1..=high + 1).contains(r), (*r, *r)),
            Observed::NotApplied => (true, (*low, *high)),
            Observed::OutcomeUnknown => (true, (*low, high + 1)),
        }
    }
}

type Actions = Rc<RefCell<Vec<(usize, Action<Observed>)>>>;

/// Edits a file of its own several times. Returns the last edit that was
/// confirmed as applied, and whether a later one may have been applied.
async fn edit_repeatedly(
    store: FaultyStore,
    operator: usize,
    actions: Actions,
) -> (Option<usize>, bool) {
    let name = format!("2{operator}.toml");
    let mut base = MergeBase::default();
    let (mut last, mut outcome_unknown) = (None, false);
    for edit in 0..EDITS {
        let text = format!("limits.probes = {}", edit + 1);
        let local = document(&[("10.toml", &tiers(0)), (&name, &text)]);
        actions
            .borrow_mut()
            .push((operator, Action::Call(Observed::OutcomeUnknown)));
        let applied = apply(&store, &base, &local, (operator * 100 + edit) as u64).await;
        actions.borrow_mut().push((
            operator,
            Action::Response(match &applied {
                Ok(applied) => Observed::Applied(applied.revision.0),
                Err(ApplyError::OutcomeUnknown(_)) => Observed::OutcomeUnknown,
                Err(_) => Observed::NotApplied,
            }),
        ));
        match applied {
            Ok(applied) => {
                base = applied.base;
                (last, outcome_unknown) = (Some(edit), false);
            }
            Err(ApplyError::OutcomeUnknown(_)) => outcome_unknown = true,
            Err(_) => {}
        }
    }
    (last, outcome_unknown)
}

#[actix_rt::test]
async fn concurrent_operators_lose_no_edit_and_revisions_are_linearizable() {
    for rates in FaultRates::TABLE {
        for seed in SEEDS {
            let store = Rc::new(MemoryObjectStore::new());
            let actions = Actions::default();
            let operators = (0..OPERATORS).map(|operator| {
                let seed = seed * 31 + operator as u64;
                let faulty = FaultyStore::new(Rc::clone(&store), rates, seed);
                edit_repeatedly(faulty, operator, Rc::clone(&actions))
            });
            let results = futures::future::join_all(operators).await;
            let history = History::from_actions(actions.take());
            let linearizable = WGLChecker::<RevisionSpec>::is_linearizable(history);
            assert!(linearizable, "seed {seed}, {rates:?}");
            let stored = fetch(&*store).await.expect("the store answers");
            for (operator, (last, outcome_unknown)) in results.into_iter().enumerate() {
                let name = format!("2{operator}.toml");
                let files = &stored.document.files;
                let stored_file = files.iter().find(|f| &*f.name == name.as_str());
                let wanted = last.map(|edit| format!("limits.probes = {}", edit + 1));
                let kept = stored_file.map(|f| &f.text) == wanted.as_ref();
                assert!(
                    kept || outcome_unknown,
                    "seed {seed}, {rates:?}, operator {operator}"
                );
            }
        }
    }
}
