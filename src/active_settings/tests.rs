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

fn adopted(revisions: std::ops::RangeInclusive<u64>) -> ActiveSettings {
    let active_settings = ActiveSettings::new();
    for revision in revisions {
        let document = document(u32::try_from(revision).unwrap_or(1));
        let adopted = active_settings.adopt(Revision(revision), document);
        assert!(adopted.expect("the settings are valid"));
    }
    active_settings
}

#[test]
fn an_old_revision_is_never_adopted_again() {
    let active_settings = adopted(1..=3);
    assert!(
        !active_settings
            .adopt(Revision(2), document(2))
            .expect("it is ignored")
    );
    assert_eq!(active_settings.revision(), Revision(3));
    assert_eq!(active_settings.settings().limits.agent_tickets, 3);
}

#[test]
fn only_changed_files_are_handed_to_a_peer_with_a_known_revision() {
    let (ours, theirs) = (adopted(1..=5), adopted(1..=2));
    let update = ours.update_since(theirs.revision());
    assert_eq!((update.base, update.delta.changed.len()), (Revision(2), 1));
    assert!(theirs.apply_update(&update).expect("it fits"));
    assert_eq!(theirs.get().document, ours.get().document);
}

#[test]
fn a_peer_with_an_unknown_revision_gets_everything() {
    let (ours, theirs) = (adopted(1..=20), adopted(1..=2));
    let update = ours.update_since(theirs.revision());
    assert_eq!((update.base, update.delta.changed.len()), (Revision(0), 2));
    assert!(theirs.apply_update(&update).expect("it fits"));
    assert_eq!(theirs.revision(), Revision(20));
}

#[test]
fn a_change_of_another_revision_is_refused_and_changes_nothing() {
    let (ours, theirs) = (adopted(1..=5), adopted(1..=3));
    let update = ours.update_since(Revision(2));
    assert!(matches!(
        theirs.apply_update(&update),
        Err(AdoptError::UnknownBase(Revision(2)))
    ));
    assert_eq!(theirs.revision(), Revision(3));
}

#[actix_rt::test]
async fn callers_wait_for_the_first_settings_and_no_longer_than_allowed() {
    let active_settings = ActiveSettings::new();
    assert!(!active_settings.wait_for_settings(Duration::ZERO).await);
    let adopting = async {
        let adopted = active_settings.adopt(Revision(1), document(1));
        assert!(adopted.expect("the settings are valid"));
    };
    let (settled, ()) = futures::join!(active_settings.wait_for_settings(Duration::MAX), adopting);
    assert!(settled);
    assert!(active_settings.wait_for_settings(Duration::ZERO).await);
}
