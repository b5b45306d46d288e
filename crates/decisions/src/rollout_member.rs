//! Member as rollout sees it.

use crate::{InstanceName, InstanceState, RegionName};

/// Instance in the member view of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutMember<'a> {
    /// Name.
    pub name: &'a InstanceName,
    /// Region that it runs in.
    pub region: &'a RegionName,
    /// State in the view.
    pub state: InstanceState,
}
