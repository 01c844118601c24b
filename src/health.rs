//! Health and metrics of a daemon over HTTP, apart from its other traffic.

use std::cell::RefCell;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::http_server::HttpBounds;
use crate::http_server::HttpServer;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::metrics;
use crate::name::Name;

const BOUNDS: HttpBounds = HttpBounds {
    connections: 64,
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
};

/// The time that open connections get when the daemon stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A daemon's state, as its health and metrics are read from it.
pub trait AdminState {
    /// Where health and metrics are served.
    fn admin_address(&self) -> SocketAddr;

    /// Whether new work can be taken.
    fn is_ready(&self) -> bool;

    /// The metrics as text.
    fn render_metrics(&self) -> String;

    /// The burn of the service-level objectives in JSON, where the daemon
    /// counts it.
    fn render_burn(&self) -> Option<String> {
        None
    }
}

/// Serves `/healthz`, `/readyz`, `/metrics` and `/burn` for the state that is
/// published under a name.
pub struct HealthService<T> {
    observed: Name,
    server: RefCell<Option<HttpServer>>,
    marker: PhantomData<T>,
}

impl<T> HealthService<T>
where
    T: AdminState + 'static,
{
    /// A service for the state published under `observed`.
    pub fn new(observed: &str) -> Self {
        Self {
            observed: Name::new(observed),
            server: RefCell::default(),
            marker: PhantomData,
        }
    }
}

impl<T> Service for HealthService<T>
where
    T: AdminState + 'static,
{
    fn name(&self) -> Name {
        Name::new("health")
    }

    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        async move {
            let state = registry.find::<T>(&self.observed)?;
            let address = state.admin_address();
            let handler = move |req: Request| {
                let response = answer(&*state, req.path());
                futures::future::ready(response)
            };
            let server = HttpServer::bind(address, || BOUNDS, handler).await;
            let server = server.map_err(|e| KernelError::Failed {
                name: self.name(),
                source: Box::new(e),
            })?;
            self.server.replace(Some(server));
            Ok(())
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        async move {
            let server = self.server.take();
            if let Some(server) = server {
                server.stop(STOP_TIMEOUT).await;
            }
        }
        .boxed_local()
    }
}

fn answer<T>(state: &T, path: &str) -> Response<BoxBody>
where
    T: AdminState,
{
    match path {
        "/healthz" => alive(),
        "/readyz" => readiness(state.is_ready()),
        "/metrics" => Response::build(StatusCode::OK)
            .insert_header((header::CONTENT_TYPE, metrics::CONTENT_TYPE))
            .body(state.render_metrics())
            .map_into_boxed_body(),
        "/burn" => burn(state),
        _ => Response::not_found().map_into_boxed_body(),
    }
}

fn burn<T>(state: &T) -> Response<BoxBody>
where
    T: AdminState,
{
    match state.render_burn() {
        Some(json) => Response::build(StatusCode::OK)
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .body(json)
            .map_into_boxed_body(),
        None => Response::not_found().map_into_boxed_body(),
    }
}

/// The answer of a process that runs.
pub fn alive() -> Response<BoxBody> {
    Response::ok().map_into_boxed_body()
}

/// The answer that tells a balancer whether to send new work.
pub fn readiness(ready: bool) -> Response<BoxBody> {
    let status = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::build(status).finish().map_into_boxed_body()
}
