//! Capacity promised to refused requests for their return.

use std::time::Duration;

use hawthornquay_decisions::{Map, MonotonicTime, ServiceName};
use hawthornquay_instances::Status;
use hawthornquay_traffic::{
    Configuration, PREFILL_TOKENS_PER_MS, PromiseScope, RegionReport, ReturnKey,
};

use crate::{AdmittedRequest, Gateway, promise_report, with_promise_report};

/// Longest delay to which callers adhere, as a share of the time left until the deadline.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

impl<C, H> Gateway<C, H> {
    /// Removes the promises that have ended, and adapts the bounds to the current capacity of the
    /// region, which has `instances` instances.
    pub(crate) fn update_return_promises(&self, time: MonotonicTime, instances: usize) {
        let region = &self.settings.region;
        let rates: Map<ServiceName, f64> = {
            let board = self.region_board.lock();
            let own = board.reports().find(|(name, ..)| *name == region);
            own.map(|(.., report)| prefill_rates(report))
                .unwrap_or_default()
        };
        let expired = {
            let mut promises = self.return_promises.lock();
            let rates = rates.iter().map(|(service, rate)| (service, *rate));
            promises.set_capacity(rates, instances);
            promises.expire(time)
        };
        self.metrics.count_promises("expired", expired);
    }

    /// Returns `status` with the promises to send to other instances of the region.
    pub(crate) fn add_return_promises(
        &self,
        status: Status,
        time: MonotonicTime,
        scope: PromiseScope,
    ) -> Status {
        let report = self.return_promises.lock().to_report(time, scope);
        with_promise_report(status, &report)
    }

    /// Adds the promises of another instance of the region.
    pub(crate) fn apply_return_promises(&self, time: MonotonicTime, status: &Status) {
        let is_empty = status.return_promises.is_empty() && status.redeemed_promises.is_empty();
        if !is_empty && status.region == self.settings.region.as_str() {
            let report = promise_report(status);
            self.return_promises.lock().apply(time, &report);
        }
    }

    /// Redeems the promise to a request that has just arrived from its caller; returns whether there
    /// is one that is due.
    pub(crate) fn redeem_promise(&self, time: MonotonicTime, key: Option<ReturnKey>) -> bool {
        key.is_some_and(|key| self.return_promises.lock().redeem(time, key))
    }

    /// Records that a request is sent to a backend server without a promise.
    pub(crate) fn record_admitted(&self, request: &AdmittedRequest) {
        if !request.has_returned && has_engines(&request.configuration, &request.service) {
            let (urgency, tokens) = (request.priority, request.work.prompt_tokens);
            let mut promises = self.return_promises.lock();
            promises.record_admitted(&request.service, urgency, tokens);
        }
    }

    /// Returns whether a request may be admitted although its latency target has passed.
    pub(crate) fn may_exceed_target(&self, time: MonotonicTime, request: &AdmittedRequest) -> bool {
        request.has_returned && {
            let promises = self.return_promises.lock();
            promises.may_exceed_target(time, &request.service, request.priority)
        }
    }

    /// Returns the time that the engines of the region take to prefill the prompts for which a
    /// request has to leave room.
    pub(crate) fn reserved_latency(
        &self,
        time: MonotonicTime,
        request: &AdmittedRequest,
    ) -> Duration {
        let mut promises = self.return_promises.lock();
        promises.reserved_latency(
            time,
            &request.service,
            request.priority,
            request.has_returned,
        )
    }

    /// Promises capacity to a request that is refused for lack of engine capacity, for its return
    /// `after` this time or later. Returns the delay after which it is to return.
    ///
    /// Without a promise, this is `after`. A forwarded request gets none, because its caller returns
    /// to the region from which it was forwarded, and neither does one that has returned before.
    pub(crate) fn promise_return(
        &self,
        time: MonotonicTime,
        request: &AdmittedRequest,
        after: Duration,
    ) -> Duration {
        if !has_engines(&request.configuration, &request.service) {
            return after;
        }
        let (tokens, urgency) = (request.work.prompt_tokens, request.priority);
        self.return_promises
            .lock()
            .record_refused(time, &request.service, urgency);
        if request.forwarded || request.has_returned {
            return after;
        }
        let organisation = request.organisation.as_ref();
        let Some(key) = ReturnKey::new(organisation, &request.service, &request.work) else {
            return after;
        };
        let latest = time + request.time_left(time).mul_f64(MAX_DELAY_SHARE);
        let due = time + after;
        let promised = self
            .return_promises
            .lock()
            .promise(time, key, tokens, urgency, due, latest);
        let event = if promised.is_some() {
            "made"
        } else {
            "refused"
        };
        self.metrics.count_promises(event, 1);
        promised.map_or(after, |due| due.since(time))
    }
}

fn prefill_rates(report: &RegionReport) -> Map<ServiceName, f64> {
    let services = report.services.iter();
    services
        .map(|(service, load)| {
            let rate = f64::from(load.servers) * PREFILL_TOKENS_PER_MS;
            (service.clone(), rate)
        })
        .collect()
}

fn has_engines(configuration: &Configuration, service: &ServiceName) -> bool {
    configuration
        .service(service)
        .is_some_and(|config| config.engine.is_some())
}
