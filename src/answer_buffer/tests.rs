use super::*;

fn event(number: usize) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {number}\n\n"))
}

fn drain(buffer: &mut AnswerBuffer, total: &mut AnswerTotal) -> Vec<u8> {
    let mut drained = Vec::new();
    while let Some(bytes) = buffer.pop(total) {
        drained.extend_from_slice(&bytes);
    }
    drained
}

/// Pushes parts of `length` bytes while there is room, and returns why there is none.
fn fill(buffer: &mut AnswerBuffer, total: &mut AnswerTotal, length: usize) -> Room {
    loop {
        match buffer.room_for(length, total) {
            Room::Free => buffer.push(Bytes::from(vec![0; length]), total),
            full => return full,
        }
    }
}

// Guards against parts of a slow caller's answer that are lost or reordered.
#[test]
fn parts_leave_in_their_order() {
    let (mut buffer, mut total) = (AnswerBuffer::new(), AnswerTotal::new(u64::MAX));
    let mut expected = Vec::new();
    for number in 0..2_000 {
        let part = match number % 7 {
            0 => Bytes::from(vec![b'x'; number * 3]),
            _ => event(number),
        };
        expected.extend_from_slice(&part);
        buffer.push(part, &mut total);
    }
    assert_eq!(drain(&mut buffer, &mut total), expected);
    assert_eq!(total.held(), 0);
}

// Guards against small events that need several times the memory that is counted.
#[test]
fn small_events_share_blocks() {
    let (mut buffer, mut total) = (AnswerBuffer::new(), AnswerTotal::new(u64::MAX));
    let mut length = 0;
    for number in 0..10_000 {
        let event = event(number);
        length += event.len();
        buffer.push(event, &mut total);
    }
    assert!(buffer.parts.len() <= 2 + length / (BLOCK_BYTES - 64));
    assert!(total.held() <= (length + 2 * BLOCK_BYTES) as u64);
}

// Guards against one slow caller whose answer takes the memory of the entry.
#[test]
fn answer_is_bounded_by_its_own_share() {
    let (mut buffer, mut total) = (AnswerBuffer::new(), AnswerTotal::new(u64::MAX));
    assert_eq!(fill(&mut buffer, &mut total, 1_000), Room::AnswerFull);
    assert!(total.held() <= MAX_ANSWER_BYTES);
    assert!(total.held() >= MAX_ANSWER_BYTES / 2);
}

// Guards against many slow callers whose answers take the memory of the entry, and against
// answers that cannot go on because of others.
#[test]
fn answers_are_bounded_by_the_total_and_keep_their_guarantee() {
    let limit = 3 * MAX_ANSWER_BYTES;
    let mut total = AnswerTotal::new(limit);
    let mut buffers: Vec<AnswerBuffer> = (0..100).map(|_| AnswerBuffer::new()).collect();
    for buffer in &mut buffers {
        fill(buffer, &mut total, 1_000);
    }
    assert!(total.held() <= limit + 100 * GUARANTEED_BYTES);
    for buffer in &buffers {
        assert!(buffer.held >= GUARANTEED_BYTES - BLOCK_BYTES as u64);
    }
    let last = &mut buffers[99];
    assert_eq!(last.room_for(1_000, &total), Room::EntryFull);
    last.clear(&mut total);
    assert_eq!(last.room_for(1_000, &total), Room::Free);
    for buffer in &mut buffers {
        buffer.clear(&mut total);
    }
    assert_eq!(total.held(), 0);
}

// A part is at most as large as one read, and refusing it for ever would stop the answer.
#[test]
fn empty_buffer_takes_a_part_of_any_size() {
    let (buffer, total) = (AnswerBuffer::new(), AnswerTotal::new(0));
    let length = 2 * MAX_ANSWER_BYTES as usize;
    assert_eq!(buffer.room_for(length, &total), Room::Free);
}

// Upstreams that send parts without end took the memory of all answers.
#[test]
fn collected_bytes_get_half_of_the_total_and_keep_their_guarantee() {
    // Their guarantees are less than the room that one slow caller needs.
    const COLLECTING: u64 = 10;
    let limit = 4 * MAX_ANSWER_BYTES;
    let mut total = AnswerTotal::new(limit);
    let mut collected: Vec<CollectedBytes> = Vec::new();
    for _ in 0..COLLECTING {
        let mut bytes = CollectedBytes::default();
        assert!(bytes.resize(GUARANTEED_BYTES, &mut total));
        bytes.resize(MAX_ANSWER_BYTES, &mut total);
        collected.push(bytes);
    }
    assert!(total.held() <= limit / 2 + COLLECTING * GUARANTEED_BYTES);
    let mut slow = AnswerBuffer::new();
    assert_eq!(fill(&mut slow, &mut total, 1_000), Room::AnswerFull);
    slow.clear(&mut total);
    for bytes in &mut collected {
        assert!(bytes.resize(0, &mut total));
    }
    assert_eq!(total.held(), 0);
}

// A body that is collected in blocks must arrive unchanged.
#[test]
fn collected_body_returns_its_bytes_in_order() {
    for length in [0, 1, BLOCK_BYTES - 1, BLOCK_BYTES, 3 * BLOCK_BYTES + 7] {
        let bytes: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
        for part in [1, 7, BLOCK_BYTES, 5 * BLOCK_BYTES] {
            let mut body = CollectedBody::new();
            for part in bytes.chunks(part) {
                let memory = body.memory_with(part.len());
                body.push(part);
                assert_eq!(body.memory_with(0), memory);
            }
            assert_eq!(body.len(), length);
            assert_eq!(body.is_empty(), length == 0);
            let returned: Vec<u8> = body.into_blocks().flatten().collect();
            assert!(returned == bytes);
        }
    }
}
