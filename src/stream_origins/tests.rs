use std::net::SocketAddr;

use proptest::prelude::*;

use super::*;
use crate::settings::Fencing;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;

mod copies;
mod history;
mod many_entries;

/// The timeout of all requests, in seconds.
const TIMEOUT: u64 = 15;

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

fn timeout() -> Duration {
    Duration::from_secs(TIMEOUT)
}

fn version(number: u64) -> SoftwareVersion {
    Some(Name::new(&format!("v{number}")))
}

fn pool() -> Name {
    Name::new("pool")
}

/// Returns one upstream of each version.
fn upstreams(versions: &[u64]) -> Upstreams {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let upstream = |number: &u64| Upstream {
        kind: UpstreamKind::Model,
        zone: Name::new("a"),
        address,
        agent: None,
        instance: None,
        version: version(*number),
        started: None,
        cold_left: None,
        leaving: false,
        event_tokens: 1,
        serves: vec![pool()],
        loads: Vec::new(),
        slots: 1,
        cache_tokens: 0,
        memory_tokens: None,
        fencing: Fencing::Ignored,
    };
    let named = |number: &u64| (Name::new(&format!("u{number}")), upstream(number));
    versions.iter().map(named).collect()
}

fn find(origins: &StreamOrigins, now: u64, stream: u64) -> Origin {
    origins.find(at(now), &pool(), Some(StreamId(stream)), timeout())
}

fn unknown(versions: &[u64]) -> Origin {
    Origin::Unknown(versions.iter().map(|v| version(*v)).collect())
}

#[test]
fn stream_id_depends_on_the_organisation_and_the_request() {
    let (a, b) = (Name::new("a"), Name::new("b"));
    let ids = [
        StreamId::new(&a, "1"),
        StreamId::new(&a, "2"),
        StreamId::new(&b, "1"),
        StreamId::new(&Name::new("a1"), ""),
    ];
    let distinct: BTreeSet<StreamId> = ids.into_iter().collect();
    assert_eq!(distinct.len(), ids.len());
    assert_eq!(StreamId::new(&a, "1"), ids[0]);
}

#[test]
fn record_is_kept_until_its_caller_can_no_longer_resume() {
    let mut origins = StreamOrigins::new();
    origins.observe(at(0), &upstreams(&[1, 2]));
    origins.begin(at(1), StreamId(7), &pool(), version(1), timeout());
    assert_eq!(find(&origins, 45, 7), Origin::Known(version(1)));
    assert_eq!(find(&origins, 46, 7), unknown(&[1, 2]));
}

#[test]
fn version_that_has_left_is_seen_while_its_streams_can_be_running() {
    let mut origins = StreamOrigins::new();
    origins.observe(at(0), &upstreams(&[1, 2]));
    assert_eq!(find(&origins, 20, 7), unknown(&[1, 2]));
    origins.observe(at(20), &upstreams(&[2]));
    assert_eq!(find(&origins, 34, 7), unknown(&[1, 2]));
    assert_eq!(find(&origins, 35, 7), unknown(&[2]));
}

#[test]
fn entry_that_has_just_started_does_not_know_past_versions() {
    let mut origins = StreamOrigins::new();
    origins.observe(at(100), &upstreams(&[2]));
    assert_eq!(find(&origins, 114, 7), unknown(&[2]));
    assert_eq!(find(&origins, 115, 7), unknown(&[2]));
}

fn holder(port: u16) -> Holder {
    Holder {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        run: 0,
    }
}

/// Returns the processes that can keep records: agents and other entries with these ports.
fn holders(agents: &[u16], entries: &[u16]) -> Holders {
    let mut holders = Holders::new();
    holders.set_agents(agents.iter().map(|p| holder(*p)));
    holders.set_entries(entries.iter().map(|p| holder(*p)));
    holders
}

fn standing(asked: usize, replied: usize) -> Standing {
    Standing {
        asked,
        replied,
        reachable_fraction: 1.0,
        view_age: Some(Duration::from_secs(2)),
    }
}

