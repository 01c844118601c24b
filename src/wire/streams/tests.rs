use proptest::prelude::*;

use super::*;

fn version() -> impl Strategy<Value = SoftwareVersion> {
    prop::option::of("[a-z0-9.]{1,8}").prop_map(|v| v.map(|v| Name::new(&v)))
}

fn record() -> impl Strategy<Value = StreamRecord> {
    ("[a-z]{1,4}", version(), 1..u64::MAX).prop_map(|(service, version, stream)| StreamRecord {
        stream: StreamId(stream),
        service: Name::new(&service),
        version,
        needed_for: Duration::from_secs(45),
    })
}

fn message() -> impl Strategy<Value = StreamMessage> {
    let stream = prop::option::of(1..u64::MAX).prop_map(|s| s.map(StreamId));
    let query = (any::<u64>(), stream, "[a-z]{1,4}").prop_map(|(number, stream, service)| {
        StreamMessage::Query(StreamQuery {
            number,
            stream,
            service: Name::new(&service),
            timeout: Duration::from_secs(15),
        })
    });
    let versions = prop::collection::btree_set(version(), 0..4);
    let reply = (any::<u64>(), prop::option::of(record()), versions);
    let reply = reply.prop_map(|(number, record, versions)| {
        StreamMessage::Reply(StreamReply {
            number,
            record,
            versions,
        })
    });
    prop_oneof![
        prop::collection::vec(record(), 0..20).prop_map(StreamMessage::Began),
        query,
        reply,
    ]
}

/// Sorts the records of a message, which are grouped on the wire.
fn sorted(message: StreamMessage) -> StreamMessage {
    match message {
        StreamMessage::Began(mut records) => {
            records.sort_by_key(|r| (r.stream, r.service.clone(), r.version.clone()));
            StreamMessage::Began(records)
        }
        other => other,
    }
}

proptest! {
    #[test]
    fn decoded_message_equals_the_encoded_one(message in message()) {
        let decoded = decode(&encode(&message)).expect("a valid message");
        prop_assert_eq!(sorted(decoded), sorted(message));
    }

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = decode(&bytes);
    }
}
