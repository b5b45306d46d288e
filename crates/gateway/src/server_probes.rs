//! Evidence on whether a silent backend server still works on a request.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_backends::ProbeAnswer;
use hawthornquay_decisions::{BackendName, Map, MonotonicTime, RequestId, ServiceName};
use hawthornquay_traffic::ServerPick;
use parking_lot::Mutex;
use tokio::{sync::OnceCell, time::timeout};

use crate::{Gateway, HeaderMapping, gateway::now};

/// Time in which a server that can be reached answers a probe: it needs no slot for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a request waits for the head of the answer with a server's pace, once it is
/// connected. The server needs no slot for the answer.
const PACE_TIMEOUT: Duration = Duration::from_millis(30);

/// Time after its start in which the answer to a probe is used for all requests at the server.
const PROBE_VALIDITY: Duration = Duration::from_millis(800);

/// What a report of a backend server says about the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The server runs the request.
    Running,
    /// The server neither runs the request nor has it in a queue.
    Ended,
    /// The report does not say it.
    Unknown,
}

/// Evidence about the run of a request whose backend server is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEvidence {
    /// The server says that it runs the request.
    Running,
    /// The server answers without naming the request, or cannot be asked.
    Unknown,
    /// The server says that it no longer has the request.
    Ended,
    /// The server answers neither the request nor a new connection.
    Dark,
}

impl RunEvidence {
    /// Returns the word that stands in the log for an attempt that is replaced.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Unknown => "silent",
            Self::Ended => "run-ended",
            Self::Dark => "dark",
        }
    }
}

/// Probe of one backend server, shared by the requests that wait for its answer.
#[derive(Debug)]
struct Probe {
    started: MonotonicTime,
    answer: OnceCell<ProbeAnswer>,
}

/// Recent probes of silent backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerProbes(Mutex<Map<BackendName, Arc<Probe>>>);

impl ServerProbes {
    /// Returns the recent probe of a server, or a new one.
    fn get(&self, server: &BackendName) -> Arc<Probe> {
        let time = now();
        let mut probes = self.0.lock();
        probes.retain(|_, probe| time.since(probe.started) < PROBE_VALIDITY);
        let new = || {
            Arc::new(Probe {
                started: time,
                answer: OnceCell::new(),
            })
        };
        probes.entry(server.clone()).or_insert_with(new).clone()
    }
}

impl<C, H: HeaderMapping> Gateway<C, H> {
    /// Asks a backend server for its pace, and records it; `None` if it does not state it in time.
    pub(crate) async fn ask_pace(&self, pick: &ServerPick, service: &ServiceName) -> Option<f64> {
        let configuration = self.operators.lock().configuration().cloned()?;
        let path = configuration.service(service)?.health_path.as_deref()?;
        self.metrics.count_pace_question();
        let asked = self.backends.read_head(pick.address, path, PACE_TIMEOUT);
        // The connection is opened within the same time.
        let head = timeout(PACE_TIMEOUT, asked).await.ok()?.ok()?;
        let health = self.header_mapping.read_health(&head);
        self.record_health_pause(&pick.id, &health);
        // Another process may have the address by now.
        if health.server.as_deref() != Some(pick.id.as_str()) {
            return None;
        }
        let percent = health.load?.pace?;
        self.servers.lock().record_pace(now(), &pick.id, percent);
        Some(f64::from(percent) / 100.0)
    }

    /// Asks a silent backend server whether it still runs a request.
    pub(crate) async fn run_evidence(&self, pick: &ServerPick, request: &RequestId) -> RunEvidence {
        if self.servers.lock().is_paused(now(), &pick.id) {
            return RunEvidence::Unknown;
        }
        let probe = self.probes.get(&pick.id);
        let path = self.header_mapping.report_path();
        let ask = || self.backends.probe(pick.address, path, PROBE_TIMEOUT);
        match probe.answer.get_or_init(ask).await {
            ProbeAnswer::Refused | ProbeAnswer::Nothing => RunEvidence::Dark,
            ProbeAnswer::Other => RunEvidence::Unknown,
            ProbeAnswer::Body(body) => self.read_run_evidence(body, request),
        }
    }

    fn read_run_evidence(&self, body: &Bytes, request: &RequestId) -> RunEvidence {
        match self.header_mapping.read_run_state(body, request) {
            RunState::Running => RunEvidence::Running,
            RunState::Ended => RunEvidence::Ended,
            RunState::Unknown => RunEvidence::Unknown,
        }
    }
}
