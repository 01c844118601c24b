use proptest::prelude::*;

use super::*;

const EVENTS: &[u8] = b"data: {\"choices\":[]}\n\ndata: {\"usage\":{\"prompt_tokens\":7,\
\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\ndata: [DONE]\n\n";

fn reported_work() -> Work {
    Work {
        prefill: 7,
        cached: 3,
        output: 2,
    }
}

#[test]
fn token_counts_are_read_from_a_document() {
    let mut reader = UsageReader::new(AnswerFormat::Document);
    reader.push(b"{\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,");
    reader.push(b"\"prompt_tokens_details\":{\"cached_tokens\":3}}}");
    assert_eq!(reader.work(Work::default()), reported_work());
}

#[test]
fn events_without_the_end_marker_are_incomplete() {
    let mut reader = UsageReader::new(AnswerFormat::Events);
    reader.push(b"data: {\"choices\":[]}\n\n");
    assert!(!reader.is_complete());
    let expected = Work {
        prefill: 5,
        ..Work::default()
    };
    let work = reader.work(expected);
    assert_eq!((work.prefill, work.output), (5, 1));
}

proptest! {
    #[test]
    fn events_are_read_for_any_chunks(splits in prop::collection::vec(0..EVENTS.len(), 0..8)) {
        let mut splits = splits;
        splits.push(EVENTS.len());
        splits.sort_unstable();
        let mut reader = UsageReader::new(AnswerFormat::Events);
        let mut from = 0;
        for split in splits {
            reader.push(&EVENTS[from..split]);
            from = split;
        }
        prop_assert!(reader.is_complete());
        prop_assert_eq!(reader.work(Work::default()), reported_work());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(parts in prop::collection::vec(any::<Vec<u8>>(), 0..8)) {
        for format in [AnswerFormat::Events, AnswerFormat::Document, AnswerFormat::Opaque] {
            let mut reader = UsageReader::new(format);
            parts.iter().for_each(|p| reader.push(p));
            let _ = reader.work(Work::default());
        }
    }
}
