use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

use super::*;
use crate::name::Name;
use crate::object_store::MemoryObjectStore;
use crate::object_store::tests::FaultRates;
use crate::object_store::tests::FaultyStore;

const SEEDS: std::ops::Range<u64> = 0..40;
const CLAIMANTS: u64 = 6;

fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&Name::new("small"), text)
}

fn claim(nonce: u64, request: &str) -> Claim {
    Claim {
        nonce: ClaimNonce(nonce),
        request: Digest::new(&[request.as_bytes()]),
        runs_until: unix_now() + 100,
        kept_until: unix_now() + 1000,
        state: ClaimState::Claimed,
    }
}

fn answer() -> SavedAnswer {
    SavedAnswer {
        status: 200,
        content_type: None,
        body: Some(Name::new("saved")),
    }
}

#[test]
fn a_repeated_claim_gets_the_state_of_the_first() {
    let mut table = ClaimTable::default();
    let now = unix_now();
    let first = Operation::Claim(key("k"), claim(1, "r"));
    let repeat = Operation::Claim(key("k"), claim(2, "r"));
    let other = Operation::Claim(key("k"), claim(3, "another"));
    assert_eq!(table.apply(&first, now), ClaimVerdict::Granted);
    assert_eq!(table.apply(&repeat, now), ClaimVerdict::Running);
    assert_eq!(table.apply(&other, now), ClaimVerdict::Mismatch);
    assert_eq!(table.apply(&repeat, now + 101), ClaimVerdict::Unknown);
    let done = ClaimState::Done(answer());
    table.apply(&Operation::Finish(key("k"), ClaimNonce(1), done), now);
    assert_eq!(table.apply(&repeat, now), ClaimVerdict::Done(answer()));
    assert_eq!(table.apply(&repeat, now + 1001), ClaimVerdict::Granted);
}

#[test]
fn equal_keys_of_different_organisations_do_not_collide() {
    let mine = ClaimKey::new(&Name::new("a"), "k");
    let theirs = ClaimKey::new(&Name::new("b"), "k");
    assert_ne!(mine, theirs);
}

#[test]
fn only_the_claimant_can_finish_or_release_its_claim() {
    let mut table = ClaimTable::default();
    let now = unix_now();
    table.apply(&Operation::Claim(key("k"), claim(1, "r")), now);
    table.apply(&Operation::Release(key("k"), ClaimNonce(2)), now);
    table.apply(
        &Operation::Finish(key("k"), ClaimNonce(2), ClaimState::Unknown),
        now,
    );
    let repeat = Operation::Claim(key("k"), claim(3, "r"));
    assert_eq!(table.apply(&repeat, now), ClaimVerdict::Running);
}

proptest! {
    /// Checks for any sequence of operations, each applied twice, that a key is
    /// granted to a second nonce only after the first was released or expired.
    #[test]
    fn a_key_is_granted_once(steps in prop::collection::vec((0u8..4, 0u64..4, 0u64..300), 1..60)) {
        let mut table = ClaimTable::default();
        let mut now = unix_now();
        let mut holder: Option<(u64, bool, u64)> = None;
        for (step, nonce, wait) in steps {
            let operation = match step {
                0 | 1 => Operation::Claim(key("k"), Claim { kept_until: now + 1000, ..claim(nonce, "r") }),
                2 => Operation::Finish(key("k"), ClaimNonce(nonce), ClaimState::Unknown),
                _ => Operation::Release(key("k"), ClaimNonce(nonce)),
            };
            let verdict = table.apply(&operation, now);
            let mut repeated = table.clone();
            prop_assert_eq!(repeated.apply(&operation, now), verdict.clone());
            prop_assert_eq!(&repeated, &table);
            holder = holder.filter(|(_, _, until)| *until > now);
            match (step, verdict) {
                (0 | 1, ClaimVerdict::Granted) => {
                    prop_assert!(holder.is_none_or(|(n, open, _)| n == nonce && open));
                    holder = holder.or(Some((nonce, true, now + 1000)));
                }
                (2, _) => if let Some((n, open, _)) = &mut holder && *n == nonce { *open = false },
                (3, _) => holder = holder.filter(|(n, open, _)| *n != nonce || !open),
                _ => {}
            }
            now += wait;
        }
    }
}

/// Result of one operation on the contended key, as its claimant observed it.
#[derive(Clone, Debug)]
enum Observed {
    Granted(u64),
    Running,
    Failed(u64),
    Released(u64),
}

