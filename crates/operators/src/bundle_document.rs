//! Parsed bundle and its text.

use std::{collections::BTreeMap, fmt::Write};

use hawthornquay_decisions::Bundle;

use crate::{
    BundleDifference, BundleDigest, Faults, bundle_reader::read_bundle,
    fault_collector::FaultCollector, ini_text::IniText,
};

/// Valid bundle with its text, canonical form and digest.
#[derive(Clone, Debug)]
pub struct BundleDocument {
    text: String,
    canonical: String,
    digest: BundleDigest,
    bundle: Bundle,
    sections: BTreeMap<String, String>,
}

impl BundleDocument {
    /// Parses and validates a bundle. `file` is the file name in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn read(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file, text);
        let ini = IniText::read(text, &mut faults);
        let bundle = read_bundle(&ini, &mut faults);
        let bundle = faults.into_result(bundle)?;
        let sections: BTreeMap<String, String> = ini
            .sections
            .iter()
            .map(|section| (section.header.clone(), section.canonical_body()))
            .collect();
        let canonical = canonical_text(&sections);
        Ok(Self {
            text: text.to_owned(),
            digest: BundleDigest::of(&canonical),
            canonical,
            bundle,
            sections,
        })
    }

    /// Returns the text as it was read.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the canonical form: sorted sections and fields without comments.
    pub fn canonical(&self) -> &str {
        &self.canonical
    }

    /// Returns the digest of the canonical form.
    pub fn digest(&self) -> BundleDigest {
        self.digest
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.bundle.version
    }

    /// Returns the parsed bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the difference from `old` to this document at the level of sections.
    pub fn difference_from(&self, old: &Self) -> BundleDifference {
        BundleDifference::between(old, self)
    }

    /// Returns the canonical bodies of the sections by header.
    pub(crate) fn sections(&self) -> &BTreeMap<String, String> {
        &self.sections
    }
}

/// Concatenates sections into the canonical text.
pub(crate) fn canonical_text(sections: &BTreeMap<String, String>) -> String {
    sections
        .iter()
        .fold(String::new(), |mut text, (header, body)| {
            let _ = write!(text, "[{header}]\n{body}");
            text
        })
}
