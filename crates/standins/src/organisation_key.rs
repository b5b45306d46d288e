//! Key of an organisation for the load.

use std::str::FromStr;

/// Organisation with the key that its requests carry, written as `NAME KEY [WEIGHT]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationKey {
    /// Name, for the report only.
    pub organisation: String,
    /// Key.
    pub key: String,
    /// Share of the requests, relative to the other organisations.
    pub weight: u32,
}

impl OrganisationKey {
    /// Reads a key file: one organisation a line; empty lines and those that begin with `#` are
    /// ignored.
    ///
    /// # Errors
    ///
    /// Returns the number of the line that cannot be read, and why.
    pub fn parse_file(text: &str) -> Result<Vec<Self>, String> {
        let lines = text.lines().enumerate();
        lines
            .map(|(index, line)| (index + 1, line.trim()))
            .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
            .map(|(number, line)| line.parse().map_err(|err| format!("line {number}: {err}")))
            .collect()
    }
}

impl FromStr for OrganisationKey {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let mut words = line.split_whitespace();
        let (Some(organisation), Some(key)) = (words.next(), words.next()) else {
            return Err("needs an organisation and a key".to_owned());
        };
        let weight = words.next().unwrap_or("1");
        let weight = weight
            .parse()
            .map_err(|err| format!("weight {weight}: {err}"))?;
        if weight == 0 || words.next().is_some() {
            return Err("needs a positive weight and nothing after it".to_owned());
        }
        Ok(Self {
            organisation: organisation.to_owned(),
            key: key.to_owned(),
            weight,
        })
    }
}
