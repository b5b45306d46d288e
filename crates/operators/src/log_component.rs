//! Parts of the daemon that log.

/// Part of the daemon; every log line carries its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LogComponent {
    /// Client of backend servers.
    Backends,
    /// Callers' interface.
    Callers,
    /// Idempotency claims and issued keys.
    Claims,
    /// Start and stop of the process.
    Daemon,
    /// Libraries that log through the `log` crate.
    Libraries,
    /// Rates and bursts of organisations.
    Limits,
    /// Links between instances.
    Links,
    /// View of the other instances.
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
    /// Choice of backend servers.
    Routing,
}

impl LogComponent {
    /// All parts, sorted by prefix.
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

    /// Returns the prefix of its log lines, which also names it in the settings.
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

    /// Returns the part with this prefix.
    pub fn from_prefix(prefix: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|component| component.prefix() == prefix)
    }
}
