//! Service whose responses are controlled by the tests.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use hawthornquay_decisions::{Execution, InstanceId};
use hawthornquay_instances::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Forward, ForwardData, ForwardEnd,
    ForwardHead, ForwardRefused, ForwardSink, LinkError, LoanGrant, LoanRequest, Notice,
    PeerService,
};
use tokio::sync::{Mutex, Notify, Semaphore};

/// Size of a `/flood` response; it exceeds the flow-control window several times.
pub const FLOOD_BYTES: usize = 4 << 20;

pub struct TestService {
    pub notices: Mutex<Vec<(InstanceId, Notice)>>,
    pub noticed: Notify,
    /// One permit for each call that has reached the service.
    pub arrived: Semaphore,
    /// Each permit releases one held call.
    pub release: Semaphore,
    /// One permit for each forwarded request whose cancellation was detected.
    pub cancelled: Semaphore,
    pub flood_sent: AtomicUsize,
    /// Errors of incoming links whose handshake failed.
    pub refused: std::sync::Mutex<Vec<String>>,
}

impl Default for TestService {
    fn default() -> Self {
        Self {
            notices: Mutex::default(),
            noticed: Notify::new(),
            arrived: Semaphore::new(0),
            release: Semaphore::new(0),
            cancelled: Semaphore::new(0),
            flood_sent: AtomicUsize::new(0),
            refused: std::sync::Mutex::default(),
        }
    }
}

impl TestService {
    pub async fn wait_for_arrival(&self) {
        self.arrived.acquire().await.unwrap().forget();
    }

    async fn hold(&self) {
        self.arrived.add_permits(1);
        self.release.acquire().await.unwrap().forget();
    }

    async fn flood(&self, sink: &mut ForwardSink) {
        let chunk = Bytes::from(vec![7; 16 << 10]);
        while self.flood_sent.load(Ordering::SeqCst) < FLOOD_BYTES {
            if sink.data(chunk.clone()).await.is_err() {
                return;
            }
            self.flood_sent.fetch_add(chunk.len(), Ordering::SeqCst);
        }
    }
}

impl PeerService for TestService {
    fn handle_refused_link(&self, error: &LinkError) {
        self.refused.lock().unwrap().push(error.to_string());
    }

    async fn handle_notice(&self, from: &InstanceId, notice: Notice) {
        self.notices.lock().await.push((from.clone(), notice));
        self.noticed.notify_one();
    }

    async fn fetch_bundle(&self, _: &InstanceId, request: BundleFetch) -> BundleContent {
        BundleContent {
            version: request.version,
            content: vec![0; request.part as usize].into(),
            ..BundleContent::default()
        }
    }

    async fn lend(&self, _: &InstanceId, request: LoanRequest) -> LoanGrant {
        if request.organisation == "held" {
            self.hold().await;
        }
        LoanGrant {
            rate: request.rate,
            ..LoanGrant::default()
        }
    }

    async fn grant_capacity(&self, _: &InstanceId, request: CapacityRequest) -> CapacityGrant {
        CapacityGrant {
            requests: request.requests,
            ..CapacityGrant::default()
        }
    }

    async fn forward(&self, _: &InstanceId, request: Forward, mut sink: ForwardSink) {
        match request.path.as_str() {
            "/refuse" => {
                let refused = ForwardRefused::new("no", "refused", Execution::NotRun);
                sink.refuse(refused).await.unwrap();
            }
            "/abandon" => self.arrived.add_permits(1),
            "/until-cancelled" => {
                self.arrived.add_permits(1);
                sink.cancelled().cancelled().await;
                self.cancelled.add_permits(1);
            }
            route => {
                if route == "/held" {
                    self.hold().await;
                }
                let head = ForwardHead {
                    status: 200,
                    ..ForwardHead::default()
                };
                if sink.head(head).await.is_err() {
                    return;
                }
                if route == "/flood" {
                    self.flood(&mut sink).await;
                } else {
                    sink.data(request.body).await.unwrap();
                }
                let _ = sink.end(ForwardEnd::default()).await;
            }
        }
    }
}

pub fn forward(route: &str, body: &'static [u8]) -> Forward {
    Forward {
        path: route.to_owned(),
        hop_count: 1,
        body: Bytes::from_static(body),
        ..Forward::default()
    }
}

pub fn data_chunk(len: usize) -> ForwardData {
    ForwardData {
        data: vec![1; len].into(),
    }
}
