//! Parses the sections of a bundle.

use std::time::Duration;

use hawthornquay_decisions::{
    BackendKind, BackendName, BackendServer, Bundle, DomainName, FailureDomain,
    IdempotencyKeyRequirement, KeyDigest, KeyGrant, Map, Organisation, OrganisationId, RegionName,
    Residency, RoutingWeights, ServiceRoute, Set,
};

use crate::{
    bundle_checks, bundle_lines::BundleLines, fault_collector::FaultCollector, hex,
    ini_field::IniField, ini_section::IniSection, ini_text::IniText, section_reader::SectionReader,
    trust_reader::read_trust,
};

/// Minimum length of the salt of caller keys in bytes.
const MIN_SALT_BYTES: usize = 16;
/// Maximum length of a name in bytes. Instances send names in gossip digests of limited size.
const MAX_NAME_BYTES: usize = 64;
/// Value of `residency` that allows every region.
const ANY_REGION: &str = "any";
const SECTION_KINDS: &str = "bundle, region, domain, organisation, key, route, backend, routing";

/// Parses the sections and records every fault.
pub(crate) fn read_bundle(text: &IniText, faults: &mut FaultCollector) -> Option<Bundle> {
    let mut reader = BundleReader {
        bundle: Bundle::default(),
        lines: BundleLines::default(),
        regions: Set::default(),
        faults,
    };
    reader.check_headers(&text.sections);
    // A section may refer to one that follows it in the file, so kinds that are referred to are
    // parsed first.
    for kind in [
        "bundle",
        "region",
        "domain",
        "organisation",
        "backend",
        "key",
        "route",
        "routing",
    ] {
        for section in text
            .sections
            .iter()
            .filter(|section| section.kind() == kind)
        {
            reader.read_section(section);
        }
    }
    bundle_checks::check(&reader.bundle, &reader.lines, reader.faults);
    Some(reader.bundle)
}

struct BundleReader<'a> {
    bundle: Bundle,
    lines: BundleLines,
    regions: Set<RegionName>,
    faults: &'a mut FaultCollector,
}

