//! Accept of a bundle in the store.

use serde::Serialize;

use crate::{
    AcceptConflict, AcceptError, AcceptRequest, AcceptedBundle, AuditAction, AuditRecord,
    BundleChanges, BundleDifference, BundleDocument, BundleHead, BundleStore, StoreError,
    StoredDifference, StoredHead, Trust,
    load_bundle::{load_by_digest, read},
    load_content, load_differences, load_head,
    store_keys::{AUDIT_PREFIX, HEAD_KEY, content_key, difference_key},
};

/// Bytes of one content part; the store takes values up to 1 MB.
const PART_BYTES: usize = 900_000;
/// Writes of one key before a lost answer counts as a failure.
const WRITE_ATTEMPTS: u32 = 4;

/// Accepts a bundle by one compare-and-swap on the head.
///
/// The signatures are checked against the predecessor first, and the content and the difference
/// are stored before the head, so that everyone who reads the head finds them. A lost answer is
/// resolved by reading the head back. Accepting the bundle in force again has no effect but to
/// write a missing audit record.
///
/// # Errors
///
/// Returns an error that tells whether the bundle is in force, is not, or whether this is unknown.
pub async fn accept_bundle<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
) -> Result<AcceptedBundle, AcceptError> {
    let document = request.document;
    let predecessor = load_head(store).await?;
    if let Some(current) = &predecessor {
        if current.head.digest == document.digest() {
            let changes = changes_in_force(store, request, &current.head).await?;
            return finish(store, request, current.clone(), true, changes).await;
        }
        if current.head.version >= document.version() {
            return Err(conflict_error(store, current, document).await);
        }
    }
    let (head, changes) = prepare(store, request, predecessor.as_ref()).await?;
    let changes = Some(changes);
    let value = to_json(&head);
    let mut may_have_written = false;
    for _ in 0..WRITE_ATTEMPTS {
        let written = match &predecessor {
            Some(current) => {
                store
                    .compare_and_swap(HEAD_KEY, &value, current.revision)
                    .await
            }
            None => store.create_if_absent(HEAD_KEY, &value).await,
        };
        match written {
            Ok(revision) => {
                let current = StoredHead { head, revision };
                return finish(store, request, current, false, changes).await;
            }
            Err(error) if error.is_refused() && !may_have_written => {
                return Err(AcceptError::Store(error));
            }
            Err(StoreError::RateExceeded | StoreError::Unreachable) => continue,
            Err(StoreError::AnswerLost) => may_have_written = true,
            Err(StoreError::Conflict) => {}
        }
        let Ok(Some(current)) = load_head(store).await else {
            // The head may be ours, so neither success nor failure can be claimed.
            may_have_written = true;
            continue;
        };
        if current.head == head {
            return finish(store, request, current, false, changes).await;
        }
        if predecessor.as_ref() != Some(&current) {
            return resolve_replaced(store, request, &head, &current, changes).await;
        }
    }
    Err(AcceptError::OutcomeUnknown {
        version: document.version(),
        digest: document.digest(),
    })
}

/// Checks the request against the predecessor and stores everything that the head refers to.
async fn prepare<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    predecessor: Option<&StoredHead>,
) -> Result<(BundleHead, BundleChanges), AcceptError> {
    let document = request.document;
    let parts: Vec<&[u8]> = document.canonical().as_bytes().chunks(PART_BYTES).collect();
    let head = BundleHead {
        version: document.version(),
        digest: document.digest(),
        previous: predecessor.map(|current| current.head.digest),
        parts: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        signatures: request.signatures.to_vec(),
    };
    let (difference, changes) = match predecessor {
        None => {
            let own = Trust::of_predecessor(document.bundle());
            request.first_trust.unwrap_or(&own).verify_head(&head)?;
            (None, BundleChanges::between(None, document))
        }
        Some(current) => {
            if current.head.version.checked_add(1) != Some(head.version) {
                return Err(AcceptError::VersionGap {
                    version: head.version,
                    current: current.head.version,
                });
            }
            let old = load_content(store, &current.head).await?;
            Trust::of_predecessor(old.bundle()).verify_head(&head)?;
            let difference = StoredDifference {
                head: head.clone(),
                difference: document.difference_from(&old).to_string(),
            };
            let changes = BundleChanges::between(Some(&old), document);
            (Some(difference), changes)
        }
    };
    for (part, value) in (0..).zip(parts) {
        let key = content_key(&head.digest, part);
        ensure(store, &key, value)
            .await
            .map_err(AcceptError::Store)?;
    }
    if let Some(difference) = difference {
        let key = difference_key(head.version, &head.digest);
        ensure(store, &key, &to_json(&difference))
            .await
            .map_err(AcceptError::Store)?;
    }
    Ok((head, changes))
}

