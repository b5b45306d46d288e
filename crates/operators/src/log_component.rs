//! Components of the daemon that write log lines.

/// Component of the daemon. Each log line begins with the prefix of its component.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LogComponent {
    /// Client of backend servers.
    Backends,
    /// Callers' interface.
    Callers,
    /// Claims on idempotency keys, and idempotency keys that the gateway issues.
    Claims,
    /// Start and stop of the process.
    Daemon,
    /// Libraries that log through the `log` crate.
    Libraries,
    /// Rates and bursts of organisations.
    Limits,
    /// Links between instances.
    Links,
    /// List of the other instances and their states.
    Membership,
    /// Operators' interface.
    Operators,
    /// Orders to model engines.
    Orders,
    /// Client of the platform.
    Platform,
    /// Requests in flight and their outcomes.
    Requests,
    /// Rollout of bundles.
    Rollout,
    /// Selection of backend servers.
    Routing,
}

impl LogComponent {
    /// All components, sorted by prefix.
    pub const ALL: [Self; 14] = [
        Self::Backends,
        Self::Callers,
        Self::Claims,
        Self::Daemon,
        Self::Libraries,
        Self::Limits,
        Self::Links,
        Self::Membership,
        Self::Operators,
        Self::Orders,
        Self::Platform,
        Self::Requests,
        Self::Rollout,
        Self::Routing,
    ];

    /// Returns the prefix of the component's log lines, which is also its name in the settings.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Backends => "backends",
            Self::Callers => "callers",
            Self::Claims => "claims",
            Self::Daemon => "daemon",
            Self::Libraries => "libraries",
            Self::Limits => "limits",
            Self::Links => "links",
            Self::Membership => "membership",
            Self::Operators => "operators",
            Self::Orders => "orders",
            Self::Platform => "platform",
            Self::Requests => "requests",
            Self::Rollout => "rollout",
            Self::Routing => "routing",
        }
    }

    /// Returns the component with this prefix.
    pub fn from_prefix(prefix: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|component| component.prefix() == prefix)
    }
}
