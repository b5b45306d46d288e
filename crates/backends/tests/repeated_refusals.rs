//! Refusals that a faulty server writes once more on a kept connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hawthornquay_backends::{BackendClient, BackendRequest, ClientLimits, OrderResponse};
use hawthornquay_decisions::{OrderKind, OrderRequest};
use http::{Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

const REFUSAL: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// When a server writes its refusal of the first request on a connection again.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Right after the first copy.
    AtOnce,
    /// Some milliseconds after the first copy.
    WhileIdle,
    /// As soon as it has read the next request.
    AfterNextRequest,
}

const MOMENTS: [Moment; 3] = [Moment::AtOnce, Moment::WhileIdle, Moment::AfterNextRequest];

/// Starts a server that refuses the first request on its first connection and writes the refusal
/// again; it accepts all other requests.
async fn start_server(moment: Moment) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut is_first = true;
        while let Ok((mut socket, _)) = listener.accept().await {
            let repeats = std::mem::replace(&mut is_first, false);
            tokio::spawn(async move {
                let mut buf = vec![0; 4096];
                let mut requests = 0;
                while let Ok(1..) = socket.read(&mut buf).await {
                    requests += 1;
                    let text = match (repeats, requests, moment) {
                        (true, 1, Moment::AtOnce) => REFUSAL.repeat(2),
                        (true, 1, _) => REFUSAL.to_owned(),
                        (true, 2, Moment::AfterNextRequest) => REFUSAL.to_owned() + ANSWER,
                        _ => ANSWER.to_owned(),
                    };
                    // The client may have closed the connection.
                    let _ = socket.write_all(text.as_bytes()).await;
                    if matches!((repeats, requests, moment), (true, 1, Moment::WhileIdle)) {
                        sleep(Duration::from_millis(10)).await;
                        let _ = socket.write_all(REFUSAL.as_bytes()).await;
                    }
                }
            });
        }
    });
    address
}

/// Guards against an order that counts as refused, or a later one as accepted, because the engine
/// wrote its refusal of an earlier order again.
#[tokio::test]
async fn order_repeated_refusal_is_not_taken_for_response() {
    for moment in MOMENTS {
        for pause in [0, 30] {
            let address = start_server(moment).await;
            let client = BackendClient::new(ClientLimits::default());
            let order = |fence| OrderRequest {
                kind: OrderKind::LoadModel,
                model: "m".to_owned(),
                fence,
            };
            let first = client.order(address, &order(1)).await.unwrap();
            assert_eq!(first, OrderResponse::Fenced, "{moment:?}");
            sleep(Duration::from_millis(pause)).await;
            for fence in 2..4 {
                let next = client.order(address, &order(fence)).await.unwrap();
                assert_eq!(next, OrderResponse::Accepted, "{moment:?}, {pause} ms");
            }
        }
    }
}

/// Guards against a request that counts as refused because the server wrote its refusal of an
/// earlier request again: requests of callers take new connections.
#[tokio::test]
async fn fresh_connection_repeated_refusal_is_not_taken_for_response() {
    for moment in MOMENTS {
        let address = start_server(moment).await;
        let client = BackendClient::new(ClientLimits::default());
        for expected in [StatusCode::CONFLICT, StatusCode::OK, StatusCode::OK] {
            let connection = client.connect_fresh(address).await.unwrap();
            let req = BackendRequest::new(Method::POST, "/x").body(Bytes::from_static(b"{}"));
            let response = connection.send(req).await.unwrap();
            assert_eq!(response.head.status, expected, "{moment:?}");
            response.body.read(64).await.unwrap();
        }
    }
}
