//! The archive at the size that the product is built towards.

use std::net::SocketAddr;

use super::*;
use crate::peer_table::order;
use crate::stream_holders::Holder;
use crate::stream_holders::Holders;

const ENTRIES: u32 = 1_300;

/// The streams that begin in a second, and the seconds that are played.
const STREAMS_PER_S: u64 = 19_000;
const SECONDS: u64 = 60;

/// The interval of writes, in milliseconds.
const WRITE_INTERVAL: u64 = 250;

/// The calls that all processes together may make in a second at the sites in use.
const WRITES_PER_S: usize = 400;
const READS_PER_S: usize = 2_000;

/// A tenth of the link of the store in a second, in bytes.
const BYTES_PER_S: usize = 12_500_000;

fn holder(number: u32) -> Holder {
    let [_, high, middle, low] = number.to_be_bytes();
    Holder {
        address: SocketAddr::from(([10, high, middle, low], 7_600)),
        run: 0,
    }
}

/// Returns the entries as one of them knows them.
fn holders(own: u32) -> Holders {
    let mut holders = Holders::new();
    holders.set_own(holder(own));
    holders.set_entries((0..ENTRIES).filter(|n| *n != own).map(holder));
    holders
}

fn number(holder: Holder) -> u32 {
    let SocketAddr::V4(address) = holder.address else {
        unreachable!("all addresses are IPv4");
    };
    let [_, high, middle, low] = address.ip().octets();
    u32::from_be_bytes([0, high, middle, low])
}

/// Returns the writers with their shards, on which entries agree.
fn writers(views: &[Holders]) -> BTreeMap<u32, BTreeSet<u32>> {
    let mut writers: BTreeMap<u32, BTreeSet<u32>> = BTreeMap::new();
    for shard in 0..views[0].shards() {
        let stream = StreamId(u64::from(shard));
        let writer = views[0].archivist(stream).expect("a writer");
        assert!(views.iter().all(|v| v.archivist(stream) == Some(writer)));
        writers.entry(number(writer)).or_default().insert(shard);
    }
    for (writer, shards) in &writers {
        assert_eq!(&holders(*writer).own_shards(), shards);
    }
    writers
}

// Issue 75, LOST: what the records of a release cost the store.
#[test]
fn archive_keeps_to_the_rates_of_the_store_with_many_entries() {
    let views: Vec<Holders> = (0..8).map(|i| holders(i * 160)).collect();
    assert_eq!(views[0].shards(), 32);
    let mut archives = BTreeMap::new();
    for (entry, shards) in writers(&views) {
        let mut archive = StreamArchive::new();
        archive.set_owned(at(0), &shards);
        for shard in shards {
            archive.finish_reading(at(0), shard, &[]);
        }
        archives.insert(entry, archive);
    }
    let mut segments = BTreeSet::new();
    let (mut most_writes, mut most_bytes) = (0, 0);
    let (mut writes, mut bytes) = (0, 0);
    let begun = STREAMS_PER_S * WRITE_INTERVAL / 1_000;
    for step in 0..SECONDS * 1_000 / WRITE_INTERVAL {
        let now = step * WRITE_INTERVAL;
        for i in 0..begun {
            let stream = order(step * begun + i, 0);
            let view = &views[(i % 8) as usize];
            let writer = view.archivist(StreamId(stream)).expect("a writer");
            let archive = archives.get_mut(&number(writer)).expect("an archive");
            let shard = view.shard(StreamId(stream));
            assert!(archive.add(at(now), shard, &record(stream, stream % 2)));
        }
        for archive in archives.values_mut() {
            for (id, segment) in archive.take_due(at(now), now) {
                writes += 1;
                bytes += serde_json::to_string(&segment).expect("JSON").len();
                segments.insert(id);
            }
        }
        if now % 1_000 == 1_000 - WRITE_INTERVAL {
            most_writes = most_writes.max(writes);
            most_bytes = most_bytes.max(bytes);
            (writes, bytes) = (0, 0);
        }
    }
    println!(
        "{most_writes} writes and {most_bytes} bytes a second at most, {} segments",
        segments.len()
    );
    assert!(most_writes < WRITES_PER_S, "{most_writes} writes a second");
    assert!(most_bytes < BYTES_PER_S, "{most_bytes} bytes a second");
    // After a kill of all, the writers read their shards within a second.
    let reads = segments.len() + 32;
    assert!(reads < READS_PER_S, "{reads} reads");
}
