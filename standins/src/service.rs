//! A plain service that keeps a ledger of every run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use serde::Deserialize;
use serde_json::json;

use crate::server::ServerThread;
use crate::server::cut;
use crate::server::read_body;

/// How often each piece of work ran, by its id.
#[derive(Clone, Debug, Default)]
pub struct ServiceLedger {
    /// Runs by the `id` field of the body, or by the path without one.
    pub runs: HashMap<String, u32>,
}

#[derive(Default)]
struct Controls {
    ledger: ServiceLedger,
    delay: Duration,
    lose_replies: u32,
}

/// A running service.
pub struct Service {
    server: ServerThread,
    controls: Arc<Mutex<Controls>>,
}

#[derive(Deserialize)]
struct Body {
    id: String,
}

impl Service {
    /// Starts a service that answers at once.
    pub fn start() -> Self {
        let controls = Arc::<Mutex<Controls>>::default();
        let shared = Arc::clone(&controls);
        let server = ServerThread::start(move || move |req| handle(Arc::clone(&shared), req));
        Self { server, controls }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it has done so far.
    pub fn ledger(&self) -> ServiceLedger {
        lock(&self.controls).ledger.clone()
    }

    /// Has it wait before each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.controls).delay = delay;
    }

    /// Has it run the next requests and cut the connection without a reply.
    pub fn lose_replies(&self, count: u32) {
        lock(&self.controls).lose_replies = count;
    }
}

async fn handle(controls: Arc<Mutex<Controls>>, mut req: Request) -> Response<BoxBody> {
    let body = read_body(&mut req).await;
    let parsed = serde_json::from_slice::<Body>(&body);
    let id = parsed.map_or_else(|_| req.path().to_owned(), |b| b.id);
    let (delay, lost) = {
        let mut controls = lock(&controls);
        *controls.ledger.runs.entry(id.clone()).or_default() += 1;
        let lost = controls.lose_replies > 0;
        controls.lose_replies = controls.lose_replies.saturating_sub(1);
        (controls.delay, lost)
    };
    if !delay.is_zero() {
        actix_rt::time::sleep(delay).await;
    }
    if lost {
        return cut();
    }
    let answer = json!({ "id": id, "path": req.path(), "method": req.method().as_str() });
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(answer.to_string())
        .map_into_boxed_body()
}

fn lock(mutex: &Mutex<Controls>) -> MutexGuard<'_, Controls> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
