//! Writes a signed bundle to the store as the bundle in force.

use serde::Serialize;

use crate::{
    AcceptConflict, AcceptError, AcceptRequest, AcceptedBundle, AuditAction, AuditRecord,
    BundleChanges, BundleDifference, BundleDocument, BundleHead, BundleStore, StoreError,
    StoredDifference, StoredHead, Trust,
    load_bundle::{get_with_retries, load_content_by_digest},
    load_content, load_differences, load_head,
    store_keys::{AUDIT_PREFIX, HEAD_KEY, content_key, difference_key, era_marker_key},
};

/// Size of one stored part of the content; the store limits a value to 1 MB.
const CONTENT_PART_BYTES: usize = 900_000;
/// Attempts to write one key before the last error is returned.
const WRITE_ATTEMPTS: u32 = 4;

/// Puts a bundle in force with one compare-and-swap on the head.
///
/// The signatures are checked against the predecessor first. The content and the difference are
/// stored before the head, so that they exist for every reader of the head. If the response to a
/// write is lost, the head is read to find out whether the write took effect. Accepting the bundle
/// in force again only writes a missing audit record and deletes content that is no longer needed.
///
/// # Errors
///
/// Returns an error that states whether the bundle is in force, is not in force, or whether this
/// is unknown.
pub async fn accept_bundle<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
) -> Result<AcceptedBundle, AcceptError> {
    let document = request.document;
    let predecessor = load_head(store).await?;
    if let Some(current) = &predecessor {
        if current.head.digest == document.digest() {
            let changes = count_accepted_changes(store, request, &current.head).await?;
            return write_audit_and_clean_up(store, request, current.clone(), true, changes).await;
        }
        if current.head.version >= document.version() {
            return Err(conflict_error(store, current, document).await);
        }
        check_settled(store, current).await?;
    }
    let (head, changes) = check_and_store_content(store, request, predecessor.as_ref()).await?;
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
                return write_audit_and_clean_up(store, request, current, false, changes).await;
            }
            Err(error) if error.is_refused() && !may_have_written => {
                return Err(AcceptError::Store(error));
            }
            Err(StoreError::RateExceeded | StoreError::Unreachable) => continue,
            Err(StoreError::AnswerLost) => may_have_written = true,
            Err(StoreError::Conflict) => {}
        }
        let Ok(Some(current)) = load_head(store).await else {
            // The write may have taken effect, so neither success nor failure can be reported.
            may_have_written = true;
            continue;
        };
        if current.head == head {
            return write_audit_and_clean_up(store, request, current, false, changes).await;
        }
        if predecessor.as_ref() != Some(&current) {
            return resolve_failed_write(store, request, &head, &current, changes).await;
        }
    }
    Err(AcceptError::OutcomeUnknown {
        version: document.version(),
        digest: document.digest(),
    })
}

