//! Responses that end before the request has been written completely.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hawthornquay_backends::{BackendClient, BackendError, BackendRequest, ClientLimits};
use hawthornquay_decisions::Execution;
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// Size of a request body that is several times the socket buffers.
const UPLOAD_BYTES: usize = 24 << 20;

/// Sizes of request bodies, and how much of them a server reads before its response. The smaller ones
/// fit into the send buffer, so that the client has written them although the server has not received
/// them.
const UPLOADS: [(usize, usize); 5] = [
    (60_000, 0),
    (2_500_000, 0),
    (2_500_000, 1 << 20),
    (UPLOAD_BYTES, 0),
    (UPLOAD_BYTES, 1 << 20),
];

/// Size of the receive buffer of the server, so that most of an upload remains unsent.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// Pause before the end of a response, in which the client reads what was sent before.
const PAUSE: Duration = Duration::from_millis(20);

/// Time for which a server keeps a connection whose write side is closed.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// How a server ends the connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Resets the connection at once.
    Reset,
    /// Resets the connection after [`PAUSE`].
    LateReset,
    /// Closes the connection, which resets it if part of the upload is unread.
    Close,
    /// Closes the write side only and reads nothing more.
    Shutdown,
    /// Closes the write side only and reads the rest of the upload.
    ShutdownThenRead,
}

const ENDS: [End; 5] = [
    End::Reset,
    End::LateReset,
    End::Close,
    End::Shutdown,
    End::ShutdownThenRead,
];

/// Response of a server, which it sends after it has read part of an upload.
#[derive(Clone, Debug)]
struct Script {
    text: String,
    /// Maximum number of bytes of the upload that are read before.
    read_before: usize,
    end: End,
}

/// Starts a server that follows `script` on each connection.
fn start(script: &Script) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let script = script.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            // The client may close the connection at any time.
            tokio::spawn(async move { serve(stream, &script).await });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, script: &Script) -> std::io::Result<()> {
    let mut buf = Vec::new();
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse::<usize>().unwrap());
    while buf.len() - head_end < script.read_before.min(length) {
        if stream.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
    }
    stream.write_all(script.text.as_bytes()).await?;
    match script.end {
        End::Reset => stream.set_zero_linger()?,
        End::LateReset => {
            sleep(PAUSE).await;
            stream.set_zero_linger()?;
        }
        End::Close => sleep(PAUSE).await,
        End::Shutdown => {
            stream.shutdown().await?;
            sleep(HOLD_TIME).await;
        }
        End::ShutdownThenRead => {
            stream.shutdown().await?;
            sleep(PAUSE).await;
            while stream.read(&mut [0; 65_536]).await? > 0 {}
        }
    }
    Ok(())
}

async fn upload(address: SocketAddr, bytes: usize) -> Result<Bytes, BackendError> {
    let client = BackendClient::new(ClientLimits {
        head_timeout: Duration::from_secs(5),
        body_idle_timeout: Duration::from_secs(5),
        ..ClientLimits::default()
    });
    let body = Bytes::from(vec![b'u'; bytes]);
    let request = BackendRequest::new(Method::POST, "/x").body(body);
    let response = client.connect_fresh(address).await?.send(request).await?;
    response.body.read(1 << 20).await
}

/// Returns truncated responses: the head and part of the body.
fn truncated_texts() -> Vec<String> {
    let long = "x".repeat(100_000);
    let mut texts = Vec::new();
    for part in ["", "done", &long] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            texts.push(format!("{version} 200 OK\r\n\r\n{part}"));
            let length = part.len() + 1;
            texts.push(format!(
                "{version} 200 OK\r\ncontent-length: {length}\r\n\r\n{part}"
            ));
        }
        let chunk = match part {
            "" => String::new(),
            _ => format!("{:x}\r\n{part}\r\n", part.len()),
        };
        texts.push(format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"
        ));
    }
    texts
}

/// Guards against part of a response that appears complete because the connection ended while the
/// request was still being written.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_during_upload_is_not_complete() {
    let mut passed = Vec::new();
    for text in truncated_texts() {
        for end in ENDS {
            for (size, read_before) in UPLOADS {
                // The server would read the rest of a small upload, which makes it complete.
                if end == End::ShutdownThenRead && size < UPLOAD_BYTES {
                    continue;
                }
                let script = Script {
                    text: text.clone(),
                    read_before,
                    end,
                };
                let found = upload(start(&script), size).await;
                let case = format!(
                    "{:?}, {end:?}, {read_before} of {size} read",
                    &text[..text.len().min(80)]
                );
                match found {
                    Ok(body) => passed.push(format!("{case}: {} bytes", body.len())),
                    Err(error) => {
                        assert_eq!(error.execution(), Execution::Unknown, "{case}: {error}");
                    }
                }
            }
        }
    }
    assert!(passed.is_empty(), "complete for the client: {passed:#?}");
}

/// Guards against a response that is rejected although its length or chunks show that it is
/// complete, because it arrived before the end of the request, and against one without a length that
/// is rejected although the request had been written.
#[tokio::test(flavor = "multi_thread")]
async fn whole_response_is_complete() {
    let framed = [
        "HTTP/1.1 413 X\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    ];
    let unframed = ["HTTP/1.1 200 OK\r\n\r\ndone", "HTTP/1.0 200 OK\r\n\r\ndone"];
    let early = framed.map(|text| (text, false, UPLOAD_BYTES));
    let sizes = [0, 1, 60_000, 2 << 20];
    let late = [framed, unframed]
        .concat()
        .into_iter()
        .flat_map(|text| sizes.map(|size| (text, true, size)));
    for (text, reads_all, size) in early.into_iter().chain(late) {
        for end in [End::Shutdown, End::ShutdownThenRead] {
            let script = Script {
                text: text.to_owned(),
                read_before: if reads_all { usize::MAX } else { 0 },
                end,
            };
            let found = upload(start(&script), size).await;
            let case = format!("{text:?}, {end:?}, {size} bytes sent");
            let body = found.unwrap_or_else(|error| panic!("{case}: {error}"));
            assert_eq!(body, "done", "{case}");
        }
    }
}
