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

/// Lets `reader` read the events of `ids` in two parts. Returns what comes out.
fn push_split(reader: &mut EventReader, ids: &[u64], split: usize) -> Vec<u8> {
    let bytes = events(ids);
    let (first, second) = bytes.split_at(split.min(bytes.len()));
    let parts = [first, second].map(|part| reader.push(part).unwrap_or_default());
    parts.concat()
}

/// Returns a reader of a rest after events with these ids.
fn reader_after(before: &[u64]) -> EventReader {
    let mut reader = EventReader::new(None);
    reader.push(&events(before)).expect("events in order");
    reader.begin_answer();
    reader
}

// LOST: upstreams of one service may count tokens by other steps. Their rests were refused.
#[test]
fn rest_with_other_steps_is_returned_once_they_show() {
    // The events before, the rest, and how many of its events are withheld before the first
    // is returned.
    let cases: [(&[u64], &[u64], usize); 9] = [
        (&[5, 10, 15], &[22, 29, 36], 1),
        (&[5, 10, 15], &[22, 27], 1),
        (&[2, 4, 6], &[11, 13, 15], 1),
        (&[1, 2, 3], &[6, 7, 9], 2),
        (&[1, 2, 3], &[5, 7], 1),
        (&[1, 2, 3], &[6, 7, 8, 10], 3),
        (&[5, 10, 15], &[25, 35], 1),
        // An event that is nearer is the last one of the stream, or its steps vary.
        (&[5, 10, 15], &[25, 28, 33], 2),
        (&[5, 10, 15], &[25, 30, 32, 33], 3),
    ];
    for (before, rest, withheld) in cases {
        for split in 0..=events(rest).len() {
            let mut reader = reader_after(before);
            let out = push_split(&mut reader, rest, split);
            assert_eq!(out, events(rest), "{before:?} {rest:?} at {split}");
            assert_eq!((reader.error(), reader.has_partial()), (None, false));
            assert_eq!(reader.last_id(), rest.last().copied());
        }
        let mut reader = reader_after(before);
        assert_eq!(reader.push(&events(&rest[..withheld])), Ok(Bytes::new()));
        assert_eq!(reader.last_id(), before.last().copied());
        assert!(reader.has_partial() && reader.can_resume());
    }
}

// ORDER: a rest that lacks events, or that can't be told from one, neither is returned nor lets
// the stream look complete.
#[test]
fn rest_that_may_lack_events_is_not_returned() {
    let cases: [(&[u64], &[u64]); 9] = [
        (&[1, 2], &[4]),
        (&[1, 2, 3], &[5, 6, 7, 8, 9, 11]),
        (&[1, 2, 3], &[9, 10]),
        (&[5, 10, 15], &[25, 30]),
        (&[5, 10, 15], &[25, 27]),
        // The last event is shorter, and one was left out before it.
        (&[5, 10, 15], &[22]),
        (&[5, 10, 15], &[25, 30, 32]),
        (&[1, 2, 3], &[6, 6, 8]),
        (&[1, 2, 3], &[6, 7, 4]),
    ];
    for (before, rest) in cases {
        for split in 0..=events(rest).len() {
            let mut reader = reader_after(before);
            let out = push_split(&mut reader, rest, split);
            assert!(out.is_empty(), "{before:?} {rest:?} at {split}");
            let last = before[before.len() - 1];
            let error = EventError::OutOfOrder { last, id: rest[0] };
            assert_eq!(reader.error(), Some(error));
            assert_eq!(reader.last_id(), Some(last));
            assert!(reader.can_resume());
            // The rest of another upstream is judged anew.
            reader.begin_answer();
            assert!(!reader.has_partial());
            let next = [last + 1, last + 2];
            assert_eq!(reader.push(&events(&next)), Ok(events(&next).into()));
        }
    }
}

#[test]
fn comments_and_events_without_ids_are_withheld_with_those_before() {
    let mut reader = reader_after(&[1, 2, 3]);
    let parts: [&[u8]; 4] = [
        b": a\n\nid: 6\n\n",
        b": b\n\n",
        b"data: c\n\n",
        b"id: 7\nda",
    ];
    for part in parts {
        assert_eq!(reader.push(part), Ok(Bytes::new()));
        assert!(reader.error().is_some() && reader.can_resume());
    }
    let all = [&parts.concat(), b"ta: d\n\nid: 9\n\n".as_slice()].concat();
    assert_eq!(reader.push(b"ta: d\n\nid: 9\n\nid: 1"), Ok(all.into()));
    assert_eq!((reader.last_id(), reader.partial_len()), (Some(9), 5));
}

