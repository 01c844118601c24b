use proptest::prelude::*;

use super::*;
use crate::object_store::MAX_OBJECT_BYTES;

mod many_entries;

/// The time for which the records of these tests are needed.
const NEEDED: Duration = Duration::from_secs(45);

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn record(stream: u64, version: u64) -> StreamRecord {
    StreamRecord {
        stream: StreamId(stream),
        service: Name::new("pool"),
        version: Some(Name::new(&format!("v{version}"))),
        needed_for: NEEDED,
    }
}

/// A store of segments, and the entry that writes shard 0 to it.
#[derive(Default)]
struct Fixture {
    archive: StreamArchive,
    stored: BTreeMap<SegmentId, StoredSegment>,
    writes: usize,
}

impl Fixture {
    fn start(now: u64) -> Self {
        let mut fixture = Self::default();
        fixture.restart(now);
        fixture
    }

    /// Replaces the entry by one that knows nothing.
    fn restart(&mut self, now: u64) {
        self.archive = StreamArchive::new();
        self.archive.set_owned(at(now), &BTreeSet::from([0]));
    }

    fn read(&mut self, now: u64) -> BTreeSet<u64> {
        let stored = self.stored.values();
        let stored: Vec<Vec<StreamRecord>> = stored.map(|s| s.records(now)).collect();
        self.archive.finish_reading(at(now), 0, &stored);
        let streams = stored.iter().flatten().map(|r| r.stream.0);
        streams.collect()
    }

    fn write(&mut self, now: u64) {
        let due = self.archive.take_due(at(now), now);
        self.writes += due.len();
        self.stored.extend(due);
    }

    fn stored_streams(&self, now: u64) -> BTreeSet<u64> {
        let stored = self.stored.values().flat_map(|s| s.records(now));
        stored.map(|r| r.stream.0).collect()
    }
}

#[test]
fn records_are_written_after_the_shard_was_read() {
    let mut fixture = Fixture::start(0);
    assert_eq!(fixture.archive.next_to_read(at(0)), None);
    assert!(fixture.archive.add(at(0), 0, &record(1, 1)));
    assert_eq!(fixture.archive.next_to_read(at(0)), Some(0));
    assert!(!fixture.archive.has_due());
    fixture.read(0);
    assert!(fixture.archive.has_due());
    fixture.write(0);
    assert_eq!(
        fixture.stored[&SegmentId { shard: 0, index: 0 }].records(0),
        [record(1, 1)]
    );
}

// Records are sent again every few seconds, and when processes come.
#[test]
fn record_that_is_there_costs_no_write() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    assert!(fixture.archive.add(at(0), 0, &record(1, 1)));
    fixture.write(0);
    assert!(!fixture.archive.add(at(5_000), 0, &record(1, 1)));
    assert!(!fixture.archive.has_due());
}

#[test]
fn records_of_shards_of_other_entries_are_left_to_them() {
    let mut fixture = Fixture::start(0);
    assert!(!fixture.archive.add(at(0), 1, &record(1, 1)));
    assert_eq!(fixture.archive.want(at(0), 1), None);
    fixture.read(0);
    fixture.archive.add(at(0), 0, &record(1, 1));
    fixture.archive.set_owned(at(0), &BTreeSet::new());
    assert!(!fixture.archive.has_due());
}

#[test]
fn segments_are_emptied_when_no_stream_needs_them_and_filled_again() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    for stream in 0..2_500 {
        fixture.archive.add(at(0), 0, &record(stream, 1));
    }
    fixture.write(0);
    assert_eq!(fixture.stored.len(), 3);
    fixture.write(44_000);
    assert_eq!(fixture.writes, 3);
    fixture.write(45_000);
    assert_eq!(fixture.writes, 6);
    assert!(fixture.stored.values().all(|s| s.groups.is_empty()));
    fixture.archive.add(at(46_000), 0, &record(1, 2));
    fixture.write(46_000);
    assert_eq!(fixture.stored.len(), 3);
    assert_eq!(fixture.writes, 7);
}

// What a writer has left is removed by the one that follows it, also if no stream comes.
#[test]
fn shard_that_was_taken_over_is_read_and_emptied() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    fixture.archive.add(at(0), 0, &record(1, 1));
    fixture.write(0);
    fixture.restart(1_000);
    assert_eq!(fixture.archive.next_to_read(at(5_999)), None);
    assert_eq!(fixture.archive.next_to_read(at(6_000)), Some(0));
    assert_eq!(fixture.read(6_000), BTreeSet::from([1]));
    // The time for which records are needed is prolonged by the error of clocks.
    fixture.write(100_000);
    assert!(fixture.stored.values().all(|s| s.groups.is_empty()));
}

