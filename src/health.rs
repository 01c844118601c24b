//! Health and metrics endpoints of a daemon, on an address of their own.

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
    head: 16 << 10,
    heads: 64 << 10,
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    send_buffer: None,
    receive_buffer: None,
};

/// Time for which open connections can finish when the daemon stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a daemon that provides its health and metrics.
pub trait AdminState {
    /// Returns the address on which health and metrics are served.
    fn admin_address(&self) -> SocketAddr;

    /// Returns whether the daemon accepts new work.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text format.
    fn render_metrics(&self) -> String;

    /// Returns the burn rates of the service-level objectives as JSON, if the
    /// daemon tracks them.
    fn render_burn(&self) -> Option<String> {
        None
    }
}

/// Serves `/healthz`, `/readyz`, `/metrics` and `/burn` for the state that is
/// published under a name.
pub struct HealthService<T> {
    state_name: Name,
    server: RefCell<Option<HttpServer>>,
    marker: PhantomData<T>,
}

impl<T> HealthService<T>
where
    T: AdminState + 'static,
{
    /// Creates a service for the state published under `state_name`.
    pub fn new(state_name: &str) -> Self {
        Self {
            state_name: Name::new(state_name),
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
            let state = registry.find::<T>(&self.state_name)?;
            let address = state.admin_address();
            let handler = move |req: Request| {
                let response = respond(&*state, req.path());
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

fn respond<T>(state: &T, path: &str) -> Response<BoxBody>
where
    T: AdminState,
{
    match path {
        "/healthz" => liveness(),
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

/// Returns the liveness response of a running process.
pub fn liveness() -> Response<BoxBody> {
    Response::ok().map_into_boxed_body()
}

/// Returns the readiness response, by which a load balancer decides whether to
/// send new work.
pub fn readiness(ready: bool) -> Response<BoxBody> {
    let status = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::build(status).finish().map_into_boxed_body()
}
