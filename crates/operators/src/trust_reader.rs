//! Parses trusted signers from the bundle and the settings.

use base64::{Engine, prelude::BASE64_STANDARD};
use ed25519_dalek::VerifyingKey;
use hawthornquay_decisions::Signer;

use crate::{
    fault_collector::FaultCollector,
    ini_field::IniField,
    section_reader::{SectionReader, parse_positive},
};

/// Parses the fields `signatures_needed` and `signer.<name>`.
pub(crate) fn read_trust(
    reader: &mut SectionReader<'_>,
    faults: &mut FaultCollector,
) -> Option<(Vec<Signer>, u32)> {
    let needed_field = reader.required("signatures_needed", faults);
    let needed = needed_field.and_then(|field| parse_positive::<u32>(field, faults));
    let fields = reader.prefixed("signer.", faults);
    let count = fields.len();
    let mut signers: Vec<Signer> = Vec::new();
    for (name, field) in fields {
        let Some(public_key) = read_public_key(name, field, faults) else {
            continue;
        };
        // With one key under two names, the holder of the key could act as both signers.
        if let Some(other) = signers.iter().find(|other| other.public_key == public_key) {
            faults.add(
                field.line,
                format!(
                    "the signers `{}` and `{name}` have the same key",
                    other.name
                ),
                "give each signer a different key",
            );
            continue;
        }
        signers.push(Signer {
            name: name.to_owned(),
            public_key,
        });
    }
    let needed = needed?;
    if usize::try_from(needed).is_ok_and(|needed| needed > count) {
        faults.add(
            needed_field.map_or(1, |field| field.line),
            format!("{needed} signatures are needed, but there are {count} signers"),
            "lower `signatures_needed` or add `signer.<name>` fields",
        );
    }
    Some((signers, needed))
}

fn read_public_key(name: &str, field: &IniField, faults: &mut FaultCollector) -> Option<[u8; 32]> {
    if name.is_empty() {
        faults.add(
            field.line,
            "a signer has no name",
            "write `signer.<name> = <key>`",
        );
        return None;
    }
    let key = BASE64_STANDARD
        .decode(&field.value)
        .ok()
        .and_then(|bytes| <[u8; 32]>::try_from(bytes).ok())
        .filter(|bytes| VerifyingKey::from_bytes(bytes).is_ok_and(|key| !key.is_weak()));
    if key.is_none() {
        faults.add(
            field.line,
            format!("the key of signer `{name}` is not a valid ed25519 public key"),
            "write the 32 bytes of the public key in base64, as `hawthornquay key new --signer` \
             prints them",
        );
    }
    key
}
