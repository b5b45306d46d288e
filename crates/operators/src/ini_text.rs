//! INI text with the lines of its sections and fields.

use ini::{Ini, ParseOption};

use crate::{fault_collector::FaultCollector, ini_field::IniField, ini_section::IniSection};

const SHAPE_REMEDY: &str = "write `[kind name]`, `field = value` or a comment that begins with `;`";

/// Sections of an INI text in the order of the file.
pub(crate) struct IniText {
    pub(crate) sections: Vec<IniSection>,
}

impl IniText {
    /// Reads `text`; faulty lines are recorded and left out.
    ///
    /// rust-ini reports no lines and joins a line without `=` with the next one, so each line's
    /// shape is checked first and rust-ini then reads one well-formed line for each remembered
    /// line number.
    pub(crate) fn read(text: &str, faults: &mut FaultCollector) -> Self {
        let mut normal = String::with_capacity(text.len());
        let mut lines = Vec::new();
        let mut in_section = false;
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let content = without_comment(raw);
            if content.is_empty() {
                continue;
            }
            match check_shape(content, in_section) {
                Ok(()) => {
                    in_section = true;
                    normal.push_str(content);
                    normal.push('\n');
                    lines.push(line);
                }
                Err(message) => faults.add(line, message, SHAPE_REMEDY),
            }
        }
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(&normal, option) {
            Ok(ini) => Self::with_lines(&ini, &lines),
            Err(error) => {
                let line = lines
                    .get(error.line.saturating_sub(1))
                    .copied()
                    .unwrap_or(1);
                faults.add(line, error.msg, SHAPE_REMEDY);
                Self {
                    sections: Vec::new(),
                }
            }
        }
    }

    /// Joins the sections and fields with the lines, which stand in the same order.
    fn with_lines(ini: &Ini, lines: &[usize]) -> Self {
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

/// Cuts a comment off: a whole line, or from a `;` or `#` after a blank.
fn without_comment(raw: &str) -> &str {
    let mut previous = ' ';
    for (at, char) in raw.char_indices() {
        if matches!(char, ';' | '#') && previous.is_whitespace() {
            return raw[..at].trim();
        }
        previous = char;
    }
    raw.trim()
}

fn check_shape(content: &str, in_section: bool) -> Result<(), String> {
    if content.chars().any(char::is_control) || content.contains('\\') {
        return Err("the line holds a control character or a backslash".into());
    }
    if let Some(rest) = content.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(header) if !header.trim().is_empty() && !header.contains(['[', ']']) => Ok(()),
            _ => Err(format!("`{content}` is no section header")),
        };
    }
    let Some((name, _)) = content.split_once('=') else {
        return Err(format!("`{content}` is neither a section nor a field"));
    };
    let name = name.trim();
    let allowed = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-' | '.');
    if name.is_empty() || !name.chars().all(allowed) {
        return Err(format!("`{name}` is no name of a field"));
    }
    if !in_section {
        return Err(format!(
            "the field `{name}` stands before the first section"
        ));
    }
    Ok(())
}
