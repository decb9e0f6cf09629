use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Hosts that answer everything and keep connections open; how many of these there were at most.
async fn hosts(count: usize) -> (Vec<String>, Arc<std::sync::Mutex<(usize, usize)>>) {
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
async fn response_beyond_the_size_limit_is_told_apart_from_none() {
    // Watched changes have no limit: the reader must know that it has to read in pages instead.
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
    let answer = Http::new(4).call(Method::GET, &addr, "/follow", vec![], Millis(5_000)).await;
    assert!(matches!(answer, Err(HttpError::TooLarge)));
}

#[tokio::test]
async fn client_serves_more_hosts_than_sockets() {
    // A leader of 2,000 machines kept a connection to each that it had sent an order, until it
    // had no socket left for heartbeats.
    let (addrs, open) = hosts(40).await;
    let http = Http::new(12);
    let call = |addr: &str| {
        let addr = addr.to_string();
        let http = &http;
        async move { http.call(Method::POST, &addr, "/orders", vec![], Millis(5_000)).await.map(|(status, _)| status) }
    };
    for addr in &addrs {
        assert_eq!(call(addr).await.unwrap(), 200);
    }
    // All at once, too.
    let answers = tokio::join!(call(&addrs[0]), call(&addrs[1]), call(&addrs[2]), call(&addrs[3]));
    assert!(<[_; 4]>::from(answers).into_iter().all(|answer| answer.is_ok_and(|status| status == 200)));
    let most = open.lock().unwrap().1;
    assert!(most <= 13, "{most} open at once");
    assert!(most >= 6, "some are kept for the next order");
}
