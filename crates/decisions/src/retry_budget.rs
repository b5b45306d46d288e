//! Bound on the retries of an instance.

const EARNED_PER_REQUEST: f64 = 0.1;
const MOST: f64 = 20.0;

/// Budget that keeps retries to a share of the requests, so that they cannot amplify an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    retries: f64,
    earned_per_request: f64,
    most: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(EARNED_PER_REQUEST, MOST)
    }
}

impl RetryBudget {
    /// Builds a full budget that holds up to `most` retries and earns a part of one with each
    /// request.
    pub const fn new(earned_per_request: f64, most: f64) -> Self {
        Self {
            retries: most,
            earned_per_request,
            most,
        }
    }

    /// Changes how many retries the budget holds at most.
    pub fn set_max_retries(&mut self, most: f64) {
        self.most = most;
        self.retries = self.retries.min(most);
    }

    /// Earns part of a retry with each new request.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + self.earned_per_request).min(self.most);
    }

    /// Spends one retry; returns whether the budget allowed that.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}
