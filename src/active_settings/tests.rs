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

fn with_revisions(revisions: std::ops::RangeInclusive<u64>) -> ActiveSettings {
    let active_settings = ActiveSettings::new();
    for revision in revisions {
        let document = document(u32::try_from(revision).unwrap_or(1));
        let adopted = active_settings.adopt(Revision(revision), document);
        assert!(adopted.expect("the settings are valid"));
    }
    active_settings
}

#[test]
fn a_revision_lower_than_the_active_one_is_not_adopted() {
    let active_settings = with_revisions(1..=3);
    assert!(
        !active_settings
            .adopt(Revision(2), document(2))
            .expect("an old revision is ignored")
    );
    assert_eq!(active_settings.revision(), Revision(3));
    assert_eq!(active_settings.settings().limits.agent_tickets, 3);
}

#[test]
fn a_peer_with_a_revision_in_the_history_is_sent_only_the_changed_files() {
    let (ours, theirs) = (with_revisions(1..=5), with_revisions(1..=2));
    let update = ours.update_since(theirs.revision());
    assert_eq!((update.base, update.delta.changed.len()), (Revision(2), 1));
    assert!(theirs.apply_update(&update).expect("the update applies"));
    assert_eq!(theirs.get().document, ours.get().document);
}

#[test]
fn a_peer_with_a_revision_outside_the_history_is_sent_every_file() {
    let (ours, theirs) = (with_revisions(1..=20), with_revisions(1..=2));
    let update = ours.update_since(theirs.revision());
    assert_eq!((update.base, update.delta.changed.len()), (Revision(0), 2));
    assert!(theirs.apply_update(&update).expect("the update applies"));
    assert_eq!(theirs.revision(), Revision(20));
}

#[test]
fn an_update_for_another_revision_is_refused_and_changes_nothing() {
    let (ours, theirs) = (with_revisions(1..=5), with_revisions(1..=3));
    let update = ours.update_since(Revision(2));
    assert!(matches!(
        theirs.apply_update(&update),
        Err(AdoptError::BaseNotActive(Revision(2)))
    ));
    assert_eq!(theirs.revision(), Revision(3));
}

#[actix_rt::test]
async fn waiting_for_settings_ends_at_the_first_adoption_or_the_timeout() {
    let active_settings = ActiveSettings::new();
    assert!(!active_settings.wait_for_settings(Duration::ZERO).await);
    let adopting = async {
        let adopted = active_settings.adopt(Revision(1), document(1));
        assert!(adopted.expect("the settings are valid"));
    };
    let (ready, ()) = futures::join!(active_settings.wait_for_settings(Duration::MAX), adopting);
    assert!(ready);
    assert!(active_settings.wait_for_settings(Duration::ZERO).await);
}
