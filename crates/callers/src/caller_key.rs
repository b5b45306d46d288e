//! API key of a caller.

/// Bearer token that authenticates a caller. Its `Debug` output hides the token.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(String);

impl CallerKey {
    /// Wraps a bearer token.
    pub fn new(token: &str) -> Self {
        Self(token.to_owned())
    }

    /// Returns the token in clear text; it must not be logged.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CallerKey(..)")
    }
}
