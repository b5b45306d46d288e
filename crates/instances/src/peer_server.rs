//! Server for links of other instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{LinkError, LocalInstance, PeerService, peer_connection::PeerConnection};

/// Maximum number of open incoming links; several times the 350 daemons of the largest fleet.
const MAX_ACCEPTED_LINKS: usize = 2_048;

/// Delay after a failed `accept`, so that the loop does not spin without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts links and passes their messages to a [`PeerService`].
pub struct PeerServer<S> {
    listener: TcpListener,
    address: SocketAddr,
    local: LocalInstance,
    service: Arc<S>,
}

impl<S: PeerService> PeerServer<S> {
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Listen`] if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        local: LocalInstance,
        service: Arc<S>,
    ) -> Result<Self, LinkError> {
        let listen = |source| LinkError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        Ok(Self {
            listener,
            address,
            local,
            service,
        })
    }

    /// Returns the address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `shutdown` is cancelled, then refuses new forwarded requests and waits for the
    /// calls in flight.
    pub async fn serve(self, shutdown: CancellationToken) {
        let permits = Arc::new(Semaphore::new(MAX_ACCEPTED_LINKS));
        let links = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((socket, from)) = accepted else {
                // Usually no file descriptor is free: wait for connections to close.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                continue;
            };
            let (local, service) = (self.local.clone(), self.service.clone());
            let shutdown = shutdown.clone();
            links.spawn(async move {
                PeerConnection::serve(socket, from, local, service, shutdown).await;
                drop(permit);
            });
        }
        drop(self.listener);
        links.close();
        links.wait().await;
    }
}
