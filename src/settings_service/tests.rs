use std::cell::Cell;

use bytes::Bytes;
use slog::Discard;
use slog::o;
use tokio::time::Instant;

use super::*;
use crate::object_store::Expected;
use crate::object_store::MemoryObjectStore;
use crate::object_store::TimelineReceiver;
use crate::settings::File;

/// The time that its client adds before it gives up an overdue reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The time within which settings have to be in force everywhere: "within seconds".
const ADOPTION_BOUND: Duration = Duration::from_secs(10);

/// A store of which the first watch is lost: it is never answered.
struct LosesWatch {
    store: Rc<MemoryObjectStore>,
    has_lost: Cell<bool>,
}

impl ObjectStore for LosesWatch {
    fn get(&self, name: Name) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        self.store.get(name)
    }

    fn put(
        &self,
        name: Name,
        value: Bytes,
        expected: Expected,
    ) -> LocalBoxFuture<'_, Result<Version, StoreError>> {
        self.store.put(name, value, expected)
    }

    fn watch(
        &self,
        name: Name,
        known: Option<Version>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        if self.has_lost.replace(true) {
            return self.store.watch(name, known, wait);
        }
        async move {
            actix_rt::time::sleep(wait + REPLY_TIMEOUT).await;
            Err(StoreError::OutcomeUnknown)
        }
        .boxed_local()
    }

    fn timelines(&self) -> TimelineReceiver {
        self.store.timelines()
    }
}

fn stored_settings() -> Bytes {
    let text = "tiers.urgent.order = 0\ntiers.urgent.deadline = \"1s\"".to_owned();
    let file = File {
        name: Name::new("10.toml"),
        text,
    };
    let stored = StoredSettings::default().next(Document::new(vec![file]), 7);
    stored.to_json().expect("it is encoded").into()
}

// Issue 25: a watch that a store has lost hid new settings for 33 s.
#[tokio::test(start_paused = true)]
async fn settings_are_adopted_within_seconds_of_a_lost_watch() {
    let store = Rc::new(MemoryObjectStore::new());
    let name = Name::new(SETTINGS_OBJECT);
    let written = store.put(name, stored_settings(), Expected::Absent);
    written.await.expect("it is written");
    let active_settings = Rc::new(ActiveSettings::new());
    let watches_store = watch::Sender::new(true);
    let follower = StoreFollower {
        store: LosesWatch {
            store,
            has_lost: Cell::new(false),
        },
        active_settings: Rc::clone(&active_settings),
        watches_store: watches_store.subscribe(),
        log: Logger::root(Discard, o!()),
    };
    let started = Instant::now();
    let mut revisions = active_settings.subscribe();
    tokio::select! {
        () = follower.run() => {}
        changed = revisions.changed() => changed.expect("the settings are adopted"),
    }
    assert!(
        started.elapsed() < ADOPTION_BOUND,
        "{:?}",
        started.elapsed()
    );
}
