//! Loads the bundle in force from the store.

use serde::de::DeserializeOwned;

use crate::{
    BundleDigest, BundleDocument, BundleHead, BundleStore, LoadError, StoreEntry, StoreError,
    StoredDifference, StoredHead,
    store_keys::{HEAD_KEY, content_key, difference_key},
};

/// Attempts to read one key before a lost response is returned as an error.
const READ_ATTEMPTS: u32 = 3;

/// Loads the head of the bundle in force; `None` if no bundle has been accepted yet.
///
/// The signatures are not checked.
///
/// # Errors
///
/// Returns an error if the store fails or holds a malformed head.
pub async fn load_head<S: BundleStore>(store: &S) -> Result<Option<StoredHead>, LoadError> {
    let Some(entry) = get_with_retries(store, HEAD_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(StoredHead {
        head: parse(HEAD_KEY, &entry.value)?,
        revision: entry.revision,
    }))
}

/// Loads the content that `head` refers to and checks it against the digest.
///
/// The signatures are not checked.
///
/// # Errors
///
/// Returns an error if the store fails, or if the content is missing or does not match the head.
pub async fn load_content<S: BundleStore>(
    store: &S,
    head: &BundleHead,
) -> Result<BundleDocument, LoadError> {
    let version = head.version;
    let mut content = Vec::new();
    for part in 0..head.parts {
        let key = content_key(&head.digest, part);
        let entry = get_with_retries(store, &key).await?;
        content.extend(entry.ok_or(LoadError::Missing { key })?.value);
    }
    let text = String::from_utf8(content).map_err(|_| LoadError::Mismatch { version })?;
    head.read_content(&text)
}

/// Loads the content with `digest`, whose number of parts is not known.
///
/// Returns `None` if the content is missing or damaged.
///
/// # Errors
///
/// Returns an error if the store fails.
pub(crate) async fn load_content_by_digest<S: BundleStore>(
    store: &S,
    digest: &BundleDigest,
) -> Result<Option<BundleDocument>, StoreError> {
    let mut content = Vec::new();
    for part in 0.. {
        match get_with_retries(store, &content_key(digest, part)).await? {
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
/// They are followed from the head backwards: several operators may have stored a difference for
/// the same version, and only the digest in the next head identifies the accepted one.
///
/// # Errors
///
/// Returns an error if the store fails, or if a difference is missing. The caller then has to load
/// the whole content.
pub async fn load_differences<S: BundleStore>(
    store: &S,
    head: &BundleHead,
    after: u64,
) -> Result<Vec<StoredDifference>, LoadError> {
    let mut differences: Vec<StoredDifference> = Vec::new();
    let (mut version, mut digest) = (head.version, head.digest);
    while version > after {
        let key = difference_key(version, &digest);
        let entry = get_with_retries(store, &key).await?;
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

/// Reads a key and repeats the read if the response is lost. Reads have no side effects.
pub(crate) async fn get_with_retries<S: BundleStore>(
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
