//! Stages of an answer, for the evidence about prompt parts that crash backend servers.

use std::time::Duration;

/// Time after its first event from which an answer is in [`AnswerStage::Continued`].
const CONTINUED_AFTER: Duration = Duration::from_millis(200);

/// Time after its first event from which an answer is in [`AnswerStage::Running`].
const RUNNING_AFTER: Duration = Duration::from_millis(500);

/// Time after its first event from which an answer is in [`AnswerStage::Established`].
const ESTABLISHED_AFTER: Duration = Duration::from_millis(1_500);

/// Time that an answer has to run longer than one that ended with its server, to show that the server
/// bears the parts of the request. The two servers may differ in speed.
const STAGE_MARGIN: Duration = Duration::from_millis(100);

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerStage {
    /// Its first event has arrived.
    Begun,
    /// Events have followed its first one.
    Continued,
    /// It has run for a while.
    Running,
    /// It has run for long, or it is complete.
    Established,
}

impl AnswerStage {
    /// All stages, the earliest one first.
    pub const ALL: [Self; 4] = [
        Self::Begun,
        Self::Continued,
        Self::Running,
        Self::Established,
    ];

    /// Returns the stage of an incomplete answer that has run for `time` since its first event.
    pub fn after(time: Duration) -> Self {
        match time {
            time if time >= ESTABLISHED_AFTER => Self::Established,
            time if time >= RUNNING_AFTER => Self::Running,
            time if time >= CONTINUED_AFTER => Self::Continued,
            _ => Self::Begun,
        }
    }

    /// Returns the stage that an answer has to reach to clear the parts of a request whose server
    /// crashed `time` after the first event of its answer, or before it if `time` is `None`.
    ///
    /// Returns `None` if the crash is no evidence against the request because its answer had run for
    /// long. What the request itself has produced never reaches the returned stage.
    pub fn to_clear(time: Option<Duration>) -> Option<Self> {
        match time {
            None => Some(Self::Begun),
            Some(time) if time + STAGE_MARGIN < CONTINUED_AFTER => Some(Self::Continued),
            Some(time) if time + STAGE_MARGIN < RUNNING_AFTER => Some(Self::Running),
            Some(time) if time < ESTABLISHED_AFTER => Some(Self::Established),
            Some(_) => None,
        }
    }

    /// Returns the time that an answer takes from its first event to this stage.
    pub(crate) const fn time(self) -> Duration {
        match self {
            Self::Begun => Duration::ZERO,
            Self::Continued => CONTINUED_AFTER,
            Self::Running => RUNNING_AFTER,
            Self::Established => ESTABLISHED_AFTER,
        }
    }

    /// Returns the position of the stage in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}
