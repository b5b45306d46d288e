//! Rollout state of one instance.

use std::time::Duration;

use crate::{BundleId, MonotonicTime, RolloutOffer, RolloutStep};

/// Time without a watcher's confirmation after which an instance reads the head itself.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Span over which the reads of instances that lost their watchers together are spread.
const READ_JITTER: Duration = Duration::from_millis(500);
/// Interval at which a watcher reads the head, since a watch can go silent.
const WATCHER_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Versions up to which differences are fetched; a larger gap takes the whole content.
const DIFFERENCES_MAX: u64 = 16;

/// Decides which bundles an instance takes and when it reads the head itself.
#[derive(Clone, Debug)]
pub struct Rollout {
    installed: Option<BundleId>,
    /// Last confirmation or own read.
    refreshed_at: MonotonicTime,
    read_at: MonotonicTime,
    jitter: Duration,
}

impl Rollout {
    /// Starts without a bundle; `random` spreads the first read.
    pub fn new(now: MonotonicTime, random: u64) -> Self {
        Self {
            installed: None,
            refreshed_at: now,
            read_at: now,
            jitter: jitter(random),
        }
    }

    /// Returns the bundle in force.
    pub const fn installed(&self) -> Option<BundleId> {
        self.installed
    }

    /// Decides what to do with an offer.
    pub fn decide(&self, offer: &RolloutOffer) -> RolloutStep {
        let to = offer.to();
        if !self.is_newer(to) {
            return RolloutStep::IgnoreNotNewer;
        }
        match *offer {
            RolloutOffer::Head { .. } => self.fetch(to),
            RolloutOffer::Difference { from, .. } if self.installed != Some(from) => self.fetch(to),
            RolloutOffer::Content { verified: true, .. }
            | RolloutOffer::Difference { verified: true, .. } => RolloutStep::Install,
            // Over a large gap the signers may have changed, and only the differences in between
            // show by whom.
            RolloutOffer::Content { .. } => match self.fetch(to) {
                RolloutStep::FetchContent { .. } => self.fetch_differences(to),
                _ => RolloutStep::IgnoreUnverified,
            },
            RolloutOffer::Difference { .. } => RolloutStep::IgnoreUnverified,
        }
    }

    /// Records that a bundle is in force; returns `false` and changes nothing if it is not newer.
    ///
    /// Offers are checked concurrently, so a newer one may have been installed in between.
    pub fn install(&mut self, to: BundleId) -> bool {
        let newer = self.is_newer(to);
        if newer {
            self.installed = Some(to);
        }
        newer
    }

    /// Records a watcher's confirmation that `head` was in force `heard_ago` before `now`, when the
    /// watcher last heard the store.
    ///
    /// The confirmation counts from that moment, so that a watcher that has lost the store cannot
    /// keep its region on an old bundle. One of another bundle than the held one does not count: a
    /// lower one comes from a watcher that lags, and a higher one has yet to be fetched.
    pub fn confirm(
        &mut self,
        head: BundleId,
        heard_ago: Duration,
        now: MonotonicTime,
        random: u64,
    ) {
        if self.installed != Some(head) {
            return;
        }
        let ago = u64::try_from(heard_ago.as_micros()).unwrap_or(u64::MAX);
        let heard_at = MonotonicTime(now.0.saturating_sub(ago));
        if heard_at > self.refreshed_at {
            self.refreshed_at = heard_at;
            self.jitter = jitter(random);
        }
    }

    /// Returns when the instance reads the head itself, unless it is confirmed before.
    pub fn next_head_read_at(&self, is_watcher: bool) -> MonotonicTime {
        let unconfirmed = self.refreshed_at + CONFIRMATION_TIMEOUT + self.jitter;
        if is_watcher {
            unconfirmed.min(self.read_at + WATCHER_READ_INTERVAL)
        } else {
            unconfirmed
        }
    }

    /// Records that a read of the head was sent, so that the next one waits its time.
    pub fn record_head_read(&mut self, now: MonotonicTime, random: u64) {
        self.read_at = now;
        self.refreshed_at = self.refreshed_at.max(now);
        self.jitter = jitter(random);
    }

    fn is_newer(&self, to: BundleId) -> bool {
        self.installed.is_none_or(|held| to.version > held.version)
    }

    fn fetch(&self, to: BundleId) -> RolloutStep {
        match self.installed {
            Some(held) if to.version - held.version <= DIFFERENCES_MAX => {
                self.fetch_differences(to)
            }
            _ => RolloutStep::FetchContent {
                version: to.version,
            },
        }
    }

    fn fetch_differences(&self, to: BundleId) -> RolloutStep {
        match self.installed {
            Some(held) => RolloutStep::FetchDifferences {
                first: held.version + 1,
                last: to.version,
            },
            None => RolloutStep::IgnoreUnverified,
        }
    }
}

fn jitter(random: u64) -> Duration {
    let span = u64::try_from(READ_JITTER.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random % span)
}
