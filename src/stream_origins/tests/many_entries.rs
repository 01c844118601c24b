//! Kills at the size that the product is built towards.

use std::ops::Range;

use super::*;

const ENTRIES: u32 = 1_300;
const AGENTS: u32 = 6_700;

/// The numbers of processes: agents, then entries.
const ENTRY_NUMBERS: Range<u32> = AGENTS..AGENTS + ENTRIES;

/// The entries whose streams are followed, and the streams of each.
const FOLLOWED: usize = 40;
const STREAMS: u64 = 30;

/// Processes that keep records, of which all memory is lost when they are killed.
struct Fleet {
    processes: Vec<StreamOrigins>,
    runs: Vec<u64>,
    stored: VersionHistory,
    has_agents: bool,
    now: u64,
}

fn address(number: u32) -> SocketAddr {
    let [_, high, middle, low] = number.to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 7_600))
}

fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("all addresses are IPv4");
    };
    let [_, high, middle, low] = address.ip().octets();
    u32::from_be_bytes([0, high, middle, low]) as usize
}

impl Fleet {
    fn start() -> Self {
        let processes = (0..AGENTS + ENTRIES).map(|_| StreamOrigins::new());
        let mut this = Self {
            processes: processes.collect(),
            runs: vec![0; (AGENTS + ENTRIES) as usize],
            stored: VersionHistory::default(),
            has_agents: true,
            now: 100,
        };
        for entry in ENTRY_NUMBERS {
            this.observe(entry);
        }
        this
    }

    /// Lets an entry see the listed upstreams, and write the versions to the store.
    fn observe(&mut self, entry: u32) {
        let origins = &mut self.processes[entry as usize];
        origins.observe(at(self.now), &upstreams(&[1, 2]));
        self.stored = origins.history(at(self.now));
    }

    fn holders(&self, entry: u32) -> Holders {
        let holder = |number: u32| Holder {
            address: address(number),
            run: self.runs[number as usize],
        };
        let mut holders = Holders::new();
        if self.has_agents {
            // The run of an agent is not known.
            holders.set_agents((0..AGENTS).map(|n| Holder {
                run: 0,
                ..holder(n)
            }));
        }
        holders.set_entries(ENTRY_NUMBERS.filter(|n| *n != entry).map(holder));
        holders
    }

    /// Sends the due records of an entry to those that are to keep them.
    fn send(&mut self, entry: u32) {
        let holders = self.holders(entry);
        let batches = self.processes[entry as usize].take_unsent(at(self.now), &holders);
        for (holder, batch) in batches {
            let keeper = &mut self.processes[number(holder.address)];
            for record in &batch {
                keeper.learn(at(self.now), record);
            }
        }
    }

    fn restart(&mut self, process: u32) {
        self.processes[process as usize] = StreamOrigins::new();
        self.runs[process as usize] += 1;
        if ENTRY_NUMBERS.contains(&process) {
            let stored = self.stored.clone();
            let origins = &mut self.processes[process as usize];
            origins.observe(at(self.now), &upstreams(&[1, 2]));
            origins.restore(at(self.now), &stored, Duration::ZERO);
        }
    }

    /// Resolves a stream at an entry as it does: by itself, then by those that it asks.
    fn resolve(&self, entry: u32, holders: &Holders, stream: StreamId) -> Option<SoftwareVersion> {
        let mut versions = match self.processes[entry as usize].find(
            at(self.now),
            &pool(),
            Some(stream),
            timeout(),
        ) {
            Origin::Known(version) => return Some(version),
            Origin::Unknown(versions) => versions,
        };
        let agents = holders.asked_agents(Some(stream));
        for asked in agents
            .into_iter()
            .chain(holders.asked_entries(Some(stream)))
        {
            let asked = &self.processes[number(asked)];
            if let Some(record) = asked.get(at(self.now), stream) {
                return Some(record.version);
            }
            versions.extend(asked.versions_within(at(self.now), &pool(), timeout()));
        }
        (versions.len() == 1).then(|| versions.into_iter().next())?
    }

