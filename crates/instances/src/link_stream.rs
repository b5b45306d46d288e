//! TCP or TLS stream of a link.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use hawthornquay_decisions::InstanceId;
use rustls_pki_types::{CertificateDer, ServerName};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_rustls::TlsStream;

use crate::{
    LinkError, LocalInstance, PeerAddress,
    certificate_name::check_certificate_name,
    link_security::LinkSecurity,
    metered_stream::{LastReceived, MeteredStream},
};

/// Stream of a link, with or without TLS.
pub(crate) enum LinkStream {
    Plain(MeteredStream),
    Tls(Box<TlsStream<MeteredStream>>),
}

impl LinkStream {
    /// Connects to `peer`; performs the TLS handshake if required.
    pub(crate) async fn connect(
        local: &LocalInstance,
        peer: &PeerAddress,
    ) -> io::Result<(Self, LastReceived)> {
        let socket = TcpStream::connect(peer.address).await?;
        // Closing resets the connection and discards unsent data. Requests in it have already been
        // reported as failed and must not be delivered later.
        socket.set_zero_linger()?;
        let (socket, last_received) = metered(socket, local)?;
        let stream = match &local.security {
            LinkSecurity::TrustedNetwork => Self::Plain(socket),
            LinkSecurity::MutualTls(tls) => {
                let name = ServerName::from(peer.address.ip());
                let tls = tls.connector.connect(name, socket).await?;
                Self::Tls(Box::new(TlsStream::Client(tls)))
            }
        };
        Ok((stream, last_received))
    }

    /// Accepts a connection that another instance opened; performs the TLS handshake if required.
    pub(crate) async fn accept(
        local: &LocalInstance,
        socket: TcpStream,
    ) -> io::Result<(Self, LastReceived)> {
        let (socket, last_received) = metered(socket, local)?;
        let stream = match &local.security {
            LinkSecurity::TrustedNetwork => Self::Plain(socket),
            LinkSecurity::MutualTls(tls) => {
                let tls = tls.acceptor.accept(socket).await?;
                Self::Tls(Box::new(TlsStream::Server(tls)))
            }
        };
        Ok((stream, last_received))
    }

    /// Returns the certificate chain of the peer, or `None` without TLS.
    pub(crate) fn certificates(&self) -> Option<Vec<CertificateDer<'static>>> {
        match self {
            Self::Plain(_) => None,
            Self::Tls(tls) => {
                let certificates = tls.get_ref().1.peer_certificates();
                Some(certificates.unwrap_or_default().to_vec())
            }
        }
    }
}

/// Checks the name that the peer claims against its certificate; accepts any name without TLS.
pub(crate) fn check_peer_name(
    certificates: Option<&[CertificateDer<'_>]>,
    claimed: &InstanceId,
) -> Result<(), LinkError> {
    certificates.map_or(Ok(()), |certificates| {
        check_certificate_name(certificates, claimed)
    })
}

fn metered(socket: TcpStream, local: &LocalInstance) -> io::Result<(MeteredStream, LastReceived)> {
    socket.set_nodelay(true)?;
    let socket = MeteredStream::new(socket, local.counters.clone());
    let last_received = socket.last_received();
    Ok((socket, last_received))
}

impl AsyncRead for LinkStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
