use proptest::prelude::*;

use super::*;

fn report() -> impl Strategy<Value = NamedReport> {
    let unnamed = prop::option::of(0..1_000_000_u64);
    ("[a-z]{1,8}", 0.0..1e6_f64, 0..1_000_000_u64, unnamed).prop_map(
        |(upstream, per_second, named, unnamed)| {
            let report = LimitReport {
                limit: RateLimit::new(per_second).expect("a limit"),
                named_age: Duration::from_millis(named),
                unnamed_age: unnamed.map(Duration::from_millis),
            };
            (Name::new(&upstream), report)
        },
    )
}

fn answer() -> impl Strategy<Value = PermitAnswer> {
    prop_oneof![
        Just(PermitAnswer::Granted),
        Just(PermitAnswer::Queued),
        (0..100_000_u64).prop_map(|ms| PermitAnswer::Denied(Duration::from_millis(ms))),
    ]
}

fn message() -> impl Strategy<Value = LimitMessage> {
    let request = (
        any::<u64>(),
        any::<u64>(),
        any::<u8>(),
        0..10_000_u64,
        report(),
    );
    let request = request.prop_map(|(entry, number, rank, max_wait, report)| {
        let request = PermitRequest {
            id: PermitId {
                entry: Incarnation(entry),
                number,
            },
            rank,
            max_wait: Duration::from_millis(max_wait),
        };
        LimitMessage::Request(request, report)
    });
    let reply = (any::<u64>(), answer(), 0..2000_usize, report());
    let reply = reply.prop_map(|(number, answer, other_entries, report)| {
        LimitMessage::Reply(PermitReply {
            number,
            answer,
            other_entries,
            report,
        })
    });
    prop_oneof![
        prop::collection::vec(report(), 0..20).prop_map(LimitMessage::Limits),
        request,
        reply,
        any::<u64>().prop_map(|i| LimitMessage::Leaving(Incarnation(i))),
    ]
}

proptest! {
    #[test]
    fn messages_are_decoded_as_they_were_encoded(message in message()) {
        let decoded = decode(&encode(&message)).expect("a message");
        prop_assert_eq!(decoded, message);
    }

    #[test]
    fn other_bytes_are_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }
}

#[test]
fn a_limit_that_is_no_rate_is_rejected() {
    let report = LimitReport {
        limit: RateLimit::new(1.0).expect("a limit"),
        named_age: Duration::ZERO,
        unnamed_age: None,
    };
    let mut builder = Builder::new_default();
    let root = builder.init_root::<limit_message::Builder<'_>>();
    let mut list = root.init_limits(1);
    write_limit(&(Name::new("a"), report), list.reborrow().get(0));
    list.get(0).set_per_second(f64::NAN);
    let words = serialize::write_message_to_words(&builder);
    assert!(decode(&words).is_err());
}
