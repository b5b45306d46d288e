//! Identifier of a request in an argument.

use std::str::FromStr;

use crate::CommandError;

/// Number of hexadecimal digits of the incarnation in an identifier.
const INCARNATION_DIGITS: usize = 16;

/// Identifier `<instance>-<incarnation>-<sequence>` and the name of the instance in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRequestId {
    /// The whole identifier.
    pub text: String,
    /// Name of the instance, which may contain hyphens.
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

/// Returns the name of the instance in a valid identifier.
fn instance_of(text: &str) -> Option<&str> {
    let (process, sequence) = text.rsplit_once('-')?;
    let (instance, incarnation) = process.rsplit_once('-')?;
    // The identifier becomes part of a URL path, so other characters are refused.
    let allowed = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-' | '.');
    let valid = !instance.is_empty()
        && instance.chars().all(allowed)
        && incarnation.len() == INCARNATION_DIGITS
        && incarnation.chars().all(|char| char.is_ascii_hexdigit())
        && !sequence.is_empty()
        && sequence.chars().all(|char| char.is_ascii_digit());
    valid.then_some(instance)
}
