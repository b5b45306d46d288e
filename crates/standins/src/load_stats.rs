//! Statistics of a load run.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    LoadOutcome, LoadPlan, LoadSecond, LoadSummary, OrganisationReport, Quantiles,
    count_prompt_tokens, latency_histograms::LatencyHistograms, load_request::LoadRequest,
    load_result::LoadResult,
};

const MAX_WRONG_EXAMPLES: usize = 10;

/// Collects the outcomes and latencies of requests during a load run.
#[derive(Debug)]
pub(crate) struct LoadStats {
    organisation_names: Vec<String>,
    summary: LoadSummary,
    latencies: LatencyHistograms,
    direct_latencies: LatencyHistograms,
    added_total_us: Vec<i64>,
    added_first_token_us: Vec<i64>,
}

impl LoadStats {
    pub(crate) fn new(plan: &LoadPlan) -> Self {
        let organisation_names = plan
            .organisations
            .iter()
            .map(|entry| entry.organisation.clone());
        Self {
            organisation_names: organisation_names.collect(),
            summary: LoadSummary {
                seed: plan.seed,
                ..LoadSummary::default()
            },
            latencies: LatencyHistograms::new(),
            direct_latencies: LatencyHistograms::new(),
            added_total_us: Vec::new(),
            added_first_token_us: Vec::new(),
        }
    }

    pub(crate) fn count_unsent(&mut self) {
        self.summary.over_concurrency += 1;
    }

    /// Records a result that arrived `elapsed` after the start of the run.
    pub(crate) fn record(&mut self, elapsed: Duration, request: &LoadRequest, result: &LoadResult) {
        self.record_outcome(&result.outcome);
        self.record_organisation(request, &result.outcome);
        self.record_second(elapsed, result);
        if result.outcome == LoadOutcome::Correct {
            self.latencies.record(result);
        }
    }

    /// Records the result `direct` of a request that was also sent to the backend server directly.
    pub(crate) fn record_direct(&mut self, result: &LoadResult, direct: &LoadResult) {
        if let LoadOutcome::Wrong(reason) = &direct.outcome {
            self.count_wrong(format!("direct: {reason}"));
        }
        if direct.outcome != LoadOutcome::Correct || result.outcome != LoadOutcome::Correct {
            return;
        }
        self.direct_latencies.record(direct);
        let added = |via_instance: Duration, direct: Duration| {
            via_instance.as_micros() as i64 - direct.as_micros() as i64
        };
        self.added_total_us.push(added(result.total, direct.total));
        if let (Some(via_instance), Some(direct)) = (result.first_token, direct.first_token) {
            self.added_first_token_us.push(added(via_instance, direct));
        }
    }

    pub(crate) fn summary(&self) -> LoadSummary {
        LoadSummary {
            times: self.latencies.report(),
            direct_times: self.direct_latencies.report(),
            added_total_ms: Quantiles::of_differences(&self.added_total_us),
            added_first_token_ms: Quantiles::of_differences(&self.added_first_token_us),
            ..self.summary.clone()
        }
    }

    fn record_outcome(&mut self, outcome: &LoadOutcome) {
        let summary = &mut self.summary;
        summary.sent += 1;
        match outcome {
            LoadOutcome::ConnectionFailed => summary.broken += 1,
            LoadOutcome::Refused(code) => {
                *summary.refusals.entry(code.clone()).or_default() += 1;
            }
            LoadOutcome::Correct => summary.right += 1,
            LoadOutcome::TimedOut => summary.timed_out += 1,
            LoadOutcome::Unreachable => summary.unreachable += 1,
            LoadOutcome::Wrong(reason) => self.count_wrong(reason.clone()),
        }
    }

    fn count_wrong(&mut self, reason: String) {
        self.summary.wrong += 1;
        if self.summary.wrong_examples.len() < MAX_WRONG_EXAMPLES {
            self.summary.wrong_examples.push(reason);
        }
    }

    fn record_organisation(&mut self, request: &LoadRequest, outcome: &LoadOutcome) {
        let Some(index) = request.organisation else {
            return;
        };
        let organisations: &mut BTreeMap<String, OrganisationReport> =
            &mut self.summary.organisations;
        let report = organisations
            .entry(self.organisation_names[index].clone())
            .or_default();
        report.sent += 1;
        match outcome {
            LoadOutcome::Correct => {
                report.right += 1;
                report.tokens +=
                    count_prompt_tokens(&request.chat.prompt()) + request.chat.max_tokens;
            }
            LoadOutcome::Refused(_) => report.refused += 1,
            _ => {}
        }
    }

    fn record_second(&mut self, elapsed: Duration, result: &LoadResult) {
        let index = elapsed.as_secs() as usize;
        let seconds = &mut self.summary.seconds;
        if seconds.len() <= index {
            seconds.resize_with(index + 1, LoadSecond::default);
        }
        match result.outcome {
            LoadOutcome::Correct => {
                seconds[index].right += 1;
                seconds[index]
                    .total_us
                    .push(result.total.as_micros() as u64);
            }
            LoadOutcome::Refused(_) => seconds[index].refused += 1,
            _ => seconds[index].other += 1,
        }
    }
}
