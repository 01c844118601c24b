use proptest::prelude::*;

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

#[test]
fn a_holder_has_no_fencing_number_after_its_term_expires() {
    let mut lease = Lease::new(Name::new("a"));
    let LeaseAction::Write(record) = lease.observe(at(0), Timeline(0), None, None) else {
        panic!("a free lease is written");
    };
    lease.record_write(at(0), &record);
    assert_eq!(lease.fencing_number(at(8_999)), Some(FencingNumber(1)));
    assert_eq!(lease.fencing_number(at(9_000)), None);
}

#[test]
fn takeover_requires_a_whole_term_and_raises_the_fencing_number() {
    let version = Version::new("v1");
    let record = LeaseRecord {
        holder: Name::new("a"),
        fencing: FencingNumber(4),
        writes: 1,
    };
    let mut lease = Lease::new(Name::new("b"));
    let takeover_at = at(11_000);
    let action = lease.observe(at(0), Timeline(0), Some(&version), Some(&record));
    assert_eq!(action, LeaseAction::Wait(takeover_at));
    let LeaseAction::Write(next) =
        lease.observe(takeover_at, Timeline(0), Some(&version), Some(&record))
    else {
        panic!("an expired lease is written");
    };
    assert_eq!(next.fencing, FencingNumber(5));
}

#[test]
fn after_a_restore_nobody_takes_the_lease_before_the_lost_term_has_expired() {
    let version = Version::new("v1");
    let record = LeaseRecord {
        holder: Name::new("a"),
        fencing: FencingNumber(4),
        writes: 1,
    };
    for record in [None, Some(&record)] {
        let mut lease = Lease::new(Name::new("a"));
        let version = record.map(|_| &version);
        let action = lease.observe(at(0), Timeline(1), version, record);
        assert_eq!(action, LeaseAction::Wait(at(11_000)));
        let action = lease.observe(at(11_000), Timeline(1), version, record);
        let LeaseAction::Write(next) = action else {
            panic!("the lost term has expired");
        };
        assert!(next.fencing > FencingNumber(1_000_000));
    }
}

#[derive(Clone, Debug)]
enum Event {
    Read(usize),
    Write(usize),
    LoseReply(usize),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0usize..3).prop_map(Event::Read),
        4 => (0usize..3).prop_map(Event::Write),
        1 => (0usize..3).prop_map(Event::LoseReply),
        4 => (1u64..13_000).prop_map(Event::Advance),
    ]
}

proptest! {
    /// Checks that no two processes hold the lease at the same time and that
    /// fencing numbers grow from holder to holder, for any order of reads,
    /// writes, lost replies and pauses. The clocks of the processes differ by up
    /// to 1,000,000 s.
    #[test]
    fn one_holder_at_a_time(events in prop::collection::vec(event(), 1..200)) {
        let names = ["a", "b", "c"].map(Name::new);
        let mut leases = names.clone().map(Lease::new);
        let mut pending_writes: [Option<(Timestamp, Option<u64>, LeaseRecord)>; 3] = [None, None, None];
        let offsets = [0u64, 1_000_000_000, 77];
        let mut stored: Option<(u64, LeaseRecord)> = None;
        let mut real_millis = 0u64;
        for event in events {
            match event {
                Event::Advance(millis) => real_millis += millis,
                Event::Read(i) => {
                    let now = at(real_millis + offsets[i]);
                    let version = stored.as_ref().map(|(v, _)| Version::new(&v.to_string()));
                    let record = stored.as_ref().map(|(_, r)| r);
                    if let LeaseAction::Write(next) = leases[i].observe(now, Timeline(0), version.as_ref(), record) {
                        pending_writes[i] = Some((now, stored.as_ref().map(|(v, _)| *v), next));
                    }
                }
                Event::Write(i) | Event::LoseReply(i) => {
                    let Some((started, expected, record)) = pending_writes[i].take() else { continue };
                    if stored.as_ref().map(|(v, _)| *v) != expected {
                        continue;
                    }
                    if let Some((_, old)) = &stored {
                        prop_assert!(record.fencing >= old.fencing);
                        prop_assert!(record.holder == old.holder || record.fencing > old.fencing);
                    }
                    stored = Some((expected.unwrap_or(0) + 1, record.clone()));
                    if matches!(event, Event::Write(_)) {
                        leases[i].record_write(started, &record);
                    }
                }
            }
            let holders = (0..3).filter(|i| leases[*i].fencing_number(at(real_millis + offsets[*i])).is_some());
            prop_assert!(holders.count() <= 1);
        }
    }
}
