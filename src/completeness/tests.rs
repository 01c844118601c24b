use proptest::prelude::*;

use super::*;

const DOCUMENT: &str = r#" {"a": ["}", "\"]\\", {"b": -1.5e3}], "c": "\u00e9\\"} "#;

fn check(
    content_type: Option<&str>,
    framing: Framing,
    format: AnswerFormat,
    body: &str,
) -> CompletenessCheck {
    let headers = content_type.map(|t| Header::new("content-type", t));
    let headers: Vec<Header> = headers.into_iter().collect();
    let mut check = CompletenessCheck::new(&headers, framing, format);
    check.push(body.as_bytes());
    check
}

// Issue 28, ORDER: the end of a connection inside an event counted as the end of the
// stream.
#[test]
fn stream_that_ends_inside_an_event_is_incomplete_however_it_is_framed() {
    let events = Some("text/event-stream; charset=utf-8");
    for framing in [Framing::Connection, Framing::Chunks, Framing::Length] {
        for format in [AnswerFormat::PlainEvents(5), AnswerFormat::Events] {
            for content_type in [events, None] {
                let is_complete = |body| check(content_type, framing, format, body).is_complete();
                assert!(is_complete("id: 1\ndata: a\n\n"));
                assert!(!is_complete("id: 1\ndata: a\n\nid: 2\nda"));
                assert!(!is_complete("id: 1\ndata: a\n"));
            }
        }
    }
}

#[test]
fn empty_stream_is_complete_if_it_is_framed_or_continues_another() {
    let events = Some("text/event-stream");
    let format = AnswerFormat::PlainEvents(1);
    assert!(check(events, Framing::Length, format, "").is_complete());
    assert!(check(events, Framing::Chunks, format, "").is_complete());
    let ended_by_connection = check(events, Framing::Connection, format, "");
    assert!(!ended_by_connection.is_complete());
    assert!(ended_by_connection.with_continuation(true).is_complete());
}

#[test]
fn framed_stream_of_a_service_ends_by_its_framing() {
    let events = Some("text/event-stream");
    let is_complete = |framing| check(events, framing, AnswerFormat::Opaque, "data: a\n");
    assert!(is_complete(Framing::Length).is_complete());
    assert!(is_complete(Framing::Chunks).is_complete());
    assert!(!is_complete(Framing::Connection).is_complete());
}

#[test]
fn content_that_shows_no_end_is_complete() {
    for content_type in [Some("text/plain"), Some("application/x-ndjson"), None] {
        let cut = check(content_type, Framing::Connection, AnswerFormat::Opaque, "{");
        assert!(cut.is_complete(), "{content_type:?}");
    }
    let encoded = [
        Header::new("content-type", "application/json"),
        Header::new("content-encoding", "gzip"),
    ];
    let mut cut = CompletenessCheck::new(&encoded, Framing::Connection, AnswerFormat::Document);
    cut.push(b"\x1f\x8b{");
    assert!(cut.is_complete());
}

proptest! {
    /// A JSON document that is cut before its last bracket is incomplete if it ends with
    /// its connection.
    #[test]
    fn every_cut_of_a_document_is_found(cut in 0..=DOCUMENT.len()) {
        prop_assume!(DOCUMENT.is_char_boundary(cut));
        let sent = &DOCUMENT[..cut];
        let json = Some("application/json");
        let is_complete = |framing| {
            check(json, framing, AnswerFormat::Opaque, sent).is_complete()
        };
        prop_assert_eq!(is_complete(Framing::Connection), cut >= DOCUMENT.len() - 1);
        prop_assert!(is_complete(Framing::Length));
    }

    #[test]
    fn any_bytes_are_read(parts in prop::collection::vec(any::<Vec<u8>>(), 0..8)) {
        for content_type in ["application/json", "text/event-stream"] {
            let mut check = check(Some(content_type), Framing::Connection, AnswerFormat::Opaque, "");
            parts.iter().for_each(|part| check.push(part));
            let _ = check.is_complete();
        }
    }
}

#[test]
fn only_content_without_an_end_of_its_own_may_go_on() {
    let events = Some("text/event-stream");
    let may_go_on = |content_type, framing, format, body| {
        check(content_type, framing, format, body).may_go_on()
    };
    let engine = AnswerFormat::PlainEvents(1);
    assert!(may_go_on(
        events,
        Framing::Connection,
        engine,
        "data: a\n\n"
    ));
    assert!(!may_go_on(events, Framing::Chunks, engine, "data: a\n\n"));
    let marked = AnswerFormat::Events;
    assert!(!may_go_on(
        events,
        Framing::Connection,
        marked,
        "data: [DONE]\n\n"
    ));
    let json = Some("application/json");
    assert!(!may_go_on(
        json,
        Framing::Connection,
        AnswerFormat::Opaque,
        "{}"
    ));
    assert!(may_go_on(
        None,
        Framing::Connection,
        AnswerFormat::Opaque,
        "text"
    ));
    assert!(!may_go_on(None, Framing::NoBody, AnswerFormat::Opaque, ""));
}
