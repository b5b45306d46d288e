//! Prediction of the course of a stream at a server.

use std::time::Duration;

/// Predicted course of a stream after its first event.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPrediction {
    /// Expected number of events.
    pub events: f64,
    /// Expected mean time between two events, in milliseconds.
    pub interval_ms: f64,
    /// Expected mean time between two events if the engine had little else to do, in milliseconds.
    pub unloaded_interval_ms: f64,
}

impl StreamPrediction {
    /// Returns the expected time from the first event to the last one, in milliseconds.
    pub fn duration_ms(&self) -> f64 {
        self.events * self.interval_ms
    }

    /// Returns the expected time from the first event to the last one at an engine with little to do.
    pub fn unloaded_duration(&self) -> Duration {
        let ms = self.events * self.unloaded_interval_ms;
        Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1_000.0)
    }

    /// Returns the expected time from the first event to the last one.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_ms().clamp(0.0, 1e9) / 1_000.0)
    }
}
