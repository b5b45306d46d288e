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
    PlatformError, StoreRevision, UnknownOutcomeCause,
    transport::{PlatformResponse, Transport},
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

    /// Returns the highest era of all responses of the platform so far.
    ///
    /// The era rises by one each time the store comes back from an older copy. Revisions and leases
    /// of earlier eras are no longer valid.
    pub fn era(&self) -> u64 {
        self.transport.era()
    }

    /// Reads the entry of a key.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the key is absent.
    pub async fn get(&self, key: &str) -> Result<Entry, PlatformError> {
        let res = self.call(Method::GET, &key_path(key), Bytes::new()).await?;
        res.parse::<WireEntry>()?.into_entry(res.era)
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
    ) -> Result<StoreRevision, PlatformError> {
        self.compare_and_swap(key, value, StoreRevision::ABSENT, lease)
            .await
    }

    /// Writes a key if its revision is `expect`; [`StoreRevision::ABSENT`] means that the key is
    /// absent.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the key is at another revision, `NotFound` if the lease has ended, and
    /// `HistoryDiscarded` if `expect` is of an earlier era. If the era changes during the call, the
    /// outcome is unknown.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expect: StoreRevision,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision, PlatformError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge);
        }
        self.check_expected(expect)?;
        if let Some(lease) = lease {
            self.check_lease(lease)?;
        }
        let body = json!({
            "value": STANDARD.encode(value),
            "expect": expect.revision,
            "lease": lease.map(|lease| lease.number),
        });
        let res = self
            .call(Method::PUT, &key_path(key), body.to_string().into())
            .await?;
        if lease.is_some_and(|lease| lease.era != res.era) {
            return Err(era_changed());
        }
        written_revision(&res, Some(expect))
    }

    /// Deletes a key if its revision is `expect`, or at any revision if `expect` is `None`.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the key is at another revision, `NotFound` if it is absent and `expect`
    /// is `None`, and `HistoryDiscarded` if `expect` is of an earlier era. If the era changes during
    /// the call, the outcome is unknown.
    pub async fn delete(
        &self,
        key: &str,
        expect: Option<StoreRevision>,
    ) -> Result<StoreRevision, PlatformError> {
        let mut path = key_path(key);
        if let Some(expect) = expect {
            self.check_expected(expect)?;
            path += &format!("?expect={}", expect.revision);
        }
        let res = self.call(Method::DELETE, &path, Bytes::new()).await?;
        written_revision(&res, expect)
    }

    /// Reads all keys under `prefix`.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the call fails.
    pub async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/list?prefix={}", escape(prefix));
        let res = self.call(Method::GET, &path, Bytes::new()).await?;
        let wire: WireEntries = res.parse()?;
        let entries = wire.entries.into_iter();
        let entries = entries.map(|entry| entry.into_entry(res.era));
        Ok(Listing {
            revision: StoreRevision {
                era: res.era,
                revision: wire.revision,
            },
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    /// Waits up to `wait` for changes under `prefix` after the revision `after`;
    /// [`StoreRevision::ABSENT`] returns the latest change of every key.
    ///
    /// # Errors
    ///
    /// Returns `HistoryDiscarded` if the store does not have the history after `after`: all data has
    /// to be read again. Returns `UnknownOutcome` if no response arrives within `wait` plus
    /// [`CallTimeouts::watch_margin`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.check_expected(after)?;
        let (prefix, wait_ms) = (escape(prefix), wait.as_millis());
        let position = after.revision;
        let path = format!("/watch?prefix={prefix}&after={position}&wait_ms={wait_ms}");
        let limit = wait + self.transport.timeouts().watch_margin;
        let res = self
            .transport
            .call(Method::GET, &path, Bytes::new(), limit)
            .await?;
        if !after.is_absent() && after.era != res.era {
            return Err(PlatformError::HistoryDiscarded);
        }
        let wire: WireEntries = res.parse()?;
        let changes = wire.entries.into_iter();
        let changes = changes.map(|entry| entry.into_change(res.era));
        Ok(Changes {
            revision: StoreRevision {
                era: res.era,
                revision: wire.revision,
            },
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
        let res = self
            .call(Method::POST, "/leases", body.to_string().into())
            .await?;
        Ok(LeaseId {
            era: res.era,
            number: res.parse::<Granted>()?.lease,
        })
    }

    /// Renews a lease: it expires one full `ttl` from now.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the lease has ended. A lease of an earlier era counts as ended.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.check_lease(lease)?;
        let path = format!("/leases/{}/renew", lease.number);
        let res = self.call(Method::POST, &path, Bytes::new()).await?;
        // The number may now be that of a lease granted to another process.
        if res.era == lease.era {
            Ok(())
        } else {
            Err(PlatformError::NotFound)
        }
    }

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the lease has ended. A lease of an earlier era counts as ended.
    pub async fn end_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.check_lease(lease)?;
        let path = format!("/leases/{}", lease.number);
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
        self.call(Method::GET, "/instances", Bytes::new())
            .await?
            .parse()
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
        let res = self
            .call(Method::GET, &directory_path(name), Bytes::new())
            .await?;
        Ok(res.data)
    }

    /// Refuses a revision that is known to belong to an earlier era.
    fn check_expected(&self, revision: StoreRevision) -> Result<(), PlatformError> {
        if !revision.is_absent() && revision.era < self.era() {
            return Err(PlatformError::HistoryDiscarded);
        }
        Ok(())
    }

    /// Refuses a lease that is known to belong to an earlier era.
    fn check_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        if lease.era < self.era() {
            return Err(PlatformError::NotFound);
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<PlatformResponse, PlatformError> {
        self.transport
            .call(method, path, body, self.transport.timeouts().call)
            .await
    }
}

#[derive(Deserialize)]
struct Granted {
    lease: u64,
}

#[derive(Deserialize)]
struct Written {
    revision: u64,
}

/// Returns the revision of a write that was conditional on `expect`.
fn written_revision(
    res: &PlatformResponse,
    expect: Option<StoreRevision>,
) -> Result<StoreRevision, PlatformError> {
    if expect.is_some_and(|expect| !expect.is_absent() && expect.era != res.era) {
        return Err(era_changed());
    }
    Ok(StoreRevision {
        era: res.era,
        revision: res.parse::<Written>()?.revision,
    })
}

fn era_changed() -> PlatformError {
    PlatformError::UnknownOutcome(UnknownOutcomeCause::EraChanged)
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
