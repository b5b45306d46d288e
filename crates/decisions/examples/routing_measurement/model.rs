//! Arrivals and engines of the simulation.

use super::*;

impl Model {
    pub(crate) fn new(strategy: Strategy, shape: Shape, bundle: Bundle, seed: u64) -> Self {
        let engines = bundle.backends.len();
        let instance = |index: usize| Instance {
            location: RoutingLocation {
                region: format!("r{}", index / INSTANCES_PER_REGION).as_str().into(),
                domain: domain(domain_of(index, INSTANCES_PER_REGION)),
            },
            view: view(domain_of(index, INSTANCES_PER_REGION)),
            prefixes: PrefixMap::default(),
            grants: RoutingGrants::default(),
            queue: FairQueue::new(MAX_QUEUE_WAIT),
            outstanding: vec![0; engines],
            served_per_s: 1.0,
        };
        Self {
            strategy,
            shape,
            engines_per_region: engines / REGIONS,
            bundle,
            engines: (0..engines).map(|_| Engine::default()).collect(),
            instances: (0..REGIONS * INSTANCES_PER_REGION).map(instance).collect(),
            grantors: vec![RoutingGrantor::default(); DOMAINS],
            calls: Vec::new(),
            events: BTreeMap::new(),
            event_number: 0,
            now: 0.0,
            rng: StdRng::seed_from_u64(seed),
            totals: Totals::default(),
        }
    }

    pub(crate) fn run(mut self) -> Totals {
        for region in 0..REGIONS {
            self.schedule(0.0, Event::Arrive { region });
        }
        self.schedule(0.0, Event::SendReports);
        self.schedule(0.1, Event::RequestGrants);
        self.schedule(0.2, Event::ServeQueues);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at as f64 / 1e6;
            if self.now > DURATION_S + 60.0 {
                break;
            }
            self.handle(event);
        }
        self.totals
    }

    pub(crate) fn schedule(&mut self, delay: f64, event: Event) {
        self.event_number += 1;
        let at = ((self.now + delay) * 1e6) as u64;
        self.events.insert((at, self.event_number), event);
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { region } => self.arrive(region),
            Event::ReachedInstance { call, instance } => self.handle_at_instance(call, instance),
            Event::ReachedEngine { call } => self.handle_at_engine(call),
            Event::EngineFinished { call } => self.finish_on_engine(call),
            Event::CallEnded { call } => self.end_call(call),
            Event::SendReports => self.send_reports(),
            Event::ServeQueues => self.serve_queues(),
            Event::RequestGrants => self.request_grants(),
            Event::Granted {
                instance,
                grant,
                requested_at,
            } => {
                self.instances[instance]
                    .grants
                    .add(grant, monotonic_time(requested_at));
            }
        }
    }

    pub(crate) fn arrive(&mut self, region: usize) {
        if self.now > DURATION_S {
            return;
        }
        let rate = self.shape.load(region, self.now)
            * ENGINE_REQUESTS_PER_S
            * self.engines_per_region as f64;
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        self.schedule(gap, Event::Arrive { region });
        let mut draw = self.rng.random::<f64>();
        let organisation = ORGANISATION_SHARES
            .iter()
            .position(|share| {
                draw -= share;
                draw < 0.0
            })
            .unwrap_or(0);
        let document = self.rng.random_bool(0.4).then(|| {
            let number = self.rng.random_range(0..DOCUMENTS_PER_ORGANISATION);
            organisation as u64 * DOCUMENTS_PER_ORGANISATION + number
        });
        let document_tokens = document.map_or(0, |_| DOCUMENT_BLOCKS * PrefixHash::BLOCK_TOKENS);
        let batch = self.rng.random_bool(BATCH_SHARE);
        self.calls.push(Call {
            organisation,
            home: region,
            is_home_only: HOME_ONLY_ORGANISATIONS.contains(&organisation),
            priority: if batch {
                Priority::Batch
            } else {
                Priority::Interactive
            },
            document,
            prompt_tokens: document_tokens + self.rng.random_range(50..500),
            output_tokens: self.rng.random_range(20..200),
            started_at: self.now,
            hop: RoutingHop::Caller,
            engine: 0,
            tickets: Vec::new(),
        });
        let call = self.calls.len() - 1;
        let instance = self.random_instance(region);
        self.schedule(LOCAL_LATENCY_S, Event::ReachedInstance { call, instance });
    }

    pub(crate) fn random_instance(&mut self, region: usize) -> usize {
        region * INSTANCES_PER_REGION + self.rng.random_range(0..INSTANCES_PER_REGION)
    }

    pub(crate) fn handle_at_engine(&mut self, call: usize) {
        let engine = self.calls[call].engine;
        if self.engines[engine].running < SLOTS_PER_ENGINE {
            return self.start(call);
        }
        // Engines serve by priority under every strategy.
        let waiting = &self.engines[engine].waiting;
        let calls = &self.calls;
        let position = waiting
            .iter()
            .position(|other| calls[*other].priority > calls[call].priority)
            .unwrap_or(waiting.len());
        self.engines[engine].waiting.insert(position, call);
    }

    pub(crate) fn start(&mut self, index: usize) {
        let call = &self.calls[index];
        let engine = &mut self.engines[call.engine];
        engine.running += 1;
        let cached = call
            .document
            .is_some_and(|document| engine.use_document(document));
        let document_tokens = DOCUMENT_BLOCKS * PrefixHash::BLOCK_TOKENS;
        let tokens = call.prompt_tokens - if cached { document_tokens } else { 0 };
        let first = engine.prefill_free_at.max(self.now) + tokens as f64 / PREFILL_TOKENS_PER_S;
        engine.prefill_free_at = first;
        let slowdown = 1.0 + 0.5 * engine.running as f64 / SLOTS_PER_ENGINE as f64;
        let end = first + call.output_tokens as f64 * DECODE_S * slowdown;
        let is_other_region = call.engine / self.engines_per_region != call.home;
        let latency = if is_other_region {
            OTHER_REGION_LATENCY_S
        } else {
            LOCAL_LATENCY_S
        };
        let first_token_s = first + latency + LOCAL_LATENCY_S - call.started_at;
        if is_other_region {
            self.totals.other_region_calls += 1;
            self.totals.link_bytes += call.prompt_tokens * BYTES_PER_PROMPT_TOKEN
                + call.output_tokens * BYTES_PER_OUTPUT_TOKEN;
        }
        self.totals.by_organisation[call.organisation].push(first_token_s);
        if call.priority == Priority::Interactive {
            self.totals.interactive.push(first_token_s);
        }
        self.schedule(end - self.now, Event::EngineFinished { call: index });
        self.schedule(end + latency - self.now, Event::CallEnded { call: index });
    }

    pub(crate) fn finish_on_engine(&mut self, call: usize) {
        let engine = &mut self.engines[self.calls[call].engine];
        engine.running -= 1;
        if let Some(next) = engine.waiting.pop_front() {
            self.start(next);
        }
    }

    pub(crate) fn end_call(&mut self, call: usize) {
        let engine = self.calls[call].engine;
        for (instance, ticket) in std::mem::take(&mut self.calls[call].tickets) {
            let node = &mut self.instances[instance];
            node.view
                .record_ended(ticket, LoadOutcome::Answered, monotonic_time(self.now));
            if self.strategy != Strategy::Gateway {
                node.outstanding[engine] -= 1;
            }
            self.serve_queue(instance);
        }
    }
}