/// Counts the changes of a bundle that is in force already.
///
/// A damaged predecessor leaves them unknown, so that the record can still be written.
async fn changes_in_force<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    head: &BundleHead,
) -> Result<Option<BundleChanges>, AcceptError> {
    let Some(previous) = &head.previous else {
        return Ok(Some(BundleChanges::between(None, request.document)));
    };
    let old = load_by_digest(store, previous).await;
    let old = old.map_err(|source| AcceptError::AuditMissing {
        version: head.version,
        source,
    })?;
    Ok(old.map(|old| BundleChanges::between(Some(&old), request.document)))
}

/// Decides after a failed write whether ours was accepted before `current`.
async fn resolve_replaced<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    head: &BundleHead,
    current: &StoredHead,
    changes: Option<BundleChanges>,
) -> Result<AcceptedBundle, AcceptError> {
    if current.head.digest == head.digest {
        return finish(store, request, current.clone(), true, changes).await;
    }
    if current.head.version > head.version {
        // Our write may have taken effect and been followed by others.
        let followed = load_differences(store, &current.head, head.version).await;
        let ours = followed.map_err(|_| AcceptError::OutcomeUnknown {
            version: head.version,
            digest: head.digest,
        })?;
        if ours.first().and_then(|first| first.head.previous) == Some(head.digest) {
            write_audit(
                store,
                request,
                &format!("{AUDIT_PREFIX}version-{}", head.version),
                changes,
            )
            .await?;
            return Ok(AcceptedBundle {
                head: head.clone(),
                revision: None,
                was_in_force: false,
            });
        }
    }
    Err(conflict_error(store, current, request.document).await)
}

async fn finish<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    current: StoredHead,
    was_in_force: bool,
    changes: Option<BundleChanges>,
) -> Result<AcceptedBundle, AcceptError> {
    write_audit(
        store,
        request,
        &format!("{AUDIT_PREFIX}{}", current.revision),
        changes,
    )
    .await?;
    remove_old_content(store, &current.head).await;
    Ok(AcceptedBundle {
        head: current.head,
        revision: Some(current.revision),
        was_in_force,
    })
}

/// Deletes the content of the version before the predecessor; the store keeps it until the next
/// accept if that fails.
///
/// Instances read the content of the head only, and one that is reading the predecessor's while
/// the head changes can still finish.
async fn remove_old_content<S: BundleStore>(store: &S, head: &BundleHead) {
    let Ok(differences) = load_differences(store, head, head.version.saturating_sub(2)).await
    else {
        return;
    };
    let Some(old) = differences.first().and_then(|first| first.head.previous) else {
        return;
    };
    for part in 0.. {
        match store.delete(&content_key(&old, part)).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

/// Writes the audit record unless there is one.
async fn write_audit<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    key: &str,
    changes: Option<BundleChanges>,
) -> Result<(), AcceptError> {
    let version = request.document.version();
    let value = to_json(&AuditRecord {
        who: request.who.to_owned(),
        action: AuditAction::BundleAccepted {
            version,
            digest: request.document.digest(),
            changes,
        },
        when_ms: request.when_ms,
    });
    let mut source = StoreError::AnswerLost;
    for _ in 0..WRITE_ATTEMPTS {
        match store.create_if_absent(key, &value).await {
            Ok(_) | Err(StoreError::Conflict) => return Ok(()),
            Err(error) => source = error,
        }
    }
    Err(AcceptError::AuditMissing { version, source })
}

async fn conflict_error<S: BundleStore>(
    store: &S,
    current: &StoredHead,
    own: &BundleDocument,
) -> AcceptError {
    match load_content(store, &current.head).await {
        Ok(winner) => AcceptError::Conflict(Box::new(AcceptConflict {
            current: current.head.clone(),
            difference: BundleDifference::between(own, &winner),
        })),
        Err(error) => AcceptError::Load(error),
    }
}

/// Makes `key` hold `value`, whatever it held before.
async fn ensure<S: BundleStore>(store: &S, key: &str, value: &[u8]) -> Result<(), StoreError> {
    let mut last = StoreError::AnswerLost;
    for _ in 0..WRITE_ATTEMPTS {
        match store.create_if_absent(key, value).await {
            Ok(_) => return Ok(()),
            Err(error) if error.is_refused() => return Err(error),
            Err(error) => last = error,
        }
        match read(store, key).await? {
            Some(entry) if entry.value == value => return Ok(()),
            Some(entry) => match store.compare_and_swap(key, value, entry.revision).await {
                Ok(_) => return Ok(()),
                Err(error) => last = error,
            },
            None => {}
        }
    }
    Err(last)
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("these values have only string keys and numbers")
}
