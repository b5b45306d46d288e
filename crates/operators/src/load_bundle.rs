//! Loading of the accepted bundle from the store.

use serde::de::DeserializeOwned;

use crate::{
    BundleDigest, BundleDocument, BundleHead, BundleStore, LoadError, StoreEntry, StoreError,
    StoredDifference, StoredHead,
    store_keys::{HEAD_KEY, content_key, difference_key},
};

/// Reads of one key before a lost answer counts as a failure.
const READ_ATTEMPTS: u32 = 3;

/// Loads the head in force; `None` if no bundle was ever accepted.
///
/// The signatures are not checked.
///
/// # Errors
///
/// Returns an error if the store fails or holds a malformed head.
pub async fn load_head<S: BundleStore>(store: &S) -> Result<Option<StoredHead>, LoadError> {
    let Some(entry) = read(store, HEAD_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(StoredHead {
        head: parse(HEAD_KEY, &entry.value)?,
        revision: entry.revision,
    }))
}

/// Loads the content that `head` names and checks it against the digest.
///
/// The signatures are not checked.
///
/// # Errors
///
/// Returns an error if the store fails, or if the content is missing or is another one.
pub async fn load_content<S: BundleStore>(
    store: &S,
    head: &BundleHead,
) -> Result<BundleDocument, LoadError> {
    let version = head.version;
    let mut content = Vec::new();
    for part in 0..head.parts {
        let key = content_key(&head.digest, part);
        let entry = read(store, &key).await?;
        content.extend(entry.ok_or(LoadError::Missing { key })?.value);
    }
    let text = String::from_utf8(content).map_err(|_| LoadError::Mismatch { version })?;
    head.read_content(&text)
}

/// Loads the content with `digest`, whose number of parts is not known; `None` if it is missing or
/// damaged.
///
/// # Errors
///
/// Returns an error if the store fails.
pub(crate) async fn load_by_digest<S: BundleStore>(
    store: &S,
    digest: &BundleDigest,
) -> Result<Option<BundleDocument>, StoreError> {
    let mut content = Vec::new();
    for part in 0.. {
        match read(store, &content_key(digest, part)).await? {
            Some(entry) => content.extend(entry.value),
            None => break,
        }
    }
    let text = String::from_utf8(content).unwrap_or_default();
    let document = BundleDocument::read("bundle", &text).ok();
    Ok(document.filter(|document| document.digest() == *digest))
}

/// Loads the differences after version `after` up to `head`, the oldest first.
///
/// They are found from the head backwards, because only the digests that the heads name tell an
/// accepted difference from one that lost a race.
///
/// # Errors
///
/// Returns an error if the store fails, or if a difference is missing; the content is then needed.
pub async fn load_differences<S: BundleStore>(
    store: &S,
    head: &BundleHead,
    after: u64,
) -> Result<Vec<StoredDifference>, LoadError> {
    let mut differences: Vec<StoredDifference> = Vec::new();
    let (mut version, mut digest) = (head.version, head.digest);
    while version > after {
        let key = difference_key(version, &digest);
        let entry = read(store, &key).await?;
        let entry = entry.ok_or_else(|| LoadError::Missing { key: key.clone() })?;
        let difference: StoredDifference = parse(&key, &entry.value)?;
        if difference.head.version != version || difference.head.digest != digest {
            return Err(LoadError::Mismatch { version });
        }
        digest = difference
            .head
            .previous
            .ok_or(LoadError::Mismatch { version })?;
        version -= 1;
        differences.push(difference);
    }
    differences.reverse();
    Ok(differences)
}

/// Reads a key, again after a lost answer, since a read has no effect.
pub(crate) async fn read<S: BundleStore>(
    store: &S,
    key: &str,
) -> Result<Option<StoreEntry>, StoreError> {
    for _ in 1..READ_ATTEMPTS {
        match store.get(key).await {
            Err(StoreError::AnswerLost) => {}
            answer => return answer,
        }
    }
    store.get(key).await
}

fn parse<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, LoadError> {
    serde_json::from_slice(value).map_err(|_| LoadError::Malformed {
        key: key.to_owned(),
    })
}