    /// Begins streams at the first entries, of two versions in turn.
    fn begin_streams(&mut self) -> Vec<(u32, StreamId, SoftwareVersion)> {
        let entries = ENTRY_NUMBERS.take(FOLLOWED);
        entries
            .flat_map(|entry| self.begin_streams_at(entry))
            .collect()
    }

    fn begin_streams_at(&mut self, entry: u32) -> Vec<(u32, StreamId, SoftwareVersion)> {
        let mut begun = Vec::new();
        for i in 0..STREAMS {
            let stream = StreamId::new(&pool(), &format!("{entry}-{i}"));
            let version = version(1 + i % 2);
            let origins = &mut self.processes[entry as usize];
            origins.begin(at(self.now), stream, &pool(), version.clone(), timeout());
            begun.push((entry, stream, version));
        }
        self.send(entry);
        begun
    }

    /// Returns the share of the streams that an entry, which has not begun them, resumes.
    /// None may go on at another version.
    fn resumed(&self, streams: &[(u32, StreamId, SoftwareVersion)]) -> f64 {
        let at = ENTRY_NUMBERS.end - 1;
        let holders = self.holders(at);
        let mut resumed = 0;
        for (_, stream, version) in streams {
            if let Some(resolved) = self.resolve(at, &holders, *stream) {
                assert_eq!(resolved, *version);
                resumed += 1;
            }
        }
        f64::from(resumed) / streams.len() as f64
    }
}

#[test]
fn streams_go_on_after_a_kill_of_one_entry() {
    let mut fleet = Fleet::start();
    let streams = fleet.begin_streams();
    fleet.restart(ENTRY_NUMBERS.start);
    assert_eq!(fleet.resumed(&streams), 1.0);
}

// Issue 56, ORDER and LOST: what entries knew was gone when all of them were killed.
#[test]
fn streams_go_on_after_a_kill_of_all_entries() {
    let mut fleet = Fleet::start();
    let streams = fleet.begin_streams();
    ENTRY_NUMBERS.for_each(|entry| fleet.restart(entry));
    assert_eq!(fleet.resumed(&streams), 1.0);
}

#[test]
fn streams_are_refused_after_a_kill_of_all_processes() {
    let mut fleet = Fleet::start();
    let streams = fleet.begin_streams();
    (0..AGENTS + ENTRIES).for_each(|process| fleet.restart(process));
    assert_eq!(fleet.resumed(&streams), 0.0);
}

// Issue 56, LOST: records were sent once, and were gone when each entry had been restarted.
#[test]
fn streams_go_on_after_a_restart_of_each_entry_in_turn_without_agents() {
    let mut fleet = Fleet::start();
    fleet.has_agents = false;
    let owner = ENTRY_NUMBERS.start;
    let streams = fleet.begin_streams_at(owner);
    for entry in ENTRY_NUMBERS.skip(1) {
        fleet.restart(entry);
        let now = at(fleet.now);
        fleet.processes[owner as usize].mark_all_due(now);
        fleet.send(owner);
    }
    fleet.restart(owner);
    assert_eq!(fleet.resumed(&streams), 1.0);
}

#[test]
fn streams_go_on_after_a_restart_of_each_process_and_a_kill_of_all_entries() {
    let mut fleet = Fleet::start();
    let owner = ENTRY_NUMBERS.start;
    let streams = fleet.begin_streams_at(owner);
    (0..AGENTS).for_each(|agent| fleet.restart(agent));
    // That agents were restarted is not noticed; the records are sent again some time later.
    let now = at(fleet.now);
    fleet.processes[owner as usize].forget_mixed_copies(now);
    fleet.send(owner);
    ENTRY_NUMBERS.for_each(|entry| fleet.restart(entry));
    assert_eq!(fleet.resumed(&streams), 1.0);
}
