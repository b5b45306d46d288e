//! HTTP server with bounded connections and graceful shutdown.

use std::{
    io,
    net::SocketAddr,
    panic::{AssertUnwindSafe, UnwindSafe},
    sync::Arc,
    time::Duration,
};

use gotham::{handler::NewHandler, router::Router, service::call_handler, state::State};
use hyper::{
    Method, Request, Response, StatusCode, Version, body::Incoming, header, header::HeaderValue,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    Body, ConnectionEnd, EndReason, MemoryBudget, ServerLimits,
    connection_end::EndObserver,
    connection_progress::{
        CONNECTION_BYTES, ObservedBody, ObservedStream, RunningRequest, SharedProgress,
        shared_progress,
    },
    drain::Drain,
    idle_announcement::announce_idle_time,
    json_response::empty_response,
    limit_timer::LimitTimer,
    open_connections::OpenConnections,
    unread_body::UnreadBody,
};

/// Delay after a failed `accept`, so that the loop does not spin without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Header fields that hyper allows unless another number is set.
const DEFAULT_HEADER_FIELDS: usize = 100;

/// Bytes of a header field in the tables of a request, beside its name and value. Measured with 350
/// fields: about 480, with the copy that a handler makes.
const HEADER_FIELD_BYTES: usize = 512;

/// `Retry-After` of a request for which there is no memory, in seconds.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Accepted connection with its permit.
type Accepted = (TcpStream, SocketAddr, OwnedSemaphorePermit);

/// HTTP server that runs a gotham router or handler and drains requests on shutdown.
///
/// It runs the handler on hyper-util, because `gotham::bind_server` has no graceful shutdown.
pub struct HttpServer<H = Router> {
    listener: TcpListener,
    handler: H,
    limits: watch::Receiver<ServerLimits>,
    end_observer: Option<EndObserver>,
    memory: MemoryBudget,
}

