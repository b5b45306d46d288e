//! Audit records of orders to engines.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use hawthornquay_operators::{AUDIT_PREFIX, AuditAction, AuditRecord};
use hawthornquay_store::PlatformError;
use slog::{error, warn};
use tokio::sync::mpsc;

use crate::Node;

/// Records that wait while the store cannot be written; further ones are logged only.
const QUEUE_RECORDS: usize = 4_096;

const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);

const LONGEST_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Record with its key in the store.
struct Queued {
    key: String,
    record: AuditRecord,
}

/// Writes audit records in the background, so that no order waits for the store.
///
/// Dropping it lets the records that still wait be written while the process runs.
pub struct OrderAudit {
    node: Arc<Node>,
    tx: mpsc::Sender<Queued>,
}

impl OrderAudit {
    /// Starts the writer.
    pub fn start(node: &Arc<Node>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_RECORDS);
        tokio::spawn(write_records(Arc::clone(node), rx));
        Self {
            node: Arc::clone(node),
            tx,
        }
    }

    /// Records an action under the lease with fencing number `fence`.
    ///
    /// `sequence` numbers the actions of a lease. The key holds the fencing number, which is the
    /// store revision of the lease key, so the record sorts among those of the bundles. Only the
    /// holder of the lease uses these keys, so a write that is repeated finds its own record.
    pub fn record(&self, fence: u64, sequence: u64, action: AuditAction) {
        let when = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let queued = Queued {
            key: format!("{AUDIT_PREFIX}{fence}-{sequence}"),
            record: AuditRecord {
                who: self.node.id.to_string(),
                action,
                when_ms: u64::try_from(when.as_millis()).unwrap_or(u64::MAX),
            },
        };
        if let Err(refused) = self.tx.try_send(queued) {
            let Queued { key, record } = refused.into_inner();
            error!(
                self.node.log.orders, "audit record dropped, too many wait for the store";
                "key" => key, "action" => ?record.action,
            );
        }
    }
}

async fn write_records(node: Arc<Node>, mut rx: mpsc::Receiver<Queued>) {
    while let Some(queued) = rx.recv().await {
        write(&node, &queued).await;
    }
}

/// Writes one record, again until the store has taken it.
async fn write(node: &Node, queued: &Queued) {
    let key = &queued.key;
    let value = serde_json::to_vec(&queued.record).expect("a record has only string keys");
    let mut delay = FIRST_RETRY_DELAY;
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
                node.log.orders, "audit record not written yet, trying again";
                "key" => key, "error" => %error,
            ),
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(LONGEST_RETRY_DELAY);
    }
}