/// Possible holders of the key. A claim that failed for its claimant may have
/// been written, and is released later at an unobserved time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Holders {
    possible: BTreeSet<Option<u64>>,
    failed: BTreeSet<u64>,
}

impl Holders {
    fn restrict(mut self, keep: impl Fn(&Option<u64>) -> bool) -> (bool, Self) {
        self.possible.retain(|h| keep(h));
        let valid = !self.possible.is_empty();
        let failed = self
            .possible
            .iter()
            .flatten()
            .any(|h| self.failed.contains(h));
        if failed {
            self.possible.insert(None);
        }
        if self.possible.contains(&None) {
            self.possible.extend(self.failed.iter().copied().map(Some));
        }
        (valid, self)
    }
}

struct KeySpec;

impl Specification for KeySpec {
    type State = Holders;
    type Operation = Observed;

    fn init() -> Holders {
        Holders {
            possible: BTreeSet::from([None]),
            failed: BTreeSet::new(),
        }
    }

    fn apply(operation: &Observed, state: &Holders) -> (bool, Holders) {
        let mut state = state.clone();
        match operation {
            Observed::Granted(nonce) => {
                let was_free = state.possible.contains(&None);
                state.possible = BTreeSet::from([Some(*nonce)]);
                (was_free, state)
            }
            Observed::Running => state.restrict(Option::is_some),
            Observed::Failed(nonce) => {
                state.failed.insert(*nonce);
                state.restrict(|_| true)
            }
            Observed::Released(nonce) => {
                let held = state.possible.contains(&Some(*nonce));
                state.possible = BTreeSet::from([None]);
                let (_, state) = state.restrict(|_| true);
                (held, state)
            }
        }
    }
}

type Actions = Rc<RefCell<Vec<(usize, Action<Observed>)>>>;

/// Runs one claimant with its own claim store, as a separate process would.
async fn claim_repeatedly(store: FaultyStore, claimant: u64, seed: u64, actions: Actions) {
    let claim_store = Rc::new(ClaimStore::new(Rc::new(store)));
    let mut rng = SmallRng::seed_from_u64(seed * 100 + claimant);
    for round in 0..3 {
        let nonce = claimant * 10 + round;
        let process = usize::try_from(claimant).unwrap_or_default();
        let record = |action| actions.borrow_mut().push((process, action));
        record(Action::Call(Observed::Failed(nonce)));
        let verdict = claim_store.claim(key("contended"), claim(nonce, "r")).await;
        record(Action::Response(match verdict {
            Ok(ClaimVerdict::Granted) => Observed::Granted(nonce),
            Ok(_) => Observed::Running,
            Err(_) => Observed::Failed(nonce),
        }));
        if verdict == Ok(ClaimVerdict::Granted) && rng.random::<bool>() {
            record(Action::Call(Observed::Released(nonce)));
            claim_store.submit(
                &key("contended"),
                Operation::Release(key("contended"), ClaimNonce(nonce)),
            );
            // Operations of one claim store are applied in order, so the next
            // verdict follows the release.
            let probe = claim_store.claim(key("contended"), claim(nonce + 5, "r"));
            let probe_verdict = probe.await;
            record(Action::Response(Observed::Released(nonce)));
            if probe_verdict == Ok(ClaimVerdict::Granted) {
                record(Action::Call(Observed::Granted(nonce + 5)));
                record(Action::Response(Observed::Granted(nonce + 5)));
            }
        }
    }
}

#[actix_rt::test]
async fn concurrent_claims_are_linearizable_under_store_faults() {
    tokio::time::pause();
    for rates in FaultRates::TABLE {
        for seed in SEEDS {
            let store = Rc::new(MemoryObjectStore::new());
            let actions = Actions::default();
            let claimants = (0..CLAIMANTS).map(|claimant| {
                let store = FaultyStore::new(Rc::clone(&store), rates, seed * 31 + claimant);
                claim_repeatedly(store, claimant, seed, Rc::clone(&actions))
            });
            futures::future::join_all(claimants).await;
            let history = History::from_actions(actions.take());
            let linearizable = WGLChecker::<KeySpec>::is_linearizable(history);
            assert!(linearizable, "seed {seed}, {rates:?}");
        }
    }
}

#[test]
fn the_checker_rejects_a_key_that_was_granted_twice() {
    let twice = |process, nonce| {
        [
            (process, Action::Call(Observed::Granted(nonce))),
            (process, Action::Response(Observed::Granted(nonce))),
        ]
    };
    let actions = [twice(0, 1), twice(1, 2)].concat();
    let history = History::from_actions(actions);
    assert!(!WGLChecker::<KeySpec>::is_linearizable(history));
}
