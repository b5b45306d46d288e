//! Charges to the memory budget, and bodies whose buffers are charged.
#![allow(missing_docs)]

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use hawthornquay_http::{Body, ConnectionBudget, MemoryBudget, ReadError, read_charged_body};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a chunked body of `count` parts of `len` bytes, which records the largest use of `memory`.
fn chunked(count: usize, len: usize, memory: &MemoryBudget, peak: &Arc<AtomicUsize>) -> Body {
    let (memory, peak) = (memory.clone(), Arc::clone(peak));
    let parts = stream::iter((0..count).map(move |_| {
        peak.fetch_max(memory.used(), Ordering::Relaxed);
        Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'b'; len])))
    }));
    Body::new(http_body_util::BodyExt::map_err(
        StreamBody::new(parts),
        |never| match never {},
    ))
}

/// Guards against a charge that is lost or released twice.
#[test]
fn charge_resized_and_dropped_balances() {
    let memory = MemoryBudget::new(1_000);
    let mut charge = memory.try_charge(400).unwrap();
    assert!(charge.try_resize(900));
    assert!(!charge.try_resize(1_001));
    assert_eq!((charge.bytes(), memory.used()), (900, 900));
    assert_eq!(memory.excess(), 150);
    charge.resize(1_500);
    assert!(memory.try_charge(0).is_none());
    charge.resize(100);
    let held = charge.hold_with(vec![1, 2, 3]);
    let part = held.slice(1..);
    drop(held);
    assert_eq!((part.as_ref(), memory.used()), (&[2, 3][..], 100));
    drop(part);
    assert_eq!(memory.used(), 0);
}

/// Guards against large bodies that leave nothing for small requests.
#[test]
fn large_charge_leaves_an_eighth() {
    let memory = MemoryBudget::new(8 << 20);
    assert!(memory.try_charge((7 << 20) + 1).is_none());
    let large = memory.try_charge(7 << 20);
    assert!(large.is_some());
    assert!(memory.try_charge(64 << 10).is_some());
    assert!(memory.try_charge((64 << 10) + 1).is_none());
}

/// Guards against a buffer that holds more than its charge, and against a body that stays charged
/// after it was refused.
#[tokio::test]
async fn chunked_body_charged_as_it_grows() {
    let memory = MemoryBudget::new(64 << 20);
    let peak = Arc::default();
    let body = chunked(33, 64 << 10, &memory, &peak);
    let read = read_charged_body(body, 4 << 20, TIMEOUT, &memory).await;
    let read = read.unwrap();
    assert_eq!(read.len(), 33 * (64 << 10));
    assert_eq!(memory.used(), read.len());
    let peak = peak.load(Ordering::Relaxed);
    assert!((32 * (64 << 10)..=4 << 20).contains(&peak), "{peak}");
    drop(read);
    assert_eq!(memory.used(), 0);
}

/// Guards against a body that is held although the budget does not allow it.
#[tokio::test]
async fn body_beyond_budget_refused_and_released() {
    let memory = MemoryBudget::new(1 << 20);
    let body = chunked(64, 64 << 10, &memory, &Arc::default());
    let read = read_charged_body(body, 8 << 20, TIMEOUT, &memory).await;
    assert!(matches!(read, Err(ReadError::MemoryExhausted)), "{read:?}");
    assert_eq!(memory.used(), 0);
}

/// Returns a body that declares its length.
fn declared(len: usize) -> Body {
    let body = Full::new(Bytes::from(vec![b'b'; len]));
    Body::new(http_body_util::BodyExt::map_err(
        body,
        |never| match never {},
    ))
}

/// Guards against clients that declare large bodies, send little and use up the budget, and against
/// bodies that are copied while there is enough memory.
#[tokio::test]
async fn declared_body_reserved_at_once_only_in_calm_conditions() {
    let memory = MemoryBudget::new(16 << 20);
    let read = read_charged_body(declared(4 << 20), 4 << 20, TIMEOUT, &memory).await;
    assert_eq!(read.unwrap().len(), 4 << 20);
    assert!(memory.try_charge_calmly(12 << 20).is_some());
    assert!(memory.try_charge_calmly((12 << 20) + 1).is_none());
    let used = memory.charge(12 << 20);
    // A body of 300,000 bytes gets one buffer, which follows the first bytes.
    let read = read_charged_body(declared(300_000), 4 << 20, TIMEOUT, &memory).await;
    assert_eq!(memory.used(), (12 << 20) + 300_000);
    drop((read, used));
    assert_eq!(memory.used(), 0);
}

/// Guards against legal bodies that are refused because their buffers are charged twice while they
/// grow: twelve of 4 MiB fit into the budget of a machine with 160 MB.
#[tokio::test]
async fn twelve_declared_bodies_fit_into_machine_of_160_mb() {
    let memory = MemoryBudget::for_machine(160);
    let mut read = Vec::new();
    for _ in 0..12 {
        let body = declared(4 << 20);
        read.push(
            read_charged_body(body, 4 << 20, TIMEOUT, &memory)
                .await
                .unwrap(),
        );
    }
    assert_eq!(memory.used(), 48 << 20);
}

/// Guards against a division that hands out more descriptors than there are, or leaves none for the
/// store, other instances and backend servers.
#[test]
fn connection_budget_any_descriptors_leaves_some() {
    for descriptors in [0, 64, 256, 1_024, 3_075, 4_100, 8_192, 10_250, 1 << 20] {
        let budget = ConnectionBudget::from_descriptors(descriptors);
        let clients = budget.callers() + 3 * budget.status();
        assert!(budget.callers() > 0 && budget.status() > 0);
        if descriptors >= 64 {
            assert!(
                clients <= descriptors * 2 / 3,
                "{clients} of {descriptors}: {budget:?}"
            );
        }
    }
}
