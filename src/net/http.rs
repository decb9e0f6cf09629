//! The one HTTP client. Every request has a time limit and a limit on the answer's size, and there
//! are only so many connections.

use crate::time::Span;
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

#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("an answer of over {MAX_ANSWER} bytes")]
    TooLarge,
    #[error("{0}")]
    Exchange(String),
}

impl From<Error> for HttpError {
    fn from(e: Error) -> HttpError {
        HttpError::Exchange(e.to_string())
    }
}

/// Connects while there are sockets left; beyond that a connection waits for another to close.
#[derive(Clone)]
struct Sparing {
    connector: HttpConnector,
    sockets: Arc<Semaphore>,
}

type Connecting = Pin<Box<dyn Future<Output = Result<Held, Box<dyn std::error::Error + Send + Sync>>> + Send>>;

impl Service<Uri> for Sparing {
    type Response = Held;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Connecting;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Connecting {
        let connecting = self.connector.call(uri);
        let sockets = self.sockets.clone();
        Box::pin(async move {
            let socket = sockets.acquire_owned().await?;
            Ok(Held { io: connecting.await?, _socket: socket })
        })
    }
}

/// A connection that holds its place among the sockets until it closes.
struct Held {
    io: TokioIo<TcpStream>,
    _socket: OwnedSemaphorePermit,
}

impl Connection for Held {
    fn connected(&self) -> Connected {
        self.io.connected()
    }
}

impl Read for Held {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Held {
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

pub struct Http {
    client: Client<Sparing, Full<Bytes>>,
    sockets: Arc<Semaphore>,
    /// With fewer sockets left than this, connections are closed after use instead of kept.
    few: usize,
}

/// Far above any answer but a whole fleet's, which the state service and the cloud give in pages.
const MAX_ANSWER: usize = 4 << 20;

impl Http {
    pub fn new(sockets: usize) -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(1500)));
        let free = Arc::new(Semaphore::new(sockets.max(4)));
        // An order must never go out twice, so nothing is ever sent again behind our back.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(4)
            .retry_canceled_requests(false)
            .build(Sparing { connector, sockets: free.clone() });
        Http { client, sockets: free, few: sockets / 4 }
    }

    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Vec<u8>,
        limit: Span,
    ) -> Result<(u16, Bytes), HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        if self.sockets.available_permits() < self.few {
            request = request.header("connection", "close");
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let exchange = async {
            let answer = self.client.request(request).await?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| match e.is::<LengthLimitError>() {
                true => HttpError::TooLarge,
                false => HttpError::Exchange(e.to_string()),
            })?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(limit.std(), exchange).await.map_err(|_| HttpError::Timeout)?
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    /// Hosts that answer everything and keep connections open; how many of these there were at most.
    async fn hosts(n: usize) -> (Vec<String>, Arc<std::sync::Mutex<(usize, usize)>>) {
        let open = Arc::new(std::sync::Mutex::new((0, 0)));
        let mut addrs = Vec::new();
        for _ in 0..n {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            addrs.push(listener.local_addr().unwrap().to_string());
            let open = open.clone();
            tokio::spawn(async move {
                while let Ok((mut c, _)) = listener.accept().await {
                    {
                        let mut o = open.lock().unwrap();
                        o.0 += 1;
                        o.1 = o.1.max(o.0);
                    }
                    let open = open.clone();
                    tokio::spawn(async move {
                        let mut buf = [0u8; 1024];
                        while c.read(&mut buf).await.is_ok_and(|n| n > 0) {
                            let _ = c.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await;
                        }
                        open.lock().unwrap().0 -= 1;
                    });
                }
            });
        }
        (addrs, open)
    }

    #[tokio::test]
    async fn an_answer_beyond_the_limit_is_told_from_none() {
        // Changes to follow have no limit: the reader must know that it has to read in pages instead.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        tokio::spawn(async move {
            let (mut c, _) = listener.accept().await.unwrap();
            let mut buf = [0u8; 1024];
            let _ = c.read(&mut buf).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", MAX_ANSWER + 1);
            let _ = c.write_all(head.as_bytes()).await;
            let _ = c.write_all(&vec![b' '; MAX_ANSWER + 1]).await;
        });
        let answer = Http::new(4).call(Method::GET, &addr, "/follow", vec![], Span(5_000)).await;
        assert!(matches!(answer, Err(HttpError::TooLarge)));
    }

    #[tokio::test]
    async fn more_hosts_than_sockets_are_all_served() {
        // A leader of 2,000 machines kept a connection to each that it had sent an order, until it
        // had no socket left for reports.
        let (addrs, open) = hosts(40).await;
        let http = Http::new(12);
        let call = |addr: &str| {
            let addr = addr.to_string();
            let http = &http;
            async move { http.call(Method::POST, &addr, "/orders", vec![], Span(5_000)).await.map(|a| a.0) }
        };
        for addr in &addrs {
            assert_eq!(call(addr).await.unwrap(), 200);
        }
        // All at once, too.
        let (a, b, c, d) = tokio::join!(call(&addrs[0]), call(&addrs[1]), call(&addrs[2]), call(&addrs[3]));
        assert!([a, b, c, d].into_iter().all(|r| r.is_ok_and(|s| s == 200)));
        let most = open.lock().unwrap().1;
        assert!(most <= 13, "{most} open at once");
        assert!(most >= 6, "some are kept for the next order");
    }
}
