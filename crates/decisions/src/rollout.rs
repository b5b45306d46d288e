//! Rollout of bundles at one instance.
//!
//! The head is the record in the key-value store that names the newest accepted bundle. A few
//! instances of each region (watchers) watch the store, read the head, and confirm it to other
//! instances in gossip digests.

use std::time::Duration;

use crate::{BundleId, MonotonicTime, RolloutOffer, RolloutStep};

/// Time without a watcher's confirmation after which an instance reads the head from the store.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time over which head reads are spread when many instances lose their watchers at once.
const HEAD_READ_JITTER: Duration = Duration::from_millis(500);
/// Interval at which a watcher reads the head, because a watch can fail without an error.
const WATCHER_HEAD_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Largest gap in versions for which differences are fetched instead of the whole content.
const MAX_DIFFERENCES: u64 = 16;

/// Decides which bundles an instance installs, and when it reads the head itself.
#[derive(Clone, Debug)]
pub struct Rollout {
    installed: Option<BundleId>,
    /// Time of the last read of the head, by this instance or by a watcher that confirmed the head.
    head_confirmed_at: MonotonicTime,
    last_head_read_at: MonotonicTime,
    jitter: Duration,
}

impl Rollout {
    /// Returns the state of an instance without a bundle.
    ///
    /// `random` determines the jitter of the first head read.
    pub fn new(now: MonotonicTime, random: u64) -> Self {
        Self {
            installed: None,
            head_confirmed_at: now,
            last_head_read_at: now,
            jitter: jitter(random),
        }
    }

    /// Returns the installed bundle.
    pub const fn installed(&self) -> Option<BundleId> {
        self.installed
    }

    /// Returns the step to take for an offer.
    pub fn decide(&self, offer: &RolloutOffer) -> RolloutStep {
        let to = offer.to();
        if !self.is_newer(to) {
            return RolloutStep::IgnoreNotNewer;
        }
        match *offer {
            RolloutOffer::Head { .. } => self.fetch_step(to),
            RolloutOffer::Difference { from, .. } if self.installed != Some(from) => {
                self.fetch_step(to)
            }
            RolloutOffer::Content { verified: true, .. }
            | RolloutOffer::Difference { verified: true, .. } => RolloutStep::Install,
            // Within a large gap the signers may have changed, and only the differences in between
            // show which signers authorised each change.
            RolloutOffer::Content { .. } => match self.fetch_step(to) {
                RolloutStep::FetchContent { .. } => self.fetch_differences_step(to),
                _ => RolloutStep::IgnoreUnverified,
            },
            RolloutOffer::Difference { .. } => RolloutStep::IgnoreUnverified,
        }
    }

    /// Records that a bundle is installed; returns `false` and changes nothing if it is not newer.
    ///
    /// Offers are verified concurrently, so a newer one may have been installed in the meantime.
    pub fn install(&mut self, to: BundleId) -> bool {
        let newer = self.is_newer(to);
        if newer {
            self.installed = Some(to);
        }
        newer
    }

    /// Records a watcher's confirmation that it read `head` from the store `head_age` before `now`.
    ///
    /// The confirmation counts from the time of that read, so that a watcher that has lost the
    /// store cannot keep its region on an old bundle. `random` determines the jitter of the next
    /// head read.
    ///
    /// A confirmation is ignored unless it names the installed bundle: a lower version comes from a
    /// lagging watcher, and a higher one has yet to be fetched.
    pub fn confirm(&mut self, head: BundleId, head_age: Duration, now: MonotonicTime, random: u64) {
        if self.installed != Some(head) {
            return;
        }
        let age_us = u64::try_from(head_age.as_micros()).unwrap_or(u64::MAX);
        let read_at = MonotonicTime(now.0.saturating_sub(age_us));
        if read_at > self.head_confirmed_at {
            self.head_confirmed_at = read_at;
            self.jitter = jitter(random);
        }
    }

    /// Returns the time at which this instance next reads the head; a confirmation may postpone it.
    pub fn next_head_read_at(&self, is_watcher: bool) -> MonotonicTime {
        let unconfirmed = self.head_confirmed_at + CONFIRMATION_TIMEOUT + self.jitter;
        if is_watcher {
            unconfirmed.min(self.last_head_read_at + WATCHER_HEAD_READ_INTERVAL)
        } else {
            unconfirmed
        }
    }

    /// Records that a read of the head was started, which postpones the next one.
    pub fn record_head_read(&mut self, now: MonotonicTime, random: u64) {
        self.last_head_read_at = now;
        self.head_confirmed_at = self.head_confirmed_at.max(now);
        self.jitter = jitter(random);
    }

    fn is_newer(&self, to: BundleId) -> bool {
        self.installed
            .is_none_or(|installed| to.version > installed.version)
    }

    fn fetch_step(&self, to: BundleId) -> RolloutStep {
        match self.installed {
            Some(installed) if to.version - installed.version <= MAX_DIFFERENCES => {
                self.fetch_differences_step(to)
            }
            _ => RolloutStep::FetchContent {
                version: to.version,
            },
        }
    }

    fn fetch_differences_step(&self, to: BundleId) -> RolloutStep {
        match self.installed {
            Some(installed) => RolloutStep::FetchDifferences {
                first: installed.version + 1,
                last: to.version,
            },
            None => RolloutStep::IgnoreUnverified,
        }
    }
}

fn jitter(random: u64) -> Duration {
    let span = u64::try_from(HEAD_READ_JITTER.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random % span)
}