impl<H> HttpServer<H>
where
    H: NewHandler + Clone + UnwindSafe + 'static,
{
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, handler: H, limits: ServerLimits) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            handler,
            limits: watch::channel(limits).1,
            end_observer: None,
            memory: MemoryBudget::new(usize::MAX),
        })
    }

    /// Takes the limits from `limits` instead: each new connection uses the latest value.
    ///
    /// A raised `header_timeout` applies to open connections, too. `max_connections` is read once,
    /// when [`HttpServer::serve`] starts.
    #[must_use]
    pub fn with_limit_updates(mut self, limits: watch::Receiver<ServerLimits>) -> Self {
        self.limits = limits;
        self
    }

    /// Charges the connections, their buffers and the heads of their requests to `memory`, and ends
    /// connections while it runs short. Without a budget, memory is not limited.
    #[must_use]
    pub fn with_memory(mut self, memory: MemoryBudget) -> Self {
        self.memory = memory;
        self
    }

    /// Calls `observer` at the end of each connection.
    ///
    /// It is not called for connections that are still open when [`HttpServer::serve`] returns.
    #[must_use]
    pub fn with_end_observer(
        mut self,
        observer: impl Fn(&ConnectionEnd) + Send + Sync + 'static,
    ) -> Self {
        self.end_observer = Some(Arc::new(observer));
        self
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the socket has no address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `shutdown` is cancelled, then waits for the requests in flight.
    ///
    /// Returns whether all of them ended within [`ServerLimits::drain_timeout`].
    pub async fn serve(self, shutdown: CancellationToken) -> bool {
        let drain = Drain::default();
        let max_connections = self.limits.borrow().max_connections;
        let permits = Arc::new(Semaphore::new(max_connections));
        let open = OpenConnections::default();
        let _checks = AbortOnDropHandle::new(tokio::spawn(open.clone().run(
            self.limits.clone(),
            self.memory.clone(),
            Arc::clone(&permits),
            max_connections,
        )));
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = accept(&self.listener, &permits) => accepted,
            };
            match accepted {
                Ok(accepted) => self.spawn_connection(accepted, &open, &drain, &shutdown),
                // Usually no file descriptor is free: wait for connections to close.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        // The operating system has accepted further connections, and their callers may have sent a
        // request already. Closing the listener would reset them.
        while let Some(accepted) = accept_queued(&self.listener, &permits) {
            self.spawn_connection(accepted, &open, &drain, &shutdown);
        }
        drop(self.listener);
        let drain_timeout = self.limits.borrow().drain_timeout;
        tokio::time::timeout(drain_timeout, drain.run())
            .await
            .is_ok()
    }

    fn spawn_connection(
        &self,
        (stream, address, permit): Accepted,
        open_connections: &OpenConnections,
        drain: &Drain,
        shutdown: &CancellationToken,
    ) {
        // Without memory for it, the connection is closed.
        let Some(charge) = self.memory.try_charge(CONNECTION_BYTES) else {
            return;
        };
        let progress = shared_progress();
        let listed = open_connections.add(&progress);
        let stream = ObservedStream::new(stream, Arc::clone(&progress), charge);
        let end = listed.end.clone();
        let connection = self.connection(stream, address, &progress, drain, shutdown, end);
        let observer = self.end_observer.clone();
        let (drain, shutdown) = (drain.clone(), shutdown.clone());
        let open = drain.connection();
        tokio::spawn(async move {
            // A connection error affects only its client, which observes it, too.
            let result = tokio::select! {
                biased;
                () = listed.end.cancelled() => Ok(()),
                result = drain.serve(connection, &progress) => result,
            };
            drop((listed, permit));
            if let Some(observer) = observer {
                let is_stopping = shutdown.is_cancelled();
                let end = ConnectionEnd::new(address, &progress.lock(), &result, is_stopping);
                observer(&end);
            }
            drop(open);
        });
    }

    fn connection(
        &self,
        stream: ObservedStream,
        address: SocketAddr,
        progress: &SharedProgress,
        drain: &Drain,
        shutdown: &CancellationToken,
        end: CancellationToken,
    ) -> impl hyper_util::server::graceful::GracefulConnection<
        Error = Box<dyn std::error::Error + Send + Sync>,
    > + Send
    + 'static {
        let handler = self.handler.clone();
        let limits = *self.limits.borrow();
        let max_unread_responses = limits.max_unread_responses as u64;
        let memory = self.memory.clone();
        let progress = Arc::clone(progress);
        let limit_updates = self.limits.clone();
        let (drain, shutdown) = (drain.clone(), shutdown.clone());
        let service = service_fn(move |req: Request<Incoming>| {
            let handler = handler.clone();
            let is_http1 = req.version() == Version::HTTP_11;
            let limit_updates = limit_updates.clone();
            let is_bodiless = req.method() == Method::HEAD;
            let progress = Arc::clone(&progress);
            let is_unread = is_http1 && progress.lock().unread_responses() >= max_unread_responses;
            let head = memory.try_charge(head_bytes(&req));
            let is_refused = is_unread || head.is_none();
            if is_unread {
                progress.lock().ended_for = Some(EndReason::Pressure);
                end.cancel();
            }
            let running = RunningRequest::begin(Arc::clone(&progress), drain.request(), head);
            let shutdown = shutdown.clone();
            // A caller that waits for a `100 Continue` may leave the body out after a refusal. A body
            // over HTTP/2 keeps no other request of its connection waiting.
            let is_http2 = req.version() == Version::HTTP_2;
            let expects = req.headers().contains_key(header::EXPECT);
            let discards = !(expects || is_refused && is_http2);
            let req = req.map(|body| UnreadBody::new(body, discards, progress));
            // A refused request is dropped here: over HTTP/2, many may arrive before the first of
            // their futures is polled.
            let state = (!is_refused).then(|| State::from_request(req, address));
            async move {
                let res = match state {
                    Some(state) => call_handler(handler, AssertUnwindSafe(state)).await,
                    None => Ok(exhausted_response(is_http1)),
                };
                res.map(|mut res| {
                    if is_http1 {
                        if shutdown.is_cancelled() {
                            let close = HeaderValue::from_static("close");
                            res.headers_mut().insert(header::CONNECTION, close);
                        }
                        let idle_timeout = limit_updates.borrow().header_timeout;
                        announce_idle_time(res.headers_mut(), idle_timeout);
                    }
                    res.map(|body| ObservedBody::new(body, is_bodiless, running))
                })
            }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        // A stated number takes the table of fields from the stack to the heap.
        if limits.max_header_fields != DEFAULT_HEADER_FIELDS {
            builder.http1().max_headers(limits.max_header_fields);
        }
        builder
            .http1()
            .timer(LimitTimer::new(self.limits.clone(), limits.header_timeout))
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.max_buffer_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(u32::try_from(limits.max_unread_responses).unwrap_or(u32::MAX))
            .max_header_list_size(u32::try_from(limits.max_buffer_bytes).unwrap_or(u32::MAX));
        builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned()
    }
}

/// Returns about how many bytes the head of a request takes up.
fn head_bytes<B>(req: &Request<B>) -> usize {
    let fields = req.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + HEADER_FIELD_BYTES);
    req.uri().path().len() + fields.sum::<usize>()
}

/// Returns the response to a request that is refused because there is no memory for its head.
fn exhausted_response(is_http1: bool) -> Response<Body> {
    let mut res = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    res.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER);
    if is_http1 {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<Accepted> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, address) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, address, permit))
}

/// Accepts the next connection of the accept queue; returns `None` if there is none or a limit is
/// reached.
///
/// It asks the operating system directly. The runtime may not have looked at the listener yet, and
/// lets one poll accept only a part of a long queue.
fn accept_queued(listener: &TcpListener, permits: &Arc<Semaphore>) -> Option<Accepted> {
    let permit = Arc::clone(permits).try_acquire_owned().ok()?;
    loop {
        match SockRef::from(listener).accept() {
            // A socket whose options cannot be set has been closed by its client.
            Ok((socket, address)) => {
                if let (Ok(stream), Some(address)) = (into_stream(socket), address.as_socket()) {
                    return Some((stream, address, permit));
                }
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_) => return None,
        }
    }
}

fn into_stream(socket: socket2::Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    TcpStream::from_std(socket.into())
}
