//! Tests of the promises of capacity in status notices.

use std::time::Duration;

use hawthornquay_gateway::{promise_report, with_promise_report};
use hawthornquay_instances::{ReturnPromiseRecord, Status};
use hawthornquay_traffic::{MAX_REPORTED_PROMISES, PromiseReport, ReportedPromise, ReturnKey};

fn report() -> PromiseReport {
    PromiseReport {
        open: vec![ReportedPromise {
            key: ReturnKey {
                hash: u64::MAX,
                service: 7,
                organisation: 8,
            },
            tokens: 11_992,
            urgency: 2,
            ends_in: Duration::from_millis(2_600),
        }],
        redeemed: vec![1, u64::MAX],
    }
}

/// Guards against promises that other instances cannot recognise or keep for another time.
#[test]
fn promise_report_is_unchanged_by_status_notice() {
    let status = with_promise_report(Status::default(), &report());
    assert_eq!(promise_report(&status), report());
}

/// Guards against notices that change although no request was refused.
#[test]
fn status_notice_without_promises_is_unchanged() {
    let status = with_promise_report(Status::default(), &PromiseReport::default());
    assert_eq!(status, Status::default());
}

/// Guards against a notice with more records than one may have, and against absurd values.
#[test]
fn promise_report_bounds_records_of_status_notice() {
    let record = ReturnPromiseRecord {
        key: 1,
        urgency: u32::MAX,
        tokens: u64::MAX,
        ends_in_ms: u64::MAX,
        ..ReturnPromiseRecord::default()
    };
    let status = Status {
        return_promises: vec![record; 10_000],
        redeemed_promises: vec![1; 10_000],
        ..Status::default()
    };
    let report = promise_report(&status);
    assert_eq!(report.open.len(), MAX_REPORTED_PROMISES);
    assert_eq!(report.redeemed.len(), MAX_REPORTED_PROMISES);
    assert_eq!(report.open[0].urgency, u8::MAX);
}
