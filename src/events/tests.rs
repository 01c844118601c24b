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
            let complete = reader.push(&STREAM[at..split]).expect("small events");
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
    assert_eq!(reader.push(b"id: 8\nda"), Ok(Bytes::new()));
    assert_eq!(reader.last_id(), Some(7));
    assert!(reader.has_partial());
    reader.begin_answer();
    assert_eq!(
        reader.push(b"id: 8\ndata: x\n\n"),
        Ok(Bytes::from_static(b"id: 8\ndata: x\n\n"))
    );
    assert_eq!(reader.last_id(), Some(8));
}

/// Returns the bytes of the incomplete event at the end of `stream`, and the number of
/// complete events, after scanning it in two parts.
fn scan(stream: &[u8], split: usize) -> (u64, u64) {
    let mut scanner = EventScanner::new();
    scanner.push(&stream[..split]);
    scanner.push(&stream[split..]);
    (scanner.partial_bytes(), scanner.events())
}

#[test]
fn scanner_tells_ends_inside_and_outside_of_events() {
    let cases: [(&[u8], (u64, u64)); 12] = [
        (b"", (0, 0)),
        (b"id: 1\ndata: a\n\n", (0, 1)),
        (b"id: 1\r\ndata: a\r\n\r\n", (0, 1)),
        (b"id: 1\rdata: a\r\r", (0, 1)),
        (b"id: 1\ndata: a\n\n\n", (0, 1)),
        (b"id: 1\ndata: a\n", (14, 0)),
        (b"id: 1\ndata: a\n\nid", (2, 1)),
        (b"i", (1, 0)),
        (b": keep-alive\n", (0, 0)),
        (b": keep-al", (0, 0)),
        (b"data: a\n\n: keep-alive\n\ndata: b\n\n", (0, 2)),
        (b"data: a\n: comment\n", (18, 0)),
    ];
    for (stream, expected) in cases {
        for split in 0..=stream.len() {
            assert_eq!(scan(stream, split), expected, "{stream:?} at {split}");
        }
    }
}

proptest! {
    /// A stream that is cut anywhere is seen as ending inside an event, except after
    /// an event.
    #[test]
    fn scanner_finds_every_cut_inside_an_event(cut in 0..=STREAM.len()) {
        let ends = [0, 15, 30, 48, STREAM.len()];
        // A cut between the last CR and LF of an event leaves it complete.
        let is_end = ends.contains(&cut) || cut == 47;
        prop_assert_eq!(scan(&STREAM[..cut], cut / 2).0 == 0, is_end, "cut at {}", cut);
    }
}

// Issue 28, ORDER: a stream without ids began again inside one answer.
#[test]
fn stream_can_resume_only_after_an_event_with_an_id() {
    let mut reader = EventReader::new(None);
    assert!(reader.can_resume());
    let cases: [(&[u8], Option<u64>, bool); 6] = [
        (b"id: 1\ndata: a\n\n", Some(1), true),
        (b"data: b\n\n", Some(1), false),
        (b"data: c\nid: 2\n\n: comment\n\n", Some(2), true),
        (b"id: 3\r\ndata: d\r\n\r\ndata: e\r\n\r\n", Some(3), false),
        (b"id: no number\ndata: f\n\n", Some(3), false),
        (b"id: 4\nda", Some(3), false),
    ];
    for (bytes, last_id, can_resume) in cases {
        reader.push(bytes).expect("small events");
        assert_eq!(
            (reader.last_id(), reader.can_resume()),
            (last_id, can_resume)
        );
    }
}

// Issue 31: an event without end was buffered until the timeout of its request.
#[test]
fn event_that_is_too_large_is_an_error_and_does_not_advance_the_last_id() {
    let mut reader = EventReader::new(None);
    let large = vec![b'a'; MAX_EVENT_BYTES];
    assert_eq!(reader.push(&large), Ok(Bytes::new()));
    let end = reader.push(b"\n\nid: 1\ndata: a\n\n").expect("an end");
    assert_eq!(end.len(), MAX_EVENT_BYTES + 2 + 15);
    assert_eq!(reader.last_id(), Some(1));
    let next = [b"id: 2\ndata: b\n\n".as_slice(), &large, b"a"].concat();
    assert_eq!(reader.push(&next), Err(EventError::TooLarge));
    assert_eq!(reader.last_id(), Some(1));
    assert!(!reader.has_partial());
}

/// Returns the events of `ids`.
fn events(ids: &[u64]) -> Vec<u8> {
    let events = ids.iter().map(|id| format!("id: {id}\ndata: x\n\n"));
    events.collect::<String>().into_bytes()
}

// Issue 56, ORDER: nobody looked at the ids of what continues a stream.
#[test]
fn events_that_do_not_follow_are_not_returned() {
    // The events before, those of the answer that continues them, and how many are in order.
    let cases: [(&[u64], &[u64], usize); 9] = [
        (&[1, 2, 3], &[4, 5], 2),
        // An upstream that begins anew, repeats an event or leaves one out.
        (&[1, 2, 3], &[1, 2, 3, 4], 0),
        (&[1, 2, 3], &[3, 4], 0),
        (&[1, 2, 3], &[5, 6], 0),
        (&[1, 2, 3], &[4, 5, 5], 2),
        (&[1, 2, 3], &[4, 5, 2], 2),
        // Ids that count tokens: the last event has fewer.
        (&[5, 10, 15], &[17], 1),
        (&[5, 9, 15], &[27, 29], 2),
        (&[7], &[20, 30], 2),
    ];
    for (before, after, in_order) in cases {
        let bytes = events(after);
        for split in 0..=bytes.len() {
            let mut reader = EventReader::new(None);
            reader.push(&events(before)).expect("events in order");
            reader.push(b"id: 9").expect("a part of an event");
            reader.begin_answer();
            let mut out = Vec::new();
            for part in [&bytes[..split], &bytes[split..]] {
                out.extend_from_slice(&reader.push(part).unwrap_or_default());
            }
            let expected = &after[..in_order];
            assert_eq!(out, events(expected), "{before:?} {after:?} at {split}");
            assert_eq!(reader.error().is_some(), in_order < after.len());
            let last = before.iter().chain(expected).last();
            assert_eq!(reader.last_id(), last.copied());
            assert!(reader.can_resume());
        }
    }
}

#[test]
fn answer_to_a_caller_that_resumes_must_not_begin_anew() {
    let mut reader = EventReader::new(Some(4));
    let error = EventError::OutOfOrder { last: 4, id: 1 };
    assert_eq!(reader.push(&events(&[1, 2])), Err(error));
    // Another upstream goes on.
    reader.begin_answer();
    assert_eq!(reader.push(&events(&[5])), Ok(events(&[5]).into()));
}
