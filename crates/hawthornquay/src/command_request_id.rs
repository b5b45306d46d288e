//! Identifier of a request as an operator passes it.

use std::str::FromStr;

use crate::CommandError;

/// Digits of an incarnation in an identifier.
const INCARNATION_DIGITS: usize = 16;

/// Identifier `<instance>-<incarnation>-<sequence>` and the instance that it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRequestId {
    /// The whole identifier.
    pub text: String,
    /// Name of the instance; it may hold hyphens itself.
    pub instance: String,
}

impl FromStr for ParsedRequestId {
    type Err = CommandError;

    fn from_str(text: &str) -> Result<Self, CommandError> {
        let instance = instance_of(text).ok_or_else(|| CommandError::InvalidRequestId {
            text: text.to_owned(),
        })?;
        Ok(Self {
            text: text.to_owned(),
            instance: instance.to_owned(),
        })
    }
}

fn instance_of(text: &str) -> Option<&str> {
    let (process, sequence) = text.rsplit_once('-')?;
    let (instance, incarnation) = process.rsplit_once('-')?;
    // The identifier becomes part of a path.
    let allowed = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-' | '.');
    let valid = !instance.is_empty()
        && instance.chars().all(allowed)
        && incarnation.len() == INCARNATION_DIGITS
        && incarnation.chars().all(|char| char.is_ascii_hexdigit())
        && !sequence.is_empty()
        && sequence.chars().all(|char| char.is_ascii_digit());
    valid.then_some(instance)
}
