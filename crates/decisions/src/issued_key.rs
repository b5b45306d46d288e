//! Idempotency key that an instance issues to a caller.

use crate::{Incarnation, InstanceId, InstanceName};

const PREFIX: &str = "hq1.";

/// Idempotency key whose text identifies the process that issued it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// Process that issued the key; no other process may run a request with it.
    pub issuer: InstanceId,
    /// Random number, unique among the keys of the issuer.
    pub number: u64,
}

impl IssuedKey {
    /// Parses a key; returns `None` if the text is not an issued key, such as one that the caller
    /// chose.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(PREFIX)?;
        let (rest, number) = rest.rsplit_once('.')?;
        let (name, incarnation) = rest.rsplit_once('.')?;
        Some(Self {
            issuer: InstanceId {
                name: InstanceName::new(name),
                incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
            },
            number: u64::from_str_radix(number, 16).ok()?,
        })
    }
}

impl std::fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let InstanceId { name, incarnation } = &self.issuer;
        write!(f, "{PREFIX}{name}.{incarnation}.{:016x}", self.number)
    }
}