/// Checks the request against the predecessor and stores the content and the difference that the
/// head refers to.
async fn check_and_store_content<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    predecessor: Option<&StoredHead>,
) -> Result<(BundleHead, BundleChanges), AcceptError> {
    let document = request.document;
    let parts = content_parts(document).len();
    let head = BundleHead {
        version: document.version(),
        digest: document.digest(),
        previous: predecessor.map(|current| current.head.digest),
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        signatures: request.signatures.to_vec(),
    };
    let (difference, changes) = match predecessor {
        None => {
            let bundle_trust = Trust::of_predecessor(document.bundle());
            request
                .first_trust
                .unwrap_or(&bundle_trust)
                .verify_head(&head)?;
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
    put_content(store, document)
        .await
        .map_err(AcceptError::Store)?;
    if let Some(difference) = difference {
        let key = difference_key(head.version, &head.digest);
        put(store, &key, &to_json(&difference))
            .await
            .map_err(AcceptError::Store)?;
    }
    Ok((head, changes))
}

/// Splits the content of a bundle into the parts in which it is stored.
fn content_parts(document: &BundleDocument) -> Vec<&[u8]> {
    let content = document.canonical().as_bytes();
    content.chunks(CONTENT_PART_BYTES).collect()
}

/// Stores the content of a bundle.
pub(crate) async fn put_content<S: BundleStore>(
    store: &S,
    document: &BundleDocument,
) -> Result<(), StoreError> {
    let digest = document.digest();
    for (part, value) in (0..).zip(content_parts(document)) {
        put(store, &content_key(&digest, part), value).await?;
    }
    Ok(())
}

/// Refuses an accept while the store may lack a bundle that it confirmed before it came back from
/// an older copy. Instances write it back in that time.
async fn check_settled<S: BundleStore>(
    store: &S,
    predecessor: &StoredHead,
) -> Result<(), AcceptError> {
    let era = predecessor.revision.era;
    if era == 0 {
        return Ok(());
    }
    match get_with_retries(store, &era_marker_key(era)).await {
        Ok(Some(_)) => Ok(()),
        Ok(None) => Err(AcceptError::StoreUnsettled {
            current: predecessor.head.version,
        }),
        Err(error) => Err(AcceptError::Store(error)),
    }
}

/// Counts the changes made by a bundle that is already in force.
///
/// Returns `None` if the content of the predecessor is missing or damaged, so that the audit record
/// can be written without the counts.
async fn count_accepted_changes<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    head: &BundleHead,
) -> Result<Option<BundleChanges>, AcceptError> {
    let Some(previous) = &head.previous else {
        return Ok(Some(BundleChanges::between(None, request.document)));
    };
    let old = load_content_by_digest(store, previous).await;
    let old = old.map_err(|source| AcceptError::AuditMissing {
        version: head.version,
        source,
    })?;
    Ok(old.map(|old| BundleChanges::between(Some(&old), request.document)))
}

/// Determines after a failed write of the head whether the bundle was accepted before `current`
/// replaced it.
async fn resolve_failed_write<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    head: &BundleHead,
    current: &StoredHead,
    changes: Option<BundleChanges>,
) -> Result<AcceptedBundle, AcceptError> {
    if current.head.digest == head.digest {
        return write_audit_and_clean_up(store, request, current.clone(), true, changes).await;
    }
    if current.head.version > head.version {
        // The write may have taken effect before later bundles were accepted.
        let later = load_differences(store, &current.head, head.version).await;
        let later = later.map_err(|_| AcceptError::OutcomeUnknown {
            version: head.version,
            digest: head.digest,
        })?;
        if later.first().and_then(|first| first.head.previous) == Some(head.digest) {
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

/// Writes the audit record of an accepted bundle and deletes content that is no longer needed.
async fn write_audit_and_clean_up<S: BundleStore>(
    store: &S,
    request: &AcceptRequest<'_>,
    current: StoredHead,
    was_in_force: bool,
    changes: Option<BundleChanges>,
) -> Result<AcceptedBundle, AcceptError> {
    write_audit(
        store,
        request,
        &format!("{AUDIT_PREFIX}{}", current.revision.fencing_number()),
        changes,
    )
    .await?;
    delete_old_content(store, &current.head).await;
    Ok(AcceptedBundle {
        head: current.head,
        revision: Some(current.revision),
        was_in_force,
    })
}

/// Deletes the content of the version before the predecessor. If this fails, the rest of the
/// content stays in the store.
///
/// Instances read only the content of the head. The predecessor's content is kept so that an
/// instance that is reading it while the head changes can complete the read.
async fn delete_old_content<S: BundleStore>(store: &S, head: &BundleHead) {
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

/// Writes the audit record unless it already exists.
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

/// Returns the error for a proposed bundle if another one is in force.
async fn conflict_error<S: BundleStore>(
    store: &S,
    current: &StoredHead,
    proposed: &BundleDocument,
) -> AcceptError {
    match load_content(store, &current.head).await {
        Ok(in_force) => AcceptError::Conflict(Box::new(AcceptConflict {
            current: current.head.clone(),
            difference: BundleDifference::between(proposed, &in_force),
        })),
        Err(error) => AcceptError::Load(error),
    }
}

/// Sets `key` to `value`, whether or not the key exists.
pub(crate) async fn put<S: BundleStore>(
    store: &S,
    key: &str,
    value: &[u8],
) -> Result<(), StoreError> {
    let mut last = StoreError::AnswerLost;
    for _ in 0..WRITE_ATTEMPTS {
        match store.create_if_absent(key, value).await {
            Ok(_) => return Ok(()),
            Err(error) if error.is_refused() => return Err(error),
            Err(error) => last = error,
        }
        match get_with_retries(store, key).await? {
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

pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("values with string keys always serialise to JSON")
}
