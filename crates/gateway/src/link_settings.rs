//! Times of the links between gateways.

use std::time::Duration;

use hawthornquay_instances::LinkSettings;

/// Returns the times of the links between gateways.
///
/// Links to other regions are kept for longer than in the defaults, since opening one takes two
/// round trips of the path.
pub(crate) fn gateway_link_settings() -> LinkSettings {
    LinkSettings {
        idle: Duration::from_secs(60),
        ..LinkSettings::default()
    }
}
