//! Difference between two bundles at the level of sections.

use std::{collections::BTreeMap, fmt, str::FromStr};

use crate::{
    BundleDigest, BundleDocument, DifferenceError, SectionChange, bundle_document::canonical_text,
};

/// Sections that were added, changed or removed between two bundles.
///
/// Its text form begins with `difference <old version> <old digest> <new version> <new digest>`.
/// Each change follows as `+ [header]`, `~ [header]` or `- [header]` and the fields of the section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleDifference {
    /// Version of the old bundle.
    pub old_version: u64,
    /// Digest of the old bundle.
    pub old_digest: BundleDigest,
    /// Version of the new bundle.
    pub new_version: u64,
    /// Digest of the new bundle.
    pub new_digest: BundleDigest,
    /// Changes by section header.
    pub changes: BTreeMap<String, SectionChange>,
}

impl BundleDifference {
    /// Computes the difference from `old` to `new`.
    pub fn between(old: &BundleDocument, new: &BundleDocument) -> Self {
        let mut changes = BTreeMap::new();
        for header in old.sections().keys() {
            if !new.sections().contains_key(header) {
                changes.insert(header.clone(), SectionChange::Removed);
            }
        }
        for (header, body) in new.sections() {
            let body = body.clone();
            let change = match old.sections().get(header) {
                None => SectionChange::Added { body },
                Some(before) if *before != body => SectionChange::Changed { body },
                Some(_) => continue,
            };
            changes.insert(header.clone(), change);
        }
        Self {
            old_version: old.version(),
            old_digest: old.digest(),
            new_version: new.version(),
            new_digest: new.digest(),
            changes,
        }
    }

    /// Applies the difference to `old` and returns the new document.
    ///
    /// # Errors
    ///
    /// Returns an error if the difference was computed from another document than `old`, or if the
    /// result is not a valid bundle with the version and digest of the difference.
    pub fn apply(&self, old: &BundleDocument) -> Result<BundleDocument, DifferenceError> {
        if old.version() != self.old_version || old.digest() != self.old_digest {
            return Err(DifferenceError::WrongPredecessor {
                expected: self.old_version,
                actual: old.version(),
            });
        }
        let mut sections = old.sections().clone();
        for (header, change) in &self.changes {
            let previous = match change {
                SectionChange::Removed => sections.remove(header),
                SectionChange::Added { body } | SectionChange::Changed { body } => {
                    sections.insert(header.clone(), body.clone())
                }
            };
            let is_expected = !matches!(change, SectionChange::Added { .. });
            if previous.is_some() != is_expected {
                return Err(DifferenceError::SectionMismatch {
                    header: header.clone(),
                });
            }
        }
        let text = canonical_text(&sections);
        let new = BundleDocument::read("bundle", &text)
            .map_err(|faults| DifferenceError::InvalidResult(Box::new(faults)))?;
        if new.digest() != self.new_digest || new.version() != self.new_version {
            return Err(DifferenceError::DigestMismatch {
                expected: self.new_digest,
                actual: new.digest(),
            });
        }
        Ok(new)
    }
}

impl fmt::Display for BundleDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "difference {} {} {} {}",
            self.old_version, self.old_digest, self.new_version, self.new_digest
        )?;
        for (header, change) in &self.changes {
            write!(f, "{} [{header}]\n{}", change.mark(), change.body())?;
        }
        Ok(())
    }
}

impl FromStr for BundleDifference {
    type Err = DifferenceError;

    fn from_str(text: &str) -> Result<Self, DifferenceError> {
        let mut lines = text.lines().zip(1..).peekable();
        let (head, _) = lines.next().ok_or(DifferenceError::Malformed { line: 1 })?;
        let mut difference = parse_head(head).ok_or(DifferenceError::Malformed { line: 1 })?;
        while let Some((content, line)) = lines.next() {
            let malformed = DifferenceError::Malformed { line };
            let Some((mark, header)) = parse_header(content) else {
                return Err(malformed);
            };
            let mut body = String::new();
            while let Some((field, _)) = lines.next_if(|(next, _)| parse_header(next).is_none()) {
                body.push_str(field);
                body.push('\n');
            }
            let change = match mark {
                "+" => SectionChange::Added { body },
                "~" => SectionChange::Changed { body },
                "-" if body.is_empty() => SectionChange::Removed,
                _ => return Err(malformed),
            };
            if difference
                .changes
                .insert(header.to_owned(), change)
                .is_some()
            {
                return Err(malformed);
            }
        }
        Ok(difference)
    }
}

fn parse_head(line: &str) -> Option<BundleDifference> {
    let words: Vec<&str> = line.split(' ').collect();
    let [
        "difference",
        old_version,
        old_digest,
        new_version,
        new_digest,
    ] = words.as_slice()
    else {
        return None;
    };
    Some(BundleDifference {
        old_version: old_version.parse().ok()?,
        old_digest: old_digest.parse().ok()?,
        new_version: new_version.parse().ok()?,
        new_digest: new_digest.parse().ok()?,
        changes: BTreeMap::new(),
    })
}

fn parse_header(line: &str) -> Option<(&str, &str)> {
    let (mark, header) = line.split_once(" [")?;
    let header = header.strip_suffix(']')?;
    matches!(mark, "+" | "~" | "-").then_some((mark, header))
}
