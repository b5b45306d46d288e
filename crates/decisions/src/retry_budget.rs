//! Bound on the retries of an instance.

const EARNED_PER_REQUEST: f64 = 0.1;
const MOST: f64 = 20.0;

/// Budget that keeps retries to a share of the requests, so that they cannot amplify an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: MOST }
    }
}

impl RetryBudget {
    /// Earns part of a retry with each new request.
    pub fn earn(&mut self) {
        self.retries = (self.retries + EARNED_PER_REQUEST).min(MOST);
    }

    /// Spends one retry; returns whether the budget allowed that.
    pub fn spend(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}
