use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Starts hosts that answer every request and keep connections open. Returns the hosts' addresses, and the number of
/// connections open now and the highest number open so far, over all hosts.
async fn start_hosts(count: usize) -> (Vec<String>, Arc<std::sync::Mutex<(usize, usize)>>) {
    let open = Arc::new(std::sync::Mutex::new((0, 0)));
    let mut addrs = Vec::new();
    for _ in 0..count {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        addrs.push(listener.local_addr().unwrap().to_string());
        let open = open.clone();
        tokio::spawn(async move {
            while let Ok((mut connection, _)) = listener.accept().await {
                {
                    let mut counts = open.lock().unwrap();
                    counts.0 += 1;
                    counts.1 = counts.1.max(counts.0);
                }
                let open = open.clone();
                tokio::spawn(async move {
                    let mut buf = [0u8; 1024];
                    while connection.read(&mut buf).await.is_ok_and(|n| n > 0) {
                        let _ = connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await;
                    }
                    open.lock().unwrap().0 -= 1;
                });
            }
        });
    }
    (addrs, open)
}

#[tokio::test]
async fn oversized_response_is_a_distinct_error() {
    // A watch returns all changes in one response, however many there are. If that response is too large, the client
    // has to list the keys in pages instead of repeating the watch.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut buf = [0u8; 1024];
        let _ = connection.read(&mut buf).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", MAX_RESPONSE_BYTES + 1);
        let _ = connection.write_all(head.as_bytes()).await;
        let _ = connection.write_all(&vec![b' '; MAX_RESPONSE_BYTES + 1]).await;
    });
    let result = HttpClient::new(4).call(Method::GET, &addr, "/follow", vec![], Millis(5_000)).await;
    assert!(matches!(result, Err(HttpError::ResponseTooLarge)));
}

#[tokio::test]
async fn client_can_call_more_hosts_than_its_connection_limit() {
    // Guards against idle connections that use up the limit: a leader of 2,000 machines kept a connection open to each
    // worker that it had sent an order, until no connection was left for heartbeats.
    let (addrs, open) = start_hosts(40).await;
    let http = HttpClient::new(12);
    let call = |addr: &str| {
        let addr = addr.to_string();
        let http = &http;
        async move { http.call(Method::POST, &addr, "/orders", vec![], Millis(5_000)).await.map(|(status, _)| status) }
    };
    for addr in &addrs {
        assert_eq!(call(addr).await.unwrap(), 200);
    }
    // Concurrent requests don't exceed the limit on open connections either.
    let results = tokio::join!(call(&addrs[0]), call(&addrs[1]), call(&addrs[2]), call(&addrs[3]));
    assert!(<[_; 4]>::from(results).into_iter().all(|result| result.is_ok_and(|status| status == 200)));
    let max_open = open.lock().unwrap().1;
    // The hosts may still count a connection as open for a moment after the client has closed it.
    assert!(max_open <= 13, "{max_open} connections were open at once");
    assert!(max_open >= 6, "some connections are kept alive for later requests");
}
