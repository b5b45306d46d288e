//! Client of the platform.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::Method;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde_json::json;

use crate::{
    CallTimeouts, Changes, Entry, LeaseId, ListedInstances, Listing, MAX_VALUE_BYTES,
    PlatformError, Revision,
    transport::{Transport, parse},
    wire_entry::{WireEntries, WireEntry},
};

const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'/');

/// Calls the platform; every call has a time limit.
///
/// Every call returns [`PlatformError`] if it fails, and is counted by the platform whether it
/// fails or not.
#[derive(Debug)]
pub struct PlatformClient {
    transport: Transport,
}

impl PlatformClient {
    /// Builds a client of the platform at `address`; connects when the first call is made.
    pub fn new(address: SocketAddr, timeouts: CallTimeouts) -> Self {
        Self {
            transport: Transport::new(address, timeouts),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the key is absent.
    pub async fn get(&self, key: &str) -> Result<Entry, PlatformError> {
        let data = self.call(Method::GET, &key_path(key), Bytes::new()).await?;
        parse::<WireEntry>(&data)?.into_entry()
    }

    /// Writes an absent key.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the key exists, and `NotFound` if the lease has ended.
    pub async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError> {
        self.compare_and_swap(key, value, Revision(0), lease).await
    }

    /// Replaces a key that is at the revision `expect`; revision 0 stands for an absent key.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the key is at another revision, and `NotFound` if the lease has ended.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge);
        }
        let body = json!({"value": STANDARD.encode(value), "expect": expect, "lease": lease});
        let data = self
            .call(Method::PUT, &key_path(key), body.to_string().into())
            .await?;
        Ok(parse::<Written>(&data)?.revision)
    }

    /// Deletes a key that is at the revision `expect`, or at any if that is nothing.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the key is at another revision, and `NotFound` if it is absent and no
    /// revision was expected.
    pub async fn delete(
        &self,
        key: &str,
        expect: Option<Revision>,
    ) -> Result<Revision, PlatformError> {
        let mut path = key_path(key);
        if let Some(expect) = expect {
            path += &format!("?expect={expect}");
        }
        let data = self.call(Method::DELETE, &path, Bytes::new()).await?;
        Ok(parse::<Written>(&data)?.revision)
    }

    /// Reads all keys under `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/list?prefix={}", escape(prefix));
        let data = self.call(Method::GET, &path, Bytes::new()).await?;
        let wire: WireEntries = parse(&data)?;
        let entries = wire.entries.into_iter().map(WireEntry::into_entry);
        Ok(Listing {
            revision: wire.revision,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    /// Waits up to `wait` for changes under `prefix` after the revision `after`.
    ///
    /// # Errors
    ///
    /// Returns `UnknownOutcome` if the watch stays silent past its waiting time and the margin.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let (prefix, wait_ms) = (escape(prefix), wait.as_millis());
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let limit = wait + self.transport.timeouts().watch_margin;
        let data = self
            .transport
            .call(Method::GET, &path, Bytes::new(), limit)
            .await?;
        let wire: WireEntries = parse(&data)?;
        let changes = wire.entries.into_iter().map(WireEntry::into_change);
        Ok(Changes {
            revision: wire.revision,
            changes: changes.collect::<Result<_, _>>()?,
        })
    }

    /// Takes out a lease that ends `ttl` after its last renewal.
    ///
    /// If the answer is lost, the lease ends by itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = json!({"ttl_ms": u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX)});
        let data = self
            .call(Method::POST, "/leases", body.to_string().into())
            .await?;
        Ok(parse::<Granted>(&data)?.lease)
    }

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the lease has ended.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let path = format!("/leases/{lease}/renew");
        self.call(Method::POST, &path, Bytes::new()).await.map(drop)
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the lease has ended.
    pub async fn end_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let path = format!("/leases/{lease}");
        self.call(Method::DELETE, &path, Bytes::new())
            .await
            .map(drop)
    }

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn instances(&self) -> Result<ListedInstances, PlatformError> {
        parse(&self.call(Method::GET, "/instances", Bytes::new()).await?)
    }

    /// Writes an entry of the client directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn write_directory(&self, name: &str, entry: Bytes) -> Result<(), PlatformError> {
        if entry.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge);
        }
        self.call(Method::PUT, &directory_path(name), entry)
            .await
            .map(drop)
    }

    /// Reads an entry of the client directory.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if there is none.
    pub async fn read_directory(&self, name: &str) -> Result<Bytes, PlatformError> {
        self.call(Method::GET, &directory_path(name), Bytes::new())
            .await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, PlatformError> {
        self.transport
            .call(method, path, body, self.transport.timeouts().call)
            .await
    }
}

#[derive(Deserialize)]
struct Granted {
    lease: LeaseId,
}

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

fn key_path(key: &str) -> String {
    format!("/kv/{}", escape(key))
}

fn directory_path(name: &str) -> String {
    format!("/directory/{}", escape(name))
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}
