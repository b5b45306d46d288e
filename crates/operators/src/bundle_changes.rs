//! Summary of the difference between two bundles.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{BundleDifference, BundleDocument, ChangeCounts, SectionChange, SectionKind};

/// Numbers of changed sections by kind; kinds without changes are left out.
///
/// It contains only counts, because section headers contain names of organisations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BundleChanges(pub BTreeMap<SectionKind, ChangeCounts>);

impl BundleChanges {
    /// Counts the changes from `old` to `new`. Without `old`, every section counts as added.
    pub fn between(old: Option<&BundleDocument>, new: &BundleDocument) -> Self {
        let mut changes = Self::default();
        match old {
            None => {
                for header in new.sections().keys() {
                    if let Some(kind) = SectionKind::of_header(header) {
                        changes.counts(kind).added += 1;
                    }
                }
            }
            Some(old) => {
                for (header, change) in BundleDifference::between(old, new).changes {
                    match SectionKind::of_header(&header) {
                        // The version in [bundle] always changes, so [bundle] is compared below
                        // without the version.
                        None | Some(SectionKind::Bundle) => {}
                        Some(kind) => changes.count(kind, &change),
                    }
                }
                if BundleFields::of(old).others != BundleFields::of(new).others {
                    changes.counts(SectionKind::Bundle).changed += 1;
                }
            }
        }
        changes.count_signers(old, new);
        changes
    }

    fn count_signers(&mut self, old: Option<&BundleDocument>, new: &BundleDocument) {
        let old = old.map(BundleFields::of).unwrap_or_default().signers;
        let new = BundleFields::of(new).signers;
        for (signer, key) in &new {
            match old.get(signer) {
                None => self.counts(SectionKind::Signer).added += 1,
                Some(before) if before != key => self.counts(SectionKind::Signer).changed += 1,
                Some(_) => {}
            }
        }
        for signer in old.keys() {
            if !new.contains_key(signer) {
                self.counts(SectionKind::Signer).removed += 1;
            }
        }
    }

    fn count(&mut self, kind: SectionKind, change: &SectionChange) {
        let counts = self.counts(kind);
        match change {
            SectionChange::Added { .. } => counts.added += 1,
            SectionChange::Changed { .. } => counts.changed += 1,
            SectionChange::Removed => counts.removed += 1,
        }
    }

    fn counts(&mut self, kind: SectionKind) -> &mut ChangeCounts {
        self.0.entry(kind).or_default()
    }
}

impl fmt::Display for BundleChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (kind, counts)) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(", ")?;
            }
            f.write_str(kind.as_str())?;
            for (mark, count) in [
                ('+', counts.added),
                ('~', counts.changed),
                ('-', counts.removed),
            ] {
                if count > 0 {
                    write!(f, " {mark}{count}")?;
                }
            }
        }
        Ok(())
    }
}

/// Fields of `[bundle]` except the version.
#[derive(Default)]
struct BundleFields<'a> {
    signers: BTreeMap<&'a str, &'a str>,
    others: Vec<&'a str>,
}

impl<'a> BundleFields<'a> {
    fn of(document: &'a BundleDocument) -> Self {
        let mut fields = Self::default();
        let body = document.sections().get("bundle");
        for line in body.map_or("", String::as_str).lines() {
            match line.split_once(" = ") {
                Some(("version", _)) => {}
                Some((name, value)) if name.starts_with("signer.") => {
                    fields.signers.insert(name, value);
                }
                _ => fields.others.push(line),
            }
        }
        fields
    }
}
