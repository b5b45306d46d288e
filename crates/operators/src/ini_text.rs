//! Parsed INI file with the line numbers of its sections and fields.

use ini::{Ini, ParseOption};

use crate::{fault_collector::FaultCollector, ini_field::IniField, ini_section::IniSection};

const SYNTAX_REMEDY: &str =
    "write `[kind name]`, `field = value` or a comment that begins with `;`";

/// Sections of an INI file, in their order in the file.
pub(crate) struct IniText {
    pub(crate) sections: Vec<IniSection>,
}

impl IniText {
    /// Parses `text`. Lines with faults are recorded and left out.
    ///
    /// rust-ini does not return line numbers, and joins a line without `=` with the next one.
    /// Therefore the syntax of each line is checked first, and rust-ini gets only the valid lines,
    /// whose line numbers are kept in `lines`.
    pub(crate) fn read(text: &str, faults: &mut FaultCollector) -> Self {
        let mut stripped = String::with_capacity(text.len());
        let mut lines = Vec::new();
        let mut in_section = false;
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let content = strip_comment(raw);
            if content.is_empty() {
                continue;
            }
            match check_syntax(content, in_section) {
                Ok(()) => {
                    in_section = true;
                    stripped.push_str(content);
                    stripped.push('\n');
                    lines.push(line);
                }
                Err(message) => faults.add(line, message, SYNTAX_REMEDY),
            }
        }
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(&stripped, option) {
            Ok(ini) => Self::with_line_numbers(&ini, &lines),
            Err(error) => {
                let line = lines
                    .get(error.line.saturating_sub(1))
                    .copied()
                    .unwrap_or(1);
                faults.add(line, error.msg, SYNTAX_REMEDY);
                Self {
                    sections: Vec::new(),
                }
            }
        }
    }

    /// Combines the sections and fields with their line numbers, which are in the same order.
    fn with_line_numbers(ini: &Ini, lines: &[usize]) -> Self {
        let mut lines = lines.iter().copied();
        let mut next_line = || lines.next().unwrap_or(1);
        let mut sections = Vec::new();
        for (header, properties) in ini.iter() {
            let Some(header) = header else { continue };
            sections.push(IniSection {
                header: header.split_whitespace().collect::<Vec<_>>().join(" "),
                line: next_line(),
                fields: properties
                    .iter()
                    .map(|(name, value)| IniField {
                        name: name.to_owned(),
                        value: value.trim().to_owned(),
                        line: next_line(),
                    })
                    .collect(),
            });
        }
        Self { sections }
    }
}

/// Removes a comment: text from a `;` or `#` at the start of the line or after white space.
fn strip_comment(raw: &str) -> &str {
    let mut previous = ' ';
    for (index, char) in raw.char_indices() {
        if matches!(char, ';' | '#') && previous.is_whitespace() {
            return raw[..index].trim();
        }
        previous = char;
    }
    raw.trim()
}

/// Returns a message if a line is neither a section header nor a field inside a section.
fn check_syntax(content: &str, in_section: bool) -> Result<(), String> {
    if content.chars().any(char::is_control) || content.contains('\\') {
        return Err("the line contains a control character or a backslash".into());
    }
    if let Some(rest) = content.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(header) if !header.trim().is_empty() && !header.contains(['[', ']']) => Ok(()),
            _ => Err(format!("`{content}` is not a valid section header")),
        };
    }
    let Some((name, _)) = content.split_once('=') else {
        return Err(format!("`{content}` is neither a section nor a field"));
    };
    let name = name.trim();
    let allowed = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-' | '.');
    if name.is_empty() || !name.chars().all(allowed) {
        return Err(format!("`{name}` is not a valid field name"));
    }
    if !in_section {
        return Err(format!("the field `{name}` is before the first section"));
    }
    Ok(())
}
