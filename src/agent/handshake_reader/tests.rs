use proptest::prelude::*;

use super::*;

/// Returns the header of a message and its segments, of these lengths in words.
fn message(lengths: &[u32]) -> Vec<u8> {
    let mut bytes = (lengths.len() as u32 - 1).to_le_bytes().to_vec();
    lengths.iter().for_each(|l| bytes.extend(l.to_le_bytes()));
    bytes.resize(bytes.len().next_multiple_of(8), 0);
    let words: u32 = lengths.iter().sum();
    // Were they taken for numbers, they would announce too much.
    bytes.extend(vec![0xff; 8 * words as usize]);
    bytes
}

proptest! {
    #[test]
    fn short_messages_in_parts_are_taken(
        messages in prop::collection::vec(prop::collection::vec(0_u32..20, 1..6), 1..6),
        count in 1_usize..40,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|l| message(l)).collect();
        let mut frame = Frame::BEGIN;
        for part in bytes.chunks(count) {
            prop_assert!(frame.take(part, 1_000));
        }
    }

    #[test]
    fn long_message_is_found_before_its_segments(
        short in prop::collection::vec(0_u32..20, 1..6),
        before in prop::collection::vec(0_u32..20, 0..4),
        long in 126_u32..,
        count in 1_usize..40,
    ) {
        let mut bytes = message(&short);
        bytes.extend((before.len() as u32).to_le_bytes());
        before.iter().for_each(|l| bytes.extend(l.to_le_bytes()));
        bytes.extend(long.to_le_bytes());
        let mut frame = Frame::BEGIN;
        prop_assert!(!bytes.chunks(count).all(|part| frame.take(part, 1_000)));
    }
}

#[test]
fn many_segments_are_found_by_their_number() {
    let mut frame = Frame::BEGIN;
    assert!(!frame.take(&u32::MAX.to_le_bytes(), 16 << 10));
}
