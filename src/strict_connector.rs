//! A connector for the HTTP client that makes truncated answers errors.
//!
//! The client library treats the end of a connection as the end of the body,
//! even with a content length or chunked encoding. A truncated answer would look
//! complete. The connections of this connector report their end as an error,
//! which the client returns unless the body was complete before.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use actix_http::Uri;
use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Time without traffic before a probe, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection fails.
const KEEPALIVE_RETRIES: u32 = 3;

/// A connector for [`StrictStream`] connections.
#[derive(Clone, Default)]
pub struct StrictConnector {
    inner: ConnectorService,
}

impl Service<ConnectInfo<Uri>> for StrictConnector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.inner, cx)
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.inner.call(info);
        async move {
            let (stream, uri) = connecting.await?.into_parts();
            let _ = stream.set_nodelay(true);
            set_keepalive(&stream);
            Ok(Connection::new(uri, StrictStream(stream)))
        }
        .boxed_local()
    }
}

/// Sets probes by which a connection fails whose peer has silently gone. Calls that
/// wait long for their reply depend on it.
fn set_keepalive(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    // Without them, only the timeout of a call ends it.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(KEEPALIVE_INTERVAL * KEEPALIVE_RETRIES));
}

/// A TCP connection that reports its end as an error when read.
#[derive(Debug)]
pub struct StrictStream(TcpStream);

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        let ended = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(match ended {
            true => Err(io::ErrorKind::UnexpectedEof.into()),
            false => Ok(()),
        })
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
