//! Audit records of orders to model engines.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use hawthornquay_operators::{AUDIT_PREFIX, AuditAction, AuditRecord};
use hawthornquay_store::PlatformError;
use slog::{error, warn};
use tokio::sync::mpsc;

use crate::Node;

/// Largest number of queued records; when the queue is full, a record is only logged.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Delay after the first failed write of a record; it doubles with each failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay after a failed write of a record.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Queued record with its key in the store.
struct QueuedRecord {
    key: String,
    record: AuditRecord,
}

/// Queue of audit records, written in the background so that no order waits for the store.
///
/// Records that are queued when this is dropped are still written, if the process keeps running.
pub struct OrderAudit {
    node: Arc<Node>,
    tx: mpsc::Sender<QueuedRecord>,
}

impl OrderAudit {
    /// Starts the task that writes the records.
    pub fn start(node: &Arc<Node>) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_RECORDS);
        tokio::spawn(write_records(Arc::clone(node), rx));
        Self {
            node: Arc::clone(node),
            tx,
        }
    }

    /// Queues the record of an action taken under the lease with fencing number `fence`.
    ///
    /// `sequence` numbers the actions of the lease. The record's key contains the fencing number,
    /// which follows the store revision of the lease key, so that it sorts among the records of bundles.
    /// Only the holder of the lease writes to these keys, so a conflict on a repeated write means
    /// that an earlier attempt has stored the record.
    pub fn record(&self, fence: u64, sequence: u64, action: AuditAction) {
        let when = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let queued = QueuedRecord {
            key: format!("{AUDIT_PREFIX}{fence}-{sequence}"),
            record: AuditRecord {
                who: self.node.id.to_string(),
                action,
                when_ms: u64::try_from(when.as_millis()).unwrap_or(u64::MAX),
            },
        };
        if let Err(refused) = self.tx.try_send(queued) {
            let QueuedRecord { key, record } = refused.into_inner();
            error!(
                self.node.log.orders, "audit record dropped, queue is full";
                "key" => key, "action" => ?record.action,
            );
        }
    }
}

async fn write_records(node: Arc<Node>, mut rx: mpsc::Receiver<QueuedRecord>) {
    while let Some(queued) = rx.recv().await {
        write(&node, &queued).await;
    }
}

/// Writes a record; retries until the store confirms it or it turns out to be too large.
async fn write(node: &Node, queued: &QueuedRecord) {
    let key = &queued.key;
    let value = serde_json::to_vec(&queued.record).expect("a record has only string keys");
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        match node.platform.create(key, &value, None).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => return,
            Err(error @ PlatformError::TooLarge) => {
                error!(
                    node.log.orders, "audit record not written";
                    "key" => key, "error" => %error,
                );
                return;
            }
            Err(error) => warn!(
                node.log.orders, "audit record not written, will retry";
                "key" => key, "error" => %error,
            ),
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
