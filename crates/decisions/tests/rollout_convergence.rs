//! Drives several instances through lost, late, duplicated and forged offers.

use std::time::Duration;

use hawthornquay_decisions::{BundleId, MonotonicTime, Rollout, RolloutOffer, RolloutStep};
use proptest::prelude::*;

const INSTANCES: usize = 4;
const STEP_MS: u64 = 100;
/// Time within which each instance must hold the head once the store answers again.
const BOUND_MS: u64 = 4_000;

#[derive(Clone, Debug)]
enum Event {
    /// An operator's bundle is accepted.
    Accept,
    /// A past or current difference reaches an instance, perhaps again.
    Difference { instance: usize, back: u64 },
    /// An instance hears the head that another one holds.
    Gossip {
        instance: usize,
        other: usize,
        fetch_works: bool,
    },
    /// Content with invalid signatures reaches an instance.
    Forged { instance: usize, ahead: u64 },
    /// A watcher that knows a past or current head confirms it.
    Confirm { instance: usize, back: u64 },
    /// Time passes; the store answers or not.
    Pass { store_works: bool },
}

fn event() -> impl Strategy<Value = Event> {
    let instance = || 0..INSTANCES;
    prop_oneof![
        Just(Event::Accept),
        (instance(), 0u64..30).prop_map(|(instance, back)| Event::Difference { instance, back }),
        (instance(), instance(), any::<bool>()).prop_map(|(instance, other, fetch_works)| {
            Event::Gossip {
                instance,
                other,
                fetch_works,
            }
        }),
        (instance(), 0u64..30).prop_map(|(instance, ahead)| Event::Forged { instance, ahead }),
        (instance(), 0u64..3).prop_map(|(instance, back)| Event::Confirm { instance, back }),
        any::<bool>().prop_map(|store_works| Event::Pass { store_works }),
    ]
}

fn version(version: u64, forged: bool) -> BundleId {
    let mut digest = [u8::from(forged); 32];
    digest[..8].copy_from_slice(&version.to_be_bytes());
    BundleId { version, digest }
}

struct Fleet {
    head: u64,
    /// Time at which each version was accepted, from version 1.
    accepted_at: Vec<u64>,
    now: u64,
    instances: Vec<Rollout>,
}

impl Fleet {
    fn new() -> Self {
        let start = |index| Rollout::new(MonotonicTime(0), index * 130_000);
        Self {
            head: 1,
            accepted_at: vec![0],
            now: 0,
            instances: (0..INSTANCES as u64).map(start).collect(),
        }
    }

    fn offer(&mut self, instance: usize, offer: RolloutOffer, fetch_works: bool) {
        let rollout = &mut self.instances[instance];
        let before = rollout.installed().map_or(0, |held| held.version);
        match rollout.decide(&offer) {
            RolloutStep::Install => {
                rollout.install(offer.to());
            }
            RolloutStep::FetchContent { version: wanted } if fetch_works => {
                rollout.install(version(wanted, false));
            }
            RolloutStep::FetchDifferences { first, last } if fetch_works => {
                for to in first..=last {
                    let (from, to) = (version(to - 1, false), version(to, false));
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
        let held = rollout.installed();
        assert!(
            held.map_or(0, |held| held.version) >= before,
            "an instance went back"
        );
        assert!(
            held.is_none_or(
                |held| held == version(held.version, false) && held.version <= self.head
            ),
            "an instance holds a bundle that was never accepted"
        );
    }

    fn pass(&mut self, store_works: bool) {
        self.now += STEP_MS;
        let now = MonotonicTime::from_millis(self.now);
        for index in 0..INSTANCES {
            if self.instances[index].next_head_read_at(false) <= now {
                self.instances[index].record_head_read(now, self.now * 7_919);
                if store_works {
                    let to = version(self.head, false);
                    self.offer(index, RolloutOffer::Head { to }, true);
                }
            }
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Accept => {
                self.head += 1;
                self.accepted_at.push(self.now);
            }
            Event::Difference { instance, back } => {
                let to = self.head.saturating_sub(back).max(2);
                if to <= self.head {
                    let (from, to) = (version(to - 1, false), version(to, false));
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
                fetch_works,
            } => {
                if let Some(to) = self.instances[other].installed() {
                    self.offer(instance, RolloutOffer::Head { to }, fetch_works);
                }
            }
            Event::Forged { instance, ahead } => {
                let to = version(self.head + ahead, true);
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
            Event::Confirm { instance, back } => {
                let known = self.head.saturating_sub(back).max(1);
                // A watcher that still knows an old head has not heard the store since the next.
                let heard_at = self
                    .accepted_at
                    .get(known as usize)
                    .copied()
                    .unwrap_or(self.now);
                let heard_ago = Duration::from_millis(self.now - heard_at);
                let head = version(known, false);
                let now = MonotonicTime::from_millis(self.now);
                self.instances[instance].confirm(head, heard_ago, now, self.now);
            }
            Event::Pass { store_works } => self.pass(store_works),
        }
    }
}

proptest! {
    /// Guards against an instance that goes back, takes a forged bundle, or stays behind although
    /// a lagging watcher keeps confirming the bundle before the head.
    #[test]
    fn rollout_converges_and_never_goes_back(events in prop::collection::vec(event(), 0..120)) {
        let mut fleet = Fleet::new();
        for event in events {
            fleet.apply(event);
        }
        for _ in 0..BOUND_MS / STEP_MS {
            for instance in 0..INSTANCES {
                fleet.apply(Event::Confirm { instance, back: 1 });
            }
            fleet.pass(true);
        }
        for rollout in &fleet.instances {
            prop_assert_eq!(rollout.installed(), Some(version(fleet.head, false)));
        }
    }
}
