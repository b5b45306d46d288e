//! Arrivals and engines of the timing model.

use super::*;

impl Model {
    pub(crate) fn new(strategy: Strategy, shape: Shape, bundle: Bundle, seed: u64) -> Self {
        let engines = bundle.backends.len();
        let instance = |index: usize| Instance {
            place: RoutingLocation {
                region: format!("r{}", index / INSTANCES_PER_REGION).as_str().into(),
                domain: domain(domain_of(index, INSTANCES_PER_REGION)),
            },
            view: view(domain_of(index, INSTANCES_PER_REGION)),
            prefixes: PrefixMap::default(),
            grants: RoutingGrants::default(),
            queue: FairQueue::new(LONGEST_WAIT),
            outstanding: vec![0; engines],
            served: 1.0,
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
        self.schedule(0.0, Event::Reports);
        self.schedule(0.1, Event::Grants);
        self.schedule(0.2, Event::Queues);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at as f64 / 1e6;
            if self.now > DURATION + 60.0 {
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
            Event::AtInstance { call, instance } => self.at_instance(call, instance),
            Event::AtEngine { call } => self.at_engine(call),
            Event::EngineDone { call } => self.engine_done(call),
            Event::Ended { call } => self.ended(call),
            Event::Reports => self.reports(),
            Event::Queues => self.queues(),
            Event::Grants => self.grants(),
            Event::Granted {
                instance,
                grant,
                asked_at,
            } => {
                self.instances[instance].grants.add(grant, time(asked_at));
            }
        }
    }

    pub(crate) fn arrive(&mut self, region: usize) {
        if self.now > DURATION {
            return;
        }
        let rate = self.shape.load(region, self.now) * ENGINE_RATE * self.engines_per_region as f64;
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
        let batch = self.rng.random_bool(BATCH);
        self.calls.push(Call {
            organisation,
            home: region,
            home_bound: HOME_BOUND.contains(&organisation),
            priority: if batch {
                Priority::Batch
            } else {
                Priority::Interactive
            },
            document,
            prompt_tokens: document_tokens + self.rng.random_range(50..500),
            output_tokens: self.rng.random_range(20..200),
            began: self.now,
            hop: RoutingHop::Caller,
            engine: 0,
            tickets: Vec::new(),
        });
        let call = self.calls.len() - 1;
        let instance = self.random_instance(region);
        self.schedule(NEAR_PATH, Event::AtInstance { call, instance });
    }

    pub(crate) fn random_instance(&mut self, region: usize) -> usize {
        region * INSTANCES_PER_REGION + self.rng.random_range(0..INSTANCES_PER_REGION)
    }

    pub(crate) fn at_engine(&mut self, call: usize) {
        let engine = self.calls[call].engine;
        if self.engines[engine].running < SLOTS {
            return self.start(call);
        }
        // Engines know priorities, under every strategy.
        let waiting = &self.engines[engine].waiting;
        let calls = &self.calls;
        let place = waiting
            .iter()
            .position(|other| calls[*other].priority > calls[call].priority)
            .unwrap_or(waiting.len());
        self.engines[engine].waiting.insert(place, call);
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
        let first = engine.prefill_free.max(self.now) + tokens as f64 / PREFILL_TOKENS_PER_S;
        engine.prefill_free = first;
        let slowdown = 1.0 + 0.5 * engine.running as f64 / SLOTS as f64;
        let end = first + call.output_tokens as f64 * DECODE_SECONDS * slowdown;
        let is_far = call.engine / self.engines_per_region != call.home;
        let path = if is_far { FAR_PATH } else { NEAR_PATH };
        let seconds = first + path + NEAR_PATH - call.began;
        if is_far {
            self.totals.far_calls += 1;
            self.totals.link_bytes += call.prompt_tokens * BYTES_PER_PROMPT_TOKEN
                + call.output_tokens * BYTES_PER_OUTPUT_TOKEN;
        }
        self.totals.by_organisation[call.organisation].push(seconds);
        if call.priority == Priority::Interactive {
            self.totals.interactive.push(seconds);
        }
        self.schedule(end - self.now, Event::EngineDone { call: index });
        self.schedule(end + path - self.now, Event::Ended { call: index });
    }

    pub(crate) fn engine_done(&mut self, call: usize) {
        let engine = &mut self.engines[self.calls[call].engine];
        engine.running -= 1;
        if let Some(next) = engine.waiting.pop_front() {
            self.start(next);
        }
    }

    pub(crate) fn ended(&mut self, call: usize) {
        let engine = self.calls[call].engine;
        for (instance, ticket) in std::mem::take(&mut self.calls[call].tickets) {
            let node = &mut self.instances[instance];
            node.view
                .record_ended(ticket, LoadOutcome::Answered, time(self.now));
            if self.strategy != Strategy::Gateway {
                node.outstanding[engine] -= 1;
            }
            self.drain(instance);
        }
    }
}
