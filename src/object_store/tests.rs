//! Store with seeded faults, for the tests of other modules, and tests of the
//! in-memory store.

use std::cell::RefCell;
use std::rc::Rc;

use futures::FutureExt;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

/// Maximum number of times that a call yields to other tasks before it runs.
const MAX_YIELDS: u32 = 4;

/// Probability per call of each fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// The call has no effect, and the caller learns that from the error.
    pub unreachable: f64,
    /// The call has no effect, and the caller gets no reply.
    pub lost_call: f64,
    /// The call takes effect, and the caller gets no reply.
    pub lost_reply: f64,
}

impl FaultRates {
    /// No fault, each fault alone, then all faults together.
    pub const TABLE: [Self; 5] = [
        Self {
            unreachable: 0.0,
            lost_call: 0.0,
            lost_reply: 0.0,
        },
        Self {
            unreachable: 0.2,
            lost_call: 0.0,
            lost_reply: 0.0,
        },
        Self {
            unreachable: 0.0,
            lost_call: 0.2,
            lost_reply: 0.0,
        },
        Self {
            unreachable: 0.0,
            lost_call: 0.0,
            lost_reply: 0.3,
        },
        Self {
            unreachable: 0.1,
            lost_call: 0.1,
            lost_reply: 0.2,
        },
    ];
}

/// Store that forwards calls to `inner`, injects faults and yields to other tasks
/// around each call.
pub struct FaultyStore {
    inner: Rc<MemoryObjectStore>,
    rates: FaultRates,
    rng: RefCell<SmallRng>,
}

enum Fault {
    None,
    Unreachable,
    LostCall,
    LostReply,
}

impl FaultyStore {
    /// Creates a store that draws its faults from `seed`.
    pub fn new(inner: Rc<MemoryObjectStore>, rates: FaultRates, seed: u64) -> Self {
        Self {
            inner,
            rates,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    fn draw_fault(&self) -> (Fault, u32) {
        let mut rng = self.rng.borrow_mut();
        let yields = rng.random_range(0..=MAX_YIELDS);
        let draw: f64 = rng.random();
        let FaultRates {
            unreachable,
            lost_call,
            lost_reply,
        } = self.rates;
        let fault = match draw {
            _ if draw < unreachable => Fault::Unreachable,
            _ if draw < unreachable + lost_call => Fault::LostCall,
            _ if draw < unreachable + lost_call + lost_reply => Fault::LostReply,
            _ => Fault::None,
        };
        (fault, yields)
    }

    async fn run<F, T>(&self, call: F) -> Result<T, StoreError>
    where
        F: FnOnce(&MemoryObjectStore) -> Result<T, StoreError>,
    {
        let (fault, yields) = self.draw_fault();
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        let result = match fault {
            Fault::Unreachable => return Err(StoreError::Unreachable),
            Fault::LostCall => return Err(StoreError::OutcomeUnknown),
            Fault::LostReply => {
                let _ = call(&self.inner);
                Err(StoreError::OutcomeUnknown)
            }
            Fault::None => call(&self.inner),
        };
        tokio::task::yield_now().await;
        result
    }
}

impl ObjectStore for FaultyStore {
    fn get(&self, name: Name) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        self.run(move |store| Ok(store.read(&name))).boxed_local()
    }

    fn put(
        &self,
        name: Name,
        value: Bytes,
        expected: Expected,
    ) -> LocalBoxFuture<'_, Result<Version, StoreError>> {
        self.run(move |store| store.write(name, value, &expected))
            .boxed_local()
    }

    fn watch(
        &self,
        name: Name,
        known: Option<Version>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        self.inner.watch(name, known, wait)
    }

    fn timelines(&self) -> TimelineReceiver {
        self.inner.timelines()
    }
}

#[actix_rt::test]
async fn a_value_that_is_too_large_is_refused() {
    let store = MemoryObjectStore::new();
    let value = Bytes::from(vec![0; MAX_OBJECT_BYTES + 1]);
    let written = store.put(Name::new("x"), value, Expected::Absent).await;
    assert_eq!(written, Err(StoreError::TooLarge));
}

// Issue 50, CONFIG: the timeout of a call covered the transfer of its reply, so a large value
// was never read over a slow link.
#[actix_rt::test]
async fn value_that_takes_longer_than_the_timeout_to_transfer_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let head = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 5\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("a reader");
        for byte in b"value" {
            actix_rt::time::sleep(Duration::from_millis(800)).await;
            stream.write_all(&[*byte]).await.expect("a reader");
        }
        stream
    };
    let store = HttpObjectStore::new(&format!("http://{address}"));
    let (read, _stream) = futures::join!(store.get(Name::new("a")), serve);
    let object = read.expect("a reply").expect("an object");
    assert_eq!(object.value, Bytes::from_static(b"value"));
}