impl BundleReader<'_> {
    /// Reports repeated and unknown sections, and a missing `[bundle]`.
    fn check_headers(&mut self, sections: &[IniSection]) {
        let mut first_lines: Map<&str, usize> = Map::default();
        for section in sections {
            if let Some(first) = first_lines.get(section.header.as_str()) {
                self.faults.add(
                    section.line,
                    format!("[{}] is already defined on line {first}", section.header),
                    "merge the two sections or rename one",
                );
            } else {
                first_lines.insert(&section.header, section.line);
            }
            if !SECTION_KINDS.split(", ").any(|kind| kind == section.kind()) {
                self.faults.add(
                    section.line,
                    format!("unknown section kind `{}`", section.kind()),
                    format!("use one of: {SECTION_KINDS}"),
                );
            }
        }
        if !first_lines.contains_key("bundle") {
            self.faults.add(
                1,
                "the section [bundle] is missing",
                "add [bundle] with `version`, `signatures_needed`, `key_salt` and the signers",
            );
        }
    }

    fn read_section(&mut self, section: &IniSection) {
        let mut reader = SectionReader::new(section);
        let kind = section.kind();
        let has_name = !matches!(kind, "bundle" | "routing");
        if !self.check_name(section, has_name) {
            return;
        }
        // Parsing stops at a fault. Unknown fields of the section are still reported.
        let _ = match kind {
            "bundle" => self.read_bundle_section(&mut reader),
            "region" => self.read_region(section),
            "domain" => self.read_domain(section, &mut reader),
            "organisation" => self.read_organisation(section, &mut reader),
            "key" => self.read_key(section, &mut reader),
            "route" => self.read_route(section, &mut reader),
            "backend" => self.read_backend(section, &mut reader),
            _ => self.read_routing(&mut reader),
        };
        reader.report_unknown_fields(self.faults);
    }

    fn check_name(&mut self, section: &IniSection, has_name: bool) -> bool {
        let name = section.name();
        let allowed = |char: char| {
            char.is_ascii_alphanumeric()
                || matches!(char, '_' | '-' | '.')
                || (section.kind() == "route" && char == '/')
        };
        let remedy = match (has_name, section.kind()) {
            (false, kind) => format!("write [{kind}]"),
            (true, "route") => "write [route /path] with letters, digits and `-_./`".to_owned(),
            (true, kind) => format!(
                "write [{kind} name]; a name has letters, digits and `-_.`, \
                 and at most {MAX_NAME_BYTES} of them"
            ),
        };
        let is_valid = if has_name {
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
        } else {
            name.is_empty()
        };
        if !is_valid {
            let message = format!("[{}] is not a valid header", section.header);
            self.faults.add(section.line, message, remedy);
        }
        is_valid
    }

    fn read_bundle_section(&mut self, reader: &mut SectionReader<'_>) -> Option<()> {
        let version = reader.positive("version", self.faults);
        let trust = read_trust(reader, self.faults);
        let salt = reader.required("key_salt", self.faults).and_then(|field| {
            let salt = hex::decode(&field.value).filter(|salt| salt.len() >= MIN_SALT_BYTES);
            if salt.is_none() {
                self.faults.add(
                    field.line,
                    "`key_salt` is not a valid salt",
                    format!("write at least {MIN_SALT_BYTES} random bytes in hexadecimal"),
                );
            }
            salt
        });
        self.bundle.version = version?;
        (self.bundle.signers, self.bundle.signatures_needed) = trust?;
        self.bundle.key_salt = salt?;
        Some(())
    }

    fn read_region(&mut self, section: &IniSection) -> Option<()> {
        if section.name() == ANY_REGION {
            self.faults.add(
                section.line,
                format!("a region cannot be named `{ANY_REGION}`"),
                "choose another name; in `residency` this value stands for every region",
            );
            return None;
        }
        self.regions.insert(section.name().into()).then_some(())
    }

    fn read_domain(&mut self, section: &IniSection, reader: &mut SectionReader<'_>) -> Option<()> {
        let region = reader.required("region", self.faults);
        let limit_weight = reader.positive("limit_weight", self.faults);
        let name = DomainName::new(section.name());
        self.lines.domains.insert(name.clone());
        let region = {
            let field = region?;
            self.find_region(&field.value, field.line)?
        };
        self.bundle.domains.insert(
            name.clone(),
            FailureDomain {
                name,
                region,
                limit_weight: limit_weight?,
            },
        );
        Some(())
    }

    fn find_region(&mut self, name: &str, line: usize) -> Option<RegionName> {
        let found = self.regions.get(name).cloned();
        if found.is_none() {
            self.faults.add(
                line,
                format!("there is no region `{name}`"),
                format!("add [region {name}] or correct the name"),
            );
        }
        found
    }

    fn find_organisation(&mut self, field: &IniField) -> Option<OrganisationId> {
        let name = field.value.as_str();
        let known = self.lines.organisations.contains_key(name);
        if !known {
            self.faults.add(
                field.line,
                format!("there is no organisation `{name}`"),
                format!("add [organisation {name}] or correct the name"),
            );
        }
        known.then(|| name.into())
    }

    fn read_organisation(
        &mut self,
        section: &IniSection,
        reader: &mut SectionReader<'_>,
    ) -> Option<()> {
        let id = OrganisationId::new(section.name());
        self.lines.organisations.insert(id.clone(), section.line);
        let rate = reader.positive("rate", self.faults);
        let burst = reader.positive("burst", self.faults);
        let residency = reader.required("residency", self.faults)?;
        self.lines.residencies.insert(id.clone(), residency.line);
        let residency = self.read_residency(residency)?;
        self.bundle.organisations.insert(
            id.clone(),
            Organisation {
                id,
                rate: rate?,
                burst: burst?,
                residency,
            },
        );
        Some(())
    }

    fn read_residency(&mut self, field: &IniField) -> Option<Residency> {
        if field.value == ANY_REGION {
            return Some(Residency::Any);
        }
        let mut regions = Set::default();
        let mut complete = true;
        for name in self.parse_list(field) {
            match self.find_region(name, field.line) {
                Some(region) => complete &= regions.insert(region),
                None => complete = false,
            }
        }
        complete.then_some(Residency::Regions(regions))
    }

    /// Splits a comma-separated list. Empty and repeated items are faults.
    fn parse_list<'f>(&mut self, field: &'f IniField) -> Vec<&'f str> {
        let mut items = Vec::new();
        for item in field.value.split(',').map(str::trim) {
            if item.is_empty() || items.contains(&item) {
                self.faults.add(
                    field.line,
                    format!("`{}` has an empty or repeated item", field.name),
                    "name each item once, separated by commas",
                );
            } else {
                items.push(item);
            }
        }
        items
    }

    fn read_key(&mut self, section: &IniSection, reader: &mut SectionReader<'_>) -> Option<()> {
        let organisation = reader
            .required("organisation", self.faults)
            .and_then(|field| self.find_organisation(field));
        let field = reader.required("digest", self.faults)?;
        let bytes = hex::decode(&field.value).and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
        let Some(bytes) = bytes else {
            self.faults.add(
                field.line,
                "`digest` is not a valid key digest",
                "write 64 hexadecimal digits, as `hawthornquay key new` prints them",
            );
            return None;
        };
        let digest = KeyDigest(bytes);
        let grant = KeyGrant {
            name: section.name().to_owned(),
            organisation: organisation?,
        };
        if let Some(other) = self.bundle.keys.get(&digest) {
            self.faults.add(
                field.line,
                format!(
                    "the keys `{}` and `{}` have the same digest",
                    other.name, grant.name
                ),
                "remove one of the two keys",
            );
            return None;
        }
        self.bundle.keys.insert(digest, grant);
        Some(())
    }

    fn read_route(&mut self, section: &IniSection, reader: &mut SectionReader<'_>) -> Option<()> {
        let service = reader.required("service", self.faults);
        let repeatable = reader.flag("repeatable", true, self.faults);
        let key_field = reader.optional("idempotency_key", self.faults);
        let open = reader.flag("open", false, self.faults);
        let organisation = reader.optional("organisation", self.faults);
        let cost = reader.positive_or("cost", 1, self.faults);
        let idempotency_key = match key_field.map(|field| field.value.as_str()) {
            None | Some("optional") => IdempotencyKeyRequirement::Optional,
            Some("required") => IdempotencyKeyRequirement::Required,
            Some(other) => {
                self.faults.add(
                    key_field.map_or(section.line, |field| field.line),
                    format!("`idempotency_key` has the unknown value `{other}`"),
                    "write `optional` or `required`",
                );
                return None;
            }
        };
        let anonymous_organisation = match (open?, organisation) {
            (true, Some(field)) => Some(self.find_organisation(field)?),
            (true, None) => {
                self.faults.add(
                    section.line,
                    format!("the open route {} names no organisation", section.name()),
                    "add `organisation = ...`, whose limits then apply to the calls",
                );
                return None;
            }
            (false, Some(field)) => {
                self.faults.add(
                    field.line,
                    format!(
                        "the route {} is not open, but names an organisation",
                        section.name()
                    ),
                    "remove `organisation`, or write `open = yes`",
                );
                return None;
            }
            (false, None) => None,
        };
        let service = service?;
        self.lines.routes.push((section.line, service.line));
        self.bundle.routes.push(ServiceRoute {
            path: section.name().to_owned(),
            service: service.value.as_str().into(),
            repeatable: repeatable?,
            idempotency_key,
            anonymous_organisation,
            cost_tokens: cost?,
        });
        Some(())
    }

    fn read_backend(&mut self, section: &IniSection, reader: &mut SectionReader<'_>) -> Option<()> {
        let kind = reader.required("kind", self.faults);
        let address = reader.address("address", self.faults);
        let domain = reader.required("domain", self.faults).and_then(|field| {
            let known = self.lines.domains.get(field.value.as_str());
            if known.is_none() {
                self.faults.add(
                    field.line,
                    format!("there is no domain `{}`", field.value),
                    format!("add [domain {}] or correct the name", field.value),
                );
            }
            known.cloned()
        });
        let (kind, checks_fencing) = self.read_backend_kind(kind?, reader)?;
        let name = BackendName::new(section.name());
        self.lines
            .backends
            .insert(name.clone(), reader.line_of("address"));
        self.bundle.backends.insert(
            name.clone(),
            BackendServer {
                name,
                address: address?,
                domain: domain?,
                kind,
                checks_fencing,
            },
        );
        Some(())
    }

    fn read_backend_kind(
        &mut self,
        kind: &IniField,
        reader: &mut SectionReader<'_>,
    ) -> Option<(BackendKind, bool)> {
        match kind.value.as_str() {
            "model-engine" => {
                // By default, engines are assumed not to check fencing tokens. A new orderer then
                // waits until the previous lease has expired, which is always safe.
                let fencing = reader.flag("fencing", false, self.faults);
                let models = reader.required("models", self.faults)?;
                let models = self
                    .parse_list(models)
                    .into_iter()
                    .map(Into::into)
                    .collect();
                Some((BackendKind::ModelEngine { models }, fencing?))
            }
            "plain-service" => {
                let service = reader.required("service", self.faults)?;
                self.lines.services.insert(service.value.clone());
                let service = service.value.as_str().into();
                Some((BackendKind::PlainService { service }, false))
            }
            other => {
                for name in ["fencing", "models", "service"] {
                    reader.optional(name, self.faults);
                }
                self.faults.add(
                    kind.line,
                    format!("unknown backend kind `{other}`"),
                    "write `model-engine` or `plain-service`",
                );
                None
            }
        }
    }

    fn read_routing(&mut self, reader: &mut SectionReader<'_>) -> Option<()> {
        let default = RoutingWeights::default();
        let mut milliseconds = |name, default: Duration| {
            let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
            reader
                .number_or(name, default, self.faults)
                .map(Duration::from_millis)
        };
        let margin = milliseconds("send_away_margin_ms", default.send_away_margin);
        let path_cost = milliseconds("path_cost_ms", default.path_cost);
        self.bundle.routing = RoutingWeights {
            send_away_margin: margin?,
            path_cost: path_cost?,
        };
        Some(())
    }
}
