//! The contract of the object store for the memory and HTTP implementations,
//! and the results of the HTTP clients under faults.

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

async fn assert_store_contract<S>(store: S)
where
    S: ObjectStore,
{
    let (one, two) = (Bytes::from_static(b"1"), Bytes::from_static(b"2"));
    assert_eq!(store.get(name()).await, Ok(None));
    let first = store.put(name(), one.clone(), Expected::Absent).await;
    let first = first.expect("an absent object is created");
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
    let stored = store.get(name()).await.ok().flatten();
    assert_eq!(stored.map(|o| (o.version, o.value)), Some((second, two)));
}

#[actix_rt::test]
async fn the_memory_store_meets_the_contract() {
    assert_store_contract(MemoryObjectStore::new()).await;
}

#[actix_rt::test]
async fn the_http_store_meets_the_contract() {
    let platform = Platform::start();
    assert_store_contract(HttpObjectStore::new(&platform.url())).await;
}

#[actix_rt::test]
async fn a_write_under_faults_returns_unclear_or_unreachable() {
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    let lost = PlatformFaults {
        drop_replies: 1,
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
        let stored = store.get(name()).await.ok().flatten();
        assert_eq!(stored.is_some(), written, "{faults:?}");
    }
    let unreachable = HttpObjectStore::new("http://127.0.0.1:1");
    let put = unreachable
        .put(name(), Bytes::new(), Expected::Absent)
        .await;
    assert_eq!(put, Err(StoreError::Unreachable));
}

#[actix_rt::test]
async fn the_host_list_is_read_and_an_outage_returns_unreachable() {
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
