//! Decisions, queues, load reports and grants of the simulated instances.

use super::*;

impl Model {
    pub(crate) fn handle_at_instance(&mut self, call: usize, instance: usize) {
        if self.strategy != Strategy::Gateway {
            return self.send_to_baseline_engine(call, instance);
        }
        let organisation = self.organisation(call);
        let queue = &self.instances[instance].queue;
        let served_per_s = self.instances[instance].served_per_s;
        let wait = queue.expected_wait(&organisation, self.calls[call].priority, served_per_s);
        if let Some(decision) = self.decide(call, instance, wait) {
            return self.apply_decision(call, instance, decision);
        }
        let entry = QueueEntry {
            organisation,
            priority: self.calls[call].priority,
            cost: self.calls[call].prompt_tokens + self.calls[call].output_tokens,
            waiting_since: monotonic_time(self.now),
            item: call,
        };
        if self.instances[instance].queue.push(entry, 1.0).is_err() {
            self.refuse();
        }
    }

    pub(crate) fn organisation(&self, call: usize) -> hawthornquay_decisions::OrganisationId {
        format!("o{}", self.calls[call].organisation)
            .as_str()
            .into()
    }

    /// Returns the decision for a call, or `None` if the call has to wait.
    pub(crate) fn decide(
        &mut self,
        call: usize,
        instance: usize,
        wait: Duration,
    ) -> Option<RoutingDecision> {
        let random = self.rng.random();
        let Instance {
            location,
            view,
            prefixes: map,
            grants,
            ..
        } = &self.instances[instance];
        let call = &self.calls[call];
        let state = RoutingSnapshot {
            bundle: &self.bundle,
            view,
            prefixes: map,
            grants,
            location,
            queue_wait: wait,
            now: monotonic_time(self.now),
        };
        let residency = if call.is_home_only {
            Residency::Regions([location.region.clone()].into_iter().collect())
        } else {
            Residency::Any
        };
        let req = RoutingRequest {
            target: &target(),
            residency: &residency,
            priority: call.priority,
            prompt_tokens: call.prompt_tokens,
            prefixes: &call.document.map(prefixes).unwrap_or_default(),
            hop: call.hop,
            tried: &[],
            deadline_left: None,
        };
        match decide_route(&state, &req, random) {
            RoutingDecision::Wait => None,
            decision => Some(decision),
        }
    }

    pub(crate) fn apply_decision(
        &mut self,
        call: usize,
        instance: usize,
        decision: RoutingDecision,
    ) {
        let now = monotonic_time(self.now);
        let tokens = self.calls[call].prompt_tokens;
        let node = &mut self.instances[instance];
        match decision {
            RoutingDecision::Call(name) => {
                let cached = self.calls[call].document.map_or(0, |document| {
                    node.prefixes.cached_tokens(&name, &prefixes(document))
                });
                self.calls[call].engine = index_from_name(name.as_str());
                let key = LoadKey::Backend(name);
                let ticket = node
                    .view
                    .record_sent(key, tokens.saturating_sub(cached), now);
                self.calls[call].tickets.push((instance, ticket));
                self.schedule(LOCAL_LATENCY_S, Event::ReachedEngine { call });
            }
            RoutingDecision::Forward(domain) => {
                let key = LoadKey::Domain(domain.clone(), target());
                let ticket = node.view.record_sent(key, tokens, now);
                self.calls[call].tickets.push((instance, ticket));
                self.calls[call].hop = RoutingHop::Forwarded(1);
                let index = index_from_name(domain.as_str());
                let mut latency = OTHER_DOMAIN_LATENCY_S;
                if index / DOMAINS_PER_REGION == instance / INSTANCES_PER_REGION {
                    self.totals.other_domain_calls += 1;
                } else {
                    latency = OTHER_REGION_LATENCY_S;
                    assert!(node.grants.try_consume(&domain, &target(), now));
                    let id = InstanceId::new(&format!("i{instance}"), 1);
                    self.grantors[index].record_arrival(&id, &target(), now);
                }
                let receivers = instances_of(index);
                let instance = receivers[self.rng.random_range(0..receivers.len())];
                self.schedule(latency, Event::ReachedInstance { call, instance });
            }
            RoutingDecision::Wait | RoutingDecision::Refuse(_) => self.refuse(),
        }
    }

    pub(crate) fn send_to_baseline_engine(&mut self, call: usize, instance: usize) {
        let home = self.calls[call].home;
        let home_region_only = self.calls[call].is_home_only
            || matches!(self.strategy, Strategy::RandomHome | Strategy::LeastHome);
        let engines: Vec<usize> = (0..self.engines.len())
            .filter(|engine| !home_region_only || engine / self.engines_per_region == home)
            .collect();
        let node = &mut self.instances[instance];
        let random = matches!(self.strategy, Strategy::RandomFleet | Strategy::RandomHome);
        let least = engines.iter().map(|engine| node.outstanding[*engine]).min();
        let choices: Vec<usize> = engines
            .into_iter()
            .filter(|engine| random || Some(node.outstanding[*engine]) == least)
            .collect();
        let engine = choices[self.rng.random_range(0..choices.len())];
        node.outstanding[engine] += 1;
        let ticket =
            node.view
                .record_sent(LoadKey::Backend("e".into()), 0, monotonic_time(self.now));
        self.calls[call].tickets.push((instance, ticket));
        self.calls[call].engine = engine;
        let is_other_region = engine / self.engines_per_region != home;
        self.schedule(
            if is_other_region {
                OTHER_REGION_LATENCY_S
            } else {
                LOCAL_LATENCY_S
            },
            Event::ReachedEngine { call },
        );
    }

