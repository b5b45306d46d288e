//! Times of the links between gateways.

use std::time::Duration;

use hawthornquay_instances::LinkSettings;

/// Links to one instance of another region for forwarded requests. A lost segment delays the
/// streams of its link by 0.3 s there, and with the usual ten to twenty streams, two or three share
/// one.
const FORWARDING_LINKS_PER_INSTANCE: usize = 6;

/// Returns the times of the links between gateways.
///
/// Links to other regions are kept for longer than in the defaults, since opening one takes two
/// round trips of the path.
pub(crate) fn gateway_link_settings() -> LinkSettings {
    LinkSettings {
        idle: Duration::from_secs(60),
        lanes: FORWARDING_LINKS_PER_INSTANCE,
        ..LinkSettings::default()
    }
}
