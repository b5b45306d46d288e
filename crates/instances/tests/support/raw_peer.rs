//! Peer that can send arbitrary frames, including those that the library never sends.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hawthornquay_instances::{Body, Envelope, Hello, TestAuthority};
use prost::Message;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use tokio_rustls::{
    TlsAcceptor, TlsConnector, TlsStream,
    rustls::{
        ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
        version::TLS13,
    },
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{ANY_PORT, index_of};

/// Link whose frames the test reads and writes itself.
pub struct RawPeer(Framed<TlsStream<TcpStream>, LengthDelimitedCodec>);

impl RawPeer {
    pub async fn accept(listener: &TcpListener, authority: &TestAuthority, name: &str) -> Self {
        let (socket, _) = listener.accept().await.unwrap();
        let stream = acceptor(authority, name).accept(socket).await.unwrap();
        let mut peer = Self::frame(stream.into());
        assert!(matches!(peer.receive().await.body, Some(Body::Hello(_))));
        peer.hello(name).await;
        peer
    }

    pub async fn connect(address: std::net::SocketAddr, authority: &TestAuthority) -> Self {
        let socket = TcpStream::connect(address).await.unwrap();
        let server = ServerName::from(ANY_PORT.ip());
        let stream = connector(authority, "a")
            .connect(server, socket)
            .await
            .unwrap();
        let mut peer = Self::frame(stream.into());
        peer.hello("a").await;
        assert!(matches!(peer.receive().await.body, Some(Body::Hello(_))));
        peer
    }

    fn frame(stream: TlsStream<TcpStream>) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(64 << 20)
            .new_codec();
        Self(Framed::new(stream, codec))
    }

    async fn hello(&mut self, name: &str) {
        let hello = Hello {
            name: name.to_owned(),
            incarnation: 2,
            ..Hello::default()
        };
        self.send(Envelope::one_way(Body::Hello(hello))).await;
    }

    pub async fn send(&mut self, envelope: Envelope) {
        self.try_send(envelope).await.unwrap();
    }

    pub async fn try_send(&mut self, envelope: Envelope) -> std::io::Result<()> {
        let frame = Bytes::from(envelope.encode_to_vec());
        self.0.send(frame).await
    }

    pub async fn send_bytes(&mut self, bytes: Bytes) -> std::io::Result<()> {
        self.0.get_mut().write_all(&bytes).await?;
        self.0.get_mut().flush().await
    }

    pub async fn receive(&mut self) -> Envelope {
        self.try_receive().await.expect("link is open")
    }

    /// Returns the next message, or `None` if the other side has closed the link.
    pub async fn try_receive(&mut self) -> Option<Envelope> {
        let frame = self.0.next().await?.ok()?;
        Some(Envelope::decode(frame).unwrap())
    }

    /// Returns the next message that is not a heartbeat.
    pub async fn receive_call(&mut self) -> Envelope {
        loop {
            let envelope = self.receive().await;
            if !matches!(envelope.body, Some(Body::Ping(_) | Body::Pong(_))) {
                return envelope;
            }
        }
    }
}

fn roots(authority: &TestAuthority) -> Arc<RootCertStore> {
    let mut roots = RootCertStore::empty();
    let root = CertificateDer::from_pem_slice(authority.authority.as_bytes()).unwrap();
    roots.add(root).unwrap();
    Arc::new(roots)
}

fn certificate_and_key(
    authority: &TestAuthority,
    name: &str,
) -> (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>) {
    let files = &authority.instances[index_of(name)];
    (
        vec![CertificateDer::from_pem_slice(files.certificate.as_bytes()).unwrap()],
        PrivateKeyDer::from_pem_slice(files.key.as_bytes()).unwrap(),
    )
}

fn acceptor(authority: &TestAuthority, name: &str) -> TlsAcceptor {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(authority), provider.clone());
    let (chain, key) = certificate_and_key(authority, name);
    let config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .unwrap()
        .with_client_cert_verifier(verifier.build().unwrap())
        .with_single_cert(chain, key)
        .unwrap();
    Arc::new(config).into()
}

fn connector(authority: &TestAuthority, name: &str) -> TlsConnector {
    let (chain, key) = certificate_and_key(authority, name);
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&TLS13])
        .unwrap()
        .with_root_certificates(roots(authority))
        .with_client_auth_cert(chain, key)
        .unwrap();
    Arc::new(config).into()
}
