//! HTTP client for all outgoing requests, which limits the time of each request, the size of each response and the
//! number of open connections.

use crate::time::Millis;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Uri};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower_service::Service;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request is invalid and was not sent.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No response arrived within the request's time limit; the request may have been carried out.
    #[error("request timed out")]
    Timeout,
    /// The response exceeds the size limit; the request may have been carried out.
    #[error("response is larger than {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLarge,
    /// The connection failed; the request may have been carried out.
    #[error("{0}")]
    Transport(#[source] BoxError),
}

impl From<Error> for HttpError {
    fn from(e: Error) -> HttpError {
        HttpError::Transport(e.into())
    }
}

/// Limits the number of open connections: at the limit, a new connection waits until another one closes.
#[derive(Clone)]
struct LimitedConnector {
    connector: HttpConnector,
    permits: Arc<Semaphore>,
}

type Connecting = Pin<Box<dyn Future<Output = Result<LimitedConnection, BoxError>> + Send>>;

impl Service<Uri> for LimitedConnector {
    type Response = LimitedConnection;
    type Error = BoxError;
    type Future = Connecting;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Connecting {
        let connecting = self.connector.call(uri);
        let permits = self.permits.clone();
        Box::pin(async move {
            let permit = permits.acquire_owned().await?;
            Ok(LimitedConnection { io: connecting.await?, _permit: permit })
        })
    }
}

/// A connection that holds one permit of the connection limit until it closes.
struct LimitedConnection {
    io: TokioIo<TcpStream>,
    _permit: OwnedSemaphorePermit,
}

impl Connection for LimitedConnection {
    fn connected(&self) -> Connected {
        self.io.connected()
    }
}

impl Read for LimitedConnection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for LimitedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}

/// An HTTP client for any number of hosts over a bounded number of connections.
pub struct HttpClient {
    client: Client<LimitedConnector, Full<Bytes>>,
    permits: Arc<Semaphore>,
    /// If fewer further connections than this are allowed, connections are closed after use instead of kept alive.
    /// Otherwise idle connections to many hosts would use up the connection limit.
    min_free_for_keep_alive: usize,
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_HOST: usize = 4;
/// Lower bound for the number of connections that a client may open: with fewer the controller can't do its work.
const MIN_CONNECTIONS: usize = 4;
/// Maximum size of a response in bytes. The store and the cloud return lists of jobs and machines in pages. The
/// response to a watch of the store may exceed the limit; in that case the client lists the watched keys again.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

impl HttpClient {
    /// Creates a client that has at most `max_connections` connections open; the limit is raised to four if it is
    /// lower.
    pub fn new(max_connections: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let permits = Arc::new(Semaphore::new(max_connections.max(MIN_CONNECTIONS)));
        // Automatic retries are disabled, as an order must never be sent twice.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .retry_canceled_requests(false)
            .build(LimitedConnector { connector, permits: permits.clone() });
        HttpClient { client, permits, min_free_for_keep_alive: max_connections / 4 }
    }

    /// Sends a request to `addr` (host and port), without retries. Returns the status and the body of the response.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<(u16, Bytes), HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        if self.permits.available_permits() < self.min_free_for_keep_alive {
            request = request.header("connection", "close");
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let request_and_response = async {
            let response = self.client.request(request).await?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| match e.is::<LengthLimitError>() {
                true => HttpError::ResponseTooLarge,
                false => HttpError::Transport(e),
            })?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout.to_std(), request_and_response).await.map_err(|_| HttpError::Timeout)?
    }
}

#[cfg(test)]
mod tests;