// Issue 50, ORDER: an entry that had seen a single version for long took it for the version
// of every stream, also while it was out of step.
#[test]
fn entry_without_replies_of_most_others_is_not_in_step() {
    assert!(standing(8, 8).is_in_step());
    assert!(standing(8, 4).is_in_step());
    assert!(!standing(8, 3).is_in_step());
    assert!(!standing(8, 0).is_in_step());
    assert!(!standing(1, 0).is_in_step());
    let minority = Standing {
        reachable_fraction: 0.3,
        ..standing(2, 2)
    };
    assert!(!minority.is_in_step());
}

#[test]
fn only_entry_is_in_step() {
    assert!(standing(0, 0).is_in_step());
}

#[test]
fn fresh_view_shows_that_the_others_have_ended() {
    let fresh = |asked, replied| Standing {
        reachable_fraction: 0.3,
        view_age: Some(Duration::from_millis(900)),
        ..standing(asked, replied)
    };
    assert!(fresh(0, 0).is_in_step());
    assert!(fresh(8, 1).is_in_step());
    assert!(!fresh(8, 0).is_in_step());
}

#[test]
fn first_record_of_a_stream_stays() {
    let mut origins = StreamOrigins::new();
    origins.observe(at(0), &upstreams(&[1, 2]));
    origins.begin(at(1), StreamId(7), &pool(), version(1), timeout());
    let other = StreamRecord {
        stream: StreamId(7),
        service: pool(),
        version: version(2),
        needed_for: timeout(),
    };
    origins.learn(at(2), &other);
    assert_eq!(find(&origins, 3, 7), Origin::Known(version(1)));
}

#[test]
fn number_of_records_is_bounded() {
    let mut origins = StreamOrigins::new();
    for stream in 0..=MAX_RECORDS as u64 {
        origins.begin(
            at(stream / 10_000),
            StreamId(stream),
            &pool(),
            None,
            timeout(),
        );
    }
    assert_eq!(origins.records.len(), MAX_RECORDS);
    assert_eq!(origins.expiries.len(), MAX_RECORDS);
    assert_eq!(origins.get(at(10), StreamId(0)), None);
    assert!(origins.get(at(10), StreamId(1)).is_some());
}

/// Event of a history of several entries.
#[derive(Clone, Debug)]
enum Step {
    /// Some seconds pass.
    Wait(u64),
    /// The upstreams now have these versions; entries see it at once, but for one that is
    /// out of step.
    Release(Vec<u64>),
    /// An entry falls out of step, and the one before it is in step again.
    Lag(usize),
    /// All entries are in step again.
    CatchUp,
    /// An entry begins a stream at one of the versions.
    Begin(usize, u64),
    /// An entry starts again without memory.
    Restart(usize),
    /// All entries do at the same time.
    RestartAll,
    /// A caller resumes one of the last streams at an entry. The flags say which of the
    /// other entries reply.
    Resume(usize, usize, Vec<bool>),
}

const ENTRIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..8_u64).prop_map(Step::Wait),
        prop::sample::subsequence(vec![1, 2, 3], 1..=2).prop_map(Step::Release),
        (0..ENTRIES, 0..3_u64).prop_map(|(entry, pick)| Step::Begin(entry, pick)),
        (0..ENTRIES).prop_map(Step::Restart),
        Just(Step::RestartAll),
        (0..ENTRIES).prop_map(Step::Lag),
        Just(Step::CatchUp),
        (
            0..ENTRIES,
            0..4_usize,
            prop::collection::vec(any::<bool>(), ENTRIES)
        )
            .prop_map(|(entry, stream, replies)| Step::Resume(entry, stream, replies)),
    ]
}

