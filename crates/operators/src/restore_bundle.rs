//! Writes a bundle back to a store that has lost it.

use crate::{
    AuditAction, AuditRecord, BundleDocument, BundleHead, BundleStore, StoreError,
    StoredDifference, StoredHead,
    accept_bundle::{put, put_content, to_json},
    load_content,
    store_keys::{AUDIT_PREFIX, HEAD_KEY, difference_key},
};

/// Puts the head and the content of an accepted bundle back into a store that came back from an
/// older copy.
///
/// `stale` is the head that the store has, if any. The signatures are those of the accepted head, so
/// readers verify the bundle as before. The difference is written if `stale` is the predecessor;
/// otherwise readers load the whole content.
///
/// # Errors
///
/// Returns an error if the store failed, or [`StoreError::Conflict`] if its head has changed.
pub async fn restore_bundle<S: BundleStore>(
    store: &S,
    head: &BundleHead,
    document: &BundleDocument,
    stale: Option<&StoredHead>,
    who: &str,
    when_ms: u64,
) -> Result<(), StoreError> {
    put_content(store, document).await?;
    let predecessor = stale.filter(|stale| head.previous == Some(stale.head.digest));
    if let Some(predecessor) = predecessor
        && let Ok(old) = load_content(store, &predecessor.head).await
    {
        let difference = StoredDifference {
            head: head.clone(),
            difference: document.difference_from(&old).to_string(),
        };
        let key = difference_key(head.version, &head.digest);
        put(store, &key, &to_json(&difference)).await?;
    }
    let value = to_json(head);
    let revision = match stale {
        Some(stale) => {
            store
                .compare_and_swap(HEAD_KEY, &value, stale.revision)
                .await?
        }
        None => store.create_if_absent(HEAD_KEY, &value).await?,
    };
    let record = AuditRecord {
        who: who.to_owned(),
        action: AuditAction::BundleRestored {
            version: head.version,
            digest: head.digest,
        },
        when_ms,
    };
    let key = format!("{AUDIT_PREFIX}{}", revision.fencing_number());
    put(store, &key, &to_json(&record)).await
}
