//! The one HTTP client. Every request has a time limit and a limit on the answer's size.

use crate::time::Span;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Exchange(String),
}

pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

const MAX_ANSWER: usize = 4 << 20;

impl Http {
    pub fn new() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(1500)));
        // An order must never go out twice, so nothing is ever sent again behind our back.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(4)
            .retry_canceled_requests(false)
            .build(connector);
        Http { client }
    }

    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Vec<u8>,
        limit: Span,
    ) -> Result<(u16, Bytes), HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|e| HttpError::Exchange(e.to_string()))?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| HttpError::Exchange(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(limit.std(), exchange).await.map_err(|_| HttpError::Timeout)?
    }
}

impl Default for Http {
    fn default() -> Http {
        Http::new()
    }
}
