//! Responses of which a server sends only the first bytes before it closes or resets.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_backends::{BackendClient, BackendError, BackendRequest, ClientLimits};
use hawthornquay_decisions::Execution;
use http::Method;

use fake_server::{FakeServer, Reply};

#[allow(dead_code)]
mod fake_server;

const BODY: &str = "hello, world";

async fn call(reply: Reply) -> Result<Bytes, BackendError> {
    let server = FakeServer::start(reply).await;
    let client = BackendClient::new(ClientLimits {
        body_idle_timeout: Duration::from_secs(2),
        ..ClientLimits::default()
    });
    let request = BackendRequest::new(Method::POST, "/x").body(Bytes::from_static(b"{}"));
    let connection = client.connect_fresh(server.address).await?;
    let response = connection.send(request).await?;
    response.body.read(1024).await
}

/// Guards against part of a response that appears complete because its server stopped inside the
/// head, for all users of the client.
#[tokio::test]
async fn response_cut_at_any_byte_of_its_head_is_not_complete() {
    let chunks = format!("6\r\n{}\r\n6\r\n{}\r\n0\r\n\r\n", &BODY[..6], &BODY[6..]);
    let heads = [
        (
            "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 12\r\n\r\n",
            BODY,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            chunks.as_str(),
        ),
        ("HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n", BODY),
        ("HTTP/1.1 200 OK\nx-a: b\ncontent-length: 12\n\n", BODY),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n",
            BODY,
        ),
        ("HTTP/1.0 200 OK\r\nx-a: b\r\n\r\n", BODY),
    ];
    for (head, body) in heads {
        let is_framed = head.contains("content-length") || head.contains("chunked");
        let text = format!("{head}{body}");
        for sent in 0..=text.len() {
            let part = &text[..sent];
            for reply in [
                Reply::TextThenClose(part.to_owned()),
                Reply::TextThenReset(part.to_owned()),
            ] {
                let is_reset = matches!(reply, Reply::TextThenReset(_));
                let found = call(reply).await;
                let may_be_whole = if is_framed {
                    sent == text.len()
                } else {
                    sent >= head.len() && !is_reset
                };
                match found {
                    Ok(found) => assert!(may_be_whole, "{part:?}, reset {is_reset}: {found:?}"),
                    Err(error) => {
                        assert!(!may_be_whole, "{part:?}, reset {is_reset}: {error}");
                        assert_eq!(error.execution(), Execution::Unknown, "{part:?}: {error}");
                    }
                }
            }
        }
    }
}

/// Guards against a body that is read until the close of the connection although its framing is
/// unknown, which also made the stated length ineffective.
#[tokio::test]
async fn response_with_unknown_transfer_coding_is_an_error() {
    for coding in [
        "",
        "chunke",
        "gzip",
        "gzip, chunked",
        "chunked\r\ntransfer-encoding: gzip",
    ] {
        for length in ["", "content-length: 99\r\n"] {
            let text =
                format!("HTTP/1.1 200 OK\r\ntransfer-encoding: {coding}\r\n{length}\r\n{BODY}");
            let error = call(Reply::TextThenClose(text)).await.unwrap_err();
            assert!(
                matches!(error, BackendError::UnknownTransferCoding { .. }),
                "{coding:?}, {length:?}: {error}"
            );
            assert_eq!(error.execution(), Execution::Unknown);
        }
    }
}

/// Guards against a response whose status means nothing, or does not end a request, that counts as
/// a response: its request may have run or not.
#[tokio::test]
async fn response_with_invalid_status_is_an_error() {
    for status in [
        "000", "0", "20", "099", "100", "101", "103", "199", "600", "999", "1000", "2000", "-200",
        "2x0", "",
    ] {
        for framing in ["content-length: 13\r\n", ""] {
            let text = format!("HTTP/1.1 {status} X\r\n{framing}\r\n{BODY}");
            let case = format!("{status:?}, {framing:?}");
            match call(Reply::TextThenClose(text)).await {
                Ok(body) => panic!("{case} is a response: {body:?}"),
                Err(error) => assert_eq!(error.execution(), Execution::Unknown, "{case}: {error}"),
            }
        }
    }
    for status in [200, 299, 304, 404, 500, 599] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
        let found = call(Reply::TextThenClose(text)).await;
        assert_eq!(found.unwrap(), "", "{status}");
    }
}
