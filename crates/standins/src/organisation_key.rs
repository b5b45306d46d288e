//! API key of an organisation for a load run.

use std::str::FromStr;

/// Organisation with the API key of its requests, written as `NAME KEY [WEIGHT]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationKey {
    /// Name of the organisation; used only in the report.
    pub organisation: String,
    /// API key.
    pub key: String,
    /// Weight of the organisation in the random choice of requests; 1 if omitted.
    pub weight: u32,
}

impl OrganisationKey {
    /// Parses a key file with one organisation per line; empty lines and lines that start with `#`
    /// are ignored.
    ///
    /// # Errors
    ///
    /// Returns a message with the number of the first invalid line and the reason.
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
            return Err("expected NAME KEY [WEIGHT]".to_owned());
        };
        let weight = words.next().unwrap_or("1");
        let weight = weight
            .parse()
            .map_err(|err| format!("invalid weight {weight}: {err}"))?;
        if weight == 0 || words.next().is_some() {
            return Err("weight must be at least 1 and the last value of the line".to_owned());
        }
        Ok(Self {
            organisation: organisation.to_owned(),
            key: key.to_owned(),
            weight,
        })
    }
}
