//! Rollout at several instances with lost, late, duplicated and forged offers.

use std::time::Duration;

use hawthornquay_decisions::{BundleId, MonotonicTime, Rollout, RolloutOffer, RolloutStep};
use proptest::prelude::*;

const INSTANCES: usize = 4;
const STEP_MS: u64 = 100;
/// Time within which every instance must install the head once the store answers again.
const CONVERGENCE_BOUND_MS: u64 = 4_000;

#[derive(Clone, Debug)]
enum Event {
    /// A new bundle is accepted into the store.
    Accept,
    /// A past or current difference reaches an instance, possibly for the second time.
    Difference {
        instance: usize,
        versions_behind: u64,
    },
    /// An instance receives the head of the bundle that another one has installed.
    Gossip {
        instance: usize,
        other: usize,
        fetch_succeeds: bool,
    },
    /// Content with invalid signatures reaches an instance.
    Forged {
        instance: usize,
        versions_ahead: u64,
    },
    /// A watcher whose last head is a past or current one confirms it.
    Confirm {
        instance: usize,
        versions_behind: u64,
    },
    /// One time step passes, in which the store answers or does not.
    Tick { store_answers: bool },
}

fn event() -> impl Strategy<Value = Event> {
    let instance = || 0..INSTANCES;
    prop_oneof![
        Just(Event::Accept),
        (instance(), 0u64..30).prop_map(|(instance, versions_behind)| Event::Difference {
            instance,
            versions_behind
        }),
        (instance(), instance(), any::<bool>()).prop_map(|(instance, other, fetch_succeeds)| {
            Event::Gossip {
                instance,
                other,
                fetch_succeeds,
            }
        }),
        (instance(), 0u64..30).prop_map(|(instance, versions_ahead)| Event::Forged {
            instance,
            versions_ahead
        }),
        (instance(), 0u64..3).prop_map(|(instance, versions_behind)| Event::Confirm {
            instance,
            versions_behind
        }),
        any::<bool>().prop_map(|store_answers| Event::Tick { store_answers }),
    ]
}

fn bundle_id(version: u64, forged: bool) -> BundleId {
    let mut digest = [u8::from(forged); 32];
    digest[..8].copy_from_slice(&version.to_be_bytes());
    BundleId { version, digest }
}

struct Fleet {
    head: u64,
    /// Time at which each version was accepted, from version 1.
    accepted_at_ms: Vec<u64>,
    now_ms: u64,
    instances: Vec<Rollout>,
}

impl Fleet {
    fn new() -> Self {
        let start = |index| Rollout::new(MonotonicTime(0), index * 130_000);
        Self {
            head: 1,
            accepted_at_ms: vec![0],
            now_ms: 0,
            instances: (0..INSTANCES as u64).map(start).collect(),
        }
    }

    fn offer(&mut self, instance: usize, offer: RolloutOffer, fetch_succeeds: bool) {
        let rollout = &mut self.instances[instance];
        let version_before = rollout.installed().map_or(0, |installed| installed.version);
        match rollout.decide(&offer) {
            RolloutStep::Install => {
                rollout.install(offer.to());
            }
            RolloutStep::FetchContent { version: wanted } if fetch_succeeds => {
                rollout.install(bundle_id(wanted, false));
            }
            RolloutStep::FetchDifferences { first, last } if fetch_succeeds => {
                for to in first..=last {
                    let (from, to) = (bundle_id(to - 1, false), bundle_id(to, false));
                    let next = RolloutOffer::Difference {
                        from,
                        to,
                        verified: true,
                    };
                    assert_eq!(rollout.decide(&next), RolloutStep::Install);
                    rollout.install(to);
                }
            }
            _ => {}
        }
        let installed = rollout.installed();
        assert!(
            installed.map_or(0, |installed| installed.version) >= version_before,
            "an instance reverted to a lower version"
        );
        assert!(
            installed.is_none_or(|installed| installed == bundle_id(installed.version, false)
                && installed.version <= self.head),
            "an instance installed a bundle that was never accepted"
        );
    }

    fn tick(&mut self, store_answers: bool) {
        self.now_ms += STEP_MS;
        let now = MonotonicTime::from_millis(self.now_ms);
        for index in 0..INSTANCES {
            if self.instances[index].next_head_read_at(false) <= now {
                self.instances[index].record_head_read(now, self.now_ms * 7_919);
                if store_answers {
                    let to = bundle_id(self.head, false);
                    self.offer(index, RolloutOffer::Head { to }, true);
                }
            }
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Accept => {
                self.head += 1;
                self.accepted_at_ms.push(self.now_ms);
            }
            Event::Difference {
                instance,
                versions_behind,
            } => {
                let to = self.head.saturating_sub(versions_behind).max(2);
                if to <= self.head {
                    let (from, to) = (bundle_id(to - 1, false), bundle_id(to, false));
                    let offer = RolloutOffer::Difference {
                        from,
                        to,
                        verified: true,
                    };
                    self.offer(instance, offer, false);
                }
            }
            Event::Gossip {
                instance,
                other,
                fetch_succeeds,
            } => {
                if let Some(to) = self.instances[other].installed() {
                    self.offer(instance, RolloutOffer::Head { to }, fetch_succeeds);
                }
            }
            Event::Forged {
                instance,
                versions_ahead,
            } => {
                let to = bundle_id(self.head + versions_ahead, true);
                self.offer(
                    instance,
                    RolloutOffer::Content {
                        to,
                        verified: false,
                    },
                    false,
                );
                if let Some(from) = self.instances[instance].installed() {
                    let offer = RolloutOffer::Difference {
                        from,
                        to,
                        verified: false,
                    };
                    self.offer(instance, offer, false);
                }
            }
            Event::Confirm {
                instance,
                versions_behind,
            } => {
                let confirmed = self.head.saturating_sub(versions_behind).max(1);
                // A watcher that confirms an old head last read the store before the next one was
                // accepted.
                let read_at_ms = self
                    .accepted_at_ms
                    .get(confirmed as usize)
                    .copied()
                    .unwrap_or(self.now_ms);
                let head_age = Duration::from_millis(self.now_ms - read_at_ms);
                let head = bundle_id(confirmed, false);
                let now = MonotonicTime::from_millis(self.now_ms);
                self.instances[instance].confirm(head, head_age, now, self.now_ms);
            }
            Event::Tick { store_answers } => self.tick(store_answers),
        }
    }
}

proptest! {
    /// Guards against an instance that reverts to a lower version, installs a forged bundle, or
    /// stays on an old bundle because a lagging watcher keeps confirming the one before the head.
    #[test]
    fn rollout_converges_and_never_reverts(events in prop::collection::vec(event(), 0..120)) {
        let mut fleet = Fleet::new();
        for event in events {
            fleet.apply(event);
        }
        for _ in 0..CONVERGENCE_BOUND_MS / STEP_MS {
            for instance in 0..INSTANCES {
                fleet.apply(Event::Confirm { instance, versions_behind: 1 });
            }
            fleet.tick(true);
        }
        for rollout in &fleet.instances {
            prop_assert_eq!(rollout.installed(), Some(bundle_id(fleet.head, false)));
        }
    }
}
