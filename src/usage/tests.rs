use proptest::prelude::*;

use super::*;

const EVENTS: &[u8] = b"data: {\"choices\":[]}\n\ndata: {\"usage\":{\"prompt_tokens\":7,\
\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\ndata: [DONE]\n\n";

fn counted() -> Work {
    Work {
        prefill: 7,
        cached: 3,
        output: 2,
    }
}

#[test]
fn a_document_reports_its_counts() {
    let mut reader = UsageReader::new(AnswerForm::Document);
    reader.push(b"{\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,");
    reader.push(b"\"prompt_tokens_details\":{\"cached_tokens\":3}}}");
    assert_eq!(reader.work(Work::default()), counted());
}

#[test]
fn events_without_their_last_one_are_not_whole() {
    let mut reader = UsageReader::new(AnswerForm::Events);
    reader.push(b"data: {\"choices\":[]}\n\n");
    assert!(!reader.is_whole());
    let expected = Work {
        prefill: 5,
        ..Work::default()
    };
    let work = reader.work(expected);
    assert_eq!((work.prefill, work.output), (5, 1));
}

proptest! {
    #[test]
    fn events_are_read_wherever_they_are_cut(cuts in prop::collection::vec(0..EVENTS.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.push(EVENTS.len());
        cuts.sort_unstable();
        let mut reader = UsageReader::new(AnswerForm::Events);
        let mut from = 0;
        for cut in cuts {
            reader.push(&EVENTS[from..cut]);
            from = cut;
        }
        prop_assert!(reader.is_whole());
        prop_assert_eq!(reader.work(Work::default()), counted());
    }

    #[test]
    fn hostile_bytes_are_survived(parts in prop::collection::vec(any::<Vec<u8>>(), 0..8)) {
        for form in [AnswerForm::Events, AnswerForm::Document, AnswerForm::Opaque] {
            let mut reader = UsageReader::new(form);
            parts.iter().for_each(|p| reader.push(p));
            let _ = reader.work(Work::default());
        }
    }
}
