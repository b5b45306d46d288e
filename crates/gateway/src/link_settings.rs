//! Settings of the links between gateway instances.

use std::time::Duration;

use hawthornquay_instances::LinkSettings;

/// Number of links to one instance of another region for forwarded requests. A lost segment delays
/// all streams of its link by 0.3 s, so only two or three of the usual ten to twenty streams share
/// a link.
const FORWARDING_LINKS_PER_INSTANCE: usize = 6;

/// Returns the settings of the links between gateway instances.
///
/// Idle links stay open for longer than by default, since opening a link to another region takes
/// two round trips.
pub(crate) fn gateway_link_settings() -> LinkSettings {
    LinkSettings {
        idle_timeout: Duration::from_secs(60),
        forwarding_links: FORWARDING_LINKS_PER_INSTANCE,
        ..LinkSettings::default()
    }
}
