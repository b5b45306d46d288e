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

/// Characters that are percent-encoded in keys, prefixes and directory names.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'/');

/// HTTP client of the platform; every call has a time-out.
///
/// Every call returns a [`PlatformError`] if it fails. The errors section of a call lists the
/// variants specific to it. The platform counts all calls, including failed ones.
#[derive(Debug)]
pub struct PlatformClient {
    transport: Transport,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`. It connects on the first call.
    pub fn new(address: SocketAddr, timeouts: CallTimeouts) -> Self {
        Self {
            transport: Transport::new(address, timeouts),
        }
    }

    /// Reads the entry of a key.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the key is absent.
    pub async fn get(&self, key: &str) -> Result<Entry, PlatformError> {
        let data = self.call(Method::GET, &key_path(key), Bytes::new()).await?;
        parse::<WireEntry>(&data)?.into_entry()
    }

    /// Creates a key that does not exist, attached to `lease` if one is given.
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

    /// Writes a key if its revision is `expect`; revision 0 means that the key is absent.
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

    /// Deletes a key if its revision is `expect`, or at any revision if `expect` is `None`.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the key is at another revision, and `NotFound` if it is absent and
    /// `expect` is `None`.
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
    /// Returns a [`PlatformError`] if the call fails.
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
    /// Returns `UnknownOutcome` if no response arrives within `wait` plus
    /// [`CallTimeouts::watch_margin`].
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

    /// Creates a lease that expires `ttl` after its creation or last renewal.
    ///
    /// If the outcome is unknown, a lease that was created expires without a renewal.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = json!({"ttl_ms": u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX)});
        let data = self
            .call(Method::POST, "/leases", body.to_string().into())
            .await?;
        Ok(parse::<Granted>(&data)?.lease)
    }

    /// Renews a lease: it expires one full `ttl` from now.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the lease has ended.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let path = format!("/leases/{lease}/renew");
        self.call(Method::POST, &path, Bytes::new()).await.map(drop)
    }

    /// Revokes a lease and deletes the keys attached to it.
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

    /// Reads the platform's list of instances.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn instances(&self) -> Result<ListedInstances, PlatformError> {
        parse(&self.call(Method::GET, "/instances", Bytes::new()).await?)
    }

    /// Writes an entry of the client directory.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the call fails.
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
    /// Returns `NotFound` if the entry does not exist.
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
