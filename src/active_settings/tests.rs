use std::cell::Cell;

use actix_rt::task::yield_now;

use super::*;
use crate::name::Name;
use crate::settings::File;

fn document(tickets: u32) -> Document {
    let file = |name: &str, text: String| File {
        name: Name::new(name),
        text,
    };
    Document::new(vec![
        file(
            "10.toml",
            "tiers.urgent.order = 0\ntiers.urgent.deadline = \"1s\"".to_owned(),
        ),
        file("20.toml", format!("limits.agent_tickets = {tickets}")),
    ])
}

async fn with_revisions(revisions: std::ops::RangeInclusive<u64>) -> ActiveSettings {
    let active_settings = ActiveSettings::new();
    for revision in revisions {
        let document = document(u32::try_from(revision).unwrap_or(1));
        let adopted = active_settings.adopt(Revision(revision), document).await;
        assert!(adopted.expect("the settings are valid").is_some());
    }
    active_settings
}

#[actix_rt::test]
async fn a_revision_lower_than_the_active_one_is_not_adopted() {
    let active_settings = with_revisions(1..=3).await;
    let adopted = active_settings.adopt(Revision(2), document(2)).await;
    assert!(adopted.expect("an old revision is ignored").is_none());
    assert_eq!(active_settings.revision(), Revision(3));
    assert_eq!(active_settings.settings().limits.agent_tickets, 3);
}

#[actix_rt::test]
async fn a_peer_with_a_revision_in_the_history_is_sent_only_the_changed_files() {
    let (ours, theirs) = (with_revisions(1..=5).await, with_revisions(1..=2).await);
    let update = ours.update_since(theirs.revision());
    assert_eq!((update.base, update.delta.changed.len()), (Revision(2), 1));
    assert!(
        theirs
            .apply_update(&update)
            .await
            .expect("the update applies")
            .is_some()
    );
    assert_eq!(theirs.get().document, ours.get().document);
}

#[actix_rt::test]
async fn a_peer_with_a_revision_outside_the_history_is_sent_every_file() {
    let (ours, theirs) = (with_revisions(1..=20).await, with_revisions(1..=2).await);
    let update = ours.update_since(theirs.revision());
    assert_eq!((update.base, update.delta.changed.len()), (Revision(0), 2));
    assert!(
        theirs
            .apply_update(&update)
            .await
            .expect("the update applies")
            .is_some()
    );
    assert_eq!(theirs.revision(), Revision(20));
}

#[actix_rt::test]
async fn an_update_for_another_revision_is_refused_and_changes_nothing() {
    let (ours, theirs) = (with_revisions(1..=5).await, with_revisions(1..=3).await);
    let update = ours.update_since(Revision(2));
    assert!(matches!(
        theirs.apply_update(&update).await,
        Err(AdoptError::BaseNotActive(Revision(2)))
    ));
    assert_eq!(theirs.revision(), Revision(3));
}

// A process of another software version can have converted the same revision to other
// files; changes to the files of one would leave outdated files at the other.
#[actix_rt::test]
async fn an_update_for_other_files_of_the_revision_is_refused_and_a_full_one_applies() {
    let (ours, theirs) = (with_revisions(1..=1).await, ActiveSettings::new());
    let adopted = theirs.adopt(Revision(1), large_document(3)).await;
    assert!(adopted.expect("the settings are valid").is_some());
    let adopted = ours.adopt(Revision(2), document(2)).await;
    assert!(adopted.expect("the settings are valid").is_some());
    let applied = theirs.apply_update(&ours.update_since(Revision(1))).await;
    assert!(matches!(applied, Err(AdoptError::BaseDiffers(Revision(1)))));
    assert_eq!(theirs.revision(), Revision(1));
    let full = ours.update_since(Revision::default());
    let applied = theirs.apply_update(&full).await;
    assert!(applied.expect("the update applies").is_some());
    assert_eq!(theirs.get().document, ours.get().document);
}

#[actix_rt::test]
async fn waiting_for_settings_ends_at_the_first_adoption_or_the_timeout() {
    let active_settings = ActiveSettings::new();
    assert!(!active_settings.wait_for_settings(Duration::ZERO).await);
    let adopting = async {
        let adopted = active_settings.adopt(Revision(1), document(1)).await;
        assert!(adopted.expect("the settings are valid").is_some());
    };
    let (ready, ()) = futures::join!(active_settings.wait_for_settings(Duration::MAX), adopting);
    assert!(ready);
    assert!(active_settings.wait_for_settings(Duration::ZERO).await);
}

