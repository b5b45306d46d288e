//! Capacity promised to refused requests in status notices.

use std::time::Duration;

use hawthornquay_instances::{ReturnPromiseRecord, Status};
use hawthornquay_traffic::{MAX_REPORTED_PROMISES, PromiseReport, ReportedPromise, ReturnKey};

use crate::wire_views::millis;

/// Returns `status` with the promises in `report`.
pub fn with_promise_report(status: Status, report: &PromiseReport) -> Status {
    Status {
        return_promises: report.open.iter().map(promise_record).collect(),
        redeemed_promises: report.redeemed.clone(),
        ..status
    }
}

/// Returns the promises in a status notice; no more than a notice may have.
pub fn promise_report(status: &Status) -> PromiseReport {
    let open = status.return_promises.iter().take(MAX_REPORTED_PROMISES);
    let redeemed = status.redeemed_promises.iter().take(MAX_REPORTED_PROMISES);
    PromiseReport {
        open: open.map(reported_promise).collect(),
        redeemed: redeemed.copied().collect(),
    }
}

fn promise_record(promise: &ReportedPromise) -> ReturnPromiseRecord {
    ReturnPromiseRecord {
        key: promise.key.hash,
        service: promise.key.service,
        organisation: promise.key.organisation,
        tokens: promise.tokens,
        urgency: promise.urgency.into(),
        ends_in_ms: millis(promise.ends_in),
    }
}

fn reported_promise(record: &ReturnPromiseRecord) -> ReportedPromise {
    ReportedPromise {
        key: ReturnKey {
            hash: record.key,
            service: record.service,
            organisation: record.organisation,
        },
        tokens: record.tokens,
        urgency: u8::try_from(record.urgency).unwrap_or(u8::MAX),
        ends_in: Duration::from_millis(record.ends_in_ms),
    }
}
