//! The platform: the object API and the list of hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use almondramp::host_list::Host;
use almondramp::name::Name;
use almondramp::object_store::Expected;
use almondramp::object_store::MemoryObjectStore;
use almondramp::object_store::Object;
use almondramp::object_store::StoreError;

use crate::server::ServerThread;
use crate::server::cut;
use crate::server::read_body;

const OBJECTS: &str = "/objects/";

/// The ways in which the platform fails.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Every call is cut off and has no effect.
    pub outage: bool,
    /// The time before each call takes effect.
    pub delay: Duration,
    /// So many writes take effect but bring no reply.
    pub lose_replies: u32,
}

#[derive(Default)]
struct Controls {
    faults: PlatformFaults,
    hosts: Vec<Host>,
    reads: u64,
    writes: u64,
}

/// A running platform.
pub struct Platform {
    server: ServerThread,
    controls: Arc<Mutex<Controls>>,
}

impl Platform {
    /// Starts a platform without objects and hosts.
    pub fn start() -> Self {
        let controls = Arc::<Mutex<Controls>>::default();
        let shared = Arc::clone(&controls);
        let server = ServerThread::start(move || {
            let store = Rc::new(MemoryObjectStore::new());
            move |req| handle(Rc::clone(&store), Arc::clone(&shared), req)
        });
        Self { server, controls }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base of its addresses.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Has it fail from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.controls).faults = faults;
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.controls).hosts = hosts;
    }

    /// Reads, watches included, and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        let controls = lock(&self.controls);
        (controls.reads, controls.writes)
    }
}

async fn handle(
    store: Rc<MemoryObjectStore>,
    controls: Arc<Mutex<Controls>>,
    mut req: Request,
) -> Response<BoxBody> {
    let faults = lock(&controls).faults.clone();
    if !faults.delay.is_zero() {
        actix_rt::time::sleep(faults.delay).await;
    }
    if faults.outage {
        return cut();
    }
    if req.path() == "/hosts" {
        let hosts = serde_json::to_vec(&lock(&controls).hosts).unwrap_or_default();
        return Response::build(StatusCode::OK)
            .body(hosts)
            .map_into_boxed_body();
    }
    let Some(name) = req.path().strip_prefix(OBJECTS).map(Name::new) else {
        return Response::not_found().map_into_boxed_body();
    };
    if req.method() == Method::PUT {
        lock(&controls).writes += 1;
        let written = put(&store, name, &mut req).await;
        let mut controls = lock(&controls);
        if controls.faults.lose_replies > 0 {
            controls.faults.lose_replies -= 1;
            return cut();
        }
        return written;
    }
    lock(&controls).reads += 1;
    get(&store, &name, &req).await
}

async fn get(store: &MemoryObjectStore, name: &Name, req: &Request) -> Response<BoxBody> {
    let known = text_header(req, "if-none-match").map(Name::new);
    let wait = text_header(req, "prefer")
        .and_then(|p| p.strip_prefix("wait="))
        .and_then(|s| s.parse().ok())
        .map(Duration::from_secs);
    let object = match wait {
        None => store.read(name),
        Some(wait) => match store.wait_for_change(name, known.as_ref(), wait).await {
            Some(object) => Some(object),
            None if known.is_some() => return empty(StatusCode::NOT_MODIFIED),
            None => None,
        },
    };
    match object {
        Some(object) => object_answer(object),
        None => empty(StatusCode::NOT_FOUND),
    }
}

async fn put(store: &MemoryObjectStore, name: Name, req: &mut Request) -> Response<BoxBody> {
    let expected = match text_header(req, "if-match") {
        Some(version) => Expected::Version(Name::new(version)),
        None if text_header(req, "if-none-match") == Some("*") => Expected::Absent,
        None => return empty(StatusCode::PRECONDITION_REQUIRED),
    };
    let value = read_body(req).await;
    match store.write(name, value, &expected) {
        Ok(version) => Response::build(StatusCode::OK)
            .insert_header((header::ETAG, version.as_str()))
            .finish()
            .map_into_boxed_body(),
        Err(StoreError::Conflict) => empty(StatusCode::PRECONDITION_FAILED),
        Err(StoreError::TooLarge) => empty(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn object_answer(object: Object) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((header::ETAG, object.version.as_str()))
        .body(object.value)
        .map_into_boxed_body()
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::build(status).finish().map_into_boxed_body()
}

fn text_header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.head().headers.get(name).and_then(|v| v.to_str().ok())
}

fn lock(mutex: &Mutex<Controls>) -> MutexGuard<'_, Controls> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
