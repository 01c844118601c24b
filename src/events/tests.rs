use proptest::prelude::*;

use super::*;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n";

proptest! {
    /// However a stream is cut into parts, whole events come out in order and
    /// nothing else does.
    #[test]
    fn whole_events_come_out_of_any_parts(cuts in prop::collection::vec(0..STREAM.len(), 0..9)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut reader = EventReader::new(None);
        let mut out = Vec::new();
        let mut at = 0;
        for cut in cuts.into_iter().chain([STREAM.len()]) {
            let whole = reader.push(&STREAM[at..cut]);
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n") || whole.ends_with(b"\r\n\r\n"));
            out.extend_from_slice(&whole);
            at = cut;
        }
        prop_assert_eq!(out, STREAM);
        prop_assert_eq!(reader.last_id(), Some(4));
        prop_assert!(!reader.has_partial());
    }
}

#[test]
fn a_part_of_an_event_is_not_passed_on_and_does_not_count() {
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