#[test]
fn segment_that_another_entry_has_written_is_read_and_merged() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    fixture.archive.add(at(0), 0, &record(1, 1));
    let id = SegmentId { shard: 0, index: 0 };
    let other = fixture.archive.take_due(at(0), 0)[0].1.clone();
    fixture.archive.add(at(0), 0, &record(2, 2));
    fixture.stored.insert(id, other);
    fixture.archive.read_again(at(0), 0);
    assert_eq!(fixture.archive.next_to_read(at(0)), Some(0));
    fixture.read(0);
    fixture.write(0);
    assert_eq!(fixture.stored_streams(0), BTreeSet::from([1, 2]));
}

#[test]
fn store_that_was_restored_gets_all_segments_again() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    fixture.archive.add(at(0), 0, &record(1, 1));
    fixture.write(0);
    fixture.stored.clear();
    fixture.archive.mark_all_due();
    fixture.write(100);
    assert_eq!(fixture.stored_streams(100), BTreeSet::from([1]));
}

// Clocks of hosts may differ by some seconds either way.
#[test]
fn record_is_kept_as_long_as_a_wrong_clock_can_make_it_needed() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    fixture.archive.add(at(0), 0, &record(1, 1));
    let hour = 3_600_000;
    let stored = fixture.archive.take_due(at(0), hour).remove(0).1;
    for (read_at, is_kept) in [
        (hour - 20_000, true),
        (hour + 44_000, true),
        (hour + 74_000, true),
        (hour + 75_000, false),
    ] {
        assert_eq!(!stored.records(read_at).is_empty(), is_kept, "{read_at}");
    }
}

#[test]
fn segment_fits_in_an_object_and_survives_the_store() {
    let mut fixture = Fixture::start(0);
    fixture.read(0);
    for stream in 0..SEGMENT_RECORDS as u64 {
        let record = record(u64::MAX - stream, stream % 7);
        fixture.archive.add(at(0), 0, &record);
    }
    fixture.write(0);
    assert_eq!(fixture.stored.len(), 1);
    let segment = fixture.stored.values().next().expect("a segment");
    let text = serde_json::to_string(segment).expect("JSON");
    // Objects hold it as a string of JSON.
    let stored = serde_json::to_string(&text).expect("JSON");
    assert!(stored.len() < 20_000, "{} bytes", stored.len());
    assert!(stored.len() * 16 < MAX_OBJECT_BYTES);
    let read: StoredSegment = serde_json::from_str(&text).expect("a segment");
    assert_eq!(&read, segment);
}

#[test]
fn shards_grow_with_the_site() {
    let shards = [1, 5, 31, 63, 64, 130, 1_300, 5_000].map(shards_for);
    assert_eq!(shards, [1, 1, 1, 1, 2, 4, 32, 32]);
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Begin(u64),
    Write,
    /// The entry writes, and the store does not take all of it.
    FailWrite,
    Restart,
    Read,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..20_000).prop_map(Step::Wait),
        (1_u64..400).prop_map(Step::Begin),
        Just(Step::Write),
        Just(Step::FailWrite),
        Just(Step::Restart),
        Just(Step::Read),
    ]
}

proptest! {
    /// Whatever fails and is restarted, what the store has confirmed is there as long as it is
    /// needed, and a restarted entry reads it.
    #[test]
    fn confirmed_records_outlast_restarts(steps in prop::collection::vec(step(), 1..60)) {
        let mut fixture = Fixture::start(0);
        let mut now = 0;
        let mut next = 0;
        // The streams with the time until which they are needed.
        let mut begun: Vec<(u64, u64)> = Vec::new();
        let mut confirmed: BTreeMap<u64, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Wait(time) => now += time,
                Step::Begin(count) => {
                    for stream in next..next + count {
                        fixture.archive.add(at(now), 0, &record(stream, stream % 2));
                        begun.push((stream, now + 45_000));
                    }
                    next += count;
                }
                Step::Write => {
                    let is_read = fixture.archive.want(at(now), 0).is_none();
                    fixture.write(now);
                    if is_read {
                        confirmed.extend(begun.drain(..));
                    }
                }
                Step::FailWrite => {
                    for (id, _) in fixture.archive.take_due(at(now), now) {
                        fixture.archive.mark_due(id);
                    }
                }
                Step::Restart => {
                    fixture.restart(now);
                    begun.clear();
                }
                Step::Read => {
                    if fixture.archive.want(at(now), 0).is_some() {
                        fixture.read(now);
                    }
                }
            }
            let stored = fixture.stored_streams(now);
            confirmed.retain(|_, until| now < *until);
            for stream in confirmed.keys() {
                prop_assert!(stored.contains(stream), "{stream} is lost");
            }
        }
    }
}
