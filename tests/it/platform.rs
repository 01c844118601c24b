//! The contract of the object API and of the host list, met by both bindings,
//! and what callers of the HTTP binding are told under faults.

use std::time::Duration;

use almondramp::host_list::Host;
use almondramp::host_list::HostList;
use almondramp::host_list::HostListError;
use almondramp::host_list::HostState;
use almondramp::host_list::HttpHostList;
use almondramp::name::Name;
use almondramp::object_store::Expected;
use almondramp::object_store::HttpObjectStore;
use almondramp::object_store::MemoryObjectStore;
use almondramp::object_store::ObjectStore;
use almondramp::object_store::StoreError;
use almondramp_standins::Platform;
use almondramp_standins::PlatformFaults;
use bytes::Bytes;

const WAIT: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_secs(1);

fn name() -> Name {
    Name::new("object")
}

async fn meets_the_contract<S>(store: S)
where
    S: ObjectStore,
{
    let (one, two) = (Bytes::from_static(b"1"), Bytes::from_static(b"2"));
    assert_eq!(store.get(name()).await, Ok(None));
    let first = store.put(name(), one.clone(), Expected::Absent).await;
    let first = first.expect("an absent object is made");
    let again = store.put(name(), two.clone(), Expected::Absent).await;
    assert_eq!(again, Err(StoreError::Conflict));
    let watched = store.watch(name(), Some(first.clone()), SHORT).await;
    assert_eq!(watched, Ok(None));
    let watching = store.watch(name(), Some(first.clone()), WAIT);
    let writing = store.put(name(), two.clone(), Expected::Version(first.clone()));
    let (watched, second) = futures::join!(watching, writing);
    let second = second.expect("the expected version is replaced");
    assert_eq!(watched.ok().flatten().map(|o| o.value), Some(two.clone()));
    let stale = store.put(name(), one, Expected::Version(first)).await;
    assert_eq!(stale, Err(StoreError::Conflict));
    let held = store.get(name()).await.ok().flatten();
    assert_eq!(held.map(|o| (o.version, o.value)), Some((second, two)));
}

#[actix_rt::test]
async fn the_store_in_memory_meets_the_contract() {
    meets_the_contract(MemoryObjectStore::new()).await;
}

#[actix_rt::test]
async fn the_store_over_http_meets_the_contract() {
    let platform = Platform::start();
    meets_the_contract(HttpObjectStore::new(&platform.url())).await;
}

#[actix_rt::test]
async fn a_write_under_faults_says_what_it_knows() {
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    let lost = PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    };
    let slow = PlatformFaults {
        delay: Duration::from_secs(60),
        ..PlatformFaults::default()
    };
    let cases = [(outage, false), (lost, true), (slow, false)];
    for (faults, written) in cases {
        let platform = Platform::start();
        let store = HttpObjectStore::new(&platform.url());
        platform.set_faults(faults.clone());
        let put = store
            .put(name(), Bytes::from_static(b"1"), Expected::Absent)
            .await;
        assert_eq!(put, Err(StoreError::OutcomeUnknown), "{faults:?}");
        platform.set_faults(PlatformFaults::default());
        let held = store.get(name()).await.ok().flatten();
        assert_eq!(held.is_some(), written, "{faults:?}");
    }
    let nobody = HttpObjectStore::new("http://127.0.0.1:1");
    let put = nobody.put(name(), Bytes::new(), Expected::Absent).await;
    assert_eq!(put, Err(StoreError::Unreachable));
}

#[actix_rt::test]
async fn the_host_list_is_read_and_its_outage_is_said() {
    let platform = Platform::start();
    let host = Host {
        name: Name::new("engine-a"),
        zone: Name::new("a"),
        state: HostState::Leaving,
    };
    platform.set_hosts(vec![host.clone()]);
    let list = HttpHostList::new(&platform.url());
    assert_eq!(list.list().await, Ok(vec![host]));
    platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    assert_eq!(list.list().await, Err(HostListError::Unreachable));
}
