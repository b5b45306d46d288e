//! Budget that bounds the retries of an instance.

/// Retries deposited per request by default.
const DEPOSIT_PER_REQUEST: f64 = 0.1;
/// Upper bound of the retries in the budget by default.
const MAX_RETRIES: f64 = 20.0;

/// Token bucket that limits retries to a share of the requests, so that retries cannot amplify an
/// overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    retries: f64,
    deposit_per_request: f64,
    max_retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(DEPOSIT_PER_REQUEST, MAX_RETRIES)
    }
}

impl RetryBudget {
    /// Returns a full budget of `max_retries`, to which each request adds `deposit_per_request`
    /// retries.
    pub const fn new(deposit_per_request: f64, max_retries: f64) -> Self {
        Self {
            retries: max_retries,
            deposit_per_request,
            max_retries,
        }
    }

    /// Sets the upper bound of the retries in the budget, and reduces the balance to it.
    pub fn set_max_retries(&mut self, max_retries: f64) {
        self.max_retries = max_retries;
        self.retries = self.retries.min(max_retries);
    }

    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + self.deposit_per_request).min(self.max_retries);
    }

    /// Returns whether the budget has a retry left.
    pub fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.has_retry();
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}
