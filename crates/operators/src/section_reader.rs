//! Parses the fields of one section.

use std::{net::SocketAddr, ops::RangeInclusive, str::FromStr};

use crate::{fault_collector::FaultCollector, ini_field::IniField, ini_section::IniSection};

/// Parses the fields of one section and reports those that are missing, repeated or unknown.
pub(crate) struct SectionReader<'a> {
    section: &'a IniSection,
    expected: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a IniSection) -> Self {
        Self {
            section,
            expected: Vec::new(),
        }
    }

    /// Returns an optional field; a repeated one is a fault.
    pub(crate) fn optional(
        &mut self,
        name: &'static str,
        faults: &mut FaultCollector,
    ) -> Option<&'a IniField> {
        self.expected.push(name);
        let mut found = self
            .section
            .fields
            .iter()
            .filter(|field| field.name == name);
        let first = found.next()?;
        for repeated in found {
            faults.add(
                repeated.line,
                format!(
                    "the field `{name}` is already defined on line {}",
                    first.line
                ),
                "keep one of the two",
            );
        }
        Some(first)
    }

    /// Returns the line of a field, or of the header if the field is missing.
    pub(crate) fn line_of(&self, name: &str) -> usize {
        let field = self.section.fields.iter().find(|field| field.name == name);
        field.map_or(self.section.line, |field| field.line)
    }

    /// Returns a field that must be present and not empty.
    pub(crate) fn required(
        &mut self,
        name: &'static str,
        faults: &mut FaultCollector,
    ) -> Option<&'a IniField> {
        let field = self.optional(name, faults);
        match field {
            None => faults.add(
                self.section.line,
                format!("[{}] lacks the field `{name}`", self.section.header),
                format!("add `{name} = ...`"),
            ),
            Some(field) if field.value.is_empty() => {
                faults.add(
                    field.line,
                    format!("the field `{name}` is empty"),
                    format!("write a value after `{name} =`"),
                );
                return None;
            }
            Some(_) => {}
        }
        field
    }

    /// Returns a required whole number of at least 1.
    pub(crate) fn positive<T: FromStr + PartialOrd + From<u8>>(
        &mut self,
        name: &'static str,
        faults: &mut FaultCollector,
    ) -> Option<T> {
        let field = self.required(name, faults)?;
        parse_positive(field, faults)
    }

    /// Returns an optional whole number of at least 1.
    pub(crate) fn positive_or<T: FromStr + PartialOrd + From<u8>>(
        &mut self,
        name: &'static str,
        default: T,
        faults: &mut FaultCollector,
    ) -> Option<T> {
        match self.optional(name, faults) {
            None => Some(default),
            Some(field) => parse_positive(field, faults),
        }
    }

    /// Returns an optional decimal number from 0 to 1; a missing or empty field has the default.
    pub(crate) fn fraction_or(
        &mut self,
        name: &'static str,
        default: f64,
        faults: &mut FaultCollector,
    ) -> Option<f64> {
        self.decimal_in(name, default, 0.0..=1.0, "from 0 to 1", faults)
    }

    /// Returns an optional decimal number of at least 0; a missing or empty field has the default.
    pub(crate) fn decimal_or(
        &mut self,
        name: &'static str,
        default: f64,
        faults: &mut FaultCollector,
    ) -> Option<f64> {
        self.decimal_in(name, default, 0.0..=f64::MAX, "of at least 0", faults)
    }

    /// Returns an optional decimal number in a range, which `description` states.
    fn decimal_in(
        &mut self,
        name: &'static str,
        default: f64,
        range: RangeInclusive<f64>,
        description: &str,
        faults: &mut FaultCollector,
    ) -> Option<f64> {
        let field = self.optional(name, faults);
        let Some(field) = field.filter(|field| !field.value.is_empty()) else {
            return Some(default);
        };
        let value = field
            .value
            .parse()
            .ok()
            .filter(|value| range.contains(value));
        if value.is_none() {
            faults.add(
                field.line,
                format!("`{name}` is `{}`, not a number {description}", field.value),
                format!("write `{name}` as a number {description}, such as 0.2"),
            );
        }
        value
    }

    /// Returns an optional whole number, which may be zero.
    pub(crate) fn number_or(
        &mut self,
        name: &'static str,
        default: u64,
        faults: &mut FaultCollector,
    ) -> Option<u64> {
        let Some(field) = self.optional(name, faults) else {
            return Some(default);
        };
        let value = field.value.parse().ok();
        if value.is_none() {
            faults.add(
                field.line,
                format!("`{}` is not a whole number", field.value),
                format!("write `{name}` as a whole number"),
            );
        }
        value
    }

    /// Returns an optional `yes` or `no`.
    pub(crate) fn flag(
        &mut self,
        name: &'static str,
        default: bool,
        faults: &mut FaultCollector,
    ) -> Option<bool> {
        let Some(field) = self.optional(name, faults) else {
            return Some(default);
        };
        match field.value.as_str() {
            "yes" => Some(true),
            "no" => Some(false),
            other => {
                faults.add(
                    field.line,
                    format!("`{name}` has the unknown value `{other}`"),
                    "write `yes` or `no`",
                );
                None
            }
        }
    }

    /// Returns a required address of the form `ip:port`.
    pub(crate) fn address(
        &mut self,
        name: &'static str,
        faults: &mut FaultCollector,
    ) -> Option<SocketAddr> {
        let field = self.required(name, faults)?;
        let address = field.value.parse().ok();
        if address.is_none() {
            faults.add(
                field.line,
                format!("`{}` is not a valid address", field.value),
                "write an IP address and a port, such as 127.0.0.1:9001",
            );
        }
        address
    }

    /// Returns the fields whose names begin with `prefix`, with the rest of their names.
    pub(crate) fn prefixed(
        &mut self,
        prefix: &'static str,
        faults: &mut FaultCollector,
    ) -> Vec<(&'a str, &'a IniField)> {
        let mut found: Vec<(&str, &IniField)> = Vec::new();
        for field in &self.section.fields {
            let Some(rest) = field.name.strip_prefix(prefix) else {
                continue;
            };
            if let Some((_, first)) = found.iter().find(|(name, _)| *name == rest) {
                faults.add(
                    field.line,
                    format!(
                        "the field `{}` is already defined on line {}",
                        field.name, first.line
                    ),
                    "keep one of the two",
                );
            } else {
                found.push((rest, field));
            }
        }
        self.expected.push(prefix);
        found
    }

    /// Reports the fields that no call has read.
    ///
    /// An expected name that ends with a dot is a prefix of field names.
    pub(crate) fn report_unknown_fields(self, faults: &mut FaultCollector) {
        for field in &self.section.fields {
            let is_expected = self.expected.iter().any(|expected| {
                *expected == field.name
                    || (expected.ends_with('.') && field.name.starts_with(expected))
            });
            if !is_expected {
                faults.add(
                    field.line,
                    format!("[{}] has no field `{}`", self.section.header, field.name),
                    if self.expected.is_empty() {
                        "remove it; the section has no fields".to_owned()
                    } else {
                        format!("remove it or use one of: {}", self.expected.join(", "))
                    },
                );
            }
        }
    }
}

/// Parses a whole number of at least 1.
pub(crate) fn parse_positive<T: FromStr + PartialOrd + From<u8>>(
    field: &IniField,
    faults: &mut FaultCollector,
) -> Option<T> {
    let value = field
        .value
        .parse()
        .ok()
        .filter(|value| *value >= T::from(1));
    if value.is_none() {
        faults.add(
            field.line,
            format!(
                "`{}` is `{}`, not a whole number above zero",
                field.name, field.value
            ),
            format!("write `{}` as a whole number of at least 1", field.name),
        );
    }
    value
}
