use proptest::prelude::*;

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

#[test]
fn a_paused_holder_finds_its_term_over() {
    let mut lease = Lease::new(Name::new("a"));
    let LeaseAction::Write(record) = lease.observe(at(0), None, None) else {
        panic!("a free lease is written");
    };
    lease.record_write(at(0), &record);
    assert_eq!(lease.fencing_number(at(8_999)), Some(FencingNumber(1)));
    assert_eq!(lease.fencing_number(at(9_000)), None);
}

#[test]
fn another_takes_over_only_after_a_whole_term_and_with_a_higher_number() {
    let version = Version::new("v1");
    let record = LeaseRecord {
        holder: Name::new("a"),
        fencing: FencingNumber(4),
        writes: 1,
    };
    let mut lease = Lease::new(Name::new("b"));
    let free = at(11_000);
    let step = lease.observe(at(0), Some(&version), Some(&record));
    assert_eq!(step, LeaseAction::Wait(free));
    let LeaseAction::Write(next) = lease.observe(free, Some(&version), Some(&record)) else {
        panic!("a lapsed lease is written");
    };
    assert_eq!(next.fencing, FencingNumber(5));
}

#[derive(Clone, Debug)]
enum Turn {
    Read(usize),
    Write(usize),
    LoseReply(usize),
    Pause(u64),
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        4 => (0usize..3).prop_map(Turn::Read),
        4 => (0usize..3).prop_map(Turn::Write),
        1 => (0usize..3).prop_map(Turn::LoseReply),
        4 => (1u64..13_000).prop_map(Turn::Pause),
    ]
}

proptest! {
    /// In any order of reads, writes, lost replies and pauses, also with
    /// clocks that differ by years: never do two processes hold the lease at
    /// once, and numbers only grow from holder to holder.
    #[test]
    fn one_holder_at_a_time(turns in prop::collection::vec(turn(), 1..200)) {
        let names = ["a", "b", "c"].map(Name::new);
        let mut leases = names.clone().map(Lease::new);
        let mut plans: [Option<(Timestamp, Option<u64>, LeaseRecord)>; 3] = [None, None, None];
        let offsets = [0u64, 1_000_000_000, 77];
        let mut stored: Option<(u64, LeaseRecord)> = None;
        let mut real = 0u64;
        for turn in turns {
            match turn {
                Turn::Pause(millis) => real += millis,
                Turn::Read(i) => {
                    let now = at(real + offsets[i]);
                    let version = stored.as_ref().map(|(v, _)| Version::new(&v.to_string()));
                    let record = stored.as_ref().map(|(_, r)| r);
                    if let LeaseAction::Write(next) = leases[i].observe(now, version.as_ref(), record) {
                        plans[i] = Some((now, stored.as_ref().map(|(v, _)| *v), next));
                    }
                }
                Turn::Write(i) | Turn::LoseReply(i) => {
                    let Some((began, expected, record)) = plans[i].take() else { continue };
                    if stored.as_ref().map(|(v, _)| *v) != expected {
                        continue;
                    }
                    if let Some((_, old)) = &stored {
                        prop_assert!(record.fencing >= old.fencing);
                        prop_assert!(record.holder == old.holder || record.fencing > old.fencing);
                    }
                    stored = Some((expected.unwrap_or(0) + 1, record.clone()));
                    if matches!(turn, Turn::Write(_)) {
                        leases[i].record_write(began, &record);
                    }
                }
            }
            let holders = (0..3).filter(|i| leases[*i].fencing_number(at(real + offsets[*i])).is_some());
            prop_assert!(holders.count() <= 1);
        }
    }
}
