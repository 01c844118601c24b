use proptest::prelude::*;

use super::*;

/// A request, of which the decoder knows the parts.
#[derive(Clone, Debug)]
struct Sent {
    head: String,
    body: Option<(Length, String)>,
}

impl Sent {
    fn text(&self) -> String {
        let body = self.body.as_ref().map_or("", |(_, text)| text.as_str());
        self.head.clone() + body
    }
}

fn any_request() -> impl Strategy<Value = Sent> {
    let begin = prop::sample::select(vec!["", "\r\n", "\n\r\n"]);
    let end = prop::sample::select(vec!["\r\n\r\n", "\n\n", "\n\r\n"]);
    let head = (begin, "[ -~]{1,20}(\r\n[a-z]:[ -~]{0,9}){0,3}", end);
    // Bodies of a known length may have empty lines.
    let known = "[a\r\n]{1,30}".prop_map(|text| (Length::Known(text.len() as u64), text));
    let chunks = "(2\r\n[a\n\r]{2}\r\n){0,5}0\r\n(x: 1\r\n)?\r\n";
    let chunks = chunks.prop_map(|text| (Length::Unknown, text));
    let body = prop_oneof![Just(None), known.prop_map(Some), chunks.prop_map(Some)];
    (head, body).prop_map(|((begin, middle, end), body)| Sent {
        head: format!("{begin}{middle}{end}"),
        body,
    })
}

/// Takes up to `count` bytes of `bytes` if the turn is open.
fn take(turn: &mut Turn, bytes: &[u8], count: usize) -> usize {
    if !turn.is_open() {
        return 0;
    }
    let taken = turn.take(&bytes[..count.min(bytes.len())]);
    assert!(taken > 0);
    taken
}

proptest! {
    /// Requests that are sent ahead, and arrive in parts of any size, are taken one by one and
    /// completely.
    #[test]
    fn one_request_is_taken_at_a_time(
        requests in prop::collection::vec(any_request(), 1..6),
        counts in prop::collection::vec(1_usize..40, 1..20),
    ) {
        let all: String = requests.iter().map(Sent::text).collect();
        let mut bytes = all.as_bytes();
        let mut counts = counts.into_iter().cycle();
        let mut turn = Turn::new();
        for request in &requests {
            let mut left = request.head.len();
            while left > 0 {
                prop_assert!(turn.is_open());
                let taken = take(&mut turn, bytes, counts.next().unwrap_or(1));
                bytes = &bytes[taken..];
                prop_assert!(taken <= left);
                left -= taken;
            }
            prop_assert!(!turn.is_open());
            turn.begin(request.body.as_ref().map(|(length, _)| *length));
            prop_assert!(!turn.is_open());
            let mut left = request.body.as_ref().map_or(0, |(_, text)| text.len());
            while left > 0 {
                turn.want_body();
                let taken = take(&mut turn, bytes, counts.next().unwrap_or(1));
                bytes = &bytes[taken..];
                prop_assert!(taken <= left);
                prop_assert!(!turn.is_open());
                left -= taken;
            }
            turn.end_body(true);
            prop_assert!(turn.is_whole());
            prop_assert!(!turn.handle_written());
            turn.end_answer();
            prop_assert!(!turn.is_open());
            prop_assert_eq!(turn.awaited(), None);
            prop_assert!(turn.handle_written());
            prop_assert_eq!(turn.awaited(), None);
        }
        prop_assert!(bytes.is_empty());
    }
}

#[test]
fn connection_ends_after_a_request_that_its_handler_did_not_read() {
    for length in [Length::Known(10), Length::Unknown] {
        let mut turn = Turn::new();
        turn.take(b"POST / HTTP/1.1\r\n\r\n");
        turn.begin(Some(length));
        turn.want_body();
        turn.take(b"1");
        turn.end_body(false);
        assert!(!turn.is_whole());
        turn.end_answer();
        assert!(turn.handle_written());
        assert!(turn.is_ended() && !turn.is_open());
    }
}

#[test]
fn head_is_counted_until_it_is_complete() {
    let mut turn = Turn::new();
    assert_eq!(turn.awaited(), Some(Awaited::First));
    turn.take(b"GET / HT");
    assert_eq!(
        (turn.head_bytes(), turn.awaited()),
        (8, Some(Awaited::First))
    );
    turn.take(b"TP/1.1\r\n\r\n");
    assert_eq!((turn.head_bytes(), turn.awaited()), (0, None));
    turn.begin(None);
    turn.end_answer();
    turn.handle_written();
    turn.take(b"G");
    assert_eq!(turn.awaited(), Some(Awaited::Rest));
}
