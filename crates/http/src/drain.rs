//! End of the connections of a server that stops.

use std::{pin::pin, time::Duration};

use hyper_util::server::graceful::GracefulConnection;
use tokio::time::{sleep, timeout};
use tokio_util::{
    sync::CancellationToken,
    task::{TaskTracker, task_tracker::TaskTrackerToken},
};

use crate::connection_progress::SharedProgress;

/// Time for which a connection must have been idle before it is closed, and shortest time from the
/// end of accepting to such a close: the client may have sent a request when it received the
/// response before.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(250);

/// Interval at which a connection is checked for being idle. The runtime may run timers before it
/// has looked for data, for example after a pause of the process, so that a connection is given
/// this time to read before each check.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Connections and requests of a server, and the progress of its shutdown.
///
/// A client may use an idle connection at any time, and a request that meets the close gets no
/// response. So connections stay open while requests are in progress: each answers one more request
/// with `Connection: close`. Those that are still idle afterwards are closed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Drain {
    connections: TaskTracker,
    requests: TaskTracker,
    accepting_ended: CancellationToken,
    requests_ended: CancellationToken,
}

impl Drain {
    /// Counts a request as in progress until the token is dropped.
    pub(crate) fn request(&self) -> TaskTrackerToken {
        self.requests.token()
    }

    /// Counts a connection as open until the token is dropped.
    pub(crate) fn connection(&self) -> TaskTrackerToken {
        self.connections.token()
    }

    /// Waits for the requests in progress, closes the connections and waits for their end.
    pub(crate) async fn run(&self) {
        sleep(IDLE_CLOSE_DELAY).await;
        self.accepting_ended.cancel();
        self.requests.close();
        self.requests.wait().await;
        self.requests_ended.cancel();
        self.connections.close();
        self.connections.wait().await;
    }

    /// Serves a connection to its end, which comes during a shutdown when it is idle.
    pub(crate) async fn serve<C: GracefulConnection>(
        &self,
        connection: C,
        progress: &SharedProgress,
    ) -> Result<(), C::Error> {
        let mut connection = pin!(connection);
        tokio::select! {
            biased;
            result = connection.as_mut() => return result,
            () = self.accepting_ended.cancelled() => {}
        }
        // HTTP/2 tells the client which requests are not answered.
        if !progress.lock().is_http2 {
            tokio::select! {
                biased;
                result = connection.as_mut() => return result,
                () = self.requests_ended.cancelled() => {}
            }
            loop {
                if let Ok(result) = timeout(IDLE_CHECK_INTERVAL, connection.as_mut()).await {
                    return result;
                }
                if progress.lock().is_idle_for(IDLE_CLOSE_DELAY) {
                    break;
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }
}
