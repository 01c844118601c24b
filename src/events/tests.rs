use proptest::prelude::*;

use super::*;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n";

proptest! {
    /// However a stream is split into chunks, the reader returns exactly its
    /// complete events, in order.
    #[test]
    fn complete_events_are_returned_for_any_chunks(splits in prop::collection::vec(0..STREAM.len(), 0..9)) {
        let mut splits = splits;
        splits.sort_unstable();
        let mut reader = EventReader::new(None);
        let mut out = Vec::new();
        let mut at = 0;
        for split in splits.into_iter().chain([STREAM.len()]) {
            let complete = reader.push(&STREAM[at..split]);
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n") || complete.ends_with(b"\r\n\r\n"));
            out.extend_from_slice(&complete);
            at = split;
        }
        prop_assert_eq!(out, STREAM);
        prop_assert_eq!(reader.last_id(), Some(4));
        prop_assert!(!reader.has_partial());
    }
}

#[test]
fn an_incomplete_event_is_not_returned_and_its_id_is_not_recorded() {
    let mut reader = EventReader::new(Some(7));
    assert!(reader.push(b"id: 8\nda").is_empty());
    assert_eq!(reader.last_id(), Some(7));
    assert!(reader.has_partial());
    reader.drop_partial();
    assert_eq!(
        &reader.push(b"id: 8\ndata: x\n\n")[..],
        b"id: 8\ndata: x\n\n"
    );
    assert_eq!(reader.last_id(), Some(8));
}
