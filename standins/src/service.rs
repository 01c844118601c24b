//! A plain service that counts the runs of each request.

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
use crate::server::aborted_response;
use crate::server::read_body;

/// Run counts of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceStats {
    /// Number of runs by the `id` field of the body, or by path without one.
    pub runs: HashMap<String, u32>,
}

#[derive(Default)]
struct SharedState {
    stats: ServiceStats,
    delay: Duration,
    drop_replies: u32,
}

/// A running service.
pub struct Service {
    server: ServerThread,
    shared_state: Arc<Mutex<SharedState>>,
}

#[derive(Deserialize)]
struct Body {
    id: String,
}

impl Service {
    /// Starts a service that answers without delay.
    pub fn start() -> Self {
        let shared_state = Arc::<Mutex<SharedState>>::default();
        let shared = Arc::clone(&shared_state);
        let server = ServerThread::start(move || move |req| handle(Arc::clone(&shared), req));
        Self {
            server,
            shared_state,
        }
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns a copy of the current counts.
    pub fn stats(&self) -> ServiceStats {
        lock(&self.shared_state).stats.clone()
    }

    /// Sets the delay before each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared_state).delay = delay;
    }

    /// Runs the next `count` requests but closes their connections without a
    /// reply.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.shared_state).drop_replies = count;
    }
}

async fn handle(shared_state: Arc<Mutex<SharedState>>, mut req: Request) -> Response<BoxBody> {
    let body = read_body(&mut req).await;
    let parsed = serde_json::from_slice::<Body>(&body);
    let id = parsed.map_or_else(|_| req.path().to_owned(), |b| b.id);
    let (delay, drop_reply) = {
        let mut shared_state = lock(&shared_state);
        *shared_state.stats.runs.entry(id.clone()).or_default() += 1;
        let drop_reply = shared_state.drop_replies > 0;
        shared_state.drop_replies = shared_state.drop_replies.saturating_sub(1);
        (shared_state.delay, drop_reply)
    };
    if !delay.is_zero() {
        actix_rt::time::sleep(delay).await;
    }
    if drop_reply {
        return aborted_response();
    }
    let answer = json!({ "id": id, "path": req.path(), "method": req.method().as_str() });
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(answer.to_string())
        .map_into_boxed_body()
}

fn lock(mutex: &Mutex<SharedState>) -> MutexGuard<'_, SharedState> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
