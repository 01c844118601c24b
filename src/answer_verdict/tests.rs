use super::*;

const STATUSES: [u16; 14] = [
    200, 201, 204, 206, 302, 304, 400, 404, 408, 413, 421, 429, 500, 503,
];

fn marks(request: AnsweredRequest, is_signed: bool, states_not_run: bool) -> AnswerMarks {
    AnswerMarks {
        request,
        is_signed,
        states_not_run,
        is_encoded: false,
    }
}

// Review 11, MIXED: a 200 without any mark was passed on as a success.
#[test]
fn answer_without_any_mark_is_foreign_with_every_status() {
    let unmarked = marks(AnsweredRequest::Unnamed, false, false);
    for status in STATUSES {
        let verdict = AnswerVerdict::new(status, Some(unmarked));
        assert_eq!(verdict, AnswerVerdict::Foreign, "{status}");
    }
}

#[test]
fn success_needs_all_marks() {
    let all = marks(AnsweredRequest::Sent, true, false);
    let lacking = [
        marks(AnsweredRequest::Unnamed, true, false),
        marks(AnsweredRequest::Sent, false, false),
        marks(AnsweredRequest::Unnamed, false, true),
        AnswerMarks {
            is_encoded: true,
            ..all
        },
    ];
    for status in [200, 201, 204, 206, 299] {
        let verdict = |marks| AnswerVerdict::new(status, Some(marks));
        assert_eq!(verdict(all), AnswerVerdict::Answer);
        for marks in lacking {
            assert_eq!(verdict(marks), AnswerVerdict::Foreign, "{marks:?}");
        }
    }
}

// An upstream can refuse a request before it has read the id.
#[test]
fn one_mark_is_enough_for_a_failure() {
    for marks in [
        marks(AnsweredRequest::Sent, false, false),
        marks(AnsweredRequest::Unnamed, true, false),
        marks(AnsweredRequest::Unnamed, false, true),
    ] {
        for status in [302, 400, 404, 413, 500] {
            let verdict = AnswerVerdict::new(status, Some(marks));
            assert_eq!(verdict, AnswerVerdict::Answer, "{status} {marks:?}");
        }
        let verdict = AnswerVerdict::new(421, Some(marks));
        assert_eq!(verdict, AnswerVerdict::WrongInstance, "{marks:?}");
    }
}

#[test]
fn answer_to_another_request_is_foreign_with_all_other_marks() {
    let other = marks(AnsweredRequest::Other, true, true);
    for status in STATUSES {
        let verdict = AnswerVerdict::new(status, Some(other));
        assert_eq!(verdict, AnswerVerdict::Foreign, "{status}");
    }
}

#[test]
fn upstream_is_full_only_if_it_states_so() {
    for status in [429, 503] {
        let verdict = |marks| AnswerVerdict::new(status, Some(marks));
        let refusal = marks(AnsweredRequest::Sent, false, true);
        assert_eq!(verdict(refusal), AnswerVerdict::Full);
    }
}

// Review 1, REFUSED: such a status was passed on to the caller of a request that had run.
#[test]
fn refusal_that_does_not_state_that_the_request_was_not_run_is_doubtful() {
    for status in [408, 429, 503] {
        for marks in [
            marks(AnsweredRequest::Sent, true, false),
            marks(AnsweredRequest::Sent, false, false),
        ] {
            let verdict = AnswerVerdict::new(status, Some(marks));
            assert_eq!(verdict, AnswerVerdict::DoubtfulRefusal, "{marks:?}");
        }
    }
    let stated = marks(AnsweredRequest::Sent, false, true);
    assert_eq!(AnswerVerdict::new(408, Some(stated)), AnswerVerdict::Answer);
}

#[test]
fn answers_of_upstreams_that_set_no_marks_are_their_own() {
    for status in STATUSES {
        assert_eq!(AnswerVerdict::new(status, None), AnswerVerdict::Answer);
    }
}
