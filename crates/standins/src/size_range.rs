//! Range of token counts.

use std::{ops::RangeInclusive, str::FromStr};

use rand::Rng;

/// Uniform distribution over an inclusive range, written as `N` or `N-M`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeRange(pub RangeInclusive<u64>);

impl SizeRange {
    /// Returns a random value of the range.
    pub fn sample(&self, rng: &mut impl Rng) -> u64 {
        rng.random_range(self.0.clone())
    }
}

impl FromStr for SizeRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (low, high) = text.split_once('-').unwrap_or((text, text));
        let number = |part: &str| part.parse::<u64>().map_err(|err| format!("{part}: {err}"));
        let (low, high) = (number(low)?, number(high)?);
        if low == 0 || low > high {
            return Err(format!(
                "invalid range {text}: expected N or N-M with 1 <= N <= M"
            ));
        }
        Ok(Self(low..=high))
    }
}