// Withheld events count towards the bound of what is buffered.
#[test]
fn withheld_events_that_are_too_large_are_refused() {
    let mut reader = reader_after(&[1, 2, 3]);
    let large = vec![b'a'; MAX_EVENT_BYTES / 2];
    let event = |id: &[u8]| [b"id: ", id, b"\ndata: ", &large, b"\n\n"].concat();
    assert_eq!(reader.push(&event(b"6")), Ok(Bytes::new()));
    assert!(reader.partial_len() > MAX_EVENT_BYTES / 2);
    let error = EventError::OutOfOrder { last: 3, id: 6 };
    assert_eq!(reader.push(&event(b"7")), Err(error));
    assert_eq!(reader.partial_len(), 0);
    assert_eq!(reader.push(b"id: 9\n\n"), Err(error));
    // Without room, nothing is kept either.
    let mut reader = reader_after(&[1, 2, 3]);
    assert_eq!(reader.push(&events(&[6])), Ok(Bytes::new()));
    assert!(matches!(reader.discard_partial(), EventError::NoRoom(_)));
    assert!(reader.push(&events(&[7, 9])).is_err() && !reader.has_partial());
    reader.begin_answer();
    assert_eq!(reader.push(&events(&[4])), Ok(events(&[4]).into()));
}

/// Returns the ids of a stream that go on after `after` by `step`, up to `last`.
fn ids(after: u64, step: u64, last: u64) -> Vec<u64> {
    let next = |id: &u64| (*id < last).then(|| (id + step).min(last));
    std::iter::successors(next(&after), next).collect()
}

proptest! {
    /// An upstream of the usual step that leaves out whole events before its rest is found,
    /// wherever the stream has broken off and ends, and however the rest is split.
    #[test]
    fn rest_of_the_usual_step_without_its_first_events_is_never_returned(
        step in 1..20u64,
        before in 2..30u64,
        missing in 1..10usize,
        more in 1..200u64,
        split in 0..500usize,
    ) {
        let after = step * before;
        let mut reader = reader_after(&ids(0, step, after));
        let rest = ids(after, step, after + missing as u64 * step + more);
        let out = push_split(&mut reader, &rest[missing..], split);
        prop_assert!(out.is_empty(), "{rest:?}");
        prop_assert!(reader.error().is_some());
        prop_assert_eq!(reader.last_id(), Some(after));
    }

    /// A right rest with another constant step is returned, if it has an event besides the
    /// first and the last one.
    #[test]
    fn right_rest_with_another_constant_step_is_returned(
        step in 1..20u64,
        before in 1..30u64,
        other in 1..40u64,
        more in 0..200u64,
        split in 0..500usize,
    ) {
        let after = step * before;
        let mut reader = reader_after(&ids(0, step, after));
        let rest = ids(after, other, after + 2 * other + 1 + more);
        let out = push_split(&mut reader, &rest, split);
        prop_assert_eq!(out, events(&rest));
        prop_assert_eq!(reader.error(), None);
    }

    /// Whatever the ids are, what is returned is the beginning of what was sent, increases, and
    /// is all of it unless an error is told.
    #[test]
    fn returned_events_are_the_first_ones_and_increase(
        step in 1..4u64,
        rest in prop::collection::vec(1..40u64, 1..8),
        split in 0..100usize,
    ) {
        let mut reader = reader_after(&ids(0, step, 3 * step));
        let out = push_split(&mut reader, &rest, split);
        let sent = events(&rest);
        prop_assert!(sent.starts_with(&out));
        prop_assert_eq!(out.len() < sent.len(), reader.error().is_some());
        let count = (0..=rest.len()).find(|n| events(&rest[..*n]) == out);
        let returned = &rest[..count.expect("whole events")];
        prop_assert!(returned.iter().all(|id| *id > 3 * step));
        prop_assert!(returned.is_sorted_by(|a, b| a < b));
        let last = returned.last().copied().unwrap_or(3 * step);
        prop_assert_eq!(reader.last_id(), Some(last));
    }
}