    pub(crate) fn refuse(&mut self) {
        self.totals.refused += 1;
    }

    /// Refuses expired calls in an instance's queue and serves the others until one has to wait.
    pub(crate) fn serve_queue(&mut self, instance: usize) {
        let now = monotonic_time(self.now);
        for _ in self.instances[instance].queue.expire(now) {
            self.refuse();
        }
        loop {
            let empty = FairQueue::new(MAX_QUEUE_WAIT);
            let mut queue = std::mem::replace(&mut self.instances[instance].queue, empty);
            let mut decision = None;
            let popped = queue.pop(now, |entry| {
                decision = self.decide(entry.item, instance, Duration::ZERO);
                decision.is_some()
            });
            self.instances[instance].queue = queue;
            let (Some(entry), Some(decision)) = (popped, decision) else {
                return;
            };
            self.instances[instance].served_per_s += 1.0;
            self.apply_decision(entry.item, instance, decision);
        }
    }

    pub(crate) fn serve_queues(&mut self) {
        for instance in 0..self.instances.len() {
            self.instances[instance].served_per_s *= 1.0 - QUEUE_INTERVAL_S;
            self.serve_queue(instance);
        }
        self.schedule(QUEUE_INTERVAL_S, Event::ServeQueues);
    }

    /// Samples the load of every engine and delivers the samples taken [`REPORT_LAG_S`] ago.
    pub(crate) fn send_reports(&mut self) {
        let now = monotonic_time(self.now);
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let report = LoadReport {
                name: String::new(),
                running: engine.running as u32,
                waiting: engine.waiting.len() as u32,
                slots: SLOTS_PER_ENGINE as u32,
                servers: 1,
                kv_used: 0,
                kv_capacity: 0,
                prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
                decode_ms: DECODE_S * 1e3,
                leaving: false,
                sequence: now.0 + 1,
            };
            let rng = &mut self.rng;
            let mut events = std::mem::take(&mut engine.events);
            events.retain(|_| !rng.random_bool(EVENT_LOSS_PROBABILITY));
            let events = PrefixEvents {
                events,
                next: engine.sequence,
            };
            engine.samples.push_back((report, events));
            if engine.samples.len() as f64 * REPORT_INTERVAL_S <= REPORT_LAG_S {
                continue;
            }
            let Some((report, events)) = engine.samples.pop_front() else {
                continue;
            };
            let name = format!("e{index}").as_str().into();
            for instance in instances_of(domain_of(index, self.engines_per_region)) {
                let node = &mut self.instances[instance];
                let age = Duration::from_secs_f64(REPORT_LAG_S + LOCAL_LATENCY_S);
                let key = LoadKey::Backend(std::clone::Clone::clone(&name));
                node.view.record_report(key, report.clone(), age, now);
                node.prefixes.apply(&name, &events);
            }
        }
        self.send_domain_summaries(now);
        self.schedule(REPORT_INTERVAL_S, Event::SendReports);
    }

    pub(crate) fn send_domain_summaries(&mut self, now: MonotonicTime) {
        for index in 0..DOMAINS {
            let Some(summary) = self.summary(index, now) else {
                continue;
            };
            for (instance, node) in self.instances.iter_mut().enumerate() {
                if domain_of(instance, INSTANCES_PER_REGION) != index {
                    let age = Duration::from_secs_f64(REPORT_LAG_S + OTHER_REGION_LATENCY_S);
                    let key = LoadKey::Domain(domain(index), target());
                    node.view.record_report(key, summary.clone(), age, now);
                }
            }
        }
    }

    /// Returns the load summary of a domain, as computed by its first instance.
    fn summary(&self, index: usize, now: MonotonicTime) -> Option<LoadReport> {
        let view = &self.instances[instances_of(index)[0]].view;
        view.domain_summary(&self.bundle, &domain(index), &target(), now)
    }

    /// Requests grants from other regions for the instances of each domain in which the number of
    /// running and waiting requests is at least 3/4 of the slots.
    pub(crate) fn request_grants(&mut self) {
        let now = monotonic_time(self.now);
        for instance in 0..self.instances.len() {
            let home = domain_of(instance, INSTANCES_PER_REGION);
            let summary = self.summary(home, now);
            if summary.is_none_or(|sum| (sum.running + sum.waiting) * 4 < sum.slots * 3) {
                continue;
            }
            for index in 0..DOMAINS {
                if index / DOMAINS_PER_REGION != home / DOMAINS_PER_REGION {
                    self.request_grant(instance, index, now);
                }
            }
        }
        self.schedule(GRANT_INTERVAL_S, Event::RequestGrants);
    }

    fn request_grant(&mut self, instance: usize, index: usize, now: MonotonicTime) {
        let Some(summary) = self.summary(index, now) else {
            return;
        };
        let id = InstanceId::new(&format!("i{instance}"), 1);
        let (name, target) = (domain(index), target());
        let held = self.instances[instance]
            .grants
            .available(&name, &target, now);
        let wanted = WANTED_GRANTS.saturating_sub(held);
        let grant = self.grantors[index].grant(&id, &name, &target, wanted, &summary, now);
        let requested_at = self.now;
        let event = Event::Granted {
            instance,
            grant,
            requested_at,
        };
        self.schedule(2.0 * OTHER_REGION_LATENCY_S, event);
    }
}