/// Returns a document with `files` files of routes, which are valid.
fn large_document(files: usize) -> Document {
    let route_file = |i: usize| File {
        name: Name::new(&format!("routes-{i:03}.toml")),
        text: format!("[routes.r-{i}]\nkind = \"model\"\npath = \"/p{i}/\"\n"),
    };
    let mut document = document(2);
    document.files.extend((0..files).map(route_file));
    Document::new(document.files)
}

// Issue 31: an entry that adopted thousands of routes did nothing else for over a second.
#[actix_rt::test]
async fn other_tasks_run_during_an_adoption() {
    let active_settings = ActiveSettings::new();
    let turns = Rc::new(Cell::new(0));
    let others = Rc::clone(&turns);
    let other = actix_rt::spawn(async move {
        loop {
            others.set(others.get() + 1);
            yield_now().await;
        }
    });
    let adopted = active_settings
        .adopt(Revision(1), large_document(100))
        .await;
    other.abort();
    let adoption = adopted.expect("the settings are valid").expect("adopted");
    assert_eq!(adoption.decoded_files, 102);
    assert!(adoption.pieces.count > 102);
    assert!(turns.get() >= 6, "{}", turns.get());
}

#[actix_rt::test]
async fn earlier_settings_stay_active_until_all_of_the_later_are_checked() {
    let active_settings = with_revisions(1..=1).await;
    let before = active_settings.get();
    let watching = async {
        while active_settings.revision() == Revision(1) {
            let now = active_settings.get();
            assert!(Rc::ptr_eq(&now.settings, &before.settings));
            assert!(Rc::ptr_eq(&now.document, &before.document));
            yield_now().await;
        }
        assert_eq!(active_settings.settings().routes.len(), 100);
    };
    let adopting = active_settings.adopt(Revision(2), large_document(100));
    let (adopted, ()) = futures::join!(adopting, watching);
    assert!(adopted.expect("the settings are valid").is_some());
}

#[actix_rt::test]
async fn settings_that_arrive_during_an_adoption_are_adopted_after_it() {
    let active_settings = with_revisions(1..=1).await;
    let second = active_settings.adopt(Revision(2), large_document(50));
    let invalid = active_settings.adopt(Revision(4), Document::default());
    let third = active_settings.adopt(Revision(3), document(3));
    let outdated = active_settings.adopt(Revision(2), document(2));
    let (second, invalid, third, outdated) = futures::join!(second, invalid, third, outdated);
    assert!(second.expect("the settings are valid").is_some());
    assert!(invalid.is_err());
    assert!(third.expect("the settings are valid").is_some());
    assert!(outdated.expect("an old revision is ignored").is_none());
    assert_eq!(active_settings.revision(), Revision(3));
    assert_eq!(active_settings.settings().limits.agent_tickets, 3);
}

#[actix_rt::test]
async fn an_adoption_that_is_given_up_leaves_the_settings_as_they_were() {
    let active_settings = with_revisions(1..=1).await;
    let adopting = active_settings.adopt(Revision(2), large_document(100));
    tokio::select! {
        biased;
        _ = adopting => panic!("the adoption takes a single turn"),
        () = yield_now() => {}
    }
    assert_eq!(active_settings.revision(), Revision(1));
    let adopted = active_settings.adopt(Revision(2), document(2)).await;
    assert!(adopted.expect("the settings are valid").is_some());
}

#[actix_rt::test]
async fn an_encoded_update_is_that_since_the_revision_of_the_peer() {
    let ours = with_revisions(1..=5).await;
    for peer in [0, 2, 4, 2, 99] {
        let encoded = ours.encoded_update_since(Revision(peer));
        let encoded = encoded.expect("it is encoded");
        let update = serde_json::to_vec(&ours.update_since(Revision(peer)));
        assert_eq!(encoded, update.expect("it is encoded"), "{peer}");
    }
    let adopted = ours.adopt(Revision(6), document(6)).await;
    assert!(adopted.expect("the settings are valid").is_some());
    let encoded = ours.encoded_update_since(Revision(5));
    let encoded = encoded.expect("it is encoded");
    let update: SettingsUpdate = serde_json::from_slice(&encoded).expect("it is decoded");
    assert_eq!((update.base, update.revision), (Revision(5), Revision(6)));
}
