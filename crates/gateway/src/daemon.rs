//! Start, serving and graceful stop of the gateway process.

use std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use gotham::{
    handler::NewHandler,
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::State,
};
use hawthornquay_http::{Body, HttpServer, ServerLimits, empty_response};
use hawthornquay_instances::PeerServer;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    CallerHandler, ControlPlane, Gateway, GatewayError, HeaderMapping,
    background_tasks::spawn_tasks, gateway::now, peer_handler::PeerHandler,
    status_notices::send_leaving, stop::StopTimes,
};

/// Time for which a stopping instance still accepts connections. Callers keep the addresses of the
/// directory for up to three times the second that it states, and the other instances need some
/// tenths of a second to leave this one out. A caller whose connection is not established when the
/// listener closes may have sent its request, and gets a reset.
const STOP_ACCEPTING_DELAY: Duration = Duration::from_millis(3_400);

/// Time of a stop from which requests count as late. They have too little of the grace period left
/// to be run without a margin.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(2_850);

/// Time before the end of the grace period at which the requests that still run are ended. The
/// platform kills the process at the end of the grace period.
const GRACE_PERIOD_MARGIN: Duration = Duration::from_millis(400);

/// Longest time to deliver the final responses of the requests that are ended.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// HTTP routers for the readiness check and the directory of instances.
pub struct StatusRouters {
    /// Readiness check of the platform.
    pub readiness: Router,
    /// Directory in which callers look up the addresses of instances.
    pub directory: Router,
}

/// Runs a gateway until it receives `SIGTERM` or `SIGINT`, then drains its requests and returns.
///
/// `reload` is called on `SIGHUP`.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed or an address cannot be listened on.
pub async fn run_gateway<C: ControlPlane, H: HeaderMapping>(
    gateway: Arc<Gateway<C, H>>,
    routers: StatusRouters,
    mut reload: impl FnMut() + Send,
) -> Result<(), GatewayError> {
    let settings = &gateway.settings;
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(GatewayError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let (stop_callers, stop_peers) = (CancellationToken::new(), CancellationToken::new());
    let stop_status = CancellationToken::new();

    let peers = PeerServer::bind(
        settings.peers,
        gateway.local.clone(),
        Arc::new(PeerHandler(gateway.clone())),
    )
    .await?;
    let peers = tokio::spawn(peers.serve(stop_peers.clone()));
    let callers = listen(
        settings.callers,
        CallerHandler::new(gateway.clone()),
        "callers",
        &gateway,
    )
    .await?
    .with_limit_updates(gateway.caller_limits.subscribe())
    .with_end_observer({
        let gateway = Arc::clone(&gateway);
        move |end| gateway.report_connection_end(end)
    });
    let callers = tokio::spawn(callers.serve(stop_callers.clone()));
    let status_servers = [
        (settings.readiness, routers.readiness, "the readiness check"),
        (settings.directory, routers.directory, "the directory"),
        (settings.metrics, metrics_router(gateway.clone()), "metrics"),
    ];
    for (address, router, purpose) in status_servers {
        let server = listen(address, router, purpose, &gateway)
            .await?
            .with_end_observer({
                let gateway = Arc::clone(&gateway);
                move |end| gateway.report_status_connection_end(purpose, end)
            });
        tokio::spawn(server.serve(stop_status.clone()));
    }
    let tasks = spawn_tasks(&gateway);
    slog::info!(gateway.log.daemon, "started";
        "instance" => %gateway.id, "region" => settings.region.as_str(),
        "domain" => settings.domain.as_str(), "callers" => %settings.callers,
        "peers" => %settings.peers, "store" => %settings.store);

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(),
        }
    }
    let time_to_end = settings.stop_grace.saturating_sub(GRACE_PERIOD_MARGIN);
    let deadline = Instant::now() + time_to_end;
    let accept_time = STOP_ACCEPTING_DELAY.min(settings.stop_grace / 2);
    gateway.stop.begin(StopTimes {
        late_from: now() + accept_time.min(LATE_REQUEST_DELAY),
        end: now() + time_to_end,
    });
    slog::info!(gateway.log.daemon, "stopping";
        "in_flight" => gateway.in_flight.count());
    gateway.begin_leaving();
    send_leaving(&gateway).await;
    sleep(accept_time).await;
    stop_callers.cancel();
    stop_peers.cancel();
    let mut servers = pin!(async { tokio::join!(callers, peers) });
    let mut is_drained = timeout_at(deadline, &mut servers).await.is_ok();
    if !is_drained {
        slog::info!(gateway.log.daemon, "ending the requests that still run";
            "in_flight" => gateway.in_flight.count());
        gateway.stop.end_requests();
        is_drained = timeout(FINAL_RESPONSE_TIME, servers).await.is_ok();
    }
    for task in tasks {
        task.abort();
    }
    gateway.links.close();
    slog::info!(gateway.log.daemon, "stopped"; "drained" => is_drained);
    Ok(())
}

async fn listen<H, C, M>(
    address: SocketAddr,
    handler: H,
    purpose: &'static str,
    gateway: &Gateway<C, M>,
) -> Result<HttpServer<H>, GatewayError>
where
    H: NewHandler + Clone + std::panic::UnwindSafe + 'static,
{
    let limits = ServerLimits {
        max_connections: gateway.connections.status(),
        ..ServerLimits::default()
    };
    HttpServer::bind(address, handler, limits)
        .await
        .map(|server| server.with_memory(gateway.memory.clone()))
        .map_err(|source: io::Error| GatewayError::Listen {
            address,
            purpose,
            source,
        })
}

fn metrics_router<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) -> Router {
    let gateway = std::panic::AssertUnwindSafe(gateway);
    build_simple_router(|route| {
        route.get("/metrics").to_new_handler(move || {
            let gateway = Arc::clone(&gateway);
            Ok(move |state: State| {
                let res = metrics_response(&gateway);
                (state, res)
            })
        });
    })
}

fn metrics_response<C, H>(gateway: &Gateway<C, H>) -> Response<Body> {
    let memory = &gateway.memory;
    gateway
        .metrics
        .set_client_memory(memory.used(), memory.limit());
    match gateway.metrics.encode() {
        Ok(text) => Response::new(Body::new(
            Full::new(text.into()).map_err(|never| match never {}),
        )),
        Err(error) => {
            slog::error!(gateway.log.daemon, "failed to encode metrics"; "error" => %error);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