/// Resolves a stream as an entry does: by itself, then with the replies of others.
fn resolve(
    entries: &[StreamOrigins],
    entry: usize,
    replies: &[bool],
    now: u64,
    stream: StreamId,
) -> Option<SoftwareVersion> {
    let mut versions = match entries[entry].find(at(now), &pool(), Some(stream), timeout()) {
        Origin::Known(version) => return Some(version),
        Origin::Unknown(versions) => versions,
    };
    let others = entries.iter().zip(replies).enumerate();
    let others = others.filter(|(i, (_, replies))| *i != entry && **replies);
    let mut replied = 0;
    for (_, (other, _)) in others {
        replied += 1;
        if let Some(record) = other.get(at(now), stream) {
            return Some(record.version);
        }
        versions.extend(other.versions_within(at(now), &pool(), timeout()));
    }
    let is_certain = versions.len() == 1 && standing(ENTRIES - 1, replied).is_in_step();
    is_certain.then(|| versions.into_iter().next())?
}

/// Returns an entry that has just started and read the stored history.
fn start(now: u64, versions: &[u64], stored: &VersionHistory) -> StreamOrigins {
    let mut started = StreamOrigins::new();
    started.observe(at(now), &upstreams(versions));
    started.restore(at(now), stored, Duration::ZERO);
    started
}

proptest! {
    /// Whatever is released, restarted and lost, a stream is never resumed at another
    /// version. The store has the versions that an entry in step knows.
    #[test]
    fn no_stream_is_resumed_at_another_version(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = 0;
        let mut versions = vec![1];
        let mut lagging = None;
        let mut seen = vec![vec![1]; ENTRIES];
        let mut stored = VersionHistory::default();
        let mut entries: Vec<StreamOrigins> =
            (0..ENTRIES).map(|_| start(0, &versions, &stored)).collect();
        let mut streams: Vec<(StreamId, u64, SoftwareVersion)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(seconds) => now += seconds,
                Step::Release(next) => versions = next,
                Step::Lag(entry) => lagging = Some(entry),
                Step::CatchUp => lagging = None,
                Step::Begin(entry, pick) => {
                    let running = seen[entry].iter().filter(|v| versions.contains(v));
                    let running: Vec<u64> = running.copied().collect();
                    if running.is_empty() {
                        continue;
                    }
                    let begun = version(running[pick as usize % running.len()]);
                    let stream = StreamId(streams.len() as u64 + 1);
                    entries[entry].begin(at(now), stream, &pool(), begun.clone(), timeout());
                    streams.push((stream, now, begun));
                }
                Step::Restart(entry) => {
                    entries[entry] = start(now, &versions, &stored);
                    seen[entry] = versions.clone();
                }
                Step::RestartAll => {
                    entries = (0..ENTRIES).map(|_| start(now, &versions, &stored)).collect();
                    seen = vec![versions.clone(); ENTRIES];
                }
                Step::Resume(entry, back, replies) => {
                    let Some((stream, begun_at, begun)) = streams.iter().rev().nth(back) else {
                        continue;
                    };
                    if now >= begun_at + TIMEOUT {
                        continue;
                    }
                    if let Some(resolved) = resolve(&entries, entry, &replies, now, *stream) {
                        prop_assert_eq!(&resolved, begun);
                    }
                }
            }
            for entry in (0..ENTRIES).filter(|entry| Some(*entry) != lagging) {
                if seen[entry] != versions {
                    entries[entry].observe(at(now), &upstreams(&versions));
                    seen[entry] = versions.clone();
                }
            }
            let writer = (0..ENTRIES).find(|entry| Some(*entry) != lagging);
            stored = entries[writer.unwrap_or_default()].history(at(now));
            // Due records reach one other entry.
            for entry in 0..ENTRIES {
                let other = (entry + 1) % ENTRIES;
                let holders = holders(&[], &[u16::try_from(other).unwrap_or_default()]);
                let due = entries[entry].take_unsent(at(now), &holders);
                let due = due.into_values().flatten();
                for record in due {
                    entries[other].learn(at(now), &record);
                }
            }
        }
    }
}
